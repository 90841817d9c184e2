package keyring

import (
	"cmp"
	"crypto/sha256"
	"fmt"
	"maps"
	"slices"
	"strconv"

	"lanewheel/internal/diagnostic"
)

// Bounds of a folder: a few rotations of a few issuers.
const (
	maxKeys      = 256
	maxFiles     = 64
	maxFileBytes = 256 << 10
)

// KeySet is all keys of a folder. It never changes, and may be used from any goroutine; a nil one is empty.
type KeySet struct {
	keys   map[KeyID]*Key
	digest [sha256.Size]byte // of all files
}

// ParseSet makes a set of files, by their names. All of them have to be right: the error is a diagnostic.List with all
// that is wrong.
func ParseSet(files map[string][]byte) (*KeySet, error) {
	set := &KeySet{keys: map[KeyID]*Key{}}
	var diagnostics diagnostic.List
	digest := sha256.New()
	for _, name := range slices.Sorted(maps.Keys(files)) {
		text := files[name]
		_, _ = fmt.Fprintf(digest, "%q%d:", name, len(text)) // a hash never fails
		digest.Write(text)
		diagnostics = append(diagnostics, set.addFile(name, text)...)
	}
	if len(set.keys) > maxKeys {
		diagnostics = append(diagnostics, diagnostic.Diagnostic{
			File:  "keys",
			Value: strconv.Itoa(len(set.keys)),
			Want:  fmt.Sprintf("wants %d keys or fewer", maxKeys),
		})
	}
	if err := diagnostics.Err(); err != nil {
		return nil, err
	}
	digest.Sum(set.digest[:0])
	return set, nil
}

// Keys are all keys, by id.
func (s *KeySet) Keys() []*Key {
	if s == nil {
		return nil
	}
	byID := func(a, b *Key) int { return cmp.Compare(a.ID, b.ID) }
	return slices.SortedFunc(maps.Values(s.keys), byID)
}

// Find gives a key, nil if the set has none of that id.
func (s *KeySet) Find(id KeyID) *Key {
	if s == nil {
		return nil
	}
	return s.keys[id]
}

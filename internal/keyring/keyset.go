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

// The limits of a key folder. They leave room for a few rotations of the keys of a few issuers.
const (
	maxKeys      = 256
	maxFiles     = 64
	maxFileBytes = 256 << 10
)

// KeySet holds all keys of a folder. It is immutable and may be used from any goroutine. A nil *KeySet is empty.
type KeySet struct {
	keys   map[KeyID]*Key
	digest [sha256.Size]byte // of the names and contents of all files
}

// ParseSet parses the contents of key files, by file name. If any file is invalid, it returns no set, and the error
// is a diagnostic.List with the faults of all files.
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
			Want:  fmt.Sprintf("must be at most %d keys", maxKeys),
		})
	}
	if err := diagnostics.Err(); err != nil {
		return nil, err
	}
	digest.Sum(set.digest[:0])
	return set, nil
}

// Keys returns all keys, sorted by ID.
func (s *KeySet) Keys() []*Key {
	if s == nil {
		return nil
	}
	byID := func(a, b *Key) int { return cmp.Compare(a.ID, b.ID) }
	return slices.SortedFunc(maps.Values(s.keys), byID)
}

// Find returns the key with an ID, or nil if the set has no such key.
func (s *KeySet) Find(id KeyID) *Key {
	if s == nil {
		return nil
	}
	return s.keys[id]
}

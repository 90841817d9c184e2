package keyring

import (
	"crypto/sha256"
	"maps"
	"slices"
)

// KeySet is all keys of a folder. It never changes.
type KeySet struct {
	keys   map[KeyID]*Key
	digest [sha256.Size]byte
}

// Bounds of a folder: some rotations of some issuers, and far from what would hurt.
const (
	maxKeys      = 256
	maxFiles     = 64
	maxFileBytes = 256 << 10 // of one file
)

// Keys are all keys, by id.
func (s *KeySet) Keys() []*Key {
	if s == nil {
		return nil
	}
	return slices.SortedFunc(maps.Values(s.keys), func(a, b *Key) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
}

// Find gives a key, nil if the set has none of that id.
func (s *KeySet) Find(id KeyID) *Key {
	if s == nil {
		return nil
	}
	return s.keys[id]
}

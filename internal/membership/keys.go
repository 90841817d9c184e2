package membership

import (
	"bytes"
	"slices"
)

// Key is one of the cluster's gossip keys. Members discard the messages of a process that has none of them.
type Key []byte

// KeyRotation holds the steps, in this order, that replace one list of keys with another. The first key of a list is
// the primary key, with which messages are encrypted.
type KeyRotation struct {
	Add     []Key
	Primary Key // nil: unchanged
	Remove  []Key
}

// PlanKeyRotation returns the steps from one list of keys to another. Keys are added first and removed last, so that at
// any time the keyring contains all keys of from or all keys of to, and can decrypt the messages encrypted with them.
func PlanKeyRotation(from, to []Key) (rotation KeyRotation) {
	for _, key := range to {
		if !containsKey(from, key) {
			rotation.Add = append(rotation.Add, key)
		}
	}
	if len(to) > 0 && (len(from) == 0 || !bytes.Equal(from[0], to[0])) {
		rotation.Primary = to[0]
	}
	for _, key := range from {
		if !containsKey(to, key) {
			rotation.Remove = append(rotation.Remove, key)
		}
	}
	return rotation
}

func containsKey(keys []Key, key Key) bool {
	return slices.ContainsFunc(keys, func(candidate Key) bool { return bytes.Equal(candidate, key) })
}

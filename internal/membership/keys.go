package membership

import (
	"bytes"
	"slices"
)

// Key is one of the cluster's gossip keys: a process that has none of them is heard by nobody.
type Key []byte

// KeyRotation is what has to be done, in this order, to replace a list of keys; the first of a list is the primary one,
// which messages are encrypted with.
type KeyRotation struct {
	Add     []Key
	Primary Key // nil: the same as before
	Remove  []Key
}

// PlanKeyRotation gives the way from one list of keys to another. Keys are added first and removed last, so that at no
// moment a message cannot be read that the earlier or the later list could read.
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

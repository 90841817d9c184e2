package membership

import "bytes"

// Key is one of the cluster's: who has none of them is heard by nobody.
type Key []byte

// KeyRotation is what has to be done, in this order, to go by a new list of keys; the first of a list is the one that is written with.
type KeyRotation struct {
	Add     []Key
	Primary Key // nil: the same as before
	Remove  []Key
}

// PlanKeyRotation says how to get from one list to another. What is added comes first and what is dropped last, so that at no moment a
// message can't be read that the list before or the one after could read.
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
	for _, candidate := range keys {
		if bytes.Equal(candidate, key) {
			return true
		}
	}
	return false
}

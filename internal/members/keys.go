package members

import "bytes"

// Key is one of the cluster's: who has none of them is heard by nobody.
type Key []byte

// Turn is what has to be done, in this order, to go by a new list of keys; the first of a list is the one that is written with.
type Turn struct {
	Add  []Key
	Use  Key // nil: the same as before
	Drop []Key
}

// Turned says how to get from one list to another. What is added comes first and what is dropped last, so that at no moment a
// message can't be read that the list before or the one after could read.
func Turned(from, to []Key) (t Turn) {
	for _, k := range to {
		if !has(from, k) {
			t.Add = append(t.Add, k)
		}
	}
	if len(to) > 0 && (len(from) == 0 || !bytes.Equal(from[0], to[0])) {
		t.Use = to[0]
	}
	for _, k := range from {
		if !has(to, k) {
			t.Drop = append(t.Drop, k)
		}
	}
	return t
}

// Overlap tells whether two that go by these lists understand each other: each reads what the other writes.
func Overlap(a, b []Key) bool { return len(a) > 0 && len(b) > 0 && has(a, b[0]) && has(b, a[0]) }

func has(list []Key, k Key) bool {
	for _, x := range list {
		if bytes.Equal(x, k) {
			return true
		}
	}
	return false
}

package boundedmap

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	_ "lanewheel/internal/rapidtest"
)

func TestMap(t *testing.T) {
	var m Map[string, int]
	if _, known := m.Get("a"); known || m.Len() != 0 {
		t.Fatal("the zero value has an entry")
	}
	m.Put("a", 1, 2)
	m.Put("b", 2, 2)
	m.Put("a", 3, 2) // keeps its place as the oldest
	m.Put("c", 4, 2)
	if _, known := m.Get("a"); known {
		t.Error("the oldest entry is still there")
	}
	if value, known := m.Get("c"); !known || value != 4 || m.Len() != 2 {
		t.Errorf("c is %d, known %v, of %d", value, known, m.Len())
	}
	m.Clear()
	if _, known := m.Get("c"); known || m.Len() != 0 {
		t.Error("an entry is left after Clear")
	}
	m.Put("d", 5, 0) // one entry at least
	if value, known := m.Get("d"); !known || value != 5 {
		t.Errorf("d is %d, known %v", value, known)
	}
}

// The map against a list of the keys in the order in which they came.
func TestMapKeepsLatestEntries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 5).Draw(t, "limit")
		var m Map[int, int]
		var keys []int
		for step := range rapid.IntRange(0, 40).Draw(t, "steps") {
			key := rapid.IntRange(0, 8).Draw(t, "key")
			m.Put(key, step, limit)
			if !slices.Contains(keys, key) {
				keys = append(keys, key)
			}
			keys = keys[max(0, len(keys)-limit):]
			if value, known := m.Get(key); !known || value != step {
				t.Fatalf("key %d is %d, known %v, after it was set to %d", key, value, known, step)
			}
		}
		for key := range 9 {
			if _, known := m.Get(key); known != slices.Contains(keys, key) {
				t.Fatalf("key %d known %v, want those of %v", key, known, keys)
			}
		}
	})
}

package boundedmap

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	_ "lanewheel/internal/rapidtest"
)

func TestMap(t *testing.T) {
	var m Map[string, int]
	if _, found := m.Get("a"); found || m.Len() != 0 {
		t.Fatal("the zero value has an entry")
	}
	m.Put("a", 1, 2)
	m.Put("b", 2, 2)
	m.Put("a", 3, 2) // remains the oldest entry
	m.Put("c", 4, 2)
	if _, found := m.Get("a"); found {
		t.Error("the oldest entry has not been evicted")
	}
	if value, found := m.Get("c"); !found || value != 4 || m.Len() != 2 {
		t.Errorf("Get(c) = %d, %v with Len() = %d, want 4, true with Len() = 2", value, found, m.Len())
	}
	m.Clear()
	if _, found := m.Get("c"); found || m.Len() != 0 {
		t.Error("an entry remains after Clear")
	}
	m.Put("d", 5, 0) // the limit is at least one entry
	if value, found := m.Get("d"); !found || value != 5 {
		t.Errorf("Get(d) = %d, %v, want 5, true", value, found)
	}
}

// The map holds the same keys as a model, a list of the keys in the order in which they were added.
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
			if value, found := m.Get(key); !found || value != step {
				t.Fatalf("Get(%d) = %d, %v after Put of %d", key, value, found, step)
			}
		}
		for key := range 9 {
			if _, found := m.Get(key); found != slices.Contains(keys, key) {
				t.Fatalf("key %d found: %v, want only the keys %v", key, found, keys)
			}
		}
	})
}

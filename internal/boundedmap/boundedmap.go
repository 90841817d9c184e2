// Package boundedmap is a map with a bound: an entry beyond it takes the place of the oldest one.
package boundedmap

// Map keeps the latest entries by their keys. The zero value is ready for use. It belongs to one goroutine.
type Map[K comparable, V any] struct {
	entries map[K]V
	order   []K // of entries, the oldest first
}

// Get gives the value of a key, and whether there is one.
func (m *Map[K, V]) Get(key K) (V, bool) {
	value, found := m.entries[key]
	return value, found
}

// Put sets the value of a key. A new key that makes more than limit entries, one at least, evicts the oldest one; a
// known key keeps its place.
func (m *Map[K, V]) Put(key K, value V, limit int) {
	if m.entries == nil {
		m.entries = map[K]V{}
	}
	if _, found := m.entries[key]; !found {
		m.order = append(m.order, key)
		if len(m.order) > max(1, limit) {
			delete(m.entries, m.order[0])
			m.order = m.order[1:]
		}
	}
	m.entries[key] = value
}

// Len is how many entries there are.
func (m *Map[K, V]) Len() int { return len(m.entries) }

// Clear drops all entries.
func (m *Map[K, V]) Clear() {
	clear(m.entries)
	m.order = m.order[:0]
}

// Package boundedmap provides a map with a limited number of entries. A new entry beyond the limit evicts the
// oldest one.
package boundedmap

// Map holds the most recently added entries by their keys. The zero value is ready for use. A Map is not safe for
// concurrent use.
type Map[K comparable, V any] struct {
	entries map[K]V
	order   []K // keys of entries, oldest first
}

// Get returns the value of a key and reports whether the key has an entry.
func (m *Map[K, V]) Get(key K) (V, bool) {
	value, found := m.entries[key]
	return value, found
}

// Put sets the value of a key. If a new key brings the number of entries above limit, the oldest entry is evicted. A
// limit below one is treated as one. Setting an existing key does not change its age.
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

// Len returns the number of entries.
func (m *Map[K, V]) Len() int { return len(m.entries) }

// Clear removes all entries.
func (m *Map[K, V]) Clear() {
	clear(m.entries)
	m.order = m.order[:0]
}

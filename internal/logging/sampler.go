package logging

import "time"

const (
	samplerWindow = time.Second
	// linesPerWindow is the maximum number of lines of one key that are allowed in a window: enough to show which peers
	// are affected and how.
	linesPerWindow = 4
	// maxKeys is the maximum number of keys that are counted in a window. Keys are codes and reasons, some dozens in all.
	maxKeys = 256
)

// Sampler allows a few log lines per second for each key and counts the rest. Lines that occur by the hundred would
// fill the log and take the time of the goroutine that logs them. The zero value is ready for use. Only one goroutine
// may use a Sampler.
type Sampler[K comparable] struct {
	counts      map[K]int // number of lines in this window, by key
	windowStart time.Time // time of the first line in this window
}

// Allow counts a line and reports whether it may be logged.
func (s *Sampler[K]) Allow(key K, now time.Time) bool {
	if s.counts == nil {
		s.counts = map[K]int{}
	}
	if len(s.counts) == 0 {
		s.windowStart = now
	}
	if _, counted := s.counts[key]; !counted && len(s.counts) >= maxKeys {
		return false
	}
	s.counts[key]++
	return s.counts[key] <= linesPerWindow
}

// HasPending reports whether lines have been counted since the last window ended.
func (s *Sampler[K]) HasPending() bool { return len(s.counts) > 0 }

// FlushSuppressed ends the window if its time has expired, and calls report with the number of suppressed lines of each
// key that has any.
func (s *Sampler[K]) FlushSuppressed(now time.Time, report func(key K, suppressed int)) {
	if len(s.counts) == 0 || now.Sub(s.windowStart) <= samplerWindow {
		return
	}
	for key, count := range s.counts {
		if count > linesPerWindow {
			report(key, count-linesPerWindow)
		}
	}
	clear(s.counts)
}

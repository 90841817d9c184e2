package logging

import "time"

const (
	samplerWindow = time.Second
	// linesPerWindow is how many lines of one key are let through in a window: enough to show who and how.
	linesPerWindow = 4
	// maxKeys is how many keys are told apart in a window. Keys are codes and reasons, some dozens in all.
	maxKeys = 256
)

// Sampler lets through a few lines a second of each key, and counts the rest: what comes by the hundred would fill
// the log, and take the time of who logs it. The zero value is ready for use. It belongs to one goroutine.
type Sampler[K comparable] struct {
	counts      map[K]int // of lines in this window
	windowStart time.Time // when the first of them came
}

// Allow counts a line and tells whether it may be logged.
func (s *Sampler[K]) Allow(key K, now time.Time) bool {
	if s.counts == nil {
		s.counts = map[K]int{}
	}
	if len(s.counts) == 0 {
		s.windowStart = now
	}
	if _, known := s.counts[key]; !known && len(s.counts) >= maxKeys {
		return false
	}
	s.counts[key]++
	return s.counts[key] <= linesPerWindow
}

// HasPending tells whether lines were counted since the last window ended.
func (s *Sampler[K]) HasPending() bool { return len(s.counts) > 0 }

// FlushSuppressed ends the window if it is over, and reports how many lines of each key were not let through.
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

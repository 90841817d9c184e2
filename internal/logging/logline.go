// Package logging sets up the program's one log, key=value or JSON lines on standard error, and bounds the lines that
// could come by the hundred.
package logging

import (
	"io"
	"log/slog"
	"time"
)

// setDefault has all of the program log to w: key=value text, or JSON objects if format is "json". Times are in UTC.
func setDefault(w io.Writer, format string) {
	options := &slog.HandlerOptions{ReplaceAttr: func(groups []string, a slog.Attr) slog.Attr {
		if a.Key == slog.TimeKey && len(groups) == 0 {
			a.Value = slog.TimeValue(a.Value.Time().UTC())
		}
		return a
	}}
	var handler slog.Handler = slog.NewTextHandler(w, options)
	if format == "json" {
		handler = slog.NewJSONHandler(w, options)
	}
	slog.SetDefault(slog.New(handler))
}

// linesPerWindow is how many lines a second one kind may leave; a handful shows who and how.
const linesPerWindow = 4

// maxKeys is how many kinds are told apart within a second. Kinds are codes and reasons of ours, some dozens in all.
const maxKeys = 256

// Sampler lets a few lines a second of each kind through and counts the rest. Danger: what comes by the hundred would fill
// the log with its lines, and the core with writing them. It belongs to one goroutine.
type Sampler[K comparable] struct {
	counts      map[K]int
	windowStart time.Time // when this second began
}

// Allow counts one of kind k and tells whether it may leave a line of its own.
func (t *Sampler[K]) Allow(key K, now time.Time) bool {
	if t.counts == nil {
		t.counts = map[K]int{}
	}
	if len(t.counts) == 0 {
		t.windowStart = now
	}
	if _, known := t.counts[key]; !known && len(t.counts) >= maxKeys {
		return false
	}
	t.counts[key]++
	return t.counts[key] <= linesPerWindow
}

// HasPending tells whether something was counted since the last second ended.
func (t *Sampler[K]) HasPending() bool { return len(t.counts) > 0 }

// FlushSuppressed says, once a second, how many more there were of each kind than left lines.
func (t *Sampler[K]) FlushSuppressed(now time.Time, report func(key K, more int)) {
	if len(t.counts) == 0 || now.Sub(t.windowStart) <= time.Second {
		return
	}
	for key, count := range t.counts {
		if count > linesPerWindow {
			report(key, count-linesPerWindow)
		}
	}
	clear(t.counts)
}

// Package logline sets up the program's one log, key=value or JSON lines on standard error, and bounds the lines that
// could come by the hundred.
package logline

import (
	"io"
	"log/slog"
	"time"
)

// Start has all of the program log to w: key=value text, or JSON objects if format is "json". Times are in UTC.
func Start(w io.Writer, format string) {
	how := &slog.HandlerOptions{ReplaceAttr: func(groups []string, a slog.Attr) slog.Attr {
		if a.Key == slog.TimeKey && len(groups) == 0 {
			a.Value = slog.TimeValue(a.Value.Time().UTC())
		}
		return a
	}}
	var to slog.Handler = slog.NewTextHandler(w, how)
	if format == "json" {
		to = slog.NewJSONHandler(w, how)
	}
	slog.SetDefault(slog.New(to))
}

// few is how many lines a second one kind may leave; a handful shows who and how.
const few = 4

// most is how many kinds are told apart within a second. Kinds are codes and reasons of ours, some dozens in all.
const most = 256

// Tally lets a few lines a second of each kind through and counts the rest. Danger: what comes by the hundred would fill
// the log with its lines, and the core with writing them. It belongs to one goroutine.
type Tally[K comparable] struct {
	counts map[K]int
	began  time.Time // when this second began
}

// Line counts one of kind k and tells whether it may leave a line of its own.
func (t *Tally[K]) Line(k K, now time.Time) bool {
	if t.counts == nil {
		t.counts = map[K]int{}
	}
	if len(t.counts) == 0 {
		t.began = now
	}
	if _, known := t.counts[k]; !known && len(t.counts) >= most {
		return false
	}
	t.counts[k]++
	return t.counts[k] <= few
}

// Waits tells whether something was counted since the last second ended.
func (t *Tally[K]) Waits() bool { return len(t.counts) > 0 }

// Rest says, once a second, how many more there were of each kind than left lines.
func (t *Tally[K]) Rest(now time.Time, say func(k K, more int)) {
	if len(t.counts) == 0 || now.Sub(t.began) <= time.Second {
		return
	}
	for k, count := range t.counts {
		if count > few {
			say(k, count-few)
		}
	}
	clear(t.counts)
}

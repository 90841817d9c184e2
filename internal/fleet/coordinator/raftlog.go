package coordinator

import (
	"log/slog"
	"regexp"
	"strings"
	"sync"
	"time"
)

const (
	maxRaftLinesPerSecond = 4
	maxRaftLineBytes      = 300
)

// levelPrefix is what raft's logger puts before a line.
var levelPrefix = regexp.MustCompile(`^\[[A-Z]+\]\s+`)

// raftLogWriter enters raft's lines into our log, and only so many a second: raft repeats itself while a peer is down.
type raftLogWriter struct {
	mu              sync.Mutex
	windowStart     time.Time // guarded by mu
	writtenLines    int       // guarded by mu: lines in the window
	suppressedLines int       // guarded by mu: lines in the window
}

// Write takes one line and never fails.
func (w *raftLogWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if time.Since(w.windowStart) > time.Second {
		if w.suppressedLines > 0 {
			slog.Info("raft lines dropped", "count", w.suppressedLines)
		}
		w.windowStart = time.Now()
		w.writtenLines = 0
		w.suppressedLines = 0
	}
	w.writtenLines++
	if w.writtenLines > maxRaftLinesPerSecond {
		w.suppressedLines++
		return len(line), nil
	}
	text := levelPrefix.ReplaceAllString(strings.TrimSpace(string(line)), "")
	slog.Info("raft", "text", text[:min(len(text), maxRaftLineBytes)])
	return len(line), nil
}

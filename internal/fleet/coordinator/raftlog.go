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

// levelPrefix matches the level that raft's logger writes at the start of a line.
var levelPrefix = regexp.MustCompile(`^\[[A-Z]+\]\s+`)

// raftLogWriter writes raft's log lines to the default logger. It limits them to maxRaftLinesPerSecond, because raft
// repeats its messages while a peer is down.
type raftLogWriter struct {
	mu              sync.Mutex
	windowStart     time.Time // guarded by mu
	receivedLines   int       // guarded by mu: lines in the window, including suppressed ones
	suppressedLines int       // guarded by mu: suppressed lines in the window
}

// Write logs one line, cut to maxRaftLineBytes, or suppresses it if the limit is reached. It never fails.
func (w *raftLogWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if time.Since(w.windowStart) > time.Second {
		if w.suppressedLines > 0 {
			slog.Info("raft log lines suppressed", "count", w.suppressedLines)
		}
		w.windowStart = time.Now()
		w.receivedLines = 0
		w.suppressedLines = 0
	}
	w.receivedLines++
	if w.receivedLines > maxRaftLinesPerSecond {
		w.suppressedLines++
		return len(line), nil
	}
	text := levelPrefix.ReplaceAllString(strings.TrimSpace(string(line)), "")
	slog.Info("raft log line", "text", text[:min(len(text), maxRaftLineBytes)])
	return len(line), nil
}

package coordinator

import (
	"log/slog"
	"regexp"
	"strings"
	"sync"
	"time"
)

// raftLogWriter turns the library's lines into ours, four a second.
type raftLogWriter struct {
	mu          sync.Mutex
	windowStart time.Time
	written     int
	suppressed  int
}

var levelPrefix = regexp.MustCompile(`^\[[A-Z]+\]\s+`)

func (l *raftLogWriter) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if time.Since(l.windowStart) > time.Second {
		if l.suppressed > 0 {
			slog.Info("raft", "more", l.suppressed)
		}
		l.windowStart, l.written, l.suppressed = time.Now(), 0, 0
	}
	if l.written++; l.written > 4 {
		l.suppressed++
		return len(line), nil
	}
	text := levelPrefix.ReplaceAllString(strings.TrimSpace(string(line)), "")
	slog.Info("raft", "text", text[:min(len(text), 300)])
	return len(line), nil
}

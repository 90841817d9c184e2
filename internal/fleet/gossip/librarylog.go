package gossip

import (
	"bytes"
	"log/slog"
	"strings"
	"sync"
	"time"

	"lanewheel/internal/logging"
)

// libraryLog has the library's own log come as lines of ours, few a second of each kind: what a stranger sends must
// not fill it.
type libraryLog struct {
	mu      sync.Mutex
	sampler logging.Sampler[string]
	counts  map[string]uint64
	// former hears the address of a member that called the life before ours. Set before the library writes.
	onPredecessorCaller func(addr string)
}

// fromMarker is how the library's lines end that name a sender.
const fromMarker = " from="

// libraryCodes names the library's words that an operator should know apart.
var libraryCodes = []struct{ text, code string }{
	{"ecrypt", "not-our-key"}, {"No installed keys", "not-our-key"}, {"not encrypted", "not-our-key"}, {"Label", "not-our-cluster"},
	{"label", "not-our-cluster"}, {"Push/Pull", "state-not-exchanged"}, {"push/pull", "state-not-exchanged"}, {"msg type", "bad-message"}, {"compound", "bad-message"},
	{"unexpected node", "old-life"}, {"ecode", "bad-message"}, {"Suspect", "suspects"}, {"Marking", "gives-up"}, {"Refuting", "refutes"}, {"Failed to send", "not-sent"},
}

func (l *libraryLog) Write(line []byte) (int, error) {
	text := string(bytes.TrimSpace(line))
	code := "other"
	for _, c := range libraryCodes {
		if strings.Contains(text, c.text) {
			code = c.code
			break
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts[code]++
	if code == "old-life" { // by a packet from the caller's own address, or a connection from one of the moment, which nobody listens on
		if _, addr, hasAddr := strings.Cut(text, fromMarker); hasAddr && strings.Contains(text, "node '") && checkAddr(addr) == nil {
			l.onPredecessorCaller(addr)
		}
		return len(line), nil
	}
	if strings.Contains(text, "[DEBUG]") {
		return len(line), nil
	}
	now := time.Now()
	l.sampler.FlushSuppressed(now, func(code string, suppressed int) { slog.Info("gossip", "code", code, "more", suppressed) })
	if l.sampler.Allow(code, now) {
		const maxTextBytes = 200 // bytes: the library's lines name an address and a cause
		text = text[:min(len(text), maxTextBytes)]
		slog.Info("gossip", "code", code, "text", strings.ToValidUTF8(text, "?"))
	}
	return len(line), nil
}

func (l *libraryLog) countsByCode() map[string]uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := map[string]uint64{}
	for code, n := range l.counts {
		counts[code] = n
	}
	return counts
}

package gossip

import (
	"bytes"
	"log/slog"
	"maps"
	"strings"
	"sync"
	"time"

	"lanewheel/internal/logging"
)

// libraryEvent is the kind of event that a line of memberlist's log reports.
type libraryEvent struct {
	code    string // value of the attribute "code" in the agent's log
	counter string // name on the status socket, after the prefix "gossip-"
}

var (
	eventWrongKey            = libraryEvent{code: "wrong-key", counter: "not-our-key"}
	eventWrongCluster        = libraryEvent{code: "wrong-cluster", counter: "not-our-cluster"}
	eventStateExchangeFailed = libraryEvent{code: "state-exchange-failed", counter: "state-not-exchanged"}
	eventMalformed           = libraryEvent{code: "malformed", counter: "bad-message"}
	eventOutdatedMember      = libraryEvent{code: "outdated-member", counter: "old-life"}
	eventSuspected           = libraryEvent{code: "suspected", counter: "suspects"}
	eventDeclaredDead        = libraryEvent{code: "declared-dead", counter: "gives-up"}
	eventRefuted             = libraryEvent{code: "refuted", counter: "refutes"}
	eventSendFailed          = libraryEvent{code: "send-failed", counter: "not-sent"}
	eventOther               = libraryEvent{code: "other", counter: "other"}
)

// libraryPatterns maps substrings of memberlist's log lines to events. The first pattern that a line contains
// applies.
var libraryPatterns = []struct {
	substring string
	event     libraryEvent
}{
	{"ecrypt", eventWrongKey},
	{"No installed keys", eventWrongKey},
	{"not encrypted", eventWrongKey},
	{"Label", eventWrongCluster},
	{"label", eventWrongCluster},
	{"Push/Pull", eventStateExchangeFailed},
	{"push/pull", eventStateExchangeFailed},
	{"msg type", eventMalformed},
	{"compound", eventMalformed},
	{"unexpected node", eventOutdatedMember},
	{"ecode", eventMalformed},
	{"Suspect", eventSuspected},
	{"Marking", eventDeclaredDead},
	{"Refuting", eventRefuted},
	{"Failed to send", eventSendFailed},
}

// fromMarker precedes the sender's address, which is at the end of those memberlist lines that contain one.
const fromMarker = " from="

// maxLoggedTextBytes limits the logged part of a line. It leaves room for the address and the cause in memberlist's
// lines.
const maxLoggedTextBytes = 200

// libraryLog counts memberlist's log lines by event and logs a few lines of each code per second, so that messages
// from unknown senders cannot fill the log. Debug lines and lines of eventOutdatedMember are counted but not logged.
// Write is called on memberlist's goroutines.
type libraryLog struct {
	mu      sync.Mutex
	sampler logging.Sampler[string] // by code; guarded by mu
	counts  map[libraryEvent]uint64 // guarded by mu
	// onPredecessorCaller is called, with mu held, with the gossip address of a member that probed this process's
	// predecessor: the process that previously had its name. It never changes.
	onPredecessorCaller func(addr string)
}

func newLibraryLog(onPredecessorCaller func(addr string)) *libraryLog {
	return &libraryLog{counts: map[libraryEvent]uint64{}, onPredecessorCaller: onPredecessorCaller}
}

// Write implements io.Writer for a log.Logger, which writes one line per call.
func (l *libraryLog) Write(line []byte) (int, error) {
	text := string(bytes.TrimSpace(line))
	event := classify(text)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts[event]++
	switch {
	case event == eventOutdatedMember:
		if addr, ok := predecessorCaller(text); ok {
			l.onPredecessorCaller(addr)
		}
	case !strings.Contains(text, "[DEBUG]"):
		l.log(event, text, time.Now())
	}
	return len(line), nil
}

// log logs a line unless the sampler suppresses it. It must be called with mu held.
func (l *libraryLog) log(event libraryEvent, text string, now time.Time) {
	l.sampler.FlushSuppressed(now, func(code string, suppressed int) {
		slog.Info("memberlist messages suppressed", "code", code, "count", suppressed)
	})
	if l.sampler.Allow(event.code, now) {
		text = text[:min(len(text), maxLoggedTextBytes)]
		slog.Info("memberlist message", "code", event.code, "text", strings.ToValidUTF8(text, "?"))
	}
}

func classify(text string) libraryEvent {
	for _, pattern := range libraryPatterns {
		if strings.Contains(text, pattern.substring) {
			return pattern.event
		}
	}
	return eventOther
}

// predecessorCaller returns the gossip address of the member that probed this process's predecessor, if the log line is
// about a packet. Packets are sent from the address on which a member listens, whereas connections come from an
// ephemeral port. memberlist quotes the node's name only in the log line for a packet.
func predecessorCaller(text string) (addr string, ok bool) {
	_, addr, hasAddr := strings.Cut(text, fromMarker)
	if !hasAddr || !strings.Contains(text, "node '") {
		return "", false
	}
	_, _, err := parseAddr(addr)
	return addr, err == nil
}

func (l *libraryLog) countsByEvent() map[libraryEvent]uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.counts)
}

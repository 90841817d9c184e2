package server

import (
	"log/slog"
	"strconv"
	"time"

	"lanewheel/internal/runtimelink"
)

// Prefixes of correlation IDs, which the runtime echoes.
const (
	selfTestPrefix = "test"
	fencePrefix    = "fence"
	gaugesPrefix   = "look"
)

// Backoff between attempts to connect to the runtime.
const (
	minBackoff = 10 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
)

// maxRuntimeLinks is how many links to the runtime there are at most: while it moves, the old one and the new one.
const maxRuntimeLinks = 2

// runtimeLink is the link to the runtime, which outlasts its connections. Owned by the event loop.
type runtimeLink struct {
	server                *Server
	conn                  *runtimelink.Conn // in use; nil while there is none
	attempt               uint64            // number of the last attempt to connect
	dialing               *runtimelink.Conn // by that attempt
	backoff               time.Duration     // before the next attempt
	lastSequence          uint64            // number of the last event read
	lastCorrelationNumber uint64            // number of the last correlation ID

	// synced is set once all events that the runtime sent while there was no link have been read. Commands are sent only
	// then. fenceID correlates the gauges that were requested behind those events.
	synced  bool
	fenceID string
}

func (l *runtimeLink) nextCorrelationID(prefix string) string {
	l.lastCorrelationNumber++
	return prefix + "-" + strconv.FormatUint(l.lastCorrelationNumber, 10)
}

// connect opens a connection to where the runtime is now, and again, after a backoff, when that is refused or lost. One
// that is in use stays so until the new one stands: the old address serves on for a moment after the runtime has moved.
func (l *runtimeLink) connect() {
	l.attempt++
	attempt := l.attempt
	if l.dialing != nil { // its address may never answer
		l.dialing.CancelDial()
	}
	var conn *runtimelink.Conn
	conn = runtimelink.Dial(l.server.net, l.server.config.RuntimeAddr, func(refused error) {
		if refused != nil {
			l.retry(attempt)
			return
		}
		l.onConnected(conn, attempt)
	})
	l.dialing = conn
	conn.OnEvent = func(event runtimelink.Event) {
		if l.conn == conn { // what an old connection still brings comes again on the new one
			l.server.handleEvent(event)
		}
	}
	conn.OnClose = func(string) {
		if l.conn == conn {
			l.conn = nil
			l.synced = false
		}
		l.retry(attempt)
	}
}

// onConnected takes a connection that stands into use, unless a later attempt has overtaken it.
func (l *runtimeLink) onConnected(conn *runtimelink.Conn, attempt uint64) {
	if l.attempt != attempt {
		conn.Close(closeAddressChanged)
		return
	}
	if l.conn != nil {
		l.conn.Close(closeAddressChanged)
	}
	l.conn = conn
	l.synced = false
	conn.Sync(l.lastSequence)
}

// retry connects again after a backoff, unless a later attempt has overtaken this one.
func (l *runtimeLink) retry(attempt uint64) {
	if l.attempt != attempt {
		return
	}
	l.backoff = min(max(2*l.backoff, minBackoff), maxBackoff)
	l.server.ScheduleAt(l.server.Now()+l.backoff, func() {
		if l.attempt == attempt {
			l.connect()
		}
	})
}

// recordSequence records an event's number. It tells whether the event was read before, on an earlier connection.
func (l *runtimeLink) recordSequence(event *runtimelink.Event) bool {
	if event.Sequence == 0 { // it is not numbered
		return false
	}
	if event.Sequence <= l.lastSequence {
		return true
	}
	l.lastSequence = event.Sequence
	return false
}

// handleEvent takes one event of the runtime.
func (s *Server) handleEvent(event runtimelink.Event) {
	if s.runtime.recordSequence(&event) {
		return
	}
	switch event.Kind {
	case runtimelink.EventReady:
		s.handleReady(&event)
	case runtimelink.EventGauges:
		s.handleGauges(&event)
	case runtimelink.EventSelfTest:
		s.selfTests.finish(event.CorrelationID, event.Status == runtimelink.StatusSuccess)
	case runtimelink.EventEnd:
		s.handleEnd(&event)
	case runtimelink.EventCallPoint:
		s.handleCallPoint(&event)
	case runtimelink.EventRefused:
		s.handleRefused(&event)
	case runtimelink.EventInfo:
	default:
		slog.Warn("unknown runtime event", "kind", event.Kind)
	}
}

// handleReady makes the controller when the runtime comes up, and sets a fence behind the events that are replayed.
func (s *Server) handleReady(event *runtimelink.Event) {
	slog.Info("runtime ready", "state", event.Status, "uptime", event.Elapsed)
	// A controller that is made after the notice to drain would know nothing of it, and admit what is cut off soon.
	if s.controller == nil && !s.draining {
		s.controller = s.newController(event.Elapsed, event.Status == runtimelink.StatusBooting)
		s.decisionPending = true
	}
	s.runtime.backoff = 0
	s.runtime.fenceID = s.runtime.nextCorrelationID(fencePrefix)
	s.runtime.conn.RequestGauges(s.runtime.fenceID)
}

// handleGauges takes the gauges. If they are those of the fence, all replayed events have been read, and what has not
// ended by them is sent again; any earlier, a run that has ended meanwhile would be started anew.
func (s *Server) handleGauges(event *runtimelink.Event) {
	s.gauges.update(event.Gauges)
	if event.CorrelationID == s.runtime.fenceID {
		s.runtime.fenceID = ""
		s.runtime.synced = true
		s.resendCommands()
	}
	if event.CorrelationID == s.gauges.requestID {
		s.gauges.deliver()
	}
}

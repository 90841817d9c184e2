package server

import (
	"log/slog"
	"strconv"
	"time"

	"lanewheel/internal/transport"
)

// Kinds of the runtime's events, as transport.Event names them.
const (
	eventReady       = "ready"
	eventGauges      = "load"
	eventSelfTest    = "verdict"
	eventEnd         = "end"
	eventCallPoint   = "wants"
	eventRefused     = "nack"
	eventInformation = "info"
)

// Prefixes of correlation IDs, which the runtime echoes.
const (
	correlateSelfTest = "test"
	correlateFence    = "fence"
	correlateGauges   = "look"
)

// statusBooting is the status of a ready event of a runtime that has just started.
const statusBooting = "booting"

// Backoff between attempts to connect to the runtime.
const (
	minBackoff = 10 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
)

// runtimeLinks is how many links to the runtime there are at most: while it moves, the old one and the new one.
const runtimeLinks = 2

// runtimeLink is the link to the runtime, which outlasts its connections. Owned by the event loop.
type runtimeLink struct {
	server       *Server
	conn         *transport.RuntimeConn // in use; nil while there is none
	attempt      uint64                 // number of the last attempt to connect
	dialing      *transport.RuntimeConn // by that attempt
	backoff      time.Duration          // before the next attempt
	lastSequence uint64                 // number of the last event read
	correlations uint64                 // number of the last correlation ID

	// synced is set once all events that the runtime sent while there was no link have been read. Commands are sent only
	// then. fenceID correlates the gauges that were requested behind those events.
	synced  bool
	fenceID string
}

func (l *runtimeLink) nextCorrelationID(prefix string) string {
	l.correlations++
	return prefix + "-" + strconv.FormatUint(l.correlations, 10)
}

// connect opens a connection to where the runtime is now, and again, after a backoff, when that is refused or lost. One
// that is in use stays so until the new one stands: the old address serves on for a moment after the runtime has moved.
func (l *runtimeLink) connect() {
	l.attempt++
	attempt := l.attempt
	if l.dialing != nil { // its address may never answer
		l.dialing.CancelDial()
	}
	var conn *transport.RuntimeConn
	conn = l.server.net.DialRuntime(l.server.config.RuntimeAddr, func(refused error) {
		if refused != nil {
			l.retry(attempt)
			return
		}
		l.connected(conn, attempt)
	})
	l.dialing = conn
	conn.OnEvent = func(event transport.Event) {
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

// connected takes a connection that stands into use, unless a later attempt has overtaken it.
func (l *runtimeLink) connected(conn *transport.RuntimeConn, attempt uint64) {
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

// seen records an event's number. It tells whether the event was read before, on an earlier connection.
func (l *runtimeLink) seen(event *transport.Event) bool {
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
func (s *Server) handleEvent(event transport.Event) {
	if s.runtime.seen(&event) {
		return
	}
	switch event.Kind {
	case eventReady:
		s.handleReady(&event)
	case eventGauges:
		s.handleGauges(&event)
	case eventSelfTest:
		s.selfTests.finish(event.CorrelationID, event.Status == statusSuccess)
	case eventEnd:
		s.handleEnd(&event)
	case eventCallPoint:
		s.handleCallPoint(&event)
	case eventRefused:
		s.handleRefused(&event)
	case eventInformation:
	default:
		slog.Warn("unknown runtime event", "kind", event.Kind)
	}
}

// handleReady makes the controller when the runtime comes up, and sets a fence behind the events that are replayed.
func (s *Server) handleReady(event *transport.Event) {
	slog.Info("runtime ready", "state", event.Status, "uptime", event.Elapsed)
	// A controller that is made after the notice to drain would know nothing of it, and admit what is cut off soon.
	if s.controller == nil && !s.draining {
		s.controller = s.newController(event.Elapsed, event.Status == statusBooting)
		s.decisionPending = true
	}
	s.runtime.backoff = 0
	s.runtime.fenceID = s.runtime.nextCorrelationID(correlateFence)
	s.runtime.conn.RequestGauges(s.runtime.fenceID)
}

// handleGauges takes the gauges. If they are those of the fence, all replayed events have been read, and what has not
// ended by them is sent again; any earlier, a run that has ended meanwhile would be started anew.
func (s *Server) handleGauges(event *transport.Event) {
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

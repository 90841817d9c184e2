package server

import (
	"log/slog"
	"strconv"
	"time"

	"lanewheel/internal/runtimelink"
)

// Prefixes of correlation IDs. The runtime sends a correlation ID back unchanged.
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

// maxRuntimeLinks is the maximum number of links to the runtime: the old and the new one while its address changes.
const maxRuntimeLinks = 2

// runtimeLink is the link to the runtime. It spans successive connections. Owned by the event loop.
type runtimeLink struct {
	server                *Server
	conn                  *runtimelink.Conn // connection in use; nil while there is none
	attempt               uint64            // number of the last attempt to connect
	dialing               *runtimelink.Conn // connection of the last attempt
	backoff               time.Duration     // before the next attempt
	lastSequence          uint64            // number of the last event read
	lastCorrelationNumber uint64            // number of the last correlation ID

	// synced is set once all events that the runtime sent while there was no link have been read. Commands are sent only
	// while it is set. fenceID is the correlation ID of the gauges request that serves as a fence after those events.
	synced  bool
	fenceID string

	arrivals arrivalProof // for the commands sent on the connection in use
}

func (l *runtimeLink) nextCorrelationID(prefix string) string {
	l.lastCorrelationNumber++
	return prefix + "-" + strconv.FormatUint(l.lastCorrelationNumber, 10)
}

// requestGauges requests gauges with a new correlation ID, which it returns.
func (l *runtimeLink) requestGauges(prefix string) string {
	id := l.nextCorrelationID(prefix)
	l.conn.RequestGauges(id)
	l.arrivals.onGaugesRequested(id, l.server.Now())
	return id
}

// connect dials the runtime's current address. If the connection is refused or lost, it dials again after a backoff. A
// connection in use stays in use until the new one is open, because the old address still works for a moment after the
// runtime has moved.
func (l *runtimeLink) connect() {
	l.attempt++
	attempt := l.attempt
	if l.dialing != nil { // its address may never respond
		l.dialing.CancelDial()
	}
	var conn *runtimelink.Conn
	conn = runtimelink.Dial(l.server.net, l.server.config.RuntimeAddr, func(dialErr error) {
		if dialErr != nil {
			l.retry(attempt)
			return
		}
		l.onConnected(conn, attempt)
	})
	l.dialing = conn
	conn.OnEvent = func(event runtimelink.Event) {
		if l.conn == conn { // events on an old connection are sent again on the new one
			l.server.handleEvent(event)
		}
	}
	conn.OnClose = func(string) {
		if l.conn == conn {
			l.conn = nil
			l.synced = false
			l.server.selfTests.expire()
		}
		l.retry(attempt)
	}
}

// onConnected switches to a connection that has been opened, or closes it if there was a later attempt.
func (l *runtimeLink) onConnected(conn *runtimelink.Conn, attempt uint64) {
	if l.attempt != attempt {
		conn.Close(closeAddressChanged)
		return
	}
	if l.conn != nil {
		l.conn.Close(closeAddressChanged)
	}
	l.server.markLostCommands()
	l.conn = conn
	l.synced = false
	l.server.selfTests.expire()
	l.arrivals = arrivalProof{}
	conn.Sync(l.lastSequence)
}

// retry connects again after a backoff, unless there is a later attempt.
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

// alreadyRead reports whether an event was already read, on an earlier connection. Otherwise it records the number of
// the event, if it has one, as the last one read.
func (l *runtimeLink) alreadyRead(event *runtimelink.Event) bool {
	if event.Sequence == 0 { // the event is not numbered
		return false
	}
	if event.Sequence <= l.lastSequence {
		return true
	}
	l.lastSequence = event.Sequence
	return false
}

// handleEvent handles one event of the runtime. It ignores events that were already read on an earlier connection.
func (s *Server) handleEvent(event runtimelink.Event) {
	if s.runtime.alreadyRead(&event) {
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

// handleReady creates the controller when the runtime becomes ready for the first time. It also requests gauges as a
// fence: the runtime sends them after all replayed events.
func (s *Server) handleReady(event *runtimelink.Event) {
	slog.Info("runtime ready", "state", event.Status, "uptime", event.Elapsed)
	// A controller created after Drain would not know about it and would admit requests that are cut off soon.
	if s.controller == nil && !s.draining {
		s.controller = s.newController(event.Elapsed, event.Status == runtimelink.StatusBooting)
		s.decisionPending = true
	}
	s.runtime.backoff = 0
	s.runtime.fenceID = s.runtime.requestGauges(fencePrefix)
}

// handleGauges handles a gauges event. If it answers the fence request, all replayed events have been read, and
// resendCommands sends what runs that have not ended still need. If that were sent earlier, a run that had ended while
// there was no link would be started again.
func (s *Server) handleGauges(event *runtimelink.Event) {
	s.gauges.update(event.Gauges)
	s.runtime.arrivals.onGauges(event.CorrelationID)
	if event.CorrelationID == s.runtime.fenceID {
		s.runtime.fenceID = ""
		s.runtime.synced = true
		s.resendCommands()
	}
	if event.CorrelationID == s.gauges.requestID {
		s.gauges.deliver()
	}
}

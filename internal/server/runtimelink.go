package server

import (
	"log/slog"
	"strconv"
	"time"

	"lanewheel/admission"
	"lanewheel/internal/transport"
)

// runtimeLink is what is known of the link to the runtime.
type runtimeLink struct {
	conn          *transport.RuntimeConn // in use; nil while there is none
	attempt       uint64                 // the last one to open a link
	dialing       *transport.RuntimeConn // by that one
	synced        bool                   // all notices of the time without a link have been read
	lastSequence  uint64                 // the number of the last notice read
	fenceID       string                 // the mark behind the replayed notices
	correlations  uint64
	backoff       time.Duration
	pendingGauges string // the mark of the gauges that are awaited
	gaugeWaiters  []func(map[string]float64)
	gaugesAt      time.Duration // when the gauges last came
	selfTests     map[string]func(good bool)
}

func (in *Server) nextCorrelationID(kind string) string {
	in.runtime.correlations++
	return kind + "-" + strconv.FormatUint(in.runtime.correlations, 10)
}

// connect opens a link to where the runtime is now, and again a while after that was refused or lost. One that is
// in use stays so until the new one stands: the old address serves on for a moment after the runtime has moved.
func (in *Server) connect() {
	link := &in.runtime
	link.attempt++
	attempt := link.attempt
	retry := func() {
		if link.attempt == attempt { // Danger: what a dial to an old address comes to would count for the new one
			link.backoff = min(max(2*link.backoff, 10*time.Millisecond), 500*time.Millisecond)
			in.ScheduleAt(in.Now()+link.backoff, func() {
				if link.attempt == attempt {
					in.connect()
				}
			})
		}
	}
	if link.dialing != nil { // the address that it goes to may swallow it
		link.dialing.CancelDial()
	}
	var conn *transport.RuntimeConn
	conn = in.net.DialRuntime(in.config.RuntimeAddr, func(refused error) {
		if refused != nil {
			retry()
			return
		}
		if link.attempt != attempt {
			conn.Close("moved")
			return
		}
		if link.conn != nil {
			link.conn.Close("moved")
		}
		link.conn, link.synced = conn, false
		conn.Sync(link.lastSequence)
	})
	link.dialing = conn
	conn.OnEvent = func(event transport.Event) {
		if link.conn == conn { // what an old link still brings comes again on the new one
			in.handleEvent(event)
		}
	}
	conn.OnClose = func(string) {
		if link.conn == conn {
			link.conn, link.synced = nil, false
		}
		retry()
	}
}

// handleEvent takes one line of the runtime.
func (in *Server) handleEvent(event transport.Event) {
	link := &in.runtime
	if event.Sequence > 0 {
		if event.Sequence <= link.lastSequence {
			return // read on an earlier link
		}
		link.lastSequence = event.Sequence
	}
	switch event.Kind {
	case "ready":
		in.handleReady(event)
	case "load":
		in.handleGauges(event)
	case "verdict":
		if done := link.selfTests[event.CorrelationID]; done != nil {
			done(event.Status == "success")
		}
	case "end":
		in.handleEnd(event)
	case "wants":
		if active := in.requests[admission.RequestID(event.RequestID)]; active != nil && active.run != nil {
			run := active.run
			in.database.cancel(run.call)
			run.confirmed, run.callSequence, run.callReply, run.skippedCall, run.call = true, event.Sequence, nil, 0, nil
			run.callBody = append(run.callBody[:0], event.Body...)
			in.decisionPending = true
			run.onCall()
		}
	case "nack":
		in.handleRefused(event)
	case "info":
	default:
		slog.Warn("unknown-notice", "kind", event.Kind)
	}
}

// handleReady opens the module when the runtime comes up, and sets the fence on each link.
func (in *Server) handleReady(event transport.Event) {
	slog.Info("ready", "state", event.Status, "runtime_up_ms", event.Elapsed.Milliseconds())
	// Danger: a module that opens behind the notice to leave knows nothing of it, and lets in what is cut off a moment later.
	if in.controller == nil && !in.draining {
		in.config.Settings["just started"] = event.Status == "booting"
		in.clockOffset = event.Elapsed // the age that a cold instance has counts from its runtime's start
		in.controller = admission.New(in.config.Seed, in.config.Settings, in)
		in.clockOffset = 0
		in.decisionPending = true
	}
	in.runtime.backoff = 0
	in.runtime.fenceID = in.nextCorrelationID("fence")
	in.runtime.conn.RequestGauges(in.runtime.fenceID)
}

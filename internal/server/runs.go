package server

import (
	"log/slog"
	"maps"
	"slices"
	"strconv"
	"time"

	"lanewheel/admission"
	"lanewheel/internal/frontend"
	"lanewheel/internal/transport"
)

// run is an op's run, from its start until its end is read. It says what is to be sent anew on a new link.
type run struct {
	onCall        func()
	onEnd         func(admission.Outcome, time.Duration)
	confirmed     bool          // the runtime is known to have got the start
	stopRequested bool          // it was asked to stop
	callSequence  uint64        // the notice by which it stands at a call, 0 when it does not
	callBody      []byte        // that call's body
	callReply     []byte        // the reply given to it, until the run is heard of again
	skippedCall   uint64        // the notice whose call was left out
	call          *databaseCall // under way
}

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
	gaugeWaiters  []func(admission.Gauges)
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
		in.config.Settings.JustStarted = event.Status == "booting"
		in.clockOffset = event.Elapsed // the age that a cold instance has counts from its runtime's start
		in.controller = admission.New(in.config.Seed, in.config.Settings, in)
		in.clockOffset = 0
		in.decisionPending = true
	}
	in.runtime.backoff = 0
	in.runtime.fenceID = in.nextCorrelationID("fence")
	in.runtime.conn.RequestGauges(in.runtime.fenceID)
}

// handleGauges takes the gauges. Danger: starting anew what has ended in the time without a link. The fence comes
// behind all replayed notices, and only then what is still open is sent again.
func (in *Server) handleGauges(event transport.Event) {
	link := &in.runtime
	in.gauges, link.gaugesAt = admission.Gauges{}, in.Now()
	for i, name := range in.config.GaugeNames {
		if i < len(event.Gauges) {
			in.gauges[name] = event.Gauges[i]
		}
	}
	if event.CorrelationID == link.fenceID {
		link.fenceID, link.synced = "", true
		in.resend()
	}
	if event.CorrelationID == link.pendingGauges {
		in.deliverGauges()
	}
}

func (in *Server) resend() {
	for _, id := range slices.Sorted(maps.Keys(in.requests)) {
		active := in.requests[id]
		run := active.run
		if run == nil {
			continue
		}
		if !run.confirmed {
			in.runtime.conn.Start(id, active.class, active.body)
		}
		if run.stopRequested {
			in.runtime.conn.Stop(id)
		}
		if run.callReply != nil {
			in.runtime.conn.SendCallReply(id, run.callReply)
		}
		if run.skippedCall != 0 {
			in.runtime.conn.SkipCall(id, run.skippedCall)
		}
	}
}

// requestGauges asks for the gauges, once for all who want them now, and goes on without them if they take long.
func (in *Server) requestGauges(then func(admission.Gauges)) {
	link := &in.runtime
	link.gaugeWaiters = append(link.gaugeWaiters, then)
	if !link.synced {
		in.deliverGauges()
		return
	}
	if link.pendingGauges != "" {
		return
	}
	link.pendingGauges = in.nextCorrelationID("look")
	link.conn.RequestGauges(link.pendingGauges)
	correlationID := link.pendingGauges
	// Some round trips on one machine; the last known are a look old, which is worse than none of them.
	in.ScheduleAt(in.Now()+5*time.Millisecond, func() {
		if link.pendingGauges == correlationID {
			in.deliverGauges()
		}
	})
}

func (in *Server) deliverGauges() {
	link := &in.runtime
	link.pendingGauges = ""
	waiters := link.gaugeWaiters
	link.gaugeWaiters = nil
	gauges := in.gauges
	// Danger: what was true before a link was lost is believed for as long as there is none. Past some looks of the
	// module it hears that nothing is known.
	if in.Now()-link.gaugesAt > 300*time.Millisecond {
		gauges = nil
	}
	for _, then := range waiters {
		in.decisionPending = true
		then(gauges)
	}
}

var runOutcomes = map[string]admission.Outcome{
	"success": admission.Succeeded, "failure": admission.Failed, "interrupted": admission.Stopped, "nothing": admission.NotStarted,
}

// handleEnd takes the end of a run. One that went well or failed answers its op.
func (in *Server) handleEnd(event transport.Event) {
	active := in.requests[admission.RequestID(event.RequestID)]
	if active == nil || active.run == nil {
		return
	}
	outcome, known := runOutcomes[event.Status]
	if !known {
		slog.Warn("unknown-end", "status", event.Status)
		outcome = admission.Failed
	}
	run := active.run
	in.database.cancel(run.call)
	active.run = nil
	in.running--
	switch outcome {
	case admission.Succeeded:
		in.idempotency.finish(in, active, event.Body)
		in.recordOutcome(active, true)
		in.respond(active, func(responder frontend.Responder) { responder.Succeed(event.Body, in.metadata()) })
	case admission.Failed:
		in.recordOutcome(active, false)
		in.respond(active, func(responder frontend.Responder) { responder.Fail(in.metadata()) })
	}
	in.decisionPending = true
	run.onEnd(outcome, event.Elapsed)
	if outcome == admission.NotStarted { // nothing ran here, so an answer that is owed all the same can only be this
		in.respond(active, func(responder frontend.Responder) { responder.Fail(in.metadata()) })
	}
	in.forget(active)
}

// handleRefused hears that a command was not carried out. A start that was not ends its op, and its front hears that the id, type
// or body is that of no op. Danger: the module would take it for a run that failed.
func (in *Server) handleRefused(event transport.Event) {
	active := in.requests[admission.RequestID(event.RequestID)]
	if active == nil || active.run == nil || active.run.confirmed || event.Status != "start" {
		slog.Warn("command-refused", "command", event.Status, "op", event.RequestID)
		return
	}
	in.respond(active, func(responder frontend.Responder) { responder.RejectPermanently("unknown-op", in.metadata()) })
	in.handleEnd(transport.Event{Kind: "end", RequestID: event.RequestID, Status: "nothing"})
}

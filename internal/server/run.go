package server

import (
	"log/slog"
	"maps"
	"slices"
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

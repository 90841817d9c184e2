package server

import (
	"log/slog"
	"time"

	"lanewheel/admission"
	"lanewheel/internal/frontend"
)

// The rest is choice.Port.

// Now is the module's time. While the module opens, it is as much earlier as the runtime is older than we are.
func (in *Server) Now() time.Duration { return in.Loop.Now() - in.clockOffset }

func (in *Server) Start(id admission.RequestID, onCall func(), onEnd func(admission.Outcome, time.Duration)) {
	if active := in.requests[id]; active != nil {
		active.run, active.started = &run{onCall: onCall, onEnd: onEnd}, true
		in.running++
		if in.runtime.synced {
			in.runtime.conn.Start(id, active.class, active.body)
		}
	}
}

func (in *Server) Stop(id admission.RequestID) {
	if active := in.requests[id]; active != nil && active.run != nil {
		active.run.stopRequested = true
		if in.runtime.synced {
			in.runtime.conn.Stop(id)
		}
	}
}

func (in *Server) Reject(id admission.RequestID, retryAfter time.Duration, noFailover bool) {
	if active := in.requests[id]; active != nil {
		if in.spillover != nil && !noFailover && in.spill(active) {
			return
		}
		in.recordOutcome(active, false)
		metadata := in.metadata()
		metadata.RetryAfter, metadata.NoFailover = retryAfter, noFailover
		in.respond(active, func(responder frontend.Responder) { responder.Reject(metadata) })
		in.forget(active)
	}
}

func (in *Server) Fail(id admission.RequestID) {
	if active := in.requests[id]; active != nil {
		in.recordOutcome(active, false)
		in.respond(active, func(responder frontend.Responder) { responder.Fail(in.metadata()) })
		in.forget(active)
	}
}

func (in *Server) Call(id admission.RequestID, deadline time.Duration, done func(admission.Outcome, time.Duration)) {
	if active := in.requests[id]; active != nil && active.run != nil && active.run.callSequence != 0 {
		in.database.start(in, active, deadline, done)
	}
}

func (in *Server) SkipCall(id admission.RequestID) {
	if active := in.requests[id]; active != nil && active.run != nil && active.run.callSequence != 0 {
		active.run.skippedCall = active.run.callSequence
		if in.runtime.synced {
			in.runtime.conn.SkipCall(id, active.run.skippedCall)
		}
	}
}

func (in *Server) Coalesce(id admission.RequestID, onEnd func(admission.Outcome, time.Duration)) {
	if active := in.requests[id]; active != nil {
		active.onCoalesced, active.coalescedAt = onEnd, in.Now()
		in.idempotency.coalesce(in, active)
	}
}

func (in *Server) KeepRecord(id admission.RequestID, window time.Duration) {
	if active := in.requests[id]; active != nil {
		in.idempotency.store(in, active, window)
	}
}

func (in *Server) DropRecord(id admission.RequestID) {
	if active := in.requests[id]; active != nil {
		in.idempotency.forget(active.record)
	}
}

func (in *Server) SetHealth(healthy, fromState bool) {
	in.health.healthy, in.health.fromState = healthy, fromState
}

func (in *Server) PublishLoad(level float64) { in.loadReport = level }

func (in *Server) SetIdleTimeout(timeout time.Duration) { in.clients.SetIdleTimeout(timeout) }

func (in *Server) LogTransition(line string) { slog.Info("note", "text", line) }

func (in *Server) WakeAt(at time.Duration, then func(map[string]float64)) {
	in.ScheduleAt(at, func() {
		in.decisionPending = true // what is due is answered in this batch, whatever becomes of the gauges
		in.requestGauges(then)
	})
}

package server

import (
	"log/slog"
	"time"

	"lanewheel/admission"
)

// executor carries out what the admission controller decides: an admission.Executor. Owned by the event loop, like the
// controller, which alone calls it.
type executor struct {
	server *Server
	// clockOffset is how much earlier the controller's time is than the loop's. It is the runtime's uptime while the
	// controller is made, as an instance warms up from its runtime's start, and 0 from then on.
	clockOffset time.Duration
}

// newController makes the controller, for a runtime that has been up for so long; justStarted has the instance warm up.
func (s *Server) newController(runtimeUptime time.Duration, justStarted bool) *admission.Controller {
	settings := s.config.Settings
	settings.JustStarted = justStarted
	executor := &executor{server: s, clockOffset: runtimeUptime}
	controller := admission.New(s.config.Seed, settings, executor)
	executor.clockOffset = 0
	return controller
}

// Now is the time since the loop's start.
func (e *executor) Now() time.Duration { return e.server.Now() - e.clockOffset }

// Start starts a run of a queued request. A runtime that can't be reached hears of it when it is.
func (e *executor) Start(id admission.RequestID, onCall func(), onEnd func(admission.Outcome, time.Duration)) {
	s := e.server
	active := s.requests.get(id)
	if active == nil {
		return
	}
	active.run = &run{onCall: onCall, onEnd: onEnd}
	active.started = true
	s.requests.running++
	if s.runtime.synced {
		s.runtime.conn.Start(id, active.class, active.body)
	}
}

// Stop has the runtime stop a run.
func (e *executor) Stop(id admission.RequestID) {
	s := e.server
	active := s.requests.getRunning(id)
	if active == nil {
		return
	}
	active.run.stopRequested = true
	if s.runtime.synced {
		s.runtime.conn.Stop(id)
	}
}

// Reject rejects a request, unless it is forwarded to another instance.
func (e *executor) Reject(id admission.RequestID, retryAfter time.Duration, noFailover bool) {
	s := e.server
	active := s.requests.get(id)
	if active == nil {
		return
	}
	if s.spillover != nil && !noFailover && s.spill(active) {
		return
	}
	s.recordOutcome(active, false)
	metadata := s.ResponseMetadata()
	metadata.RetryAfter = retryAfter
	metadata.NoFailover = noFailover
	s.reject(active, metadata)
	s.removeIfFinished(active)
}

// Fail answers a request with an error.
func (e *executor) Fail(id admission.RequestID) {
	s := e.server
	if active := s.requests.get(id); active != nil {
		s.recordOutcome(active, false)
		s.fail(active)
		s.removeIfFinished(active)
	}
}

// Call makes the upstream call that a run waits at.
func (e *executor) Call(id admission.RequestID, deadline time.Duration, done func(admission.Outcome, time.Duration)) {
	active := e.server.requests.getRunning(id)
	if active != nil && active.run.callPoint.reached() {
		e.server.database.start(active, deadline, done)
	}
}

// SkipCall has a run go on without the upstream call that it waits at.
func (e *executor) SkipCall(id admission.RequestID) {
	s := e.server
	active := s.requests.getRunning(id)
	if active == nil || !active.run.callPoint.reached() {
		return
	}
	point := &active.run.callPoint
	point.skipped = point.sequence
	if s.runtime.synced {
		s.runtime.conn.SkipCall(id, point.skipped)
	}
}

// Coalesce has a request wait for the result of the one that it duplicates.
func (e *executor) Coalesce(id admission.RequestID, onEnd func(admission.Outcome, time.Duration)) {
	if active := e.server.requests.get(id); active != nil {
		active.coalesced = &coalescedWait{onEnd: onEnd, since: e.Now()}
		e.server.idempotency.coalesce(active)
	}
}

// KeepRecord keeps an idempotency record of a request, for so long.
func (e *executor) KeepRecord(id admission.RequestID, window time.Duration) {
	if active := e.server.requests.get(id); active != nil {
		e.server.idempotency.store(active, window)
	}
}

// DropRecord drops the idempotency record of a request.
func (e *executor) DropRecord(id admission.RequestID) {
	if active := e.server.requests.get(id); active != nil {
		e.server.idempotency.remove(active.record)
	}
}

// SetHealth sets how health checks are answered.
func (e *executor) SetHealth(health admission.Health) { e.server.health = health }

// PublishLoad sets the load report that is part of every response.
func (e *executor) PublishLoad(level float64) { e.server.loadReport = level }

// SetIdleTimeout sets how long an unused client connection may stay.
func (e *executor) SetIdleTimeout(timeout time.Duration) { e.server.clients.SetIdleTimeout(timeout) }

// LogTransition logs a change of the controller's state.
func (e *executor) LogTransition(change admission.Transition) {
	slog.Info("state changed",
		"from", change.From.String(), "to", change.To.String(), "queued", change.Queued, "running", change.Running)
}

// WakeAt has the controller called at a time, with the gauges of the runtime.
func (e *executor) WakeAt(at time.Duration, callback func(admission.Gauges)) {
	s := e.server
	s.ScheduleAt(at, func() {
		s.decisionPending = true // what is due is decided in this batch, whether or not the gauges come
		s.gauges.request(callback)
	})
}

package server

import (
	"log/slog"
	"time"

	"lanewheel/admission"
)

// executor carries out the decisions of the admission controller. It implements admission.Executor. Owned by the event
// loop, like the controller, which is its only caller.
type executor struct {
	server *Server
	// clockOffset is subtracted from the loop's time to get the controller's time. While the controller is created, it
	// is the runtime's uptime, so that the controller takes the start of the runtime as the start of the warm-up.
	// Afterwards it is 0.
	clockOffset time.Duration
}

// newController returns a controller for a runtime that has been up for runtimeUptime. The instance warms up if
// justStarted is set.
func (s *Server) newController(runtimeUptime time.Duration, justStarted bool) *admission.Controller {
	settings := s.config.Settings
	settings.JustStarted = justStarted
	executor := &executor{server: s, clockOffset: runtimeUptime}
	controller := admission.New(s.config.Seed, settings, executor)
	executor.clockOffset = 0
	return controller
}

// Now returns the controller's time: the time since the start of the loop, minus clockOffset.
func (e *executor) Now() time.Duration { return e.server.Now() - e.clockOffset }

// Start starts a run of a queued request. If there is no link to the runtime, the command is sent once there is one.
func (e *executor) Start(id admission.RequestID, onCall func(), onEnd func(admission.Outcome, time.Duration)) {
	s := e.server
	active := s.requests.get(id)
	if active == nil {
		return
	}
	active.run = &run{onCall: onCall, onEnd: onEnd}
	active.started = true
	s.rememberStarted(active)
	s.requests.running++
	if s.runtime.synced {
		s.sendStart(active)
	}
}

// Stop commands the runtime to stop a run.
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

// Reject rejects a request, or forwards it to another instance if spillover is enabled and noFailover is not set.
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

// Fail responds that a request failed.
func (e *executor) Fail(id admission.RequestID) {
	s := e.server
	if active := s.requests.get(id); active != nil {
		s.recordOutcome(active, false)
		s.fail(active)
		s.removeIfFinished(active)
	}
}

// Call makes the upstream call that a run waits for.
func (e *executor) Call(id admission.RequestID, deadline time.Duration, done func(admission.Outcome, time.Duration)) {
	active := e.server.requests.getRunning(id)
	if active != nil && active.run.callPoint.reached() {
		e.server.database.start(active, deadline, done)
	}
}

// SkipCall lets a run continue without the upstream call that it waits for.
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

// Coalesce makes a request wait for the result of the request that it duplicates.
func (e *executor) Coalesce(id admission.RequestID, onEnd func(admission.Outcome, time.Duration)) {
	if active := e.server.requests.get(id); active != nil {
		active.coalesced = &coalescedWait{onEnd: onEnd, since: e.Now()}
		e.server.idempotency.coalesce(active)
	}
}

// KeepRecord keeps the idempotency record of a request for the given window, starting now.
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

// SetHealth sets the response to health checks.
func (e *executor) SetHealth(health admission.Health) { e.server.health = health }

// PublishLoad sets the load report that every response carries.
func (e *executor) PublishLoad(level float64) { e.server.loadReport = level }

// SetIdleTimeout sets the time after which an unused client connection is closed.
func (e *executor) SetIdleTimeout(timeout time.Duration) { e.server.clients.SetIdleTimeout(timeout) }

// LogTransition logs a change of the controller's state.
func (e *executor) LogTransition(change admission.Transition) {
	slog.Info("state changed",
		"from", change.From.String(), "to", change.To.String(), "queued", change.Queued, "running", change.Running)
}

// WakeAt calls callback with the runtime's gauges at the given time, or soon after it. at is the time since the start
// of the loop.
func (e *executor) WakeAt(at time.Duration, callback func(admission.Gauges)) {
	s := e.server
	s.ScheduleAt(at, func() {
		s.decisionPending = true // due decisions are made in this batch of events, even if the gauges arrive later
		s.gauges.request(callback)
	})
}

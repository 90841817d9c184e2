package server

import (
	"log/slog"
	"maps"
	"slices"
	"time"

	"lanewheel/admission"
	"lanewheel/internal/frontend"
	"lanewheel/internal/runtimelink"
)

// run is the run of a request, from its start until its end is read. It keeps what is to be sent anew on a new link to
// the runtime. Owned by the event loop.
type run struct {
	onCall        func() // the controller's: the run waits at an upstream call
	onEnd         func(admission.Outcome, time.Duration)
	confirmed     bool // an event of the run proved that its start arrived
	stopRequested bool
	callPoint     callPoint
	call          *databaseCall // nil while none is under way
}

// callPoint is the upstream call that a run has come to last, and how it was released from there.
type callPoint struct {
	sequence uint64 // of the event by which the run waits; 0 while it does not
	body     []byte // of the call
	reply    []byte // given to the run; nil if none was
	skipped  uint64 // the event whose call was skipped; 0 if none was
}

// reached tells whether the run waits at an upstream call.
func (p *callPoint) reached() bool { return p.sequence != 0 }

// reach replaces the last call of the run by the next one.
func (p *callPoint) reach(sequence uint64, body []byte) {
	*p = callPoint{sequence: sequence, body: append(p.body[:0], body...)}
}

// runOutcome translates the status of an end event. One that is not known counts as a failure.
func runOutcome(status runtimelink.Status) admission.Outcome {
	switch status {
	case runtimelink.StatusSuccess:
		return admission.Succeeded
	case runtimelink.StatusFailure:
		return admission.Failed
	case runtimelink.StatusInterrupted:
		return admission.Stopped
	case runtimelink.StatusNotStarted:
		return admission.NotStarted
	}
	slog.Warn("unknown run status", "status", status)
	return admission.Failed
}

// handleCallPoint hears that a run waits at an upstream call.
func (s *Server) handleCallPoint(event *runtimelink.Event) {
	active := s.requests.getRunning(admission.RequestID(event.RequestID))
	if active == nil {
		return
	}
	run := active.run
	s.database.cancel(run.call)
	run.call = nil
	run.confirmed = true
	run.callPoint.reach(event.Sequence, event.Body)
	s.decisionPending = true
	run.onCall()
}

// handleEnd hears of the end of a run.
func (s *Server) handleEnd(event *runtimelink.Event) {
	if active := s.requests.getRunning(admission.RequestID(event.RequestID)); active != nil {
		s.endRun(active, runOutcome(event.Status), event.Elapsed, event.Body)
	}
}

// endRun ends a run. One that succeeded or failed answers its request.
func (s *Server) endRun(active *activeRequest, outcome admission.Outcome, elapsed time.Duration, result []byte) {
	run := active.run
	s.database.cancel(run.call)
	active.run = nil
	s.requests.running--
	switch outcome {
	case admission.Succeeded:
		s.idempotency.finish(active, result)
		s.recordOutcome(active, true)
		s.succeed(active, result)
	case admission.Failed:
		s.recordOutcome(active, false)
		s.fail(active)
	}
	s.decisionPending = true
	run.onEnd(outcome, elapsed)
	if outcome == admission.NotStarted { // nothing ran, so if the controller left a response owed it can only be this one
		s.fail(active)
	}
	s.removeIfFinished(active)
}

// handleRefused hears that the runtime did not carry out a command. A refused start ends its request: its class or body
// is none that the runtime knows. The controller must not take that for a run that failed.
func (s *Server) handleRefused(event *runtimelink.Event) {
	active := s.requests.getRunning(admission.RequestID(event.RequestID))
	if active == nil || active.run.confirmed || event.Status != runtimelink.StatusStart {
		slog.Warn("runtime refused command", "command", event.Status, "request", event.RequestID)
		return
	}
	s.rejectPermanently(active, frontend.UnknownRequest, s.ResponseMetadata())
	s.endRun(active, admission.NotStarted, 0, nil)
}

// resendCommands sends a new link all that the runtime may not have received on an earlier one.
func (s *Server) resendCommands() {
	conn := s.runtime.conn
	for _, id := range slices.Sorted(maps.Keys(s.requests.byID)) {
		active := s.requests.getRunning(id)
		if active == nil {
			continue
		}
		if !active.run.confirmed {
			conn.Start(id, active.class, active.body)
		}
		if active.run.stopRequested {
			conn.Stop(id)
		}
		point := &active.run.callPoint
		if point.reply != nil {
			conn.SendCallReply(id, point.reply)
		}
		if point.skipped != 0 {
			conn.SkipCall(id, point.skipped)
		}
	}
}

package server

import (
	"log/slog"
	"time"

	"lanewheel/admission"
	"lanewheel/internal/frontend"
	"lanewheel/internal/runtimelink"
)

// run is the run of a request, from its start until its end event is read. It keeps the commands that are sent again
// on a new link to the runtime. Owned by the event loop.
type run struct {
	onCall        func() // callback of the controller, called when the run waits for an upstream call
	onEnd         func(admission.Outcome, time.Duration)
	start         command
	stopRequested bool
	callPoint     callPoint
	call          *databaseCall // nil while there is no call in progress
}

// callPoint is the last upstream call that a run has reached, and how the run was allowed to continue.
type callPoint struct {
	sequence  uint64  // sequence number of the event that reported the call; 0 before the first call
	body      []byte  // body of the call
	reply     []byte  // reply to the call; nil if there is none
	sendReply command // passes the reply to the run
	repeated  bool    // the call is made again, because it is not known whether the run has got the reply
	skipped   uint64  // sequence number of the event whose call was skipped; 0 if no call was skipped
}

// reached reports whether the run has reached an upstream call and has no reply to it. A skipped call counts, too,
// until the run reaches the next one.
func (p *callPoint) reached() bool { return p.sequence != 0 && p.reply == nil }

// reach replaces the last call of the run with the next one.
func (p *callPoint) reach(sequence uint64, body []byte) {
	*p = callPoint{sequence: sequence, body: append(p.body[:0], body...)}
}

// runOutcome converts the status of an end event. An unknown status counts as a failure.
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

// handleCallPoint handles the event that a run waits for an upstream call.
func (s *Server) handleCallPoint(event *runtimelink.Event) {
	active := s.requests.getRunning(admission.RequestID(event.RequestID))
	if active == nil {
		return
	}
	run := active.run
	s.database.cancel(run.call)
	run.call = nil
	run.start.state = commandArrived
	run.callPoint.reach(event.Sequence, event.Body)
	s.decisionPending = true
	run.onCall()
}

// handleEnd handles the event that a run has ended.
func (s *Server) handleEnd(event *runtimelink.Event) {
	if active := s.requests.getRunning(admission.RequestID(event.RequestID)); active != nil {
		s.endRun(active, runOutcome(event.Status), event.Elapsed, event.Body)
	}
}

// endRun ends a run and answers its request, unless the run was stopped or the request has been answered.
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
	if outcome == admission.NotStarted { // nothing ran: the request fails unless the controller has answered it
		s.fail(active)
	}
	s.removeIfFinished(active)
}

// handleRefused handles the event that the runtime refused a command. If it refused a start, it does not know the class
// or body of the request, so the request is rejected permanently. The run ends as not started, because the controller
// must not count it as a failed run.
func (s *Server) handleRefused(event *runtimelink.Event) {
	active := s.requests.getRunning(admission.RequestID(event.RequestID))
	if active == nil || active.run.start.state == commandArrived || event.Status != runtimelink.StatusStart {
		slog.Warn("runtime refused command", "command", event.Status, "request", event.RequestID)
		return
	}
	s.rejectPermanently(active, frontend.UnknownRequest, s.ResponseMetadata())
	s.endRun(active, admission.NotStarted, 0, nil)
}

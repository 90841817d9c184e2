package server

import (
	"log/slog"
	"maps"
	"slices"
	"time"

	"lanewheel/admission"
)

// requestOverDelay is the time after which the runtime knows that a request has been answered or canceled. From then
// on it answers a start with StatusNotStarted.
const requestOverDelay = time.Second

// sendStart sends the start command of a run on the current link, which must be synced.
func (s *Server) sendStart(active *activeRequest) {
	s.runtime.conn.Start(active.id, active.class, active.body)
	active.run.start.onSent(s.Now())
}

// sendReply passes the reply to a call to the run that waits for it, on the current link, which must be synced.
func (s *Server) sendReply(active *activeRequest) {
	point := &active.run.callPoint
	s.runtime.conn.SendCallReply(active.id, point.reply)
	point.sendReply.onSent(s.Now())
}

// markLostCommands records, when the link in use has ended or is replaced, which commands may have been lost with it.
func (s *Server) markLostCommands() {
	arrivedUntil := s.runtime.arrivals.arrivedUntil
	for _, active := range s.requests.byID {
		if active.run != nil {
			active.run.start.onLinkLost(arrivedUntil)
			active.run.callPoint.sendReply.onLinkLost(arrivedUntil)
		}
	}
}

// resendCommands sends on a new link the commands that may have been lost on an earlier link, as far as repeating them
// does no harm. All events from before the fence have been read.
func (s *Server) resendCommands() {
	uncertain := 0
	for _, id := range slices.Sorted(maps.Keys(s.requests.byID)) {
		active := s.requests.getRunning(id)
		if active == nil {
			continue
		}
		s.resendStart(active)
		if active.run.stopRequested {
			s.runtime.conn.Stop(id)
		}
		if skipped := active.run.callPoint.skipped; skipped != 0 {
			s.runtime.conn.SkipCall(id, skipped)
		}
		s.resendReply(active)
		if active.run.hasUncertainCommand() {
			uncertain++
		}
	}
	if uncertain > 0 {
		slog.Info("commands not repeated on new runtime link", "requests", uncertain)
	}
}

// hasUncertainCommand reports whether a command that may have been lost is not repeated.
func (r *run) hasUncertainCommand() bool {
	return r.start.state == commandUncertain || r.callPoint.sendReply.state == commandUncertain
}

// mayRunAgain reports whether a request may run any number of times.
func (s *Server) mayRunAgain(active *activeRequest) bool {
	return s.settings.classes[active.class].idempotency == admission.Idempotent
}

// resendStart sends the start of a run unless it has arrived. If an earlier link has carried it, the run may have ended
// since the runtime answered the fence, with an end event that is still on its way. The start would then run the
// request a second time, so it is not repeated unless the request may run any number of times. A run that did start is
// confirmed by its next event; a request whose start was lost is answered at its deadline.
func (s *Server) resendStart(active *activeRequest) {
	switch state := active.run.start.state; {
	case state == commandUnsent, state == commandUncertain && s.mayRunAgain(active):
		s.sendStart(active)
	case state == commandUncertain:
		s.resolveUncertainStart(active)
	}
}

// resolveUncertainStart sends the start of a run again once its request is over, to find out whether the run exists.
// The runtime then ignores it if the request runs, and otherwise answers that nothing was started. Without that answer,
// the controller would count the run forever. It does nothing while the request waits for its response.
func (s *Server) resolveUncertainStart(active *activeRequest) {
	run := active.run
	if run == nil || run.start.state != commandUncertain || active.responder != nil {
		return
	}
	s.ScheduleAt(max(s.Now(), active.overSince+requestOverDelay), func() {
		// Without a link, resendStart schedules this again.
		if active.run == run && run.start.state == commandUncertain && s.runtime.synced {
			s.sendStart(active)
		}
	})
}

// resendReply passes the reply to a call to the run unless it has arrived. If an earlier link has carried it, the run
// may have reached its next call since the runtime answered the fence, and would take the reply for that one. The reply
// is therefore not repeated: a request that may run again repeats the call if it goes to the database, which may know
// the runs. Otherwise the call is skipped.
func (s *Server) resendReply(active *activeRequest) {
	point := &active.run.callPoint
	switch state := point.sendReply.state; {
	case point.reply == nil || point.skipped != 0 || state == commandSent || state == commandArrived:
	case state == commandUnsent:
		s.sendReply(active)
	case s.mayRunAgain(active) && s.database.upstreams == nil:
		s.repeatCall(active)
	default:
		s.skipUncertainCall(active)
	}
}

// repeatCall returns a run to the call whose reply may have been lost, so that the controller has the call made again.
// If the database executes only the calls that runs wait for, the outcome shows whether the run still waits for it.
func (s *Server) repeatCall(active *activeRequest) {
	point := &active.run.callPoint
	point.reply = nil
	point.sendReply = command{}
	point.repeated = true
	s.decisionPending = true
	active.run.onCall()
}

// skipUncertainCall lets a run continue that may still wait for its call, if an answer without the call has a value. A
// skip names its call, so it does no harm if the run has continued. Without it, a run that waits ends with its request.
func (s *Server) skipUncertainCall(active *activeRequest) {
	if !s.settings.classes[active.class].callsSkippable {
		return
	}
	point := &active.run.callPoint
	point.skipped = point.sequence
	if s.runtime.synced {
		s.runtime.conn.SkipCall(active.id, point.skipped)
	}
}

package server

import (
	"time"

	"lanewheel/admission"
)

// Upstreams is several services that calls may go to. It belongs to the owner loop.
type Upstreams interface {
	// Take gives a call a place at a service, but not at the one where it was refused; waiting is how many calls wait for one. It gives nil
	// while none has room.
	Acquire(not string, waiting int) UpstreamSlot
	// Freed has then called whenever there may be room again.
	OnAvailable(then func())
}

// UpstreamSlot is a call's at one service.
type UpstreamSlot interface {
	Addr() string
	MaxDuration() time.Duration // that the call may last there
	// Over gives the place back, once. running tells that the call may go on there for as long as it was told.
	Release(how admission.Outcome, running bool)
}

// UseUpstreams has calls go to services that are told elsewhere. It belongs to the time before Serve.
func (in *Server) UseUpstreams(upstreams Upstreams) {
	in.database.upstreams = upstreams
	upstreams.OnAvailable(func() { in.database.startWaiting(in) })
}

// acquireSlot finds a call its place, where there are several services.
func (d *databaseCalls) acquireSlot(server *Server, call *databaseCall) bool {
	if d.upstreams == nil {
		return true
	}
	if call.slot = d.upstreams.Acquire(call.refusedAddr, len(d.waiting)+1); call.slot == nil {
		return false
	}
	call.attempts++
	// Danger: what is granted counts on calls that last no longer than is told.
	if deadline := server.Now() + call.slot.MaxDuration(); deadline < call.deadline {
		call.deadline = deadline
		call.timer.Stop()
		call.timer = server.ScheduleAt(deadline, func() { d.finish(server, call, call.interruptedOutcome(admission.TimedOut)) })
	}
	return true
}

// releaseSlot gives a call's place back. running tells that it may go on below.
func (c *databaseCall) releaseSlot(outcome admission.Outcome, running bool) {
	if slot := c.slot; slot != nil {
		c.slot = nil
		slot.Release(outcome, running)
	}
}

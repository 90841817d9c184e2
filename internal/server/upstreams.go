package server

import (
	"time"

	"lanewheel/admission"
)

// maxAttempts is how many services a call is tried at. Two that refuse it one after the other are a network that is
// gone.
const maxAttempts = 2

// Upstreams is several services that calls may go to. Its methods are called on the event loop.
type Upstreams interface {
	// Acquire returns a slot for a call at one of the services, but not at the one at the address that refused the call,
	// and nil while none has a slot. waiting is how many calls wait for a slot, this one included.
	Acquire(refusedAddr string, waiting int) UpstreamSlot
	// OnAvailable has then called, on the event loop, whenever there may be slots again.
	OnAvailable(callback func())
}

// UpstreamSlot is a call's place at one service. Its methods are called on the event loop.
type UpstreamSlot interface {
	Addr() string
	MaxDuration() time.Duration // of the call
	// Release gives the slot back, once. running tells that the call may go on at the service, for MaxDuration at most.
	Release(outcome admission.Outcome, running bool)
}

// UseUpstreams has calls go to several services instead of the configured database. It is called before Serve.
func (s *Server) UseUpstreams(upstreams Upstreams) {
	s.database.upstreams = upstreams
	upstreams.OnAvailable(s.database.startWaitingCalls)
}

// acquireSlot finds a slot for a call, where there are several services. It tells whether the call may be made.
func (d *databaseCalls) acquireSlot(call *databaseCall) bool {
	if d.upstreams == nil {
		return true
	}
	call.slot = d.upstreams.Acquire(call.refusedAddr, len(d.waiting)+1)
	if call.slot == nil {
		return false
	}
	call.attempts++
	// The concurrency that was leased counts on calls that last no longer than this.
	if deadline := d.server.Now() + call.slot.MaxDuration(); deadline < call.deadline {
		call.deadline = deadline
		call.timer.Stop()
		d.scheduleTimeout(call)
	}
	return true
}

// releaseSlot gives a call's slot back, if it has one. running tells that the call may go on at the service.
func (c *databaseCall) releaseSlot(outcome admission.Outcome, running bool) {
	if slot := c.slot; slot != nil {
		c.slot = nil
		slot.Release(outcome, running)
	}
}

// retryElsewhere makes a call that one service refused at another one, or has it wait for a slot there. It tells
// whether it does.
func (d *databaseCalls) retryElsewhere(call *databaseCall, refusedAddr string) bool {
	call.releaseSlot(admission.Unreachable, false)
	call.refusedAddr = refusedAddr
	if call.attempts >= maxAttempts {
		return false
	}
	if d.openConns >= d.maxConns || !d.acquireSlot(call) {
		d.waiting = append(d.waiting, call)
		return true
	}
	d.dial(call)
	return true
}

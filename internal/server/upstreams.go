package server

import (
	"time"

	"lanewheel/admission"
)

// maxAttempts is the maximum number of services at which a call is tried. If two services in a row refuse the call, the
// cause is most likely the network.
const maxAttempts = 2

// Upstreams is a set of services that upstream calls are distributed to. Its methods are called on the event loop.
type Upstreams interface {
	// Acquire returns a slot for a call at one of the services, or nil if there is no free slot. refusedAddr is the
	// address of the service that refused the call, or empty if none did; that service is chosen only if it is the only
	// one. waiting is the number of calls that wait for a slot, including this one.
	Acquire(refusedAddr string, waiting int) UpstreamSlot
	// OnAvailable registers callback, which is called on the event loop whenever slots may have become available.
	OnAvailable(callback func())
}

// UpstreamSlot is a call's slot at one service. Its methods are called on the event loop.
type UpstreamSlot interface {
	Addr() string
	MaxDuration() time.Duration // maximum duration of the call
	// Release releases the slot. It must be called exactly once. running reports whether the call may still be running at
	// the service, for MaxDuration at most.
	Release(outcome admission.Outcome, running bool)
}

// UseUpstreams sends upstream calls to several services instead of the configured database. It must be called before
// Serve.
func (s *Server) UseUpstreams(upstreams Upstreams) {
	s.database.upstreams = upstreams
	upstreams.OnAvailable(s.database.startWaitingCalls)
}

// acquireSlot acquires a slot for a call if there are several services. It reports whether the call may be made.
func (d *databaseCalls) acquireSlot(call *databaseCall) bool {
	if d.upstreams == nil {
		return true
	}
	call.slot = d.upstreams.Acquire(call.refusedAddr, len(d.waiting)+1)
	if call.slot == nil {
		return false
	}
	call.attempts++
	// The leased concurrency is based on the assumption that calls last no longer than MaxDuration.
	if deadline := d.server.Now() + call.slot.MaxDuration(); deadline < call.deadline {
		call.deadline = deadline
		call.timer.Stop()
		d.scheduleTimeout(call)
	}
	return true
}

// releaseSlot releases the call's slot, if it has one. running reports whether the call may still be running there.
func (c *databaseCall) releaseSlot(outcome admission.Outcome, running bool) {
	if slot := c.slot; slot != nil {
		c.slot = nil
		slot.Release(outcome, running)
	}
}

// retryElsewhere is called when the service at refusedAddr has refused a call. It retries the call, at another service
// if there is one, or queues it until a connection and a slot are free. It returns false if the call has no attempts
// left.
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

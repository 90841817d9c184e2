package upstream

import (
	"time"

	"lanewheel/admission"
	"lanewheel/internal/balancer"
)

// reservation is the slot of one call at a service. It implements server.UpstreamSlot. It is owned by the client's
// event loop.
type reservation struct {
	client      *Client
	service     *service
	startedAt   time.Duration
	maxDuration time.Duration
}

// Addr implements server.UpstreamSlot.
func (r *reservation) Addr() string { return r.service.addr }

// MaxDuration implements server.UpstreamSlot.
func (r *reservation) MaxDuration() time.Duration { return r.maxDuration }

// Release implements server.UpstreamSlot. A call that may still be running at the service occupies its slot until the
// maximum call duration has passed: if a call is abandoned and retried, two calls may be running at the service.
func (r *reservation) Release(outcome admission.Outcome, stillRunning bool) {
	now := r.client.loop.Now()
	r.client.balancer.RecordOutcome(now, r.service.name, balancerOutcome(outcome), now-r.startedAt)
	if !stillRunning {
		r.free()
		return
	}
	r.client.loop.ScheduleAt(max(now, r.startedAt+r.maxDuration), r.free)
}

// free frees the slot. Waiting calls are started in a separate turn of the event loop, because the caller of Release
// may be in the middle of an operation.
func (r *reservation) free() {
	r.service.openCalls--
	loop := r.client.loop
	loop.ScheduleAt(loop.Now(), r.client.onAvailable)
}

// balancerOutcome returns the balancer's outcome for the outcome of a call. All outcomes without a response from the
// service count as balancer.NoResponse, including those that provide no information about the service.
func balancerOutcome(outcome admission.Outcome) balancer.Outcome {
	switch outcome {
	case admission.Succeeded:
		return balancer.Succeeded
	case admission.Rejected:
		return balancer.Rejected
	case admission.Failed:
		return balancer.Failed
	default:
		return balancer.NoResponse
	}
}

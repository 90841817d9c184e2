package upstream

import (
	"time"

	"lanewheel/admission"
	"lanewheel/internal/balancer"
)

// reservation is one call's place at a service. It implements server.UpstreamSlot and belongs to the client's event
// loop.
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

// Release implements server.UpstreamSlot. A call that may still be running at the service counts until the longest
// that a call takes is over: one that is abandoned and made again has two calls running there.
func (r *reservation) Release(outcome admission.Outcome, stillRunning bool) {
	now := r.client.loop.Now()
	r.client.balancer.RecordOutcome(now, r.service.name, balancerOutcome(outcome), now-r.startedAt)
	if !stillRunning {
		r.free()
		return
	}
	r.client.loop.ScheduleAt(max(now, r.startedAt+r.maxDuration), r.free)
}

// free frees the place. What waits for it is served in a turn of its own, as whoever released it is in the middle of
// something.
func (r *reservation) free() {
	r.service.openCalls--
	loop := r.client.loop
	loop.ScheduleAt(loop.Now(), r.client.onAvailable)
}

// balancerOutcome is what an outcome says of the service; one that says nothing of it counts as no response.
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

package upstream

import (
	"time"

	"lanewheel/admission"
	"lanewheel/internal/balancer"
)

// reservation is a call's at one service: a keep.Place.
type reservation struct {
	endpoint    *endpoint
	startedAt   time.Duration
	maxDuration time.Duration
}

func (c *reservation) Addr() string { return c.endpoint.address }

func (c *reservation) MaxDuration() time.Duration { return c.maxDuration }

var balancerOutcomes = map[admission.Outcome]balancer.Outcome{admission.Succeeded: balancer.Succeeded, admission.Rejected: balancer.Rejected, admission.Failed: balancer.Failed}

// Release is keep.Place. What may be running on counts until its time there is up. Danger: who gives a call up and
// makes another at once has two running below.
func (c *reservation) Release(outcome admission.Outcome, stillRunning bool) {
	client, now := c.endpoint.client, c.endpoint.client.loop.Now()
	result, known := balancerOutcomes[outcome]
	if !known {
		result = balancer.NoResponse
	}
	client.balancer.RecordOutcome(now, c.endpoint.name, result, now-c.startedAt)
	if !stillRunning {
		c.finish()
		return
	}
	client.stats.abandoned++
	client.loop.ScheduleAt(max(now, c.startedAt+c.maxDuration), c.finish)
}

func (c *reservation) finish() {
	c.endpoint.openCalls--
	// What waits is given the room in a turn of its own: whoever gives it back is in the middle of something.
	c.endpoint.client.loop.ScheduleAt(c.endpoint.client.loop.Now(), c.endpoint.client.onAvailable)
}

package admission

import "time"

const (
	// longQueueDelayDivisor is the part of a latency objective, as a divisor, from which requests lie unread.
	longQueueDelayDivisor = 32
	// unreadRetryAfterDivisor is the part of the advice, as a divisor, that is given then.
	unreadRetryAfterDivisor = 8
	// saturatedPressure is the pressure that, if it lasts, means that other instances are no better off.
	saturatedPressure = 0.4
	// retryStormShare is the share of retries among the arrivals that means the same.
	retryStormShare = 1.0 / 6
)

// retryAfter is how long a rejected request's caller should send nothing here: the longer the less is accepted, and
// drawn from half its length on, so that callers do not come back all at once.
//
// Where requests lie unread, advice is heard late: all callers would keep away and come back together, with idle cores
// in between. A healthy instance then gives a small part of it, and leaves the rest to the load report.
func (c *Controller) retryAfter() time.Duration {
	if !c.settings.RetryAfterAllowed {
		return 0
	}
	longest := float64(c.settings.MaxRetryAfter) * (1 - c.acceptance())
	unread := c.arrivals.maxRecentQueueDelay(c.executor.Now()) > c.minLatencyObjective()/longQueueDelayDivisor
	if c.health.state == StateHealthy && unread {
		longest /= unreadRetryAfterDivisor
	}
	return time.Duration(longest * (0.5 + 0.5*c.random.float64()))
}

// isFleetSaturated tells that the pressure has lasted in spite of the load report. Then the others are no better off,
// and a rejected request that goes on to them only costs each its reading.
func (c *Controller) isFleetSaturated() bool {
	if c.health.state != StateHealthy {
		return false
	}
	return c.arrivals.retryShare() > retryStormShare || c.gauges.pressureSustained(saturatedPressure)
}

package admission

import "time"

const (
	// longQueueDelayDivisor divides the least latency objective to obtain the queue delay above which requests count as
	// waiting unread.
	longQueueDelayDivisor = 32
	// unreadRetryAfterDivisor divides the Retry-After advice while requests wait unread.
	unreadRetryAfterDivisor = 8
	// saturatedPressure is the sustained pressure at which other instances are assumed to be saturated too.
	saturatedPressure = 0.4
	// retryStormShare is the share of retries among the arrivals above which other instances are assumed to be
	// saturated too.
	retryStormShare = 1.0 / 6
)

// retryAfter returns how long the caller of a rejected request should send nothing to this instance. The longest
// advice increases as the acceptance decreases. The advice is drawn between half of the longest advice and all of it,
// so that callers do not all return at the same time.
//
// If requests wait unread, advice reaches callers late: all of them would stay away and return together, with idle
// cores in between. A healthy instance then sends only a small part of the advice and relies on the load report.
func (c *Controller) retryAfter() time.Duration {
	if !c.settings.RetryAfterAllowed {
		return 0
	}
	longest := float64(c.settings.MaxRetryAfter) * (1 - c.acceptance())
	longDelay := c.arrivals.maxRecentQueueDelay(c.executor.Now()) > c.minLatencyObjective()/longQueueDelayDivisor
	if c.health.state == StateHealthy && longDelay {
		longest /= unreadRetryAfterDivisor
	}
	return time.Duration(longest * (0.5 + 0.5*c.random.float64()))
}

// isFleetSaturated reports whether the other instances are presumably saturated too, because the pressure has
// lasted in spite of the load report or many arrivals are retries. A rejected request that is sent to another
// instance then only costs that instance the time to read it.
func (c *Controller) isFleetSaturated() bool {
	if c.health.state != StateHealthy {
		return false
	}
	return c.arrivals.retryShare() > retryStormShare || c.gauges.pressureSustained(saturatedPressure)
}

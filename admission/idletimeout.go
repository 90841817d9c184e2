package admission

import "time"

const (
	// decisionHistorySize is the number of decisions from which the rejection rate is computed.
	decisionHistorySize = 64
	// keepOpenRejectionRate is the rejection rate from which connections are kept open. Since each rejected
	// attempt has cost a connection, a full connection table is then the lesser problem.
	keepOpenRejectionRate = 0.6
	// idleSecondsPerHandshake is the time in seconds for which keeping an idle connection costs as much as opening
	// a new one while all cores are busy. A new connection costs part of the work of a request. The cost of an idle
	// one is weighted by the share of busy cores.
	idleSecondsPerHandshake = 5
)

// idleTimeoutState holds the current idle timeout and the decisions from which it is adjusted.
type idleTimeoutState struct {
	current  time.Duration // the last value set; 0: none
	rejected []bool        // whether each recent request was rejected (true) or started; see addDecision
}

// addDecision records that a request was started, or rejected without being started. It is not called for rejected
// requests beyond a quota.
func (t *idleTimeoutState) addDecision(rejected bool) {
	t.rejected = appendRecent(t.rejected, rejected, decisionHistorySize)
}

// rejectionRate returns the share of recent requests that were rejected without being started.
func (t *idleTimeoutState) rejectionRate() float64 {
	n := 0
	for _, rejected := range t.rejected {
		if rejected {
			n++
		}
	}
	return float64(n) / float64(max(1, len(t.rejected)))
}

// adjustIdleTimeout adjusts how long an unused connection may stay open. Too many rarely used connections would
// take capacity, and new callers would be refused before their requests are seen. Once it is set, the timeout changes
// by at most a factor of 2 per sample, so that a single sample does not close all of them.
func (c *Controller) adjustIdleTimeout(now time.Duration) {
	current := c.idle.current
	timeout := c.targetIdleTimeout(now)
	if timeout > current && current > 0 {
		timeout = min(c.settings.MaxIdleTimeout, current*2)
	} else if timeout < current {
		timeout = current / 2
	}
	if timeout > 0 && timeout != current {
		c.idle.current = timeout
		c.executor.SetIdleTimeout(timeout)
	}
}

// targetIdleTimeout returns the configured timeout, halved until unused connections are reused at least once per
// idleSecondsPerHandshake seconds of waiting. The less busy the cores are, the more waiting is allowed.
// The timeout is not halved if there are too few arrivals or if the rejection rate is keepOpenRejectionRate or more.
func (c *Controller) targetIdleTimeout(now time.Duration) time.Duration {
	timeout := c.settings.MaxIdleTimeout
	for timeout > c.sampleInterval() && !c.arrivals.hasTooFew() && c.idle.rejectionRate() < keepOpenRejectionRate {
		reuse := c.arrivals.connectionReuse(now, timeout)
		if float64(reuse.count)*idleSecondsPerHandshake >= reuse.idleTime.Seconds()*c.gauges.meanBusy() {
			break
		}
		timeout /= 2
	}
	return timeout
}

package admission

import "time"

const (
	// decisionHistorySize is the number of decisions that the share of rejections stands on.
	decisionHistorySize = 64
	// keepConnectionsRejectionRate is the share of rejections from which connections are kept: a full table is then the lesser
	// evil, as each rejected attempt has cost a connection.
	keepConnectionsRejectionRate = 0.6
	// idleSecondsPerHandshake is how long an idle connection is as costly as a new one, in seconds: a part of a request, against
	// a part of busy cores.
	idleSecondsPerHandshake = 5
)

// idleTimeoutState holds how long unused connections may stay, and what that goes by.
type idleTimeoutState struct {
	current  time.Duration // as last set; 0: not yet
	rejected []bool        // of the last requests within quota, whether each was rejected or started
}

// addDecision notes that a request was rejected unstarted, or started.
func (t *idleTimeoutState) addDecision(rejected bool) {
	t.rejected = appendRecent(t.rejected, rejected, decisionHistorySize)
}

// rejectionRate is the share of the last requests that were rejected unstarted.
func (t *idleTimeoutState) rejectionRate() float64 {
	n := 0
	for _, rejected := range t.rejected {
		if rejected {
			n++
		}
	}
	return float64(n) / float64(max(1, len(t.rejected)))
}

// adjustIdleTimeout says how long an unused connection may stay. A table full of connections that are hardly used would
// take capacity, and turn new callers back unseen. One step a sample: one moment must not close all of them.
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

// targetIdleTimeout is the longest timeout, halved from the configured one, with which an unused connection is used
// again once in handshakeCost of waiting or sooner, longer as far as the cores idle.
func (c *Controller) targetIdleTimeout(now time.Duration) time.Duration {
	timeout := c.settings.MaxIdleTimeout
	for timeout > c.sampleInterval() && !c.arrivals.hasTooFew() && c.idle.rejectionRate() < keepConnectionsRejectionRate {
		reuse := c.arrivals.connectionReuse(now, timeout)
		if float64(reuse.reuses)*idleSecondsPerHandshake >= reuse.idleTime.Seconds()*c.gauges.meanBusy() {
			break
		}
		timeout /= 2
	}
	return timeout
}

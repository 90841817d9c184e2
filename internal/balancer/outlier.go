package balancer

import (
	"math"
	"time"
)

// maxLatencyFactor is how many usual ops one that took long counts for: with it alone a member is not slow, with two it is.
const maxLatencyFactor = 5

// slowLatencyFactor is from where on a member is slow against the others: half as slow again may be chance.
const slowLatencyFactor = 1.5

// relativeLatency is how much longer our ops take at a member than usual. It fades while none comes back from there. Danger: one that is
// held to be slow gets nothing, and nothing shows that it is well.
func (c *Balancer) relativeLatency(now time.Duration, state *endpointState) float64 {
	if c.meanLatency <= 0 || state.meanLatency <= 0 {
		return 1
	}
	return 1 + (state.meanLatency/c.meanLatency-1)*math.Exp2(-float64(now-state.lastOutcomeAt)/float64(c.config.OutcomeHalfLife/4))
}

// consecutiveFailuresLimit is how many failures in a row make a member look bad, without one served between.
const consecutiveFailuresLimit = 2

// isOutlier tells whether a member fails more than it serves, by more than a few ops, or in a row.
func (c *Balancer) isOutlier(now time.Duration, state *endpointState) bool {
	if state.consecutiveFailures >= consecutiveFailuresLimit {
		return true
	}
	remaining := math.Exp2(-float64(now-state.lastOutcomeAt) / float64(c.config.OutcomeHalfLife))
	const minFailures = 1.5 // ops: two failures in a row of one that serves little
	return state.failures*remaining >= minFailures && state.failures > state.successes
}

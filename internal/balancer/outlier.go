package balancer

import "time"

const (
	// maxLatencyFactor is how many times the mean latency one request counts for at the most. One such request alone does
	// not make an endpoint slow, two do.
	maxLatencyFactor = 5

	// slowLatencyFactor is the multiple of the mean latency from which on an endpoint is slow; less may be chance.
	slowLatencyFactor = 1.5

	// consecutiveFailuresLimit is the number of failures in a row that make an outlier.
	consecutiveFailuresLimit = 2

	// minOutlierFailures is the decayed number of failures that make an outlier of an endpoint that succeeds seldom: two
	// that are not far apart.
	minOutlierFailures = 1.5
)

// relativeLatency returns an endpoint's latency as a multiple of the mean. It decays towards 1 while nothing comes back
// from there: an endpoint that is held to be slow gets little, and nothing else would show that it has recovered.
func (b *Balancer) relativeLatency(now time.Duration, state *endpointState) float64 {
	if b.meanLatency <= 0 || state.meanLatency <= 0 {
		return 1
	}
	return 1 + (state.meanLatency/b.meanLatency-1)*decayFactor(now-state.lastOutcomeAt, b.config.OutcomeHalfLife/4)
}

// isOutlier reports whether an endpoint fails repeatedly, or more often than it succeeds.
func (b *Balancer) isOutlier(now time.Duration, state *endpointState) bool {
	if state.consecutiveFailures >= consecutiveFailuresLimit {
		return true
	}
	failures := state.failures * decayFactor(now-state.lastOutcomeAt, b.config.OutcomeHalfLife)
	return failures >= minOutlierFailures && state.failures > state.successes
}

// detectOutliers counts the endpoints that look like outliers and reports whether they are to be ejected. When too many
// do, it is our own judgement that is wrong, or something that all of them depend on: then none is.
func (b *Balancer) detectOutliers(now time.Duration) (ejecting bool) {
	b.outlierCount = 0
	for _, state := range b.endpoints {
		if b.isOutlier(now, state) {
			b.outlierCount++
		}
	}
	if float64(b.outlierCount) > b.config.MaxOutlierFraction*float64(len(b.endpoints)) {
		b.panicCount++
		return false
	}
	return true
}

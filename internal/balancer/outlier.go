package balancer

import "time"

const (
	// maxLatencyFactor is the maximum latency that is recorded for one request, as a multiple of the mean latency. One
	// request at the maximum does not make an endpoint slow, but two do.
	maxLatencyFactor = 5

	// slowLatencyFactor is the multiple of the mean latency above which an endpoint is slow. Lower multiples may be due
	// to chance.
	slowLatencyFactor = 1.5

	// consecutiveFailuresLimit is the number of consecutive failures that make an endpoint an outlier.
	consecutiveFailuresLimit = 2

	// minOutlierFailures is the minimum decayed number of failures that makes an endpoint with fewer successes an
	// outlier. Two failures reach it if they are not far apart.
	minOutlierFailures = 1.5
)

// relativeLatency returns an endpoint's latency as a multiple of the mean. It decays towards 1 while there are no
// outcomes: an endpoint that is considered slow receives few requests, so its recovery would otherwise go unnoticed.
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

// detectOutliers counts the endpoints that look like outliers and reports whether they are to be ejected. If their
// fraction exceeds MaxOutlierFraction, none is ejected: the cause is then probably an error in detection, or a
// dependency that the endpoints share.
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

package balancer

import "time"

const (
	// staleWeightsMaxAge is the age up to which weights are used although an input has changed. SetEndpoints recomputes
	// them at once. The inputs of the weights change more slowly than this.
	staleWeightsMaxAge = 100 * time.Millisecond

	// minSlowStartWeight is the fraction of its weight that an endpoint has right after a start or a recovery. It is not
	// 0 because an endpoint that receives no requests never warms up.
	minSlowStartWeight = 0.1

	// maxSparseLoadFactor is the maximum half-life of a load report, as a multiple of the mean latency, while
	// endpoints are mostly idle.
	maxSparseLoadFactor = 25
)

// totalWeight returns the sum of all weights. There must be an endpoint.
func (b *Balancer) totalWeight() float64 { return b.cumulativeWeights[len(b.cumulativeWeights)-1] }

// drawByWeight maps a fraction from 0 to 1 to the index of an endpoint. A uniformly random fraction draws each endpoint
// with a probability proportional to its weight.
func (b *Balancer) drawByWeight(fraction float64) int {
	point := fraction * b.totalWeight()
	low, high := 0, len(b.cumulativeWeights)-1
	for low < high {
		middle := (low + high) / 2
		if b.cumulativeWeights[middle] > point {
			high = middle
		} else {
			low = middle + 1
		}
	}
	return low
}

// refreshWeights recomputes the weights if they are stale and at least staleWeightsMaxAge old.
func (b *Balancer) refreshWeights(now time.Duration) {
	if b.weightsStale && (b.weightsAt == 0 || now-b.weightsAt >= staleWeightsMaxAge) {
		b.recomputeWeights(now)
	}
}

func (b *Balancer) recomputeWeights(now time.Duration) {
	b.weightsAt = now
	b.weightsStale = false
	b.measureLoads(now)
	b.adaptLoadHalfLife()
	ejecting := b.detectOutliers(now)
	b.recomputeZoneWeights()
	total := 0.0
	for index, state := range b.endpoints {
		state.outlier = ejecting && b.isOutlier(now, state)
		weight := b.baseWeight(now, state)
		if ejecting {
			weight = b.healthWeight(now, state, weight)
		}
		if state.Suspect {
			weight *= b.config.OutlierWeight
		}
		weight *= b.zones[state.Zone].weight
		state.weight = weight
		total += weight
		b.cumulativeWeights[index] = total
	}
}

// measureLoads derives the zones' loads, the mean load and the mean latency from the endpoints' states.
func (b *Balancer) measureLoads(now time.Duration) {
	clear(b.zones)
	loadSum, capacitySum, latencySum, latencyCount := 0.0, 0.0, 0.0, 0.0
	for _, state := range b.endpoints {
		zone := b.zones[state.Zone]
		if zone == nil {
			zone = &zoneLoad{}
			b.zones[state.Zone] = zone
		}
		zone.capacity += state.Capacity
		if state.hasRecentReport(now, b.config.LoadMaxAge) {
			loadSum += state.reportedLoad * state.Capacity
			capacitySum += state.Capacity
			zone.load += state.reportedLoad * state.Capacity
			zone.reports++
		}
		if state.meanLatency > 0 {
			latencySum += state.meanLatency
			latencyCount++
		}
	}
	b.meanLoad = 0
	if capacitySum > 0 {
		b.meanLoad = loadSum / capacitySum
	}
	b.meanLatency = 0
	if latencyCount > 0 {
		b.meanLatency = latencySum / latencyCount
	}
}

// adaptLoadHalfLife derives the half-life of a load report from the mean latency, unless it is configured. If cores are
// mostly idle, requests arrive rarely and an endpoint's load changes less often than once per mean latency, so the
// half-life is longer.
func (b *Balancer) adaptLoadHalfLife() {
	if b.config.LoadHalfLife != 0 || b.meanLatency <= 0 {
		return
	}
	sparseLoadFactor := min(maxSparseLoadFactor, max(1, 0.5/max(b.meanLoad, 0.02)))
	b.loadHalfLife = min(max(seconds(sparseLoadFactor*b.meanLatency), minLoadHalfLife), maxLoadHalfLife)
}

// baseWeight returns the weight of an endpoint before its health and its zone are considered: its capacity, which is
// reduced after a start or a recovery and then grows linearly to the full value.
func (b *Balancer) baseWeight(now time.Duration, state *endpointState) float64 {
	weight := state.Capacity
	if state.warmingUp(now) {
		remaining := max(0, state.WarmUpRemaining-(now-state.updatedAt))
		weight *= minSlowStartWeight + (1-minSlowStartWeight)*(1-float64(remaining)/float64(state.WarmUp))
	}
	if sinceRecovery := now - state.recoveredAt; state.recoveredAt > 0 && sinceRecovery < b.config.OutcomeHalfLife {
		weight *= minSlowStartWeight + (1-minSlowStartWeight)*float64(sinceRecovery)/float64(b.config.OutcomeHalfLife)
	}
	return weight
}

// healthWeight returns weight, reduced if the endpoint is an outlier or slow. The result is 0 for an outlier that is
// ejected. For a slow endpoint, it is in inverse proportion to the latency, but not below that of an outlier.
func (b *Balancer) healthWeight(now time.Duration, state *endpointState, weight float64) float64 {
	if state.outlier {
		if now < state.ejectedUntil {
			return 0
		}
		return weight * b.config.OutlierWeight
	}
	if relative := b.relativeLatency(now, state); relative > slowLatencyFactor {
		return weight * max(b.config.OutlierWeight, 1/relative)
	}
	return weight
}

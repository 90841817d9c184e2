package balancer

import (
	"math"
	"time"
)

// probePoolSize is the number of recent probe answers that are compared for one request, as in the Prequal paper.
const probePoolSize = 16

// Initial value and bounds of the half-life of a load report if no half-life is configured. A load changes as fast as
// requests start and end, so the half-life is about the latency of one request, but never less than a round trip.
const (
	initialLoadHalfLife = 100 * time.Millisecond // until there is a latency sample
	minLoadHalfLife     = 10 * time.Millisecond
	maxLoadHalfLife     = time.Second
)

// maxReportedLoad is the maximum number of requests in progress in a valid report.
const maxReportedLoad = 1e6

// IdleLoad returns the load that an endpoint without requests reports. It is negative and decreases with the time for
// which the endpoint has been idle, so that of several idle endpoints the one that has been idle longest is preferred.
// It is never less than -1, so that idleness never counts for more than one request.
func IdleLoad(idleFor time.Duration) float64 { return -float64(idleFor) / float64(idleFor+time.Second) }

// RecordReport records the load that an endpoint reports: the number of requests in progress or IdleLoad. age is the
// time since the load was measured. RecordReport ignores a report that is out of range or not newer than the previous
// one, because an endpoint that sends invalid reports must not attract requests.
func (b *Balancer) RecordReport(now time.Duration, index int, load float64, age time.Duration) {
	state := b.endpoints[index]
	if math.IsNaN(load) || load < -1 || load > maxReportedLoad || age < 0 || age > b.config.LoadMaxAge {
		return
	}
	measuredAt := now - age
	if state.hasReport && measuredAt <= state.reportedAt {
		return
	}
	state.setReport(load/state.Capacity, measuredAt)
	b.weightsStale = true
}

// RecordProbe records the load in an endpoint's answer to a probe. In addition to calling RecordReport, it adds the
// endpoint to the pool of recently probed endpoints. Pick compares these, while their reports are recent, with the
// endpoints that it draws.
func (b *Balancer) RecordProbe(now time.Duration, index int, load float64, age time.Duration) {
	b.RecordReport(now, index, load, age)
	state := b.endpoints[index]
	for _, probed := range b.probePool {
		if probed == state {
			return
		}
	}
	b.probePool[b.nextProbeSlot] = state
	b.nextProbeSlot = (b.nextProbeSlot + 1) % probePoolSize
}

// PickProbe returns the index of an endpoint to probe: of two that are drawn by weight, the one with the older report.
// ok is false if there is no endpoint.
func (b *Balancer) PickProbe(now time.Duration, random func() float64) (index int, ok bool) {
	if len(b.endpoints) == 0 {
		return 0, false
	}
	best, oldest := -1, time.Duration(math.MaxInt64)
	for range 2 {
		candidate := b.drawByWeight(random())
		reportedAt := b.endpoints[candidate].reportedAt
		if !b.endpoints[candidate].hasReport {
			reportedAt = -1
		}
		if reportedAt < oldest {
			best, oldest = candidate, reportedAt
		}
	}
	return best, best >= 0
}

// estimatedLoad estimates the current load of an endpoint in requests in progress per core. It is the reported load,
// moved towards the mean with the report's age because other senders act on the same report, plus the requests that
// this sender has started since. Without a recent report, it is the mean plus this sender's requests in progress.
func (b *Balancer) estimatedLoad(now time.Duration, state *endpointState) float64 {
	if !state.hasRecentReport(now, b.config.LoadMaxAge) {
		return b.meanLoad + float64(state.outstanding)/state.Capacity
	}
	load := state.reportedLoad
	// Measured latency takes precedence over reported load. This guards against an endpoint that always reports that it is
	// idle: if this sender's requests to it take long, it is not idle.
	if slowdown := b.relativeLatency(now, state); load < b.meanLoad && slowdown > slowLatencyFactor {
		load = b.meanLoad + (slowdown-1)*max(b.meanLoad, 1)
	}
	return b.meanLoad + (load-b.meanLoad)*decayFactor(now-state.reportedAt, b.loadHalfLife) + state.startedSinceReport
}

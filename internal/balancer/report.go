package balancer

import (
	"math"
	"time"
)

// probePoolSize is the number of recent probe answers that are compared for one request, that of the Prequal paper.
const probePoolSize = 16

// Bounds of the half-life of a load report where none is configured. A load moves as fast as requests come and go, so a
// report is worth half after the time that one takes; never less than a round trip.
const (
	initialLoadHalfLife = 100 * time.Millisecond // until a latency is known
	minLoadHalfLife     = 10 * time.Millisecond
	maxLoadHalfLife     = time.Second
)

// maxReportedLoad is the number of requests in progress above which a report is held to be nonsense.
const maxReportedLoad = 1e6

// IdleLoad returns the load that an endpoint without requests reports: negative, the lower the longer it has been
// idle, so that of many idle ones the one that has waited longest goes first. It is -1 at the least, so that
// idleness is never worth more than a request.
func IdleLoad(idleFor time.Duration) float64 { return -float64(idleFor) / float64(idleFor+time.Second) }

// RecordReport takes the load that an endpoint reports, requests in progress or IdleLoad, as it was age ago. A report
// that can't be, or that is not newer than the one before, is ignored: an endpoint that reports nonsense must not
// attract requests.
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

// RecordProbe takes the load that an endpoint answered a probe with. Beside what RecordReport does, the endpoint is
// compared for the next requests while the report is fresh.
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

// PickProbe returns the index of an endpoint whose load is worth probing: of two that are drawn by weight the one with
// the older report. ok is false where there is no endpoint.
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

// estimatedLoad returns the load an endpoint is likely to have by now: the reported one, drawn towards the mean by its
// age, as others choose by the same report; and what we have sent since.
func (b *Balancer) estimatedLoad(now time.Duration, state *endpointState) float64 {
	if !state.hasRecentReport(now, b.config.LoadMaxAge) {
		return b.meanLoad + float64(state.outstanding)/state.Capacity
	}
	load := state.reportedLoad
	// Guards against an endpoint that always reports to be idle: where our requests take long, it is not. What we
	// measured goes before what is reported.
	if slowdown := b.relativeLatency(now, state); load < b.meanLoad && slowdown > slowLatencyFactor {
		load = b.meanLoad + (slowdown-1)*max(b.meanLoad, 1)
	}
	return b.meanLoad + (load-b.meanLoad)*decayFactor(now-state.reportedAt, b.loadHalfLife) + state.startedSinceReport
}

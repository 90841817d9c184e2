package balancer

import (
	"math"
	"time"
)

// IdleLoad is what a member says that has nothing in hand: under 0 by how long it has waited, so that of many idle ones the one that waits longest
// goes first; -1 at the most, so that it is never worth more than an op.
func IdleLoad(idleFor time.Duration) float64 { return -float64(idleFor) / float64(idleFor+time.Second) }

// RecordReport takes a member's own word on its load, ops in hand or Idle, that was so age ago. The effect on the next choices is bounded by how
// old it is, and fades, as all that heard it go by it.
func (c *Balancer) RecordReport(now time.Duration, index int, load float64, age time.Duration) {
	state := c.endpoints[index]
	measuredAt := now - age
	// Danger: a member that says nonsense, always idle or older than before. What is not a load says nothing; the newest counts.
	if math.IsNaN(load) || load < -1 || load > 1e6 || age < 0 || age > c.config.LoadMaxAge || state.hasReport && measuredAt <= state.reportedAt {
		return
	}
	state.reportedLoad, state.reportedAt, state.hasReport, state.startedSinceReport = load/state.Capacity, measuredAt, true, 0
	c.weightsStale = true
}

// RecordProbe takes what a member says that was asked: beside Told, it is weighed against the next ops while it is fresh.
func (c *Balancer) RecordProbe(now time.Duration, index int, load float64, age time.Duration) {
	c.RecordReport(now, index, load, age)
	state := c.endpoints[index]
	for _, probed := range c.probePool {
		if probed == state {
			return
		}
	}
	c.probePool[c.nextProbeSlot] = state
	c.nextProbeSlot = (c.nextProbeSlot + 1) % probePoolSize
}

// probePoolSize is how many fresh words are weighed for one op. Sixteen is what the Prequal paper found to be enough; more would be older.
const probePoolSize = 16

// estimatedLoad is the load of a member as it is likely to be by now: what it said, drawn towards the mean by the time that has gone, as
// all others choose by the like; and what we ourselves have sent since.
func (c *Balancer) estimatedLoad(now time.Duration, state *endpointState) float64 {
	if !state.hasReport || now-state.reportedAt > c.config.LoadMaxAge {
		return c.meanLoad + float64(state.outstanding)/state.Capacity
	}
	remaining := math.Exp2(-float64(now-state.reportedAt) / float64(c.loadHalfLife))
	load := state.reportedLoad
	// Danger: one that says nonsense, always idle. Own evidence goes before hearsay: where our ops take long, it is not idle.
	if slowdown := c.relativeLatency(now, state); load < c.meanLoad && slowdown > slowLatencyFactor {
		load = c.meanLoad + (slowdown-1)*max(c.meanLoad, 1)
	}
	return c.meanLoad + (load-c.meanLoad)*remaining + state.startedSinceReport
}

// A load moves as fast as ops come and go: a word is worth half after the time that one takes. Before any is known, a tenth of a second; never less
// than a round trip, nor longer than a second, in which hundreds that go by one word have long made it wrong.
const initialLoadHalfLife, minLoadHalfLife, maxLoadHalfLife = 100 * time.Millisecond, 10 * time.Millisecond, time.Second

// PickProbe gives a member whose load is worth asking for: the one drawn of whom the oldest is known. It is called some times an op.
func (c *Balancer) PickProbe(now time.Duration, random func() float64) (index int, ok bool) {
	if len(c.endpoints) == 0 {
		return 0, false
	}
	total := c.cumulativeWeights[len(c.cumulativeWeights)-1]
	best, oldest := -1, time.Duration(math.MaxInt64)
	for range 2 {
		candidate := c.drawByWeight(random() * total)
		reportedAt := c.endpoints[candidate].reportedAt
		if !c.endpoints[candidate].hasReport {
			reportedAt = -1
		}
		if reportedAt < oldest {
			best, oldest = candidate, reportedAt
		}
	}
	return best, best >= 0
}

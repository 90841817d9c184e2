package balancer

import "time"

// zoneLoad is what is believed of one zone as a whole.
type zoneLoad struct {
	capacity, load, spare float64
	reports               int
}

// weightsMaxAge is how long weights hold, unless members change: what they go by moves slower.
const weightsMaxAge = 100 * time.Millisecond

// recomputeWeights works out the members' shares.
func (c *Balancer) recomputeWeights(now time.Duration) {
	c.weightsAt, c.weightsStale = now, false
	// The mean load, and the zones', by those that are known.
	clear(c.zones)
	loadSum, capacitySum, latencySum, latencyCount := 0.0, 0.0, 0.0, 0.0
	for _, state := range c.endpoints {
		zone := c.zones[state.Zone]
		if zone == nil {
			zone = &zoneLoad{}
			c.zones[state.Zone] = zone
		}
		zone.capacity += state.Capacity
		if state.hasReport && now-state.reportedAt <= c.config.LoadMaxAge {
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
	c.meanLoad = 0
	if capacitySum > 0 {
		c.meanLoad = loadSum / capacitySum
	}
	meanLatency := 0.0
	if latencyCount > 0 {
		meanLatency = latencySum / latencyCount
	}
	c.meanLatency = meanLatency
	if c.config.LoadHalfLife == 0 && meanLatency > 0 {
		// Where cores stand idle a member's load changes less often than an op takes, by how seldom it gets one.
		sparseLoadFactor := min(25, max(1, 0.5/max(c.meanLoad, 0.02)))
		c.loadHalfLife = min(max(time.Duration(sparseLoadFactor*meanLatency*float64(time.Second)), minLoadHalfLife), maxLoadHalfLife)
	}
	// How many look bad. When most do, it is our own judgement that is wrong, or what all of them depend on: then nobody is held to be.
	c.outlierCount = 0
	for _, state := range c.endpoints {
		if c.isOutlier(now, state) {
			c.outlierCount++
		}
	}
	ejecting := true
	if float64(c.outlierCount) > c.config.MaxOutlierFraction*float64(len(c.endpoints)) {
		ejecting = false
		c.panicCount++
	}
	zoneWeight := c.zoneWeights()
	total := 0.0
	for index, state := range c.endpoints {
		weight := state.Capacity
		if state.warmingUp(now) {
			remaining := max(0, state.WarmUpRemaining-(now-state.updatedAt))
			// From a tenth on, straight up: a process that gets nothing is never warm.
			weight *= 0.1 + 0.9*(1-float64(remaining)/float64(state.WarmUp))
		}
		if state.recoveredAt > 0 && now-state.recoveredAt < c.config.OutcomeHalfLife { // it is not flooded when it is well
			weight *= 0.1 + 0.9*float64(now-state.recoveredAt)/float64(c.config.OutcomeHalfLife)
		}
		if state.outlier = ejecting && c.isOutlier(now, state); ejecting {
			switch {
			case state.outlier && now < state.ejectedUntil:
				weight = 0
			case state.outlier:
				weight *= c.config.OutlierWeight
			case c.relativeLatency(now, state) > slowLatencyFactor: // a slow one loses in proportion
				weight *= max(c.config.OutlierWeight, 1/c.relativeLatency(now, state))
			}
		}
		if state.Suspect {
			weight *= c.config.OutlierWeight
		}
		weight *= zoneWeight(state.Zone)
		state.weight = weight
		total += weight
		c.cumulativeWeights[index] = total
	}
}

// zoneWeights gives the weight of a zone against the others: all stays in our own while it has room, and what does not fit goes to the
// others by the room that they have, without a step between.
func (c *Balancer) zoneWeights() func(string) float64 {
	local := c.zones[c.config.LocalZone]
	if c.config.LocalZone == "" || local == nil || len(c.zones) == 1 {
		return func(string) float64 { return 1 }
	}
	utilization := func(zone *zoneLoad) float64 { // ops in hand a core, 1 for all cores at work
		if zone.reports == 0 {
			return c.meanLoad
		}
		return zone.load / zone.capacity
	}
	spareElsewhere := 0.0
	for name, zone := range c.zones {
		zone.spare = max(0.02, 1.2-utilization(zone)) * zone.capacity // a full zone still takes a little: loads move
		if name != c.config.LocalZone {
			spareElsewhere += zone.spare
		}
	}
	// Nothing leaves under Near; at 1.7, where as many wait as there are cores beside those at work, as much as the others have room for
	// beside ours. A steeper way would swing: what leaves shows in the loads a while later.
	outflow := min(1, max(0, (utilization(local)-c.config.LocalZoneUtilization)/(1.7-c.config.LocalZoneUtilization))) * spareElsewhere / (spareElsewhere + local.spare)
	return func(name string) float64 {
		if name == c.config.LocalZone {
			return (1 - outflow) / local.capacity
		}
		zone := c.zones[name]
		return max(outflow, 0.001) * zone.spare / spareElsewhere / zone.capacity // a thousandth keeps the others known
	}
}

// drawByWeight finds the place whose share a number falls into.
func (c *Balancer) drawByWeight(point float64) int {
	low, high := 0, len(c.cumulativeWeights)-1
	for low < high {
		middle := (low + high) / 2
		if c.cumulativeWeights[middle] > point {
			high = middle
		} else {
			low = middle + 1
		}
	}
	return low
}

package balancer

import (
	"math"
	"time"
)

// Pick chooses the member for one op: a few are drawn by their shares, and the least loaded of them gets it. not tells places that are
// out of the question. It gives false where nobody is left. It does not allocate.
func (c *Balancer) Pick(now time.Duration, random func() float64, excluded func(int) bool) (index int, ok bool) {
	if len(c.endpoints) == 0 {
		return 0, false
	}
	if c.weightsStale && now-c.weightsAt >= weightsMaxAge || c.weightsAt == 0 && c.weightsStale {
		c.recomputeWeights(now)
	}
	c.pickCount++
	total := c.cumulativeWeights[len(c.cumulativeWeights)-1]
	best, leastLoad := -1, math.Inf(1)
	if c.config.Policy != LeastEstimatedLoad {
		if candidate, decided := c.pickBaseline(random); decided && (excluded == nil || !excluded(candidate)) {
			return candidate, true
		}
	}
	// Those that have just said how they stand. They were drawn by their shares, so the least loaded of them is a fair choice.
	start := int(random() * probePoolSize) // of equals the one drawn, not the first
	for offset := range probePoolSize {
		state := c.probePool[(start+offset)%probePoolSize]
		if state == nil || state.removed || state.outlier || now-state.reportedAt > 2*c.loadHalfLife || excluded != nil && excluded(state.index) || !c.slowStartAllows(now, state, random) {
			continue
		}
		if load := c.estimatedLoad(now, state); load < leastLoad {
			best, leastLoad = state.index, load
		}
	}
	for range c.config.ChoiceCount {
		candidate := c.drawByWeight(random() * total)
		if candidate == best || excluded != nil && excluded(candidate) || !c.slowStartAllows(now, c.endpoints[candidate], random) {
			continue
		}
		if load := c.estimatedLoad(now, c.endpoints[candidate]); load < leastLoad {
			best, leastLoad = candidate, load
		}
	}
	if best >= 0 {
		return best, true
	}
	// All that were drawn are out of the question: the first from a drawn place on that is not, a cold one only if there is no other.
	start = min(len(c.endpoints)-1, int(random()*float64(len(c.endpoints))))
	for offset := range c.endpoints {
		candidate := (start + offset) % len(c.endpoints)
		switch {
		case excluded != nil && excluded(candidate):
		case c.slowStartAllows(now, c.endpoints[candidate], random):
			return candidate, true
		case best < 0:
			best = candidate
		}
	}
	return max(best, 0), best >= 0
}

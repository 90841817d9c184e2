package balancer

import "time"

// Policy is how one member is picked. All but Informed are there to be compared with.
type Policy uint8

const (
	LeastEstimatedLoad    Policy = iota // a few drawn by share, the least loaded by what is likely by now
	WeightedRandom                      // by told capacity
	RoundRobin                          // one after the other, from a drawn place
	LeastRequest                        // of all, by our own count of open ops
	TwoChoicesOutstanding               // of two, by our own count
	TwoChoicesReported                  // of two, by what they last said, however old
	LeastReportedLoad                   // of all, by what they last said: everybody's favourite
)

var policyNames = []string{"informed", "random", "round-robin", "least-open", "two-own", "two-told", "greedy"}

func (w Policy) String() string { return policyNames[w] }

// pickBaseline picks by one of the simple ways.
func (c *Balancer) pickBaseline(random func() float64) (index int, ok bool) {
	count := len(c.endpoints)
	randomIndex := func() int { return min(count-1, int(random()*float64(count))) }
	leastOf := func(loadOf func(*endpointState) float64, candidates ...int) int {
		best := candidates[0]
		for _, candidate := range candidates[1:] {
			if loadOf(c.endpoints[candidate]) < loadOf(c.endpoints[best]) {
				best = candidate
			}
		}
		return best
	}
	outstandingLoad := func(state *endpointState) float64 { return float64(state.outstanding) / state.Capacity }
	reportedLoad := func(state *endpointState) float64 {
		if !state.hasReport {
			return c.meanLoad
		}
		return state.reportedLoad
	}
	switch c.config.Policy {
	case WeightedRandom:
		total := 0.0
		for _, state := range c.endpoints {
			total += state.Capacity
		}
		point := random() * total
		for candidate, state := range c.endpoints {
			if point -= state.Capacity; point < 0 {
				return candidate, true
			}
		}
		return count - 1, true
	case RoundRobin:
		if c.roundRobin == 0 {
			c.roundRobin = 1 + randomIndex()
		}
		c.roundRobin++
		return c.roundRobin % count, true
	case TwoChoicesOutstanding:
		return leastOf(outstandingLoad, randomIndex(), randomIndex()), true
	case TwoChoicesReported:
		return leastOf(reportedLoad, randomIndex(), randomIndex()), true
	case LeastRequest, LeastReportedLoad:
		loadBy := outstandingLoad
		if c.config.Policy == LeastReportedLoad {
			loadBy = reportedLoad
		}
		start := randomIndex() // ties go to a drawn one
		best := start
		for offset := range count {
			if candidate := (start + offset) % count; loadBy(c.endpoints[candidate]) < loadBy(c.endpoints[best]) {
				best = candidate
			}
		}
		return best, true
	}
	return 0, false
}

// Gap is the time that a member should wait for an op, by its capacity: what idle is held against.
func (c *Balancer) Gap(index int, rate float64) time.Duration {
	if rate <= 0 || len(c.cumulativeWeights) == 0 {
		return 0
	}
	return time.Duration(c.cumulativeWeights[len(c.cumulativeWeights)-1] / c.endpoints[index].weight / rate * float64(time.Second))
}

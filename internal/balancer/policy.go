package balancer

import "fmt"

// Policy is how an endpoint is picked. All but LeastEstimatedLoad are there to be compared with.
type Policy uint8

// The policies.
const (
	LeastEstimatedLoad    Policy = iota // of a few drawn by weight, the one with the least load that is likely by now
	WeightedRandom                      // by capacity
	RoundRobin                          // one after the other, from a drawn one on
	LeastRequest                        // of all, the one with the fewest requests of ours in progress
	TwoChoicesOutstanding               // of two, the one with the fewest requests of ours in progress
	TwoChoicesReported                  // of two, the one with the lower report, however old
	LeastReportedLoad                   // of all, the one with the lowest report: all senders flock to it
)

// policyNames are the values of the operator's setting.
var policyNames = [...]string{"informed", "random", "round-robin", "least-open", "two-own", "two-told", "greedy"}

// String returns the policy's name in the operator's configuration.
func (p Policy) String() string {
	if int(p) < len(policyNames) {
		return policyNames[p]
	}
	return fmt.Sprintf("Policy(%d)", uint8(p))
}

// pickBaseline picks by one of the simple policies; ok is false for LeastEstimatedLoad. There must be an endpoint.
func (b *Balancer) pickBaseline(random func() float64) (index int, ok bool) {
	switch b.config.Policy {
	case WeightedRandom:
		return b.drawByCapacity(random()), true
	case RoundRobin:
		if b.roundRobin == 0 {
			b.roundRobin = 1 + b.drawIndex(random)
		}
		b.roundRobin++
		return b.roundRobin % len(b.endpoints), true
	case TwoChoicesOutstanding:
		return lessLoaded(b.outstandingLoad, b.drawIndex(random), b.drawIndex(random)), true
	case TwoChoicesReported:
		return lessLoaded(b.reportedLoad, b.drawIndex(random), b.drawIndex(random)), true
	case LeastRequest:
		return b.leastLoaded(b.outstandingLoad, b.drawIndex(random)), true
	case LeastReportedLoad:
		return b.leastLoaded(b.reportedLoad, b.drawIndex(random)), true
	case LeastEstimatedLoad:
	}
	return 0, false
}

// drawIndex draws an index, each with the same chance.
func (b *Balancer) drawIndex(random func() float64) int {
	count := len(b.endpoints)
	return min(count-1, int(random()*float64(count)))
}

// drawByCapacity returns the index of the endpoint that a fraction of the total capacity falls on.
func (b *Balancer) drawByCapacity(fraction float64) int {
	total := 0.0
	for _, state := range b.endpoints {
		total += state.Capacity
	}
	point := fraction * total
	for index, state := range b.endpoints {
		if point -= state.Capacity; point < 0 {
			return index
		}
	}
	return len(b.endpoints) - 1
}

// outstandingLoad returns an endpoint's load by our own count.
func (b *Balancer) outstandingLoad(index int) float64 {
	state := b.endpoints[index]
	return float64(state.outstanding) / state.Capacity
}

// reportedLoad returns an endpoint's load by its last report, the mean where there is none.
func (b *Balancer) reportedLoad(index int) float64 {
	if state := b.endpoints[index]; state.hasReport {
		return state.reportedLoad
	}
	return b.meanLoad
}

// lessLoaded returns the less loaded of two, the first of equals.
func lessLoaded(loadOf func(index int) float64, first, second int) int {
	if loadOf(second) < loadOf(first) {
		return second
	}
	return first
}

// leastLoaded returns the leastLoaded loaded of all, of equals the first from start on.
func (b *Balancer) leastLoaded(loadOf func(index int) float64, start int) int {
	best := start
	for offset := range b.endpoints {
		best = lessLoaded(loadOf, best, (start+offset)%len(b.endpoints))
	}
	return best
}

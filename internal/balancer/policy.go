package balancer

import "fmt"

// Policy is the method of picking an endpoint. All policies but LeastEstimatedLoad exist for comparison.
type Policy uint8

// The policies.
const (
	LeastEstimatedLoad    Policy = iota // the endpoint with the lowest estimated load among a few drawn by weight
	WeightedRandom                      // an endpoint drawn with a probability proportional to its capacity
	RoundRobin                          // each endpoint in turn, starting with a random one
	LeastRequest                        // the endpoint with the fewest requests of this sender in progress per core
	TwoChoicesOutstanding               // like LeastRequest, but among two random endpoints
	TwoChoicesReported                  // like LeastReportedLoad, but among two random endpoints
	LeastReportedLoad                   // the endpoint with the lowest reported load, however old; all senders herd to it
)

// policyNames are the names of the policies in the operator's configuration.
var policyNames = [...]string{"informed", "random", "round-robin", "least-open", "two-own", "two-told", "greedy"}

// String returns the policy's name in the operator's configuration.
func (p Policy) String() string {
	if int(p) < len(policyNames) {
		return policyNames[p]
	}
	return fmt.Sprintf("Policy(%d)", uint8(p))
}

// pickBaseline picks an endpoint by one of the policies that exist for comparison. ok is false for LeastEstimatedLoad.
// There must be at least one endpoint.
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

// drawIndex draws an index with uniform probability.
func (b *Balancer) drawIndex(random func() float64) int {
	count := len(b.endpoints)
	return min(count-1, int(random()*float64(count)))
}

// drawByCapacity maps a fraction in [0, 1) to the index of an endpoint. A uniformly random fraction draws each endpoint
// with a probability proportional to its capacity.
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

// outstandingLoad returns the requests of this sender in progress at an endpoint, per core.
func (b *Balancer) outstandingLoad(index int) float64 {
	state := b.endpoints[index]
	return float64(state.outstanding) / state.Capacity
}

// reportedLoad returns an endpoint's last reported load, or the mean load if there is no report.
func (b *Balancer) reportedLoad(index int) float64 {
	if state := b.endpoints[index]; state.hasReport {
		return state.reportedLoad
	}
	return b.meanLoad
}

// lessLoaded returns the index with the lower load, or first if the loads are equal.
func lessLoaded(loadOf func(index int) float64, first, second int) int {
	if loadOf(second) < loadOf(first) {
		return second
	}
	return first
}

// leastLoaded returns the index with the lowest load. Of equal loads it returns the first, counting from start.
func (b *Balancer) leastLoaded(loadOf func(index int) float64, start int) int {
	best := start
	for offset := range b.endpoints {
		best = lessLoaded(loadOf, best, (start+offset)%len(b.endpoints))
	}
	return best
}

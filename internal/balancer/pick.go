package balancer

import (
	"math"
	"time"
)

// selection is the state of one call of Pick.
type selection struct {
	balancer *Balancer
	now      time.Duration
	random   func() float64
	excluded func(index int) bool // nil: no endpoint is excluded

	best      int // index of the least loaded endpoint so far, -1 for none
	leastLoad float64
}

// Pick returns the index of the endpoint for one request. With the default policy, this is the least loaded of a few
// endpoints that are drawn by weight. excluded, which may be nil, reports whether an index must not be returned. ok is
// false if there is no endpoint or all are excluded. random returns numbers in [0, 1). Pick does not allocate.
func (b *Balancer) Pick(
	now time.Duration, random func() float64, excluded func(index int) bool,
) (index int, ok bool) {
	if len(b.endpoints) == 0 {
		return 0, false
	}
	b.refreshWeights(now)
	b.pickCount++
	selection := selection{
		balancer:  b,
		now:       now,
		random:    random,
		excluded:  excluded,
		best:      -1,
		leastLoad: math.Inf(1),
	}
	if index, ok := b.pickBaseline(random); ok && !selection.isExcluded(index) {
		return index, true
	}
	selection.compareProbed()
	selection.compareDrawn()
	if selection.best >= 0 {
		return selection.best, true
	}
	return selection.pickFallback()
}

func (s *selection) isExcluded(index int) bool { return s.excluded != nil && s.excluded(index) }

// compare makes an endpoint the best if it is less loaded than the best so far.
func (s *selection) compare(state *endpointState) {
	if load := s.balancer.estimatedLoad(s.now, state); load < s.leastLoad {
		s.best = state.index
		s.leastLoad = load
	}
}

// compareProbed compares the endpoints that have recently answered a probe. PickProbe drew them by weight, so choosing
// the least loaded of them respects the weights. The starting slot is random so that ties are not always won by the
// first slot.
func (s *selection) compareProbed() {
	start := int(s.random() * probePoolSize)
	for offset := range probePoolSize {
		state := s.balancer.probePool[(start+offset)%probePoolSize]
		if state == nil || state.removed || state.outlier || s.now-state.reportedAt > 2*s.balancer.loadHalfLife {
			continue
		}
		if !s.isExcluded(state.index) && s.balancer.slowStartAllows(s.now, state, s.random) {
			s.compare(state)
		}
	}
}

// compareDrawn compares endpoints that are drawn by weight.
func (s *selection) compareDrawn() {
	for range s.balancer.config.ChoiceCount {
		candidate := s.balancer.drawByWeight(s.random())
		if candidate == s.best || s.isExcluded(candidate) {
			continue
		}
		if state := s.balancer.endpoints[candidate]; s.balancer.slowStartAllows(s.now, state, s.random) {
			s.compare(state)
		}
	}
}

// pickFallback returns the first endpoint, from a random index on, that is not excluded. It returns an endpoint that is
// warming up and has used up its slow start credit only if there is no other.
func (s *selection) pickFallback() (index int, ok bool) {
	endpoints := s.balancer.endpoints
	start := min(len(endpoints)-1, int(s.random()*float64(len(endpoints))))
	fallback := -1
	for offset := range endpoints {
		candidate := (start + offset) % len(endpoints)
		switch {
		case s.isExcluded(candidate):
		case s.balancer.slowStartAllows(s.now, endpoints[candidate], s.random):
			return candidate, true
		case fallback < 0:
			fallback = candidate
		}
	}
	return max(fallback, 0), fallback >= 0
}

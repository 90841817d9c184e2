package balancer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// slowStartSender is one of the senders in a fleet that a new endpoint joins.
type slowStartSender struct {
	balancer     *Balancer
	relativeRate float64       // request rate, relative to totalRelativeRate
	discoversAt  time.Duration // when the sender learns of the new endpoint
	discovered   bool
	open         []EndpointName // endpoints with a request of this sender in progress
}

// slowStart simulates an endpoint that joins a fleet. Each sender learns of it after a different delay, has a different
// share of the requests, and always sees reports that the new endpoint is idle.
type slowStart struct {
	random            *rand.Rand
	endpoints         []Endpoint // the new endpoint is the first
	senders           []*slowStartSender
	totalRelativeRate float64 // sum over the senders
	received          []int   // requests to the new endpoint per window
}

const (
	slowStartWarmUp = 12 * time.Second
	slowStartWindow = 2 * time.Second
	slowStartRate   = 1200.0 // requests per second of the fleet
	slowStartFleet  = 20     // number of endpoints
)

func newSlowStart(senders int, seed uint64) *slowStart {
	s := &slowStart{
		random:    rand.New(rand.NewPCG(seed, uint64(senders))),
		endpoints: makeEndpoints(slowStartFleet),
		received:  make([]int, slowStartWarmUp/slowStartWindow),
	}
	for range senders {
		sender := &slowStartSender{
			balancer:     newBalancer(DefaultConfig(), s.endpoints[1:]),
			relativeRate: 0.2 + s.random.ExpFloat64(),
			discoversAt:  time.Duration(s.random.Float64() * float64(1500*time.Millisecond)),
		}
		s.senders = append(s.senders, sender)
		s.totalRelativeRate += sender.relativeRate
	}
	return s
}

// step simulates one tick of a sender.
func (s *slowStart) step(sender *slowStartSender, now, tick time.Duration) {
	newName := s.endpoints[0].Name
	if !sender.discovered && now >= sender.discoversAt {
		sender.discovered = true
		s.endpoints[0].WarmUpRemaining, s.endpoints[0].WarmUp = slowStartWarmUp-now, slowStartWarmUp
		sender.balancer.SetEndpoints(now, s.endpoints)
	}
	if index, ok := sender.balancer.IndexOf(newName); ok {
		sender.balancer.RecordProbe(now, index, -0.9, 0)
	}
	for _, name := range sender.open {
		sender.balancer.RecordOutcome(now, name, Succeeded, tick)
	}
	sender.open = sender.open[:0]
	expected := slowStartRate * tick.Seconds() * sender.relativeRate / s.totalRelativeRate
	for ; expected > 0 && s.random.Float64() < expected; expected-- {
		index, _ := sender.balancer.Pick(now, s.random.Float64, nil)
		sender.balancer.RecordStart(now, index)
		name := sender.balancer.NameAt(index)
		sender.open = append(sender.open, name)
		if name == newName {
			s.received[now/slowStartWindow]++
		}
	}
}

// result returns the number of requests that the new endpoint received and the number allowed by its weight. worst is
// the maximum over all windows of the received requests, relative to the allowed ones plus a margin for chance.
func (s *slowStart) result() (received, allowed, worst float64) {
	for i, count := range s.received {
		// The share of all requests by the endpoint's weight in this window, which is its capacity in a saturated fleet.
		warmUpProgress := (float64(i) + 0.5) * float64(slowStartWindow) / float64(slowStartWarmUp)
		expected := slowStartRate * slowStartWindow.Seconds() / slowStartFleet * (0.1 + 0.9*warmUpProgress)
		received += float64(count)
		allowed += expected
		worst = max(worst, float64(count)/(expected+2*math.Sqrt(expected+2)))
	}
	return received, allowed, worst
}

// TestSlowStartOverAllSenders checks the requests that all senders together send to an endpoint that is warming up, for
// different numbers of senders and delays until each learns of it. In each window they must not exceed the allowed
// number plus a margin for chance. In total they must be at least half of the allowed number, so that the endpoint
// warms up.
func TestSlowStartOverAllSenders(t *testing.T) {
	const tick = 10 * time.Millisecond
	for _, senders := range []int{1, 2, 3, 5, 10, 20, 30, 100, 300} {
		for seed := range uint64(4) {
			simulated := newSlowStart(senders, seed)
			for now := time.Duration(0); now < slowStartWarmUp; now += tick {
				for _, sender := range simulated.senders {
					simulated.step(sender, now, tick)
				}
			}
			received, allowed, worst := simulated.result()
			if worst > 1 || received < allowed/2 {
				t.Errorf("%d senders, seed %d: worst window at %.2f of its limit, received %.0f of %.0f allowed requests",
					senders, seed, worst, received, allowed)
			}
		}
	}
}

// Example_allWarmingUp shows that endpoints that are warming up receive all requests if there are no others.
func Example_allWarmingUp() {
	endpoints := makeEndpoints(3)
	for i := range endpoints {
		endpoints[i].WarmUpRemaining, endpoints[i].WarmUp = 10*time.Second, 10*time.Second
	}
	balancer := newBalancer(DefaultConfig(), endpoints)
	random := rand.New(rand.NewPCG(1, 1)).Float64
	picked := map[bool]int{}
	for range 100 {
		index, ok := balancer.Pick(0, random, func(index int) bool { return index == 1 })
		balancer.RecordStart(0, index)
		picked[ok && index != 1]++
	}
	fmt.Println(picked)
	// Output:
	// map[true:100]
}

// Example_allEjected shows that all weights are 0 while every endpoint is ejected. An endpoint that is warming up
// receives its share again after it has recovered.
func Example_allEjected() {
	endpoints := makeEndpoints(2)
	endpoints[0].WarmUpRemaining, endpoints[0].WarmUp = time.Minute, time.Minute
	config := DefaultConfig()
	config.MaxOutlierFraction = 1
	balancer := newBalancer(config, endpoints)
	random := rand.New(rand.NewPCG(1, 1)).Float64
	for _, endpoint := range endpoints {
		for range 2 {
			balancer.RecordOutcome(time.Second, endpoint.Name, Failed, 0)
		}
	}
	pick := func(now time.Duration, requests int) (warmingUp int) {
		for range requests {
			index, _ := balancer.Pick(now, random, nil)
			balancer.RecordStart(now, index)
			balancer.RecordOutcome(now, balancer.NameAt(index), Succeeded, 10*time.Millisecond)
			warmingUp += 1 - index
		}
		return warmingUp
	}
	balancer.weightsStale, balancer.weightsAt = true, 0
	index, ok := balancer.Pick(time.Second, random, func(index int) bool { return index == 1 })
	fmt.Println("weight:", balancer.cumulativeWeights[1], index, ok)
	// The share is small because the endpoint was an outlier.
	fmt.Println("later, more than 20 of 1000:", pick(40*time.Second, 1000) > 20)
	// Output:
	// weight: 0 0 true
	// later, more than 20 of 1000: true
}

package balancer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// slowStartSender is one of many senders of a fleet that an endpoint joins.
type slowStartSender struct {
	balancer     *Balancer
	relativeRate float64       // of all requests, unscaled
	discoversAt  time.Duration // when it learns that the endpoint is there
	discovered   bool
	open         []EndpointName // endpoints with a request of ours in progress
}

// slowStart is an endpoint that starts among others. Each sender learns of it late, by a time of its own, has a part of
// the requests of its own, and believes the newcomer to be idle all the while.
type slowStart struct {
	random            *rand.Rand
	endpoints         []Endpoint // the newcomer first
	senders           []*slowStartSender
	totalRelativeRate float64 // sum of the senders' parts
	received          []int   // requests to the newcomer by window
}

const (
	slowStartWarmUp = 12 * time.Second
	slowStartWindow = 2 * time.Second
	slowStartRate   = 1200.0 // requests a second of the fleet
	slowStartFleet  = 20     // endpoints
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

// step has a sender do what it does in one tick.
func (s *slowStart) step(sender *slowStartSender, now, tick time.Duration) {
	newcomer := s.endpoints[0].Name
	if !sender.discovered && now >= sender.discoversAt {
		sender.discovered = true
		s.endpoints[0].WarmUpRemaining, s.endpoints[0].WarmUp = slowStartWarmUp-now, slowStartWarmUp
		sender.balancer.SetEndpoints(now, s.endpoints)
	}
	if index, ok := sender.balancer.IndexOf(newcomer); ok {
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
		if name == newcomer {
			s.received[now/slowStartWindow]++
		}
	}
}

// result returns the requests that the newcomer received, those that it should receive at the most, and the worst
// window: its requests against those, with what chance may add.
func (s *slowStart) result() (received, allowed, worst float64) {
	for i, count := range s.received {
		// Its weight of all that is sent, by how far it is warmed up in this window: what it bears in a saturated fleet.
		warmUpProgress := (float64(i) + 0.5) * float64(slowStartWindow) / float64(slowStartWarmUp)
		expected := slowStartRate * slowStartWindow.Seconds() / slowStartFleet * (0.1 + 0.9*warmUpProgress)
		received += float64(count)
		allowed += expected
		worst = max(worst, float64(count)/(expected+2*math.Sqrt(expected+2)))
	}
	return received, allowed, worst
}

// TestSlowStartOverAllSenders checks that what all senders together give an endpoint that is warming up stays under
// what it is allowed and what is put down to chance, however many they are and however late each learns of it; and
// that it is warmed up: it gets half of that at the least.
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
				t.Errorf("%d senders, seed %d: %.2f of what may come in a window, %.0f of %.0f in all",
					senders, seed, worst, received, allowed)
			}
		}
	}
}

// Example_allWarmingUp shows that an endpoint that is the only one left gets all requests, warming up or not.
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

// Example_allEjected shows that nobody has a weight while every endpoint is ejected; one that is warming up and
// succeeds again gets its part then.
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
	// Its share is small: it was an outlier.
	fmt.Println("later, of 1000:", pick(40*time.Second, 1000) > 20)
	// Output:
	// weight: 0 0 true
	// later, of 1000: true
}

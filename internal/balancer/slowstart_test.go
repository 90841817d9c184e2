package balancer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// simulateSlowStart is a member that starts among others, and many that send to it: each hears of the start late, by a time of its own, has a part of the
// ops of its own, and believes the newcomer to be idle all the while. It gives the most that came within any of the spans against what was allowed, N and what chance may add.
func simulateSlowStart(senders int, seed uint64) (worst float64, came, allowed float64) {
	const warm, span, total, count = 12 * time.Second, 2 * time.Second, 1200.0, 20
	rng := rand.New(rand.NewPCG(seed, uint64(senders)))
	type sender struct {
		c     *Balancer
		part  float64
		hears time.Duration
		known bool
		open  []EndpointName
	}
	all := make([]*sender, senders)
	sum := 0.0
	members := makeEndpoints(count)
	for i := range all {
		all[i] = &sender{c: newBalancer(DefaultConfig(), members[1:]), part: 0.2 + rng.ExpFloat64(), hears: time.Duration(rng.Float64() * float64(1500*time.Millisecond))}
		sum += all[i].part
	}
	const tick = 10 * time.Millisecond
	got := make([]float64, warm/span)
	for now := time.Duration(0); now < warm; now += tick {
		for _, s := range all {
			if !s.known && now >= s.hears {
				s.known = true
				members[0].WarmUpRemaining, members[0].WarmUp = warm-now, warm
				s.c.SetEndpoints(now, members)
			}
			if place, here := s.c.IndexOf("m0"); here {
				s.c.RecordProbe(now, place, -0.9, 0)
			}
			for _, n := range s.open {
				s.c.RecordOutcome(now, n, Succeeded, tick)
			}
			s.open = s.open[:0]
			want := total * tick.Seconds() * s.part / sum
			for ; want > 0 && rng.Float64() < want; want-- {
				i, _ := s.c.Pick(now, rng.Float64, nil)
				s.c.RecordStart(now, i)
				n := s.c.NameAt(i)
				s.open = append(s.open, n)
				if n == "m0" {
					got[now/span]++
				}
			}
		}
	}
	for i, n := range got {
		// Its share of all that is sent, by how warm it is in this span: what it bears where the fleet is full.
		age := (float64(i) + 0.5) * float64(span) / float64(warm)
		may := total * span.Seconds() / count * (0.1 + 0.9*age)
		came, allowed = came+n, allowed+may
		worst = max(worst, n/(may+2*math.Sqrt(may+2)))
	}
	return worst, came, allowed
}

// What all senders together give a cold member stays under what it is allowed and what is put down to chance, however many they are and however
// late each hears of it; and it is warmed: it gets half of that at the least.
func TestSlowStartOverAllSenders(t *testing.T) {
	for _, senders := range []int{1, 2, 3, 5, 10, 20, 30, 100, 300} {
		for seed := range uint64(4) {
			worst, came, allowed := simulateSlowStart(senders, seed)
			if worst > 1 || came < allowed/2 {
				t.Errorf("%d senders, seed %d: %.2f of what may come in a span, %.0f of %.0f in all", senders, seed, worst, came, allowed)
			}
		}
	}
}

// A newcomer that is the only one left is given what there is; where all are cold nobody is refused for it.
func Example_allWarmingUp() {
	members := makeEndpoints(3)
	for i := range members {
		members[i].WarmUpRemaining, members[i].WarmUp = 10*s, 10*s
	}
	c := newBalancer(DefaultConfig(), members)
	random := rand.New(rand.NewPCG(1, 1)).Float64
	given := map[bool]int{}
	for range 100 {
		i, ok := c.Pick(0, random, func(i int) bool { return i == 1 })
		c.RecordStart(0, i)
		given[ok && i != 1]++
	}
	fmt.Println(given)
	// Output:
	// map[true:100]
}

// While every member rests nobody has a share; a cold one that serves again gets its part then.
func Example_allEjected() {
	members := makeEndpoints(2)
	members[0].WarmUpRemaining, members[0].WarmUp = 60*s, 60*s
	config := DefaultConfig()
	config.MaxOutlierFraction = 1
	c := newBalancer(config, members)
	random := rand.New(rand.NewPCG(1, 1)).Float64
	for _, m := range members {
		for range 2 {
			c.RecordOutcome(s, m.Name, Failed, 0)
		}
	}
	pick := func(now time.Duration, n int) (cold int) {
		for range n {
			i, _ := c.Pick(now, random, nil)
			c.RecordStart(now, i)
			c.RecordOutcome(now, c.NameAt(i), Succeeded, 10*ms)
			cold += 1 - i
		}
		return cold
	}
	c.weightsStale, c.weightsAt = true, 0
	i, ok := c.Pick(s, random, func(i int) bool { return i == 1 }) // the cold one alone may be given it
	fmt.Println("shares:", c.cumulativeWeights[1], i, ok)
	fmt.Println("later, of 1000:", pick(40*s, 1000) > 20) // a fiftieth of its share at the least, as it was bad
	// Output:
	// shares: 0 0 true
	// later, of 1000: true
}

const ms = time.Millisecond

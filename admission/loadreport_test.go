package admission

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// Reading is swamped: ops come in that lay unread for long. The signal falls, and once it lasts, nacked ops
// are asked not to walk on.
func Example_queueDelay() {
	s := newFixture(Settings{LoadSignal: LoadSignalChance})
	s.warmUp(200 * ms)
	for i := range 12 {
		late := newRequest(fmt.Sprint("s", i), 400*ms, 0.1)
		late.QueueDelay = 450 * ms
		s.quiet = i > 0 && i < 11
		s.submit(late)
		s.advance(50*ms, Gauges{GaugeRunnable: 4})
	}
	// Output:
	// 3200ms start s0
	// 3200ms load 0.20
	// 3750ms reject s11, no failover
}

// A token for each caller is told as a chance where callers seldom have two ops here.
func Example_tokens() {
	for _, callers := range []int{2, 40} {
		s := newFixture(Settings{LoadSignal: LoadSignalTokens})
		s.warmUp(200 * ms)
		s.quiet = true
		for i := range 60 {
			a := newRequest(fmt.Sprint("op", i), 300*ms, 0.1)
			a.Caller = CallerID(i % callers)
			s.submit(a)
			s.now += 20 * ms
		}
		fmt.Printf("%d callers: welcome %.2f, token %.2f\n", callers, s.controller.acceptance(), s.controller.publishedLoad)
	}
	// Output:
	// 2 callers: welcome 0.14, token 0.50
	// 40 callers: welcome 0.14, token 0.15
}

// The level by rank holds from the first answer of a cold instance on: nobody has come yet, and three in ten of the ranks are wanted.
func Example_warmUpRank() {
	s := newFixture(Settings{LoadSignal: LoadSignalLeastRank, JustStarted: true, WarmUp: 10 * time.Second, WarmUpSpeedShare: 0.3})
	s.controller.Decide()
	warm := newFixture(Settings{LoadSignal: LoadSignalLeastRank})
	warm.controller.Decide()
	// Output:
	// 0ms load 0.70
	// 0ms load 0.00
}

// What a cold instance invites by its own signal, summed over all callers that may heed it, stays within what it bears and what chance adds, from
// its first answer on, with 1 to 300 callers of which it has seen none, some or all.
func TestWarmUpTokens(t *testing.T) {
	const from, target, fall = 0.3, time.Second, 2 * time.Second
	for callers := 1; callers <= 300; callers++ {
		for _, seen := range []int{0, 1, callers / 2, callers} {
			s := newFixture(Settings{LoadSignal: LoadSignalTokens, Callers: float64(callers), JustStarted: true, WarmUp: 10 * time.Second,
				WarmUpSpeedShare: from, OverloadTolerance: fall})
			s.quiet = true
			for i := range seen {
				a := newRequest(fmt.Sprint("a", i), 10*ms, 0.9)
				a.Caller = CallerID(i)
				s.submit(a)
				s.now += ms
				s.finish(Succeeded, 10*ms, a.ID)
			}
			s.controller.Decide()
			// What is allowed in the told span while nothing is known of the work: an eighth of a target each, on two cores.
			n := 2 * s.controller.slowStart.speedShare(s.now) * float64(fall) / float64(target/8)
			if seen > 0 {
				n = 2 * s.controller.slowStart.speedShare(s.now) * float64(fall) / float64(10*ms)
			}
			if sum := float64(callers) * s.controller.publishedLoad; sum > n+2*math.Sqrt(n+2) || sum <= 0 {
				t.Fatalf("%d callers, %d seen: %.1f invited, %.1f allowed", callers, seen, sum, n)
			}
		}
	}
}

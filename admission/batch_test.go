package admission

import (
	"fmt"
	"time"
)

// The knapsack starts an at-risk anchor against the key, while no core is free; without a feasible one the
// key decides.
func Example_batchSelection() {
	scene := func(age time.Duration) {
		s := newFixture(Settings{})
		s.warmUp(200 * ms)
		s.controller.limit.grown = 3
		s.submit(newRequest("a1", 200*ms, 0.9), newRequest("a2", 200*ms, 0.9), newRequest("a3", 200*ms, 0.9))
		s.submit(newRequest("waiting", 200*ms, 0.1))
		s.now += age
		s.controller.health.lastProgress = s.now
		s.controller.recordGauges(Gauges{GaugeRunnable: 3})
		s.controller.limit.grown = 3 // as idle cores let it grow before
		for _, o := range s.controller.requests.running {
			o.arrivedAt = s.now // their slack leaves the limit as it is
		}
		s.onEnd["a1"](Succeeded, 200*ms)
		s.submit(newRequest("head", 150*ms, 0.9))
	}
	scene(660 * ms)
	fmt.Println("no feasible anchor")
	scene(740 * ms)
	fmt.Println("nobody at risk")
	scene(100 * ms)
	// Output:
	// 3200ms start a1
	// 3200ms start a2
	// 3200ms start a3
	// 3860ms start waiting
	// no feasible anchor
	// 3200ms start a1
	// 3200ms start a2
	// 3200ms start a3
	// 3940ms start head
	// 3940ms reject waiting
	// nobody at risk
	// 3200ms start a1
	// 3200ms start a2
	// 3200ms start a3
	// 3300ms start head
}

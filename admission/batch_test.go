package admission

import (
	"fmt"
	"time"
)

// The knapsack starts an at-risk anchor against the key, while no core is free; without a feasible one the
// key decides.
func Example_batchSelection() {
	scene := func(age time.Duration) {
		s := open(Settings{})
		s.warm(200 * ms)
		s.desk.limit.grown = 3
		s.read(newRequest("a1", 200*ms, 0.9), newRequest("a2", 200*ms, 0.9), newRequest("a3", 200*ms, 0.9))
		s.read(newRequest("waiting", 200*ms, 0.1))
		s.now += age
		s.desk.health.lastProgress = s.now
		s.desk.recordGauges(Gauges{GaugeRunnable: 3})
		s.desk.limit.grown = 3 // as idle cores let it grow before
		for _, o := range s.desk.requests.running {
			o.arrivedAt = s.now // their slack leaves the limit as it is
		}
		s.ended["a1"](Succeeded, 200*ms)
		s.read(newRequest("head", 150*ms, 0.9))
	}
	scene(660 * ms)
	fmt.Println("no feasible anchor")
	scene(740 * ms)
	fmt.Println("nobody at risk")
	scene(100 * ms)
	// Output:
	// 3200ms run a1
	// 3200ms run a2
	// 3200ms run a3
	// 3860ms run waiting
	// no feasible anchor
	// 3200ms run a1
	// 3200ms run a2
	// 3200ms run a3
	// 3940ms run head
	// 3940ms nack waiting
	// nobody at risk
	// 3200ms run a1
	// 3200ms run a2
	// 3200ms run a3
	// 3300ms run head
}

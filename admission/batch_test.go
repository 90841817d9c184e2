package admission

import (
	"fmt"
	"time"
)

// Batch selection starts a request at risk ahead of the start order while no core is free. The start order applies
// if there is no feasible batch.
func Example_batchSelection() {
	play := func(age time.Duration) {
		s := newFixture(Settings{})
		s.warmUp(200 * ms)
		s.controller.limit.runs = 3
		s.submit(newRequest("a1", 200*ms, 0.9), newRequest("a2", 200*ms, 0.9), newRequest("a3", 200*ms, 0.9))
		s.submit(newRequest("waiting", 200*ms, 0.1))
		s.now += age
		s.controller.health.lastProgress = s.now
		s.controller.recordGauges(Gauges{GaugeRunnable: 3})
		s.controller.limit.runs = 3 // the limit to which idle cores let it grow before
		for _, r := range s.controller.requests.running {
			r.arrivedAt = s.now // their slack does not reduce the limit
		}
		s.onEnd["a1"](Succeeded, 200*ms)
		s.submit(newRequest("head", 150*ms, 0.9))
	}
	play(660 * ms)
	fmt.Println("no feasible batch")
	play(740 * ms)
	fmt.Println("none at risk")
	play(100 * ms)
	// Output:
	// 3200ms start a1
	// 3200ms start a2
	// 3200ms start a3
	// 3860ms start waiting
	// no feasible batch
	// 3200ms start a1
	// 3200ms start a2
	// 3200ms start a3
	// 3940ms start head
	// 3940ms reject waiting
	// none at risk
	// 3200ms start a1
	// 3200ms start a2
	// 3200ms start a3
	// 3300ms start head
}

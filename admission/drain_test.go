package admission

import (
	"fmt"
	"time"
)

// During a drain, no request that arrives after the grace runs, and all requests are answered before the kill.
func Example_drain() {
	s := newFixture(Settings{})
	s.warmUp(200 * ms)
	s.controller.Drain(s.now + 1500*ms)
	s.submit(newRequest("in time", 200*ms, 0.1))
	s.advance(1100*ms, Gauges{GaugeRunnable: 1})
	s.submit(newRequest("after the grace", 200*ms, 0.1))
	s.advance(300*ms, Gauges{GaugeRunnable: 1})
	// Output:
	// 3200ms state healthy -> draining: queued 1, running 0
	// 3200ms health false
	// 3200ms start in time
	// 4300ms reject after the grace
	// 4550ms reject in time
}

// All requests are answered some time before the kill, because the machine may be suspended: a twelfth of the duration
// of a long drain, and 150 ms in a short one.
func Example_answeredBeforeKill() {
	for _, drain := range []time.Duration{8400 * ms, 1200 * ms} {
		s := newFixture(Settings{})
		s.quiet = true
		a := newRequest("a", 10*ms, 0.1)
		a.HasDeadline, a.Deadline = true, time.Minute
		s.submit(a)
		killAt := s.now + drain
		s.controller.Drain(killAt)
		s.controller.Decide()
		for !s.controller.requests.byID["a"].answered && s.now < killAt {
			s.advance(2*ms, nil)
		}
		fmt.Println(drain, "answered before the kill by", killAt-s.now)
	}
	// Output:
	// 8.4s answered before the kill by 700ms
	// 1.2s answered before the kill by 150ms
}

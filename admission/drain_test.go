package admission

import (
	"fmt"
	"time"
)

// Drain: nothing that came after the grace runs, and all is answered before the kill.
func Example_drain() {
	s := open(Settings{})
	s.warm(200 * ms)
	s.desk.Drain(s.now + 1500*ms)
	s.read(newRequest("in time", 200*ms, 0.1))
	s.pass(1100*ms, Gauges{GaugeRunnable: 1})
	s.read(newRequest("after the grace", 200*ms, 0.1))
	s.pass(300*ms, Gauges{GaugeRunnable: 1})
	// Output:
	// 3200ms state healthy -> draining: queued 1, running 0
	// 3200ms health false
	// 3200ms run in time
	// 4300ms nack after the grace
	// 4550ms nack in time
}

// Before the kill all is answered: a twelfth of a long drain ahead of it, 150 ms ahead at the end of a short one, as the machine may stand still.
func Example_answeredBeforeKill() {
	for _, drain := range []time.Duration{8400 * ms, 1200 * ms} {
		s := open(Settings{})
		s.quiet = true
		a := newRequest("a", 10*ms, 0.1)
		a.HasDeadline, a.Deadline = true, time.Minute
		s.read(a)
		killAt := s.now + drain
		s.desk.Drain(killAt)
		s.desk.Decide()
		for !s.desk.requests.byID["a"].answered && s.now < killAt {
			s.pass(2*ms, nil)
		}
		fmt.Println(drain, "answered before the kill by", killAt-s.now)
	}
	// Output:
	// 8.4s answered before the kill by 700ms
	// 1.2s answered before the kill by 150ms
}

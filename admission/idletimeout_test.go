package admission

import (
	"fmt"
	"time"
)

// Connections: callers that come back are kept; where each comes once, unused connections are closed a step
// sooner at each look, but not while more is nacked than started.
func Example_idleTimeout() {
	scene := func(callers int, work time.Duration) {
		s := newFixture(Settings{MaxIdleTimeout: 8 * time.Second})
		for i := range 20 {
			a := newRequest(fmt.Sprint("op", i), work, 0.1)
			a.Caller = CallerID(i % callers)
			s.quiet = true
			s.submit(a)
			s.advance(100*ms, Gauges{GaugeRunnable: 2, GaugeBusyCores: 1})
			if work < time.Second {
				s.finish(Succeeded, 100*ms, a.ID)
			}
		}
		nacked := s.controller.idle.rejectionRate() > 0.5
		fmt.Println(callers, "callers, ops of", work, "nacked", nacked, "idle for", s.controller.idle.current)
	}
	scene(2, 100*ms)
	scene(20, 100*ms)
	scene(20, 2*time.Second)
	// Output:
	// 2 callers, ops of 100ms nacked false idle for 8s
	// 20 callers, ops of 100ms nacked false idle for 31.25ms
	// 20 callers, ops of 2s nacked true idle for 8s
}

package admission

import (
	"fmt"
	"time"
)

// The idle timeout stays at its maximum if callers send further requests on their connections. If each caller sends
// only one request, the timeout is halved at each sample, unless the rejection rate is at least
// keepOpenRejectionRate.
func Example_idleTimeout() {
	play := func(callers int, work time.Duration) {
		s := newFixture(Settings{MaxIdleTimeout: 8 * time.Second})
		for i := range 20 {
			a := newRequest(fmt.Sprint("r", i), work, 0.1)
			a.Caller = CallerID(i % callers)
			s.quiet = true
			s.submit(a)
			s.advance(100*ms, Gauges{GaugeRunnable: 2, GaugeBusyCores: 1})
			if work < time.Second {
				s.finish(Succeeded, 100*ms, a.ID)
			}
		}
		rejected := s.controller.idle.rejectionRate() > 0.5
		fmt.Println(callers, "callers, runs of", work, "rejected", rejected, "idle timeout", s.controller.idle.current)
	}
	play(2, 100*ms)
	play(20, 100*ms)
	play(20, 2*time.Second)
	// Output:
	// 2 callers, runs of 100ms rejected false idle timeout 8s
	// 20 callers, runs of 100ms rejected false idle timeout 31.25ms
	// 20 callers, runs of 2s rejected true idle timeout 8s
}

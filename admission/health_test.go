package admission

import (
	"fmt"
	"time"
)

// In the stalled state, requests start but none completes. All requests are answered immediately, and the next run
// that ends makes the instance healthy again.
func Example_stalled() {
	s := newFixture(Settings{LoadSignal: LoadSignalChance})
	s.warmUp(100 * ms)
	s.submit(newRequest("a", 100*ms, 0.1), newRequest("b", 100*ms, 0.1), newRequest("c", 100*ms, 0.9))
	s.advance(800*ms, Gauges{GaugeRunnable: 2})
	s.submit(newRequest("d", 100*ms, 0.1))
	s.finish(Succeeded, 900*ms, "a", "b")
	s.submit(newRequest("e", 100*ms, 0.1))
	// Output:
	// 1600ms start c
	// 1600ms start a
	// 1600ms load 0.70
	// 2150ms state healthy -> stalled: queued 1, running 2
	// 2150ms health false
	// 2150ms reject b
	// 2150ms reject c
	// 2150ms reject a
	// 2150ms load 0.00
	// 2400ms reject d
	// 2400ms b does not run
	// 2400ms state stalled -> healthy: queued 0, running 1
	// 2400ms health true
	// 2400ms load 0.85
	// 2400ms start e
}

// In the failing state, most runs fail immediately. A few requests run as probes, and old failures expire.
func Example_failing() {
	s := newFixture(Settings{})
	s.warmUp(100 * ms)
	for i := range 16 {
		id := fmt.Sprint("f", i)
		s.quiet = i > 0 && i < 14
		s.submit(newRequest(id, 100*ms, 0.1))
		if s.onEnd[RequestID(id)] != nil {
			s.finish(Failed, ms, RequestID(id))
		}
	}
	s.advance(6*time.Second, nil)
	s.submit(newRequest("healthy again", 100*ms, 0.1))
	// Output:
	// 1600ms start f0
	// 1600ms reject f14
	// 1600ms reject f15
	// 6600ms state failing -> healthy: queued 0, running 0
	// 6600ms health true
	// 7600ms start healthy again
}

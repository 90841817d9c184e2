package admission

import (
	"fmt"
	"time"
)

// Stuck: work goes in and none comes out. All are told at once; the first ending is the way back.
func Example_stalled() {
	s := open(Settings{LoadSignal: LoadSignalChance})
	s.warm(100 * ms)
	s.read(newRequest("a", 100*ms, 0.1), newRequest("b", 100*ms, 0.1), newRequest("c", 100*ms, 0.9))
	s.pass(800*ms, Gauges{GaugeRunnable: 2})
	s.read(newRequest("d", 100*ms, 0.1))
	s.end(Succeeded, 900*ms, "a", "b")
	s.read(newRequest("e", 100*ms, 0.1))
	// Output:
	// 1600ms run c
	// 1600ms run a
	// 1600ms signal 0.70
	// 2150ms state healthy -> stalled: queued 1, running 2
	// 2150ms health false
	// 2150ms nack b
	// 2150ms nack c
	// 2150ms nack a
	// 2150ms signal 0.00
	// 2400ms nack d
	// 2400ms b does not run
	// 2400ms state stalled -> healthy: queued 0, running 1
	// 2400ms health true
	// 2400ms signal 0.85
	// 2400ms run e
}

// Failing: most runs end at once and badly. A few go through, to see; old failures are forgotten.
func Example_failing() {
	s := open(Settings{})
	s.warm(100 * ms)
	for i := range 16 {
		id := fmt.Sprint("f", i)
		s.quiet = i > 0 && i < 14
		s.read(newRequest(id, 100*ms, 0.1))
		if end := s.ended[RequestID(id)]; end != nil {
			s.end(Failed, ms, RequestID(id))
		}
	}
	s.pass(6*time.Second, nil)
	s.read(newRequest("well again", 100*ms, 0.1))
	// Output:
	// 1600ms run f0
	// 1600ms nack f14
	// 1600ms nack f15
	// 6600ms state failing -> healthy: queued 0, running 0
	// 6600ms health true
	// 7600ms run well again
}

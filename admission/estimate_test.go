package admission

import (
	"fmt"
	"time"
)

// The run time is fitted against the number of runs. It is proportional while there are too few runs for a line
// fit.
func Example_runTimeFit() {
	s := newFixture(Settings{})
	low := s.controller.classes["low"]
	for i := range 12 {
		concurrency := float64(2 + i%4)
		elapsed := time.Duration(100+50*concurrency) * ms
		low.runs.add(runSample{elapsed: elapsed, hint: 100 * ms, concurrency: concurrency})
	}
	fitted := func(running int) time.Duration { return s.controller.fittedRunTime(low, running, s.now).Round(ms) }
	fmt.Println("line", fitted(2), fitted(6))
	low.runs.recent = low.runs.recent[:1]
	low.runs.successes++ // as add does, to invalidate the cached estimate
	fmt.Println("proportion", fitted(2), fitted(4))
	// Output:
	// line 200ms 400ms
	// proportion 200ms 400ms
}

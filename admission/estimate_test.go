package admission

import (
	"fmt"
	"time"
)

// The fit: run time against the running count, in proportion while there are too few runs for a line.
func Example_runTimeFit() {
	s := newFixture(Settings{})
	low := s.controller.classes["low"]
	for i := range 12 {
		crowd := float64(2 + i%4)
		low.runs.recent = append(low.runs.recent, runSample{elapsed: time.Duration(100+50*crowd) * ms, hint: 100 * ms, concurrency: crowd})
	}
	fmt.Println("line", s.controller.fittedRunTime(low, 2, s.now).Round(ms), s.controller.fittedRunTime(low, 6, s.now).Round(ms))
	low.runs.recent = low.runs.recent[:1]
	low.runs.successes++ // runs come by ended alone, which counts them
	fmt.Println("proportion", s.controller.fittedRunTime(low, 2, s.now).Round(ms), s.controller.fittedRunTime(low, 4, s.now).Round(ms))
	// Output:
	// line 200ms 400ms
	// proportion 200ms 400ms
}

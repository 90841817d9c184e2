package admission

import (
	"fmt"
	"time"
)

// All first attempts have 1500 ms left until their deadline. A request with a different time left is taken for a retry:
// the time that its earlier attempts took, the timeout of 3 s minus the time left, is subtracted from its slack.
func Example_earlierAttemptTime() {
	s := newFixture(Settings{})
	for i := range 16 {
		first := newRequest(fmt.Sprint("first", i), 100*ms, 0.1)
		first.HasDeadline, first.Deadline = true, s.now+1500*ms
		s.quiet = true
		s.submit(first)
		s.finish(Succeeded, 100*ms, first.ID)
		s.now += 100 * ms
	}
	for _, left := range []time.Duration{1500, 2300} {
		a := newRequest(fmt.Sprint("left ", int(left)), 100*ms, 0.1)
		a.HasDeadline, a.Deadline = true, s.now+left*ms
		s.submit(a)
		fmt.Println(a.ID, "slack", s.controller.requests.byID[a.ID].slack(s.now))
	}
	// Output:
	// left 1500 slack 1s
	// left 2300 slack 300ms
}

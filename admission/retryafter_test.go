package admission

import "fmt"

// In a storm of marked retries the callers of rejected requests are asked not to try another instance.
func Example_retryStorm() {
	s := newFixture(Settings{})
	s.warmUp(400 * ms)
	for i := range 10 {
		a := newRequest(fmt.Sprint("r", i), 400*ms, 0.1)
		a.IsRetry = i%2 == 1
		s.quiet = i < 7
		s.submit(a)
	}
	// Output:
	// 6400ms reject r7
	// 6400ms reject r8
	// 6400ms reject r9, no failover
}

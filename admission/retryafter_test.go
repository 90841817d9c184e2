package admission

import "fmt"

// In a storm of marked tries a nacked op is asked to go nowhere else.
func Example_retryStorm() {
	s := newFixture(Settings{})
	s.warmUp(400 * ms)
	for i := range 10 {
		a := newRequest(fmt.Sprint("op", i), 400*ms, 0.1)
		a.IsRetry = i%2 == 1
		s.quiet = i < 7
		s.submit(a)
	}
	// Output:
	// 6400ms reject op7
	// 6400ms reject op8
	// 6400ms reject op9, no failover
}

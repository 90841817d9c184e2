package tokens

import (
	"fmt"
	"time"
)

// A single-use token is accepted once. At the limit, no ID is forgotten before it expires, and new IDs must wait. If
// the clock steps back, a forgotten ID is not accepted again.
func Example_singleUse() {
	ids := newSingleUseIDs(2)
	use := func(wall time.Duration, id string, expiry time.Duration) {
		denial, wait := ids.use(start.Add(wall), id, start.Add(expiry))
		fmt.Printf("%s at %v: %q %v\n", id, wall, denial, wait)
	}
	use(0, "a", 10*time.Second)
	use(0, "a", 10*time.Second)
	use(0, "b", 20*time.Second)
	use(0, "c", 30*time.Second)
	use(10*time.Second, "c", 30*time.Second)
	use(0, "a", 10*time.Second)
	// Output:
	// a at 0s: "" 0s
	// a at 0s: "replayed" 0s
	// b at 0s: "" 0s
	// c at 0s: "" 10s
	// c at 10s: "" 0s
	// a at 0s: "expired" 0s
}

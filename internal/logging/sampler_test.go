package logging

import (
	"fmt"
	"time"
)

// In each window a few lines of each key are allowed, and the others are counted; the next window starts from zero.
func Example_sampler() {
	var sampler Sampler[string]
	now := time.Unix(0, 0)
	var allowed []bool
	for i := range 10 {
		allowed = append(allowed, sampler.Allow("a", now))
		if i < 2 {
			allowed = append(allowed, sampler.Allow("b", now))
		}
	}
	fmt.Println(allowed)
	report := func(key string, suppressed int) { fmt.Println(key, suppressed) }
	sampler.FlushSuppressed(now.Add(time.Second), report)
	sampler.FlushSuppressed(now.Add(1001*time.Millisecond), report)
	fmt.Println(sampler.Allow("a", now.Add(2*time.Second)))
	// Output:
	// [true true true true true true false false false false false false]
	// a 6
	// true
}

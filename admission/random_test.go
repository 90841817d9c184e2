package admission

import (
	"fmt"
	"strings"
	"time"
)

// The same seed and events result in the same trace. Another seed draws different random numbers.
func Example_sameSeed() {
	trace := func() string {
		var out strings.Builder
		s := newFixture(Settings{LoadSignal: LoadSignalChance, RetryAfterAllowed: true, MaxRetryAfter: time.Second})
		s.out = &out
		for i := range 20 {
			s.submit(newRequest(fmt.Sprint("r", i), time.Duration(100+i)*ms, float64(i%5)/5))
			s.now += 40 * ms
			if i%4 == 3 {
				s.finish(Succeeded, 150*ms, "r0", "r1")
			}
		}
		return out.String()
	}
	first := trace()
	fmt.Println(strings.Count(first, "\n"), "lines, the same:", first == trace())
	fmt.Println(newFixture(Settings{}).controller.random.float64() == (&randomSource{seed: 8}).float64())
	// Output:
	// 44 lines, the same: true
	// false
}

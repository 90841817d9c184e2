package admission

import (
	"fmt"
	"time"
)

// A call is repeated only if the request may run again or the outcome proves that the call never ran.
func Example_callRepeated() {
	notIdempotent := ClassSettings{
		Name:             "low",
		Weight:           1,
		LatencyObjective: time.Second,
		Timeout:          2 * time.Second,
		Idempotency:      NotIdempotent,
	}
	s := newFixture(Settings{Classes: []ClassSettings{notIdempotent}, Upstream: UpstreamNextTier})
	s.submit(newRequest("a", 200*ms, 0.1), newRequest("b", 200*ms, 0.1))
	s.onCall["a"]()
	s.onCall["b"]()
	s.controller.Decide()
	s.onCallDone["a"](Rejected, ms)
	s.onCallDone["b"](TimedOut, ms)
	s.controller.Decide()
	fmt.Println("if an answer without the call has a value")
	s = newFixture(Settings{
		Classes:        withSkippedCallValue(0.5, 0),
		Upstream:       UpstreamShared,
		UpstreamShare:  1,
		UpstreamWindow: time.Second,
	})
	s.submit(newRequest("c", 200*ms, 0.1))
	s.onCall["c"]()
	s.controller.Decide()
	s.onCallDone["c"](TimedOut, ms)
	s.controller.Decide()
	// Output:
	// 0ms start a
	// 0ms start b
	// 0ms call a
	// 0ms call b
	// 0ms fail b
	// 0ms call a
	// 0ms fail b
	// if an answer without the call has a value
	// 0ms start c
	// 0ms call c
	// 0ms skip call c
}

// A single lost or missing reply does not cause a call to be skipped while there is time for a whole run. The timeout
// of the first attempt is a small multiple of the slowest recent call. A run that never started counts neither as a
// failure nor as progress.
func Example_lostReply() {
	s := newFixture(Settings{
		Classes:        withSkippedCallValue(0.5, 0.5),
		Upstream:       UpstreamShared,
		UpstreamShare:  4,
		UpstreamWindow: time.Second,
	})
	s.warmUp(100 * ms)
	s.quiet = true
	for i := range 16 {
		id := RequestID(fmt.Sprint("called", i))
		s.submit(newRequest(string(id), 100*ms, 0.1))
		s.onCall[id]()
		s.controller.Decide()
		s.now += 20 * ms
		s.onCallDone[id](Succeeded, 20*ms)
		s.finish(Succeeded, 100*ms, id)
	}
	s.quiet = false
	s.submit(newRequest("a", 100*ms, 0.1))
	s.onCall["a"]()
	s.controller.Decide()
	for _, outcome := range []Outcome{TimedOut, ConnectionLost, ConnectionLost} {
		fmt.Println("timeout", s.callDeadline-s.now)
		s.now += 20 * ms
		s.onCallDone["a"](outcome, 20*ms)
		s.controller.Decide()
	}
	s.finish(Succeeded, 100*ms, "a")
	fmt.Println("with little slack")
	s.submit(newRequest("b", 100*ms, 0.1))
	s.onCall["b"]()
	s.controller.Decide()
	s.now += 920 * ms
	s.onCallDone["b"](ConnectionLost, 920*ms)
	s.finish(Succeeded, 100*ms, "b")
	s.submit(newRequest("c", 100*ms, 0.1))
	progress := s.controller.health.lastProgress
	s.now += ms
	s.finish(NotStarted, 0, "c")
	fmt.Println(s.controller.health.lastProgress == progress, s.controller.health.failureRate(s.now))
	// Output:
	// 1920ms start a
	// 1920ms call a
	// timeout 80ms
	// 1940ms call a
	// timeout 653.333333ms
	// 1960ms call a
	// timeout 640ms
	// 1980ms skip call a
	// with little slack
	// 1980ms start b
	// 1980ms call b
	// 2900ms skip call b
	// 2900ms start c
	// true 0
}

// While calls take more than four times their fastest quartile, the upstream counts as overloaded and fewer calls
// are made.
func Example_upstreamOverloaded() {
	s := newFixture(Settings{
		Cores:          4,
		Upstream:       UpstreamShared,
		UpstreamShare:  4,
		UpstreamWindow: time.Second,
	})
	upstream := &s.controller.upstream
	for i := range 24 {
		elapsed := 10 * ms
		if i >= 20 {
			elapsed = 100 * ms
		}
		upstream.recordCallTime(elapsed)
		if i == 19 || i == 23 {
			fmt.Printf("calls of %v: %.2f of the share\n", elapsed, upstream.throttle().share)
		}
	}
	s.submit(newRequest("a", 100*ms, 0.1), newRequest("b", 100*ms, 0.1))
	s.onCall["a"]()
	s.onCall["b"]()
	s.controller.Decide()
	s.now += 100 * ms
	s.onCallDone["a"](Succeeded, 100*ms)
	s.controller.Decide()
	fmt.Println("with earlier long calls")
	s.onCallDone["b"](Succeeded, 100*ms)
	s.finish(Succeeded, 200*ms, "a", "b")
	for range 5 {
		upstream.calls = append(upstream.calls, upstreamCall{from: s.now - 900*ms, until: s.now})
	}
	s.now += ms
	s.submit(newRequest("c", 100*ms, 0.1))
	s.onCall["c"]()
	s.controller.Decide()
	fmt.Println("timeout of c:", s.callDeadline-s.now)
	// Output:
	// calls of 10ms: 1.00 of the share
	// calls of 100ms: 0.40 of the share
	// 0ms start a
	// 0ms start b
	// 0ms call a
	// 100ms call b
	// with earlier long calls
	// 101ms start c
	// 101ms call c
	// timeout of c: 400ms
}

// An upstream share below one is a part of the time: at most one call is open, it is abandoned when the part is
// used up, and no other starts until enough of the window has passed.
func Example_callTimeBudget() {
	patient := ClassSettings{
		Name:             "low",
		Weight:           1,
		LatencyObjective: 10 * time.Second,
		Timeout:          20 * time.Second,
		Idempotency:      Idempotent,
	}
	s := newFixture(Settings{
		Classes:        []ClassSettings{patient},
		Upstream:       UpstreamShared,
		UpstreamShare:  0.4,
		UpstreamWindow: 5 * time.Second,
	})
	for range 16 {
		s.controller.upstream.recordCallTime(100 * ms)
	}
	for _, id := range []RequestID{"a", "b", "c"} {
		s.submit(newRequest(string(id), 100*ms, 0.1))
		s.onCall[id]()
	}
	s.controller.Decide()
	budget := s.controller.callTimeBudget(s.now)
	fmt.Println("call time limit", budget.limit, "used", budget.used)
	s.now += 1750 * ms
	s.onCallDone["a"](Succeeded, 1750*ms)
	s.controller.Decide() // too little time remains for another call
	s.now += 4 * time.Second
	s.controller.health.lastProgress = s.now // prevents the stalled state
	s.controller.Decide()
	// Output:
	// 0ms start a
	// 0ms start b
	// 0ms call a
	// 0ms start c
	// call time limit 1.8s used 0s
	// 5750ms call b
}

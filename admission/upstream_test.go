package admission

import (
	"fmt"
	"time"
)

// A call is repeated only where that is harmless or the outcome proves that it never ran.
func Example_callRepeated() {
	once := ClassSettings{Name: "low", Weight: 1.0, LatencyObjective: time.Second, Timeout: 2 * time.Second,
		Idempotency: NotIdempotent}
	s := open(Settings{Classes: []ClassSettings{once}, Upstream: UpstreamNextTier})
	s.read(newRequest("a", 200*ms, 0.1), newRequest("b", 200*ms, 0.1))
	s.atCall["a"]()
	s.atCall["b"]()
	s.desk.Decide()
	s.called["a"](Rejected, ms)
	s.called["b"](TimedOut, ms)
	s.desk.Decide()
	fmt.Println("where a poorer answer is worth something")
	s = open(Settings{Upstream: UpstreamShared, UpstreamShare: 1.0, UpstreamWindow: time.Second,
		Classes: withSkippedCallValue(0.5, 0)})
	s.read(newRequest("c", 200*ms, 0.1))
	s.atCall["c"]()
	s.desk.Decide()
	s.called["c"](TimedOut, ms)
	s.desk.Decide()
	// Output:
	// 0ms run a
	// 0ms run b
	// 0ms call a
	// 0ms call b
	// 0ms fail b
	// 0ms call a
	// 0ms fail b
	// where a poorer answer is worth something
	// 0ms run c
	// 0ms call c
	// 0ms skip call c
}

// One spoilt reply, or one that never comes, is no reason for the poorer answer while a run's time is left; the first
// call is not waited for much longer than any took. What never started is no failure and no sign of life.
func Example_spoiltReply() {
	s := open(Settings{Upstream: UpstreamShared, UpstreamShare: 4.0, UpstreamWindow: time.Second,
		Classes: withSkippedCallValue(0.5, 0.5)})
	s.warm(100 * ms)
	s.quiet = true
	for i := range 16 {
		id := RequestID(fmt.Sprint("called", i))
		s.read(newRequest(string(id), 100*ms, 0.1))
		s.atCall[id]()
		s.desk.Decide()
		s.now += 20 * ms
		s.called[id](Succeeded, 20*ms)
		s.end(Succeeded, 100*ms, id)
	}
	s.quiet = false
	s.read(newRequest("a", 100*ms, 0.1))
	s.atCall["a"]()
	s.desk.Decide()
	for _, how := range []Outcome{TimedOut, ConnectionLost, ConnectionLost} {
		fmt.Println("waits for", s.until-s.now)
		s.now += 20 * ms
		s.called["a"](how, 20*ms)
		s.desk.Decide()
	}
	s.end(Succeeded, 100*ms, "a")
	fmt.Println("with little time left")
	s.read(newRequest("b", 100*ms, 0.1))
	s.atCall["b"]()
	s.desk.Decide()
	s.now += 920 * ms
	s.called["b"](ConnectionLost, 920*ms)
	s.end(Succeeded, 100*ms, "b")
	s.read(newRequest("c", 100*ms, 0.1))
	life := s.desk.health.lastProgress
	s.now += ms
	s.end(NotStarted, 0, "c")
	fmt.Println(s.desk.health.lastProgress == life, s.desk.health.failureRate(s.now))
	// Output:
	// 1920ms run a
	// 1920ms call a
	// waits for 80ms
	// 1940ms call a
	// waits for 653.333333ms
	// 1960ms call a
	// waits for 640ms
	// 1980ms skip call a
	// with little time left
	// 1980ms run b
	// 1980ms call b
	// 2900ms skip call b
	// 2900ms run c
	// true 0
}

// What is below is crowded: while calls take over four times their quickest quarter, fewer are in hand.
func Example_upstreamOverloaded() {
	s := open(Settings{Upstream: UpstreamShared, UpstreamShare: 4.0, UpstreamWindow: time.Second, Cores: 4.0})
	for i := range 24 {
		took := 10 * ms
		if i >= 20 {
			took = 100 * ms
		}
		s.desk.upstream.times = append(s.desk.upstream.times, took)
		if i == 19 || i == 23 {
			ease := s.desk.upstream.throttle().share
			fmt.Printf("calls of %v: %.2f of the share\n", took, ease)
		}
	}
	s.read(newRequest("a", 100*ms, 0.1), newRequest("b", 100*ms, 0.1))
	s.atCall["a"]()
	s.atCall["b"]()
	s.desk.Decide()
	s.now += 100 * ms
	s.called["a"](Succeeded, 100*ms)
	s.desk.Decide()
	fmt.Println("much was held before it was crowded")
	s.called["b"](Succeeded, 100*ms)
	s.end(Succeeded, 200*ms, "a", "b")
	for range 5 {
		s.desk.upstream.calls = append(s.desk.upstream.calls, upstreamCall{from: s.now - 900*ms, until: s.now})
	}
	s.now += ms
	s.read(newRequest("c", 100*ms, 0.1))
	s.atCall["c"]()
	s.desk.Decide()
	fmt.Println("c may take", s.until-s.now)
	// Output:
	// calls of 10ms: 1.00 of the share
	// calls of 100ms: 0.40 of the share
	// 0ms run a
	// 0ms run b
	// 0ms call a
	// 100ms call b
	// much was held before it was crowded
	// 101ms run c
	// 101ms call c
	// c may take 400ms
}

// A call share under one is a part of the time: one call in hand at most, given up when the part is used, and
// no other until enough of the span has passed.
func Example_callTimeBudget() {
	patient := ClassSettings{Name: "low", Weight: 1.0, LatencyObjective: 10 * time.Second,
		Timeout: 20 * time.Second, Idempotency: Idempotent}
	s := open(Settings{Classes: []ClassSettings{patient}, Upstream: UpstreamShared, UpstreamShare: 0.4,
		UpstreamWindow: 5 * time.Second})
	for range 16 {
		s.desk.upstream.times = append(s.desk.upstream.times, 100*ms)
	}
	ops := []RequestID{"a", "b", "c"}
	for _, id := range ops {
		s.read(newRequest(string(id), 100*ms, 0.1))
		s.atCall[id]()
	}
	s.desk.Decide()
	budget := s.desk.callTimeBudget(s.now)
	fmt.Println("in hand for", budget.limit, "at most, so far", budget.used)
	s.now += 1750 * ms
	s.called["a"](Succeeded, 1750*ms)
	s.desk.Decide() // too little is left for another
	s.now += 4 * time.Second
	s.desk.health.lastProgress = s.now // and no stuck state
	s.desk.Decide()
	// Output:
	// 0ms run a
	// 0ms run b
	// 0ms call a
	// 0ms run c
	// in hand for 1.8s at most, so far 0s
	// 5750ms call b
}

package admission

import "time"

// Queued requests, running requests and requests at a call are all answered before they are due.
func Example_answeredInTime() {
	s := newFixture(Settings{
		Upstream:       UpstreamShared,
		UpstreamShare:  1,
		UpstreamWindow: time.Second,
		Halt:           HaltDrop,
	})
	s.warmUp(200 * ms)
	s.submit(newRequest("calls", 200*ms, 0.1), newRequest("runs", 200*ms, 0.1))
	s.onCall["calls"]()
	s.controller.Decide()
	s.controller.limit.completions = s.controller.limit.completionsAtGrowth // no growth: the third request stays queued
	s.controller.health.lastProgress += time.Hour                           // prevents the stalled state
	third := newRequest("queued", 200*ms, 0.1)
	third.HasDeadline, third.Deadline = true, s.now+650*ms
	s.submit(newRequest("runs too", 200*ms, 0.1), third)
	s.advance(3100*ms, Gauges{GaugeRunnable: 2})
	// Output:
	// 3200ms start calls
	// 3200ms start runs
	// 3200ms call calls
	// 3200ms start queued
	// 3200ms reject queued
	// 3200ms stop queued
	// 4050ms reject runs too
	// 6196ms reject runs
	// 6196ms stop runs
	// 6196ms reject calls
}

// No effect occurs twice: a duplicate receives the result of the first request, a rejected request leaves no
// record, and an abandoned run that is not idempotent fails instead of being rejected.
func Example_noEffectTwice() {
	keyed := ClassSettings{
		Name:              "low",
		Weight:            1,
		LatencyObjective:  time.Second,
		Timeout:           2 * time.Second,
		Idempotency:       IdempotentByKey,
		IdempotencyWindow: 5 * time.Second,
	}
	s := newFixture(Settings{Classes: []ClassSettings{keyed}, RecordKB: 5})
	first := newRequest("first", 200*ms, 0.1)
	first.QueueDelay = 10 * ms
	s.submit(first)
	again := newRequest("again", 200*ms, 0.1)
	again.DuplicateOf = "first"
	s.submit(again)
	s.submit(Request{ID: "too big", Class: "low", MemoryKB: 2000})
	s.advance(2*time.Second, Gauges{GaugeRunnable: 2})
	// Output:
	// 0ms keep record first 4.994s
	// 0ms start first
	// 0ms coalesce again
	// 0ms reject too big
	// 1650ms state healthy -> stalled: queued 0, running 1
	// 1650ms health false
	// 1986ms fail first
	// 1996ms fail again
}

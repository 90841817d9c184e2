package admission

import "time"

// No op is lost: a held one, a running one and one at a call are answered before they are due.
func Example_answeredInTime() {
	s := open(Settings{Upstream: UpstreamShared, UpstreamShare: 1.0, UpstreamWindow: time.Second, Halt: HaltDrop})
	s.warm(200 * ms)
	s.read(newRequest("calls", 200*ms, 0.1), newRequest("runs", 200*ms, 0.1))
	s.atCall["calls"]()
	s.desk.Decide()
	s.desk.limit.completions = s.desk.limit.grownAtCompletions // no growth: the third is held
	s.desk.health.lastProgress += time.Hour                    // and no stuck state
	third := newRequest("held", 200*ms, 0.1)
	third.HasDeadline, third.Deadline = true, s.now+650*ms
	s.read(newRequest("runs too", 200*ms, 0.1), third)
	s.pass(3100*ms, Gauges{GaugeRunnable: 2})
	// Output:
	// 3200ms run calls
	// 3200ms run runs
	// 3200ms call calls
	// 3200ms run held
	// 3200ms nack held
	// 3200ms stop held
	// 4050ms nack runs too
	// 6196ms nack runs
	// 6196ms stop runs
	// 6196ms nack calls
}

// No effect happens twice: a repeat gets the first one's result, a nacked op gives its key back, and a run
// that is given up fails instead of being nacked.
func Example_noEffectTwice() {
	keyed := ClassSettings{Name: "low", Weight: 1.0, LatencyObjective: time.Second,
		Timeout: 2 * time.Second, Idempotency: IdempotentByKey, IdempotencyWindow: 5 * time.Second}
	s := open(Settings{Classes: []ClassSettings{keyed}, RecordKB: 5.0})
	first := newRequest("first", 200*ms, 0.1)
	first.QueueDelay = 10 * ms
	s.read(first)
	again := newRequest("again", 200*ms, 0.1)
	again.DuplicateOf = "first"
	s.read(again)
	s.read(Request{ID: "too big", Class: "low", MemoryKB: 2000})
	s.pass(2*time.Second, Gauges{GaugeRunnable: 2})
	// Output:
	// 0ms keep first 4.994s
	// 0ms run first
	// 0ms share again
	// 0ms nack too big
	// 1650ms state healthy -> stalled: queued 0, running 1
	// 1650ms health false
	// 1986ms fail first
	// 1996ms fail again
}

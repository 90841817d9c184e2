package admission

import (
	"fmt"
	"strings"
	"time"
)

const ms = time.Millisecond

// The key: protected first, then urgent, then least remaining work.
func Example_keyOrder() {
	s := open(Settings{})
	s.warm(200 * ms)
	s.read(newRequest("a1", 200*ms, 0.1), newRequest("a2", 200*ms, 0.1)) // fill both cores
	s.read(newRequest("urgent", 200*ms, 0.1))
	s.now += 620 * ms // its slack runs out
	s.read(newRequest("long", 220*ms, 0.1), newRequest("short", 100*ms, 0.1), newRequest("protected", 210*ms, 0.9))
	s.end(Succeeded, 620*ms, "a1", "a2")
	s.end(Succeeded, 200*ms, "protected", "urgent")
	// Output:
	// 3200ms run a1
	// 3200ms run a2
	// 3820ms run protected
	// 3820ms run urgent
	// 3820ms run short
	// 3820ms run long
}

// A hopeless op is nacked only while no core is free.
func Example_hopeless() {
	s := open(Settings{})
	s.warm(200 * ms)
	late := newRequest("late", 200*ms, 0.1)
	late.HasDeadline, late.Deadline = true, s.now+100*ms
	s.read(late) // a core is free: it runs
	late.ID = "late again"
	s.read(newRequest("b", 100*ms, 0.9))
	s.read(late)
	// Output:
	// 3200ms run late
	// 3200ms run b
	// 3200ms nack late again
}

// The knapsack starts an at-risk anchor against the key, while no core is free; without a feasible one the
// key decides.
func Example_knapsack() {
	scene := func(age time.Duration) {
		s := open(Settings{})
		s.warm(200 * ms)
		s.desk.limit.grown = 3
		s.read(newRequest("a1", 200*ms, 0.9), newRequest("a2", 200*ms, 0.9), newRequest("a3", 200*ms, 0.9))
		s.read(newRequest("waiting", 200*ms, 0.1))
		s.now += age
		s.desk.health.lastProgress = s.now
		s.desk.recordGauges(Gauges{GaugeRunnable: 3})
		s.desk.limit.grown = 3 // as idle cores let it grow before
		for _, o := range s.desk.requests.running {
			o.arrivedAt = s.now // their slack leaves the limit as it is
		}
		s.ended["a1"](Succeeded, 200*ms)
		s.read(newRequest("head", 150*ms, 0.9))
	}
	scene(660 * ms)
	fmt.Println("no feasible anchor")
	scene(740 * ms)
	fmt.Println("nobody at risk")
	scene(100 * ms)
	// Output:
	// 3200ms run a1
	// 3200ms run a2
	// 3200ms run a3
	// 3860ms run waiting
	// no feasible anchor
	// 3200ms run a1
	// 3200ms run a2
	// 3200ms run a3
	// 3940ms run head
	// 3940ms nack waiting
	// nobody at risk
	// 3200ms run a1
	// 3200ms run a2
	// 3200ms run a3
	// 3300ms run head
}

// The limit floors at the cores, grows by one while cores idle and work waits, once for each ending, falls
// back when more than the cores is wanted, and stays under the survivable crowd.
func Example_limit() {
	s := open(Settings{})
	s.warm(100 * ms)
	fmt.Println("limit", s.desk.concurrencyLimit(s.now))
	s.read(newRequest("a", 100*ms, 0.1), newRequest("b", 100*ms, 0.1), newRequest("c", 100*ms, 0.1),
		newRequest("d", 100*ms, 0.1))
	s.pass(50*ms, Gauges{GaugeRunnable: 1}) // one of the two waits on disk
	fmt.Println("limit", s.desk.concurrencyLimit(s.now))
	s.pass(50*ms, Gauges{GaugeRunnable: 1})
	s.end(Succeeded, 100*ms, "a")
	s.pass(300*ms, Gauges{GaugeRunnable: 4})
	fmt.Println("limit", s.desk.concurrencyLimit(s.now))
	cold := open(Settings{JustStarted: true, WarmUp: 10 * time.Second, WarmUpSpeedShare: 0.25})
	fmt.Println("crowd survived warm", s.desk.concurrencyCeiling(), "cold", cold.desk.concurrencyCeiling())
	// Output:
	// limit 2
	// 1600ms run a
	// 1600ms run b
	// 1602ms run c
	// 1650ms run d
	// limit 4
	// limit 3
	// crowd survived warm 12 cold 4
}

// The fit: run time against the running count, in proportion while there are too few runs for a line.
func Example_fit() {
	s := open(Settings{})
	low := s.desk.classes["low"]
	for i := range 12 {
		crowd := float64(2 + i%4)
		low.runs.recent = append(low.runs.recent, runSample{elapsed: time.Duration(100+50*crowd) * ms, hint: 100 * ms, concurrency: crowd})
	}
	fmt.Println("line", s.desk.fittedRunTime(low, 2, s.now).Round(ms), s.desk.fittedRunTime(low, 6, s.now).Round(ms))
	low.runs.recent = low.runs.recent[:1]
	low.runs.successes++ // runs come by ended alone, which counts them
	fmt.Println("proportion", s.desk.fittedRunTime(low, 2, s.now).Round(ms), s.desk.fittedRunTime(low, 4, s.now).Round(ms))
	// Output:
	// line 200ms 400ms
	// proportion 200ms 400ms
}

// No op is lost: a held one, a running one and one at a call are answered before they are due.
func Example_lost() {
	s := open(Settings{Upstream: UpstreamShared, UpstreamShare: 1.0, UpstreamWindow: time.Second, Halt: HaltDrop})
	s.warm(200 * ms)
	s.read(newRequest("calls", 200*ms, 0.1), newRequest("runs", 200*ms, 0.1))
	s.atCall["calls"]()
	s.desk.Decide()
	s.desk.limit.completions = s.desk.limit.grownAtCompletions // no growth: the third is held
	s.desk.health.lastProgress += time.Hour               // and no stuck state
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
func Example_twice() {
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

// A call is repeated only where that is harmless or the outcome proves that it never ran.
func Example_calls() {
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
func Example_spoilt() {
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

// Drain: nothing that came after the grace runs, and all is answered before the kill.
func Example_drain() {
	s := open(Settings{})
	s.warm(200 * ms)
	s.desk.Drain(s.now + 1500*ms)
	s.read(newRequest("in time", 200*ms, 0.1))
	s.pass(1100*ms, Gauges{GaugeRunnable: 1})
	s.read(newRequest("after the grace", 200*ms, 0.1))
	s.pass(300*ms, Gauges{GaugeRunnable: 1})
	// Output:
	// 3200ms state healthy -> draining: queued 1, running 0
	// 3200ms health false
	// 3200ms run in time
	// 4300ms nack after the grace
	// 4550ms nack in time
}

// Nothing falls over: what memory cannot hold is nacked, and a run waits for its memory.
func Example_memory() {
	s := open(Settings{})
	big := newRequest("big", 200*ms, 0.1)
	big.MemoryKB = 200
	s.read(big)
	big.ID = "second"
	s.read(big) // would need 4 x 200 more
	big.ID, big.MemoryKB = "third", 900
	s.read(big)
	s.end(Succeeded, 200*ms, "big")
	// Output:
	// 0ms run big
	// 0ms nack third
	// 0ms run second
}

// Stuck: work goes in and none comes out. All are told at once; the first ending is the way back.
func Example_stuck() {
	s := open(Settings{LoadSignal: LoadSignalChance})
	s.warm(100 * ms)
	s.read(newRequest("a", 100*ms, 0.1), newRequest("b", 100*ms, 0.1), newRequest("c", 100*ms, 0.9))
	s.pass(800*ms, Gauges{GaugeRunnable: 2})
	s.read(newRequest("d", 100*ms, 0.1))
	s.end(Succeeded, 900*ms, "a", "b")
	s.read(newRequest("e", 100*ms, 0.1))
	// Output:
	// 1600ms run c
	// 1600ms run a
	// 1600ms signal 0.70
	// 2150ms state healthy -> stalled: queued 1, running 2
	// 2150ms health false
	// 2150ms nack b
	// 2150ms nack c
	// 2150ms nack a
	// 2150ms signal 0.00
	// 2400ms nack d
	// 2400ms b does not run
	// 2400ms state stalled -> healthy: queued 0, running 1
	// 2400ms health true
	// 2400ms signal 0.85
	// 2400ms run e
}

// Failing: most runs end at once and badly. A few go through, to see; old failures are forgotten.
func Example_failing() {
	s := open(Settings{})
	s.warm(100 * ms)
	for i := range 16 {
		id := fmt.Sprint("f", i)
		s.quiet = i > 0 && i < 14
		s.read(newRequest(id, 100*ms, 0.1))
		if end := s.ended[RequestID(id)]; end != nil {
			s.end(Failed, ms, RequestID(id))
		}
	}
	s.pass(6*time.Second, nil)
	s.read(newRequest("well again", 100*ms, 0.1))
	// Output:
	// 1600ms run f0
	// 1600ms nack f14
	// 1600ms nack f15
	// 6600ms state failing -> healthy: queued 0, running 0
	// 6600ms health true
	// 7600ms run well again
}

// A tenant beyond its quota waits for the others: its first op is within, its later ones are not.
func Example_quota() {
	s := open(Settings{FleetSize: 1.0, Tenants: []TenantSettings{{Name: "x", QuotaPerSecond: 0.1},
		{Name: "y", QuotaPerSecond: 100.0}}})
	s.warm(200 * ms)
	s.read(newRequest("a", 200*ms, 0.1), newRequest("b", 200*ms, 0.1))
	for i := range 6 {
		x := newRequest(fmt.Sprint("x", i), 100*ms, 0.1)
		x.Tenant = "x"
		s.desk.Submit(x)
	}
	y := newRequest("y", 150*ms, 0.1)
	y.Tenant = "y"
	s.read(y)
	s.end(Succeeded, 200*ms, "a", "b")
	s = open(Settings{FleetSize: 1.0, Tenants: []TenantSettings{{Name: "x", QuotaPerSecond: 100.0},
		{Name: "y", QuotaPerSecond: 100.0}}})
	y.Tenant = "y"
	n := 1
	for ; n < 900 && !s.desk.quotas.exceeded(&trackedRequest{Request: y}, s.now); n++ {
	}
	fmt.Println("of hundreds within a moment, the first one beyond is", n)
	// Output:
	// 3200ms run a
	// 3200ms run b
	// 3200ms run x0
	// 3200ms run y
	// of hundreds within a moment, the first one beyond is 441
}

// Reading is swamped: ops come in that lay unread for long. The signal falls, and once it lasts, nacked ops
// are asked not to walk on.
func Example_swamped() {
	s := open(Settings{LoadSignal: LoadSignalChance})
	s.warm(200 * ms)
	for i := range 12 {
		late := newRequest(fmt.Sprint("s", i), 400*ms, 0.1)
		late.QueueDelay = 450 * ms
		s.quiet = i > 0 && i < 11
		s.read(late)
		s.pass(50*ms, Gauges{GaugeRunnable: 4})
	}
	// Output:
	// 3200ms run s0
	// 3200ms signal 0.20
	// 3750ms nack s11, nowhere else
}

// The same seed and events give the same trace; another seed draws otherwise.
func Example_sameSeed() {
	trace := func() string {
		var out strings.Builder
		s := open(Settings{LoadSignal: LoadSignalChance, RetryAfterAllowed: true, MaxRetryAfter: time.Second})
		s.out = &out
		for i := range 20 {
			s.read(newRequest(fmt.Sprint("op", i), time.Duration(100+i)*ms, float64(i%5)/5))
			s.now += 40 * ms
			if i%4 == 3 {
				s.end(Succeeded, 150*ms, "op0", "op1")
			}
		}
		return out.String()
	}
	first := trace()
	fmt.Println(strings.Count(first, "\n"), "lines, the same:", first == trace())
	fmt.Println(open(Settings{}).desk.random.float64() == (&randomSource{seed: 8}).float64())
	// Output:
	// 44 lines, the same: true
	// false
}

// A told wait that no other arrival has is what is left of the op timeout: its slack is spent.
func Example_spent() {
	s := open(Settings{})
	for i := range 16 {
		first := newRequest(fmt.Sprint("first", i), 100*ms, 0.1)
		first.HasDeadline, first.Deadline = true, s.now+1500*ms
		s.quiet = true
		s.read(first)
		s.end(Succeeded, 100*ms, first.ID)
		s.now += 100 * ms
	}
	for _, left := range []time.Duration{1500, 2300} {
		a := newRequest(fmt.Sprint("left ", int(left)), 100*ms, 0.1)
		a.HasDeadline, a.Deadline = true, s.now+left*ms
		s.read(a)
		fmt.Println(a.ID, "slack", s.desk.requests.byID[a.ID].slack(s.now))
	}
	// Output:
	// left 1500 slack 1s
	// left 2300 slack 300ms
}

// What is below is crowded: while calls take over four times their quickest quarter, fewer are in hand.
func Example_callsCrowded() {
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

// A run past its target latency is stopped while another waits and no core is free.
func Example_worthless() {
	s := open(Settings{Halt: HaltDrop})
	s.warm(400 * ms)
	s.read(newRequest("a", 400*ms, 0.1), newRequest("b", 400*ms, 0.1))
	s.now += 1010 * ms
	s.desk.health.lastProgress = s.now
	s.read(newRequest("c", 100*ms, 0.1))
	s.end(Stopped, 1010*ms, "a", "b")
	// Output:
	// 6400ms run a
	// 6400ms run b
	// 7410ms nack a
	// 7410ms stop a
	// 7410ms nack b
	// 7410ms stop b
	// 7410ms run c
}

// Connections: callers that come back are kept; where each comes once, unused connections are closed a step
// sooner at each look, but not while more is nacked than started.
func Example_idle() {
	scene := func(callers int, work time.Duration) {
		s := open(Settings{MaxIdleTimeout: 8 * time.Second})
		for i := range 20 {
			a := newRequest(fmt.Sprint("op", i), work, 0.1)
			a.Caller = CallerID(i % callers)
			s.quiet = true
			s.read(a)
			s.pass(100*ms, Gauges{GaugeRunnable: 2, GaugeBusyCores: 1})
			if work < time.Second {
				s.end(Succeeded, 100*ms, a.ID)
			}
		}
		nacked := s.desk.idle.rejectionRate() > 0.5
		fmt.Println(callers, "callers, ops of", work, "nacked", nacked, "idle for", s.desk.idle.current)
	}
	scene(2, 100*ms)
	scene(20, 100*ms)
	scene(20, 2*time.Second)
	// Output:
	// 2 callers, ops of 100ms nacked false idle for 8s
	// 20 callers, ops of 100ms nacked false idle for 31.25ms
	// 20 callers, ops of 2s nacked true idle for 8s
}

// A call share under one is a part of the time: one call in hand at most, given up when the part is used, and
// no other until enough of the span has passed.
func Example_callsInPart() {
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

// A token for each caller is told as a chance where callers seldom have two ops here.
func Example_tokens() {
	for _, callers := range []int{2, 40} {
		s := open(Settings{LoadSignal: LoadSignalTokens})
		s.warm(200 * ms)
		s.quiet = true
		for i := range 60 {
			a := newRequest(fmt.Sprint("op", i), 300*ms, 0.1)
			a.Caller = CallerID(i % callers)
			s.read(a)
			s.now += 20 * ms
		}
		fmt.Printf("%d callers: welcome %.2f, token %.2f\n", callers, s.desk.acceptance(), s.desk.publishedLoad)
	}
	// Output:
	// 2 callers: welcome 0.14, token 0.50
	// 40 callers: welcome 0.14, token 0.15
}

// In a storm of marked tries a nacked op is asked to go nowhere else.
func Example_storm() {
	s := open(Settings{})
	s.warm(400 * ms)
	for i := range 10 {
		a := newRequest(fmt.Sprint("op", i), 400*ms, 0.1)
		a.IsRetry = i%2 == 1
		s.quiet = i < 7
		s.read(a)
	}
	// Output:
	// 6400ms nack op7
	// 6400ms nack op8
	// 6400ms nack op9, nowhere else
}

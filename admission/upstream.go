package admission

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxCallsPerCore bounds the calls where the upstream has admission control of its own: they keep the cores busy
	// while calls are no slower than runs.
	maxCallsPerCore = 2
	// usableUpstreamShare is the part of the configured share that is used, as all instances start some calls at once.
	usableUpstreamShare = 0.9
	// minUpstreamWindow replaces a window that was not configured.
	minUpstreamWindow = time.Second
	// callBudgetFactor is how many times what calls take now must be left of a budget of time for another call.
	callBudgetFactor = 4
	// firstCallTimeoutFactor is over the slowest of the last calls, past what chance brings.
	firstCallTimeoutFactor = 4
	// maxCallAttempts outlast a moment of overload.
	maxCallAttempts = 3
)

// onCallReached hears that a run stands at an upstream call.
func (c *Controller) onCallReached(r *trackedRequest) {
	now := c.executor.Now()
	c.health.lastProgress = now
	c.requests.running = removeRequest(c.requests.running, r)
	if !slices.Contains(c.requests.atCall, r) {
		c.requests.atCall = append(c.requests.atCall, r)
	}
	c.upstream.end(r, now, now) // one that the run no longer waits for would count for ever
	r.callAttempts = 0
}

// scheduleCalls lets the runs with the least slack call first, as far as calls are allowed. The others go on without
// their call when their slack is spent, where that is worth something.
func (c *Controller) scheduleCalls(now time.Duration) {
	waiting := slices.DeleteFunc(slices.Clone(c.requests.atCall), func(r *trackedRequest) bool { return r.inCall })
	slices.SortStableFunc(waiting, func(a, b *trackedRequest) int {
		return cmp.Compare(a.arrivedAt+a.latencyObjective, b.arrivedAt+b.latencyObjective)
	})
	full := false // what has no room for one has none for the next
	for _, r := range waiting {
		switch {
		case r.answered:
			c.executor.Fail(r.ID) // ends the run, nobody waits for it
		case !full && c.callAllowed(now):
			c.call(r, now)
		default:
			full = true
			c.skipCallIfOutOfTime(r, now)
		}
	}
}

// skipCallIfOutOfTime lets a run go on without its call when too little slack is left for more. Where calls are scarce many
// wait, and leave for the cores together when their slack is spent, so that is bounded.
func (c *Controller) skipCallIfOutOfTime(r *trackedRequest, now time.Duration) {
	running := len(c.requests.running)
	spent := r.class.SkippedCallValue > 0 && r.slack(now) < c.estimatedRunTime(r, running, now)/2
	if spent && c.allowsOneMore(running) {
		c.skipCall(r)
	}
}

// callAllowed bounds the calls in hand so that the upstream survives what all instances call. Abandoned calls linger
// there and are counted for as long. With an upstream that has admission control of its own no share is configured.
//
// Calls and runs together must leave what the cores survive when all calls come back at once, and calls must leave room
// for runs on half of the cores, or none starts until they are back.
func (c *Controller) callAllowed(now time.Duration) bool {
	beside := max(len(c.requests.running), min(c.halfCores(), int(c.maxConcurrency())-1))
	if !c.allowsOneMore(beside) {
		return false
	}
	share := c.settings.UpstreamShare
	inHand := c.upstream.outstanding(now)
	if c.settings.Upstream != UpstreamShared || share <= 0 {
		return inHand < maxCallsPerCore*c.cores
	}
	throttle := c.upstream.throttle()
	if float64(inHand+1) > max(1, usableUpstreamShare*throttle.share*share) {
		return false
	}
	budget := c.callTimeBudget(now)
	if budget.limit == 0 || budget.used == 0 {
		return true
	}
	next := callBudgetFactor*throttle.callTime + c.settings.TimedOutCallLinger
	return budget.used+next < time.Duration(throttle.share*float64(budget.limit))
}

// callTimeBudget is how long calls may be in hand, summed over the window, and how long they were. A limit of 0 means
// that there is none.
type callTimeBudget struct{ limit, used time.Duration }

// callTimeBudget applies where the share is under one call, and so a part of the time. Where several calls are allowed
// at once their time is not bounded beside their number: calls cut short by what earlier ones used would be abandoned,
// linger and use up more, until none is answered, long after the upstream has recovered.
func (c *Controller) callTimeBudget(now time.Duration) callTimeBudget {
	share, window := c.settings.UpstreamShare, c.upstreamWindow()
	if share >= 1 {
		return callTimeBudget{}
	}
	return callTimeBudget{
		limit: time.Duration(usableUpstreamShare * share * float64(window)),
		used:  c.upstream.outstandingTime(now-window, now),
	}
}

func (c *Controller) upstreamWindow() time.Duration {
	return max(c.settings.UpstreamWindow, minUpstreamWindow)
}

// call makes the upstream call at which a run stands.
func (c *Controller) call(r *trackedRequest, now time.Duration) {
	deadline := c.callDeadline(r, now)
	c.upstream.begin(r, now, c.upstreamWindow())
	c.executor.Call(r.ID, deadline, func(outcome Outcome, elapsed time.Duration) {
		c.onCallDone(r, outcome, elapsed)
	})
}

// callDeadline is when a call is abandoned.
func (c *Controller) callDeadline(r *trackedRequest, now time.Duration) time.Duration {
	deadline := r.deadline - answerMarginTicks*c.settings.Tick
	if slack := r.slack(now); r.class.SkippedCallValue > 0 && slack > 0 {
		deadline = now + slack*2/3 // leaves time for the answer without the call
	}
	if budget := c.callTimeBudget(now); budget.limit > 0 {
		left := (budget.limit - budget.used) / time.Duration(c.upstream.outstanding(now)+1)
		deadline = min(deadline, now+left-c.settings.TimedOutCallLinger)
	}
	// A reply that never comes would hold its request until the slack is spent. A second call has all the time there is.
	if c.upstream.hasEnoughCallTimes() && r.callAttempts == 0 && r.class.Idempotency == Idempotent {
		deadline = min(deadline, now+firstCallTimeoutFactor*slices.Max(c.upstream.callTimes))
	}
	return max(deadline, now+c.settings.Tick)
}

// onCallDone hears how a call ended.
func (c *Controller) onCallDone(r *trackedRequest, outcome Outcome, elapsed time.Duration) {
	now := c.executor.Now()
	until := now
	if outcome == TimedOut || outcome == ConnectionLost {
		until += c.settings.TimedOutCallLinger
	}
	c.upstream.end(r, now, until)
	if outcome == Succeeded {
		c.health.lastProgress = now
		c.upstream.recordCallTime(elapsed)
		c.requests.resume(r)
		return
	}
	// Another attempt must not repeat an effect: only an outcome that proves that the call never ran, or a request
	// that may run again, allows one.
	mayRepeat := outcome.neverRan() || r.class.Idempotency == Idempotent
	switch {
	case r.answered:
		c.executor.Fail(r.ID)
	case mayRepeat && c.shouldRepeatCall(r, outcome, now):
		// scheduleCalls makes the call again.
	case r.class.SkippedCallValue > 0:
		c.skipCall(r)
	case !mayRepeat || r.callAttempts >= maxCallAttempts || r.slack(now) <= 0:
		r.answered = true
		c.executor.Fail(r.ID)
	}
}

// shouldRepeatCall tells whether one spoilt reply, or one that never came, is no reason to go on without the call: while
// the time of a whole run is left. A call that was rejected, or that timed out at an overloaded upstream, is.
func (c *Controller) shouldRepeatCall(r *trackedRequest, outcome Outcome, now time.Duration) bool {
	if r.callAttempts >= maxCallAttempts {
		return false
	}
	spoilt := outcome == ConnectionLost
	if outcome == TimedOut {
		throttle := c.upstream.throttle()
		spoilt = throttle.share == 1 && throttle.callTime > 0
	}
	return spoilt && r.slack(now) > c.estimatedRunTime(r, len(c.requests.running)+1, now)
}

// skipCall lets a run go on without its call.
func (c *Controller) skipCall(r *trackedRequest) {
	c.requests.resume(r)
	c.executor.SkipCall(r.ID)
}

package admission

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxCallsPerCore limits the calls to an upstream that has its own admission control, or of which no share is
	// configured. This number keeps the cores busy if calls take no longer than runs.
	maxCallsPerCore = 2
	// usableUpstreamShare is the part of the configured share that is used. The rest is a reserve, because all
	// instances start some calls at once.
	usableUpstreamShare = 0.9
	// minUpstreamWindow is the shortest window. It also replaces a window that is not configured.
	minUpstreamWindow = time.Second
	// callBudgetFactor is the multiple of the current call time that must remain in a time budget for another call.
	callBudgetFactor = 4
	// firstCallTimeoutFactor is the maximum time of the first attempt of an idempotent request's call, as a multiple
	// of the slowest recent call time. Random variation alone does not make a call that slow.
	firstCallTimeoutFactor = 4
	// maxCallAttempts is the maximum number of attempts for a call, enough to outlast a short overload.
	maxCallAttempts = 3
)

// onCallReached handles a run that has reached an upstream call.
func (c *Controller) onCallReached(r *trackedRequest) {
	now := c.executor.Now()
	c.health.lastProgress = now
	c.requests.running = removeRequest(c.requests.running, r)
	if !slices.Contains(c.requests.atCall, r) {
		c.requests.atCall = append(c.requests.atCall, r)
	}
	c.upstream.end(r, now, now) // otherwise a call that the run no longer waits for would count as open forever
	r.callAttempts = 0
}

// scheduleCalls makes the waiting calls that are allowed, those with the least slack first. The other runs go on
// without their call when too little slack remains, if an answer without the call has a value.
func (c *Controller) scheduleCalls(now time.Duration) {
	waiting := slices.DeleteFunc(slices.Clone(c.requests.atCall), func(r *trackedRequest) bool { return r.inCall })
	slices.SortStableFunc(waiting, func(a, b *trackedRequest) int {
		return cmp.Compare(a.arrivedAt+a.latencyObjective, b.arrivedAt+b.latencyObjective)
	})
	limitReached := false // if one call is not allowed, the following ones are not either
	for _, r := range waiting {
		switch {
		case r.answered:
			c.executor.Fail(r.ID) // ends the run, because nobody waits for its answer
		case !limitReached && c.callAllowed(now):
			c.call(r, now)
		default:
			limitReached = true
			c.skipCallIfOutOfTime(r, now)
		}
	}
}

// skipCallIfOutOfTime lets a run go on without its call when its slack is less than half of its run time. If calls
// are scarce, many runs wait and would return to the cores together when their slack is used up, so their number is
// limited.
func (c *Controller) skipCallIfOutOfTime(r *trackedRequest, now time.Duration) {
	running := len(c.requests.running)
	outOfTime := r.class.SkippedCallValue > 0 && r.slack(now) < c.estimatedRunTime(r, running, now)/2
	if outOfTime && c.allowsOneMore(running) {
		c.skipCall(r)
	}
}

// callAllowed reports whether another call may be made. It limits the outstanding calls so that the upstream
// survives the calls of all instances. Abandoned calls linger at the upstream and count until they have ended
// there. No share is configured for an upstream with its own admission control.
//
// The instance must survive the runs and all calls if the calls return at once. Calls must also leave room for runs on
// half of the cores. Otherwise no run could start until the calls return.
func (c *Controller) callAllowed(now time.Duration) bool {
	otherRuns := max(len(c.requests.running), min(c.halfCores(), int(c.maxConcurrency())-1))
	if !c.allowsOneMore(otherRuns) {
		return false
	}
	share := c.settings.UpstreamShare
	outstanding := c.upstream.outstanding(now)
	if c.settings.Upstream != UpstreamShared || share <= 0 {
		return outstanding < maxCallsPerCore*c.cores
	}
	throttle := c.upstream.throttle()
	if float64(outstanding+1) > max(1, usableUpstreamShare*throttle.share*share) {
		return false
	}
	budget := c.callTimeBudget(now)
	if budget.limit == 0 || budget.used == 0 {
		return true
	}
	nextCallTime := callBudgetFactor*throttle.callTime + c.settings.TimedOutCallLinger
	return budget.used+nextCallTime < time.Duration(throttle.share*float64(budget.limit))
}

// callTimeBudget holds the maximum and the actual sum of outstanding call times over the window. A limit of 0 means
// that there is no limit.
type callTimeBudget struct{ limit, used time.Duration }

// callTimeBudget returns the budget for a share below 1, which is the part of the time during which a call may be open.
// If several calls are allowed at once, only their number is limited. A limit on their time would shorten calls because
// of the time that earlier ones used. These calls would be abandoned, linger and use more time, and even long
// after the upstream has recovered, none would be answered.
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

// call makes the upstream call that a run has reached.
func (c *Controller) call(r *trackedRequest, now time.Duration) {
	deadline := c.callDeadline(r, now)
	c.upstream.begin(r, now, c.upstreamWindow())
	c.executor.Call(r.ID, deadline, func(outcome Outcome, elapsed time.Duration) {
		c.onCallDone(r, outcome, elapsed)
	})
}

// callDeadline returns the time at which a call is abandoned.
func (c *Controller) callDeadline(r *trackedRequest, now time.Duration) time.Duration {
	deadline := r.deadline - answerMarginTicks*c.settings.Tick
	if slack := r.slack(now); r.class.SkippedCallValue > 0 && slack > 0 {
		deadline = now + slack*2/3 // leaves time for the answer without the call
	}
	if budget := c.callTimeBudget(now); budget.limit > 0 {
		perCall := (budget.limit - budget.used) / time.Duration(c.upstream.outstanding(now)+1)
		deadline = min(deadline, now+perCall-c.settings.TimedOutCallLinger)
	}
	// A reply that never arrives would block its request until the slack is used up. A second attempt may use all
	// the remaining time.
	if c.upstream.hasEnoughCallTimes() && r.callAttempts == 0 && r.class.Idempotency == Idempotent {
		deadline = min(deadline, now+firstCallTimeoutFactor*slices.Max(c.upstream.callTimes))
	}
	return max(deadline, now+c.settings.Tick)
}

// onCallDone handles the end of a call.
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
	// Another attempt must not repeat an effect. It is allowed only if the outcome proves that the call never ran,
	// or if the request may run again.
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

// shouldRepeatCall reports whether a call is repeated instead of skipped. It is repeated after a lost connection or
// an isolated timeout while there is time for a whole run. Otherwise, for instance if the call was rejected or
// timed out at an overloaded upstream, onCallDone skips the call. If the call cannot be skipped, onCallDone either
// fails the request or leaves the run at the call, and scheduleCalls then makes the call again.
func (c *Controller) shouldRepeatCall(r *trackedRequest, outcome Outcome, now time.Duration) bool {
	if r.callAttempts >= maxCallAttempts {
		return false
	}
	isIsolated := outcome == ConnectionLost
	if outcome == TimedOut {
		throttle := c.upstream.throttle()
		isIsolated = throttle.share == 1 && throttle.callTime > 0
	}
	return isIsolated && r.slack(now) > c.estimatedRunTime(r, len(c.requests.running)+1, now)
}

// skipCall lets a run go on without its call.
func (c *Controller) skipCall(r *trackedRequest) {
	c.requests.resume(r)
	c.executor.SkipCall(r.ID)
}

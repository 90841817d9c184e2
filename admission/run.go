package admission

import "time"

// startRequests starts queued requests within the limit and the memory, and sheds hopeless requests.
func (c *Controller) startRequests(now time.Duration) {
	candidates := c.shedHopeless(c.sortQueue(now), now, false)
	for len(candidates) > 0 {
		capacity := c.concurrencyLimit(now) - len(c.requests.running)
		if capacity < 1 && c.raiseLimit(now) {
			capacity = 1
		}
		if capacity < 1 {
			if remaining := c.shedHopeless(candidates, now, true); len(remaining) > 0 {
				c.stopHopelessRuns(now)
			}
			return
		}
		for _, cand := range c.selectBatch(candidates, capacity, now) {
			if c.runExceedsMemory(cand.request, now) {
				return
			}
			c.start(cand.request)
			candidates = removeCandidate(candidates, cand.request)
		}
	}
}

// start starts the run of a queued request.
func (c *Controller) start(r *trackedRequest) {
	c.requests.queue = removeRequest(c.requests.queue, r)
	c.requests.running = append(c.requests.running, r)
	c.idle.addDecision(false)
	r.startedAt = c.executor.Now()
	r.concurrencyAtStart = len(c.requests.running)
	r.onDeadline = func() { c.abandonRun(r) }
	c.executor.Start(
		r.ID,
		func() { c.onCallReached(r) },
		func(outcome Outcome, elapsed time.Duration) { c.onRunEnd(r, outcome, elapsed) },
	)
}

// onRunEnd handles the end of a run.
func (c *Controller) onRunEnd(r *trackedRequest, outcome Outcome, elapsed time.Duration) {
	now := c.executor.Now()
	concurrency := float64(r.concurrencyAtStart+len(c.requests.running)) / 2
	c.upstream.end(r, now, now)
	c.requests.forget(r)
	if outcome != NotStarted { // a run that never started is no sign of progress
		c.health.lastProgress = now
	}
	if outcome == Succeeded || outcome == Failed {
		c.limit.completions++
		c.health.addResult(runResult{now, outcome == Failed})
	}
	if outcome == Succeeded {
		r.class.runs.add(runSample{at: now, elapsed: elapsed, hint: r.WorkHint, concurrency: concurrency})
	}
	if outcome == Stopped && !r.answered { // stopped by the runtime: the request still needs an answer
		r.answered = true
		c.executor.Fail(r.ID)
	}
}

// stopRun removes a run from the cores if runs can be stopped. It is called when the answer of the run is no longer
// needed.
func (c *Controller) stopRun(r *trackedRequest) {
	if c.canStopRuns() {
		c.executor.Stop(r.ID)
	}
}

// canStopRuns reports whether runs can be removed from the cores.
func (c *Controller) canStopRuns() bool {
	return c.settings.Halt == HaltDrop || c.settings.Halt == HaltPause
}

package admission

import (
	"slices"
	"time"
)

// answerMarginTicks is the minimum number of ticks between the answer to a request and its deadline.
const answerMarginTicks = 2

// reject rejects a request that has not started, with Retry-After advice.
func (c *Controller) reject(r *trackedRequest) {
	if r.answered {
		return
	}
	r.answered = true
	if c.records.remove(r.ID) {
		c.executor.DropRecord(r.ID) // the request has not run here, so a later attempt may run
	}
	c.executor.Reject(r.ID, c.retryAfter(), c.isFleetSaturated())
	if !r.overQuota { // requests beyond a quota are rejected even without overload
		c.idle.addDecision(true)
	}
	c.requests.forget(r)
}

// abandonRun answers a request that has a run, and frees the run's core if runs can be stopped. A request that
// is not idempotent fails, because the caller would send it to another instance after a rejection.
func (c *Controller) abandonRun(r *trackedRequest) {
	if r.answered {
		return
	}
	r.answered = true
	if r.class.Idempotency == Idempotent {
		c.executor.Reject(r.ID, c.retryAfter(), false)
	} else {
		c.executor.Fail(r.ID)
	}
	if slices.Contains(c.requests.running, r) {
		c.stopRun(r)
	}
}

// latestAnswerAt returns the time by which a request must be answered: before its deadline, and before the kill.
func (c *Controller) latestAnswerAt(r *trackedRequest) time.Duration {
	at := r.deadline - answerMarginTicks*c.settings.Tick
	if c.drain.notified {
		at = min(at, c.drain.latestAnswerAt())
	}
	return at
}

// answerDueRequests answers the requests that are due, so that each is answered in time even if its run is blocked.
func (c *Controller) answerDueRequests(now time.Duration) {
	for _, r := range c.requests.awaitingAnswer() {
		if c.latestAnswerAt(r) <= now {
			r.onDeadline()
		}
	}
}

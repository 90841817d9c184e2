package admission

import (
	"slices"
	"time"
)

// answerMarginTicks is how many ticks before it is due an answer is sent at the latest.
const answerMarginTicks = 2

// reject turns away a request that has not run, with advice on how long to keep away.
func (c *Controller) reject(r *trackedRequest) {
	if r.answered {
		return
	}
	r.answered = true
	if c.records.remove(r.ID) {
		c.executor.DropRecord(r.ID) // it never ran here, so a later attempt may
	}
	c.executor.Reject(r.ID, c.retryAfter(), c.isFleetSaturated())
	if !r.overQuota { // what is beyond a quota is rejected on a good day too
		c.idle.addDecision(true)
	}
	c.requests.forget(r)
}

// abandonRun answers a request that has a run, and frees the run's core where that is allowed. One that is not idempotent
// fails: rejected, it would run again elsewhere.
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

// latestAnswerAt is when a request's answer is sent at the latest: before it is owed, and before the kill.
func (c *Controller) latestAnswerAt(r *trackedRequest) time.Duration {
	at := r.deadline - answerMarginTicks*c.settings.Tick
	if c.drain.notified {
		at = min(at, c.drain.latestAnswerAt())
	}
	return at
}

// answerDueRequests answers what is due now, so that no request is lost, whatever holds it up.
func (c *Controller) answerDueRequests(now time.Duration) {
	for _, r := range c.requests.awaitingAnswer() {
		if c.latestAnswerAt(r) <= now {
			r.onDeadline()
		}
	}
}

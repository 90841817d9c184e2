package admission

import (
	"slices"
	"time"
)

// minLateAnswerValue is the value of a late answer from which the deadline applies instead of the latency
// objective.
const minLateAnswerValue = 0.5

// remainingTime returns the time during which an answer keeps its value: until the latency objective, or until the
// deadline if a late answer has at least half the value. It never extends past the deadline or, during a drain, past
// the time by which all requests must be answered ahead of the kill.
func (c *Controller) remainingTime(r *trackedRequest, now time.Duration) time.Duration {
	remaining := r.slack(now)
	if r.class.LateValue >= minLateAnswerValue {
		remaining = r.deadline - now
	}
	remaining = min(remaining, r.deadline-now)
	if c.drain.notified {
		remaining = min(remaining, c.drain.latestAnswerAt()-now)
	}
	return remaining
}

// shedHopeless rejects queued requests that cannot be completed within their remaining time, and returns the
// others. It rejects none while a core is free. If hopeless requests were rejected later, they would return as
// retries with no slack left. If countWait is set, the wait for the work ahead of each request in the order is
// included, which the paper's T leaves out.
func (c *Controller) shedHopeless(candidates []candidate, now time.Duration, countWait bool) []candidate {
	if c.coreFree(now) {
		return candidates
	}
	ahead := c.remainingWork(now)
	return slices.DeleteFunc(candidates, func(cand candidate) bool {
		wait := time.Duration(0)
		if countWait {
			wait = ahead / time.Duration(c.cores)
		}
		if wait+cand.runTime > c.remainingTime(cand.request, now) {
			c.reject(cand.request)
			return true
		}
		ahead += cand.work
		return false
	})
}

// remainingWork returns the remaining work of the runs on the cores.
func (c *Controller) remainingWork(now time.Duration) time.Duration {
	var remaining time.Duration
	for _, r := range c.requests.running {
		done := float64(now-r.startedAt) / runsPerCore(float64(len(c.requests.running)), c.cores)
		remaining += max(0, c.estimatedWork(r, now)-time.Duration(done))
	}
	return remaining
}

// stopHopelessRuns stops idempotent runs whose answer has lost its value, while requests wait and no core is free.
func (c *Controller) stopHopelessRuns(now time.Duration) {
	if !c.canStopRuns() || c.coreFree(now) {
		return
	}
	for _, r := range slices.Clone(c.requests.running) {
		if r.class.Idempotency == Idempotent && r.class.LateValue == 0 && r.slack(now) < 0 {
			c.abandonRun(r)
		}
	}
}

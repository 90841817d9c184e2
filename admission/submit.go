package admission

import (
	"slices"
	"time"
)

// Submit takes a request that has just been read. The request is queued, rejected immediately, or coalesced with
// the request that it duplicates. Decide must be called once after all requests of a batch.
func (c *Controller) Submit(request Request) {
	now := c.executor.Now()
	r := c.track(request, now)
	c.requests.byID[r.ID] = r
	c.requests.queue = append(c.requests.queue, r)

	deadlineShare := float64(r.deadline-r.arrivedAt) / float64(max(r.class.Timeout, 1))
	r.latencyObjective -= c.arrivals.earlierAttemptTime(r, deadlineShare)
	c.arrivals.add(arrival{
		at:            now,
		queueDelay:    r.QueueDelay,
		caller:        r.Caller,
		rank:          r.Rank,
		deadlineShare: deadlineShare,
		isRetry:       r.IsRetry,
	})
	r.overQuota = c.quotas.recordArrival(r, now)

	switch {
	case r.DuplicateOf != "": // its effect must not occur twice
		c.coalesce(r)
	case c.memoryInUse(now) > c.memoryLimit() || !c.keepRecord(r, now):
		c.reject(r)
	}
}

// track returns a trackedRequest with the deadline and latency objective of the request.
func (c *Controller) track(request Request, now time.Duration) *trackedRequest {
	class := c.classes[request.Class]
	if class == nil {
		class = c.classes[c.settings.Classes[0].Name]
	}
	r := &trackedRequest{Request: request, class: class, arrivedAt: now - request.QueueDelay}
	r.deadline = r.arrivedAt + class.Timeout
	if r.HasDeadline {
		r.deadline = r.Deadline
	}
	r.deadline = max(r.deadline, now)
	r.latencyObjective = class.LatencyObjective
	if class.ObjectivePerWork > 0 {
		growth := time.Duration(class.ObjectivePerWork * float64(c.estimatedWork(r, now)))
		r.latencyObjective = min(class.Timeout, r.latencyObjective+growth)
	}
	r.onDeadline = func() { c.reject(r) }
	return r
}

// Cancel handles the disconnection of a caller, whose request no longer needs an answer. Cancel ignores a request
// that is unknown, or that has been answered and has ended.
func (c *Controller) Cancel(id RequestID) {
	r := c.requests.byID[id]
	if r == nil {
		return
	}
	r.answered = true
	switch {
	case slices.Contains(c.requests.queue, r), slices.Contains(c.requests.coalesced, r):
		c.requests.forget(r)
	case slices.Contains(c.requests.running, r):
		c.stopRun(r)
	}
}

// coalesce answers a duplicate with the result of the first request.
func (c *Controller) coalesce(r *trackedRequest) {
	c.requests.queue = removeRequest(c.requests.queue, r)
	c.requests.coalesced = append(c.requests.coalesced, r)
	r.onDeadline = func() {
		r.answered = true
		c.executor.Fail(r.ID)
		c.requests.forget(r)
	}
	c.executor.Coalesce(r.ID, func(Outcome, time.Duration) { c.requests.forget(r) })
}

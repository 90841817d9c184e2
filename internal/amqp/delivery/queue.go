package delivery

import (
	"cmp"
	"slices"
	"time"
)

const (
	// initialProbeBackoff and maxProbeBackoff are the first and the longest delay between two probes of a queue whose
	// messages fail.
	initialProbeBackoff = time.Second
	maxProbeBackoff     = 30 * time.Second
	// failureThreshold is the fraction of failures among a queue's recent outcomes at which the queue counts as
	// failing.
	failureThreshold = 0.5
	// minOutcomes is the number of messages that must be finished before a queue can count as failing. A recovering queue
	// returns to modeOpen when its limit exceeds minOutcomes and its MinInFlight.
	minOutcomes = 8
	// outcomeWindow is the number of recent outcomes that are considered. With some dozens, a queue is unlikely to
	// count as failing by coincidence.
	outcomeWindow = 32
	// minQueueWeight is the lowest effective weight. Without it a queue of weight 0 would never get a share.
	minQueueWeight = 0.01
	// A queue that has n messages in flight, besides those that wait for their retry, is assigned at most
	// demandGrowthFactor*n + demandHeadroom, or its minimum if that is higher.
	demandGrowthFactor = 2
	demandHeadroom     = 4
)

// QueueName is the name of a queue at the broker.
type QueueName string

// Queue is the configuration of one queue.
type Queue struct {
	Name        QueueName
	Weight      float64 // share relative to the other queues of the same priority
	Priority    int     // queues of a higher priority are served first
	MinInFlight int     // messages that may be in flight however busy the instance is, unless consuming is paused
	MaxInFlight int     // maximum number of messages in flight
}

// queueMode determines how many messages a queue may have in flight, depending on the outcomes of its messages.
type queueMode int

// The queue modes. The zero value is the mode of a queue that is not configured.
const (
	modeUnknown    queueMode = iota
	modeOpen                 // limited by the window and MaxInFlight only
	modeProbing              // its messages fail: one message at a time, after increasing delays
	modeRecovering           // a probe succeeded: the limit grows by one with each success
)

// String returns the mode as the status socket reports it.
func (m queueMode) String() string {
	switch m {
	case modeOpen:
		return "open"
	case modeProbing:
		return "probing"
	case modeRecovering:
		return "coming"
	case modeUnknown:
	}
	return "unknown"
}

// QueueState is a queue's mode, and the reason why consuming is paused, if it is.
type QueueState struct {
	pause PauseReason
	mode  queueMode
}

// String returns the pause reason, or the mode if consuming is not paused, as the status socket reports them.
func (s QueueState) String() string {
	if s.pause != NotPaused {
		return s.pause.String()
	}
	return s.mode.String()
}

// queue is the state of one queue. It is owned by its FlowController.
type queue struct {
	Queue
	inFlight      int // deliveries received and not settled
	waiting       int // messages in flight that wait for their retry
	limit         int // maximum number of messages in flight besides those that wait, set by the last Update
	mode          queueMode
	nextProbe     time.Duration // when a failing queue may receive its next message
	probeBackoff  time.Duration
	recoveryLimit int                 // maximum number of messages in flight in modeRecovering
	failures      [outcomeWindow]bool // ring of the last outcomes, true for a failure
	outcomeCount  int                 // outcomes written to the ring since the mode became modeOpen or modeRecovering
}

// recordOutcome records the outcome of an executed message and changes the mode accordingly.
func (q *queue) recordOutcome(now time.Duration, failed bool) {
	q.failures[q.outcomeCount%len(q.failures)] = failed
	q.outcomeCount++
	switch q.mode {
	case modeOpen:
		if q.isFailing() {
			q.scheduleProbe(now, initialProbeBackoff)
		}
	case modeProbing:
		if failed {
			q.scheduleProbe(now, min(2*q.probeBackoff, maxProbeBackoff))
			return
		}
		q.mode = modeRecovering
		q.recoveryLimit = 1
		q.outcomeCount = 0
	case modeRecovering:
		if failed {
			q.scheduleProbe(now, min(2*q.probeBackoff, maxProbeBackoff))
			return
		}
		q.recoveryLimit++
		if q.recoveryLimit > max(q.MinInFlight, minOutcomes) {
			q.mode = modeOpen
			q.outcomeCount = 0
			q.probeBackoff = 0
		}
	case modeUnknown:
	}
}

// scheduleProbe sets the mode to modeProbing, in which no message is consumed until the backoff has expired, and then
// one as a probe.
func (q *queue) scheduleProbe(now, backoff time.Duration) {
	q.mode = modeProbing
	q.probeBackoff = backoff
	q.nextProbe = now + backoff
}

func (q *queue) isFailing() bool {
	n := min(q.outcomeCount, len(q.failures))
	failed := 0
	for _, isFailure := range q.failures[:n] {
		if isFailure {
			failed++
		}
	}
	return n >= minOutcomes && float64(failed) >= failureThreshold*float64(n)
}

// modeLimit returns how many messages the queue's mode allows in flight. A failing queue is only probed, so that its
// messages are not all consumed and failed.
func (q *queue) modeLimit(now time.Duration) int {
	switch q.mode {
	case modeProbing:
		if now >= q.nextProbe {
			return 1
		}
		return 0
	case modeRecovering:
		return min(q.MaxInFlight, q.recoveryLimit)
	case modeUnknown, modeOpen:
	}
	return q.MaxInFlight
}

// demand returns the highest limit that is useful for the queue. Unless the mode or MaxInFlight restricts it, it
// exceeds the number of messages in flight, because the queue may hold further messages, and their number is not known.
func (q *queue) demand(now time.Duration) int {
	return min(q.modeLimit(now), demandGrowthFactor*(q.inFlight-q.waiting)+demandHeadroom)
}

// divideWindow divides the window among the queues. Each queue first gets its minimum. The rest goes to the queues by
// priority, and by weight among queues of the same priority, up to the demand of each queue.
func (c *FlowController) divideWindow(now time.Duration) {
	remaining := int(c.window)
	byPriority := slices.Clone(c.queues)
	slices.SortStableFunc(byPriority, func(a, b *queue) int { return cmp.Compare(b.Priority, a.Priority) })
	for _, q := range byPriority {
		q.limit = min(q.MinInFlight, q.modeLimit(now), max(remaining, 0))
		remaining -= q.limit
	}
	for start := 0; start < len(byPriority) && remaining > 0; {
		end := start
		for end < len(byPriority) && byPriority[end].Priority == byPriority[start].Priority {
			end++
		}
		remaining = fillByWeight(byPriority[start:end], remaining, now)
		start = end
	}
	// A probe is allowed even if the window is full. Otherwise a failing queue would not be probed while other queues
	// fill the window.
	for _, q := range c.queues {
		if q.mode == modeProbing && now >= q.nextProbe && q.inFlight == 0 {
			q.limit = 1
		}
	}
}

// fillByWeight raises the limits of queues of the same priority, by weight, until the demand of each is met or the
// window is used up. It returns the remaining part of the window.
func fillByWeight(queues []*queue, remaining int, now time.Duration) int {
	for remaining > 0 {
		totalWeight := 0.0
		for _, q := range queues {
			if q.limit < q.demand(now) {
				totalWeight += max(q.Weight, minQueueWeight)
			}
		}
		if totalWeight == 0 {
			return remaining
		}
		available := float64(remaining)
		for _, q := range queues {
			unmetDemand := q.demand(now) - q.limit
			if unmetDemand <= 0 || remaining <= 0 {
				continue
			}
			share := int(available * max(q.Weight, minQueueWeight) / totalWeight)
			granted := min(unmetDemand, remaining, max(1, share))
			q.limit += granted
			remaining -= granted
		}
	}
	return remaining
}

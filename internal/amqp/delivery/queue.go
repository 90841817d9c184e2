package delivery

import (
	"cmp"
	"slices"
	"time"
)

const (
	// initialProbeBackoff and maxProbeBackoff are the first and the longest wait between two probes of a queue whose
	// messages fail.
	initialProbeBackoff = time.Second
	maxProbeBackoff     = 30 * time.Second
	// failureThreshold is the fraction of a queue's last messages that failed from which on the queue is failing.
	failureThreshold = 0.5
	// minOutcomes is how many messages have to be finished before a queue can be failing.
	minOutcomes = 8
	// outcomeWindow is how many of the last outcomes count: with some dozens a failing queue is no coincidence.
	outcomeWindow = 32
	// minQueueWeight keeps a queue of weight 0 from getting nothing for ever.
	minQueueWeight = 0.01
	// demandGrowthFactor and demandHeadroom say how many messages more than it has in flight a queue may ask for.
	demandGrowthFactor = 2
	demandHeadroom     = 4
)

// QueueName is a queue's name at the broker.
type QueueName string

// Queue is the configuration of one queue.
type Queue struct {
	Name        QueueName
	Weight      float64 // its share beside other queues of the same priority
	Priority    int     // queues of a higher priority go first
	MinInFlight int     // messages that may be in flight however busy the instance is, unless all is paused
	MaxInFlight int     // messages that may be in flight at most
}

// queueMode is how a queue is treated for the outcomes of its messages.
type queueMode int

// The queue modes. The zero value stands for a queue that is not configured.
const (
	modeUnknown    queueMode = iota
	modeOpen                 // limited by the window alone
	modeProbing              // its messages fail: one at a time, with growing pauses
	modeRecovering           // a probe succeeded: a few at a time, then more
)

// String returns the mode as the status socket names it.
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

// QueueState is a queue's mode, and why it is paused, if it is.
type QueueState struct {
	pause PauseReason
	mode  queueMode
}

// String returns the pause reason, or the mode if there is none, as the status socket names them.
func (s QueueState) String() string {
	if s.pause != NotPaused {
		return s.pause.String()
	}
	return s.mode.String()
}

// queue is the state of one queue. It belongs to its FlowController.
type queue struct {
	Queue
	inFlight      int // received and not settled
	limit         int // messages that may be in flight
	mode          queueMode
	nextProbe     time.Duration // when a failing queue gets its next message
	probeBackoff  time.Duration
	recoveryLimit int                 // messages that a recovering queue may have in flight
	failures      [outcomeWindow]bool // whether the last messages failed, a ring
	finished      int                 // outcomes written to the ring since the queue was opened
}

// finish takes the outcome of a message.
func (q *queue) finish(now time.Duration, failed bool) {
	q.failures[q.finished%len(q.failures)] = failed
	q.finished++
	switch q.mode {
	case modeOpen:
		if q.isFailing() {
			q.probeAfter(now, initialProbeBackoff)
		}
	case modeProbing:
		if failed {
			q.probeAfter(now, min(2*q.probeBackoff, maxProbeBackoff))
			return
		}
		q.mode = modeRecovering
		q.recoveryLimit = 1
		q.finished = 0
	case modeRecovering:
		if failed {
			q.probeAfter(now, min(2*q.probeBackoff, maxProbeBackoff))
			return
		}
		q.recoveryLimit++
		if q.recoveryLimit > max(q.MinInFlight, minOutcomes) {
			q.mode = modeOpen
			q.finished = 0
			q.probeBackoff = 0
		}
	case modeUnknown:
	}
}

// probeAfter closes the queue but for one message after the backoff.
func (q *queue) probeAfter(now, backoff time.Duration) {
	q.mode = modeProbing
	q.probeBackoff = backoff
	q.nextProbe = now + backoff
}

func (q *queue) isFailing() bool {
	n := min(q.finished, len(q.failures))
	failed := 0
	for _, isFailure := range q.failures[:n] {
		if isFailure {
			failed++
		}
	}
	return n >= minOutcomes && float64(failed) >= failureThreshold*float64(n)
}

// ceiling is what the queue may have in flight by its own mode. A failing queue is probed, so that it is not emptied
// into failures.
func (q *queue) ceiling(now time.Duration) int {
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

// demand is what the queue can use: somewhat more than it has in flight, so that it shows whether it has more.
func (q *queue) demand(now time.Duration) int {
	return min(q.ceiling(now), demandGrowthFactor*q.inFlight+demandHeadroom)
}

// divideWindow divides the window among the queues: first the minimum of each, then what they can use, a higher
// priority before a lower one, and by weight within one priority.
func (c *FlowController) divideWindow(now time.Duration) {
	remaining := int(c.window)
	byPriority := slices.Clone(c.queues)
	slices.SortStableFunc(byPriority, func(a, b *queue) int { return cmp.Compare(b.Priority, a.Priority) })
	for _, q := range byPriority {
		q.limit = min(q.MinInFlight, q.ceiling(now), max(remaining, 0))
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
	// A probe needs no place in the window: without it a failing queue would stay closed as long as others fill that.
	for _, q := range c.queues {
		if q.mode == modeProbing && now >= q.nextProbe && q.inFlight == 0 {
			q.limit = 1
		}
	}
}

// fillByWeight raises the limits of queues of one priority, by weight, until each has what it demands. It returns
// what remains.
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
			missing := q.demand(now) - q.limit
			if missing <= 0 || remaining <= 0 {
				continue
			}
			share := int(available * max(q.Weight, minQueueWeight) / totalWeight)
			part := min(missing, remaining, max(1, share))
			q.limit += part
			remaining -= part
		}
	}
	return remaining
}

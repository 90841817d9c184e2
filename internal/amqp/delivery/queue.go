package delivery

import (
	"time"
)

// QueueName is a queue's name at the broker.
type QueueName string

// Queue is what is told of one.
type Queue struct {
	Name        QueueName
	Weight      float64 // its share beside others of the same priority
	Priority    int     // the higher go first
	MinInFlight int     // messages that it may have in hand however busy the instance is, while it takes any
	MaxInFlight int     // messages that it may have in hand
}

type queue struct {
	Queue
	inFlight      int // taken and not settled
	limit         int
	nextProbe     time.Duration // when one is let through again, while it fails
	probeBackoff  time.Duration
	recoveryLimit int       // what a queue that comes back may have in hand
	failures      [32]bool  // whether the last ops failed: some dozen show more than chance
	finished      int       // of ends, ever
	mode          queueMode // how it is treated
}

type queueMode int

const (
	modeOpen       queueMode = iota
	modeProbing              // its messages fail: one at a time, ever more seldom
	modeRecovering           // a probe went well: a few, then more
)

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

// ceiling is what a queue may have in hand by its own state: one that fails is probed, not drained into failure.
func (q *queue) ceiling(now time.Duration) int {
	switch q.mode {
	case modeProbing:
		if now >= q.nextProbe {
			return 1
		}
		return 0
	case modeRecovering:
		return min(q.MaxInFlight, q.recoveryLimit)
	}
	return q.MaxInFlight
}

// demand is what a queue can use: somewhat more than it has, so that it shows whether there is more.
func (q *queue) demand(now time.Duration) int { return min(q.ceiling(now), 2*q.inFlight+4) }

// fillByWeight gives what is left to queues of one priority, by weight, until each has what it wants.
func fillByWeight(queues []*queue, remaining int, now time.Duration) int {
	for remaining > 0 {
		totalWeight := 0.0
		for _, q := range queues {
			if q.limit < q.demand(now) {
				totalWeight += max(q.Weight, 0.01)
			}
		}
		if totalWeight == 0 {
			return remaining
		}
		before := remaining
		for _, q := range queues {
			if missing := q.demand(now) - q.limit; missing > 0 && remaining > 0 {
				part := min(missing, remaining, max(1, int(float64(before)*max(q.Weight, 0.01)/totalWeight)))
				q.limit += part
				remaining -= part
			}
		}
	}
	return remaining
}

package delivery

import (
	"time"
)

const (
	// initialRetries is how many retries a new budget holds.
	initialRetries = 10
	// maxSavedRetries is how many retries a budget may save up: some seconds of a busy queue's.
	maxSavedRetries = 100
	// minRetryDelay is how long a rejected message is kept before it is returned, doubled with each attempt. Without it
	// broker and instance would pass the message to and fro as fast as they can, and spend the budget on a moment's lack
	// of capacity.
	minRetryDelay = 200 * time.Millisecond
	// maxRetryDelayDoublings bounds the doubling of minRetryDelay.
	maxRetryDelayDoublings = 8
)

// RetryBudget bounds the retries of all messages to a fraction of the fresh ones, so that an overloaded fleet does not
// spend its time on passing the same messages round. It belongs to one goroutine.
type RetryBudget struct {
	fraction  float64 // retries granted for each fresh message
	remaining float64 // retries
}

// NewRetryBudget returns a budget that grants fraction retries for each fresh message, and holds a few to begin with.
func NewRetryBudget(fraction float64) *RetryBudget {
	return &RetryBudget{fraction: fraction, remaining: initialRetries}
}

// CountFresh counts a message that arrived for the first time.
func (b *RetryBudget) CountFresh() {
	b.remaining = min(maxSavedRetries, b.remaining+b.fraction)
}

func (b *RetryBudget) take() bool {
	if b.remaining < 1 {
		return false
	}
	b.remaining--
	return true
}

// Settle decides what becomes of a message. retryAfter is when to come back, as the server said, 0 if it did not;
// random is from 0 to under 1.
func (b *RetryBudget) Settle(
	message Message, config SettlementConfig, outcome Outcome, retryAfter time.Duration, random float64,
) Disposition {
	switch outcome {
	case Drained:
		return settleDrained(message, config)
	case Rejected:
		return b.settleRejected(message, config, retryAfter, random)
	default:
		return finalDisposition(outcome, config)
	}
}

func finalDisposition(outcome Outcome, config SettlementConfig) Disposition {
	return Disposition{
		Reply:      true,
		Outcome:    outcome,
		DeadLetter: outcome != Succeeded && config.DeadLetter,
		Action:     Ack,
	}
}

// settleDrained returns the message whatever its attempts: it did not fail, the instance drains. A message that is
// requeued is redelivered, and without idempotence could not be told from one that was executed; so it goes by the
// retry queue where there is one.
func settleDrained(message Message, config SettlementConfig) Disposition {
	if config.UseRetryQueue && !message.Idempotent {
		return Disposition{Action: Reject}
	}
	return Disposition{Action: Requeue}
}

// settleRejected returns the message for a further attempt if its attempts, its deadline and the budget allow one.
func (b *RetryBudget) settleRejected(
	message Message, config SettlementConfig, retryAfter time.Duration, random float64,
) Disposition {
	if message.Attempt+1 >= config.MaxAttempts {
		return finalDisposition(OutOfAttempts, config)
	}
	// From half to one and a half times, so that messages that were rejected together do not come back together.
	delay := max(minRetryDelay<<min(message.Attempt, maxRetryDelayDoublings), retryAfter)
	delay = delay/2 + time.Duration(random*float64(delay))
	action := Requeue
	total := delay
	if config.UseRetryQueue {
		action = Reject
		total += config.RetryQueueDelay
	}
	if total >= message.Remaining || !b.take() {
		return finalDisposition(Failed, config)
	}
	return Disposition{Action: action, Delay: delay}
}

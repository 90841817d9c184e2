package delivery

import (
	"time"
)

// RetryBudget bounds repeats of all messages together to a share of fresh work. Danger: an overloaded fleet that hands the same
// messages round and round does nothing else.
type RetryBudget struct {
	fraction  float64
	remaining float64
}

// maxSavedRetries is how many repeats a budget may save up: some seconds of a busy queue's.
const maxSavedRetries = 100

// NewRetryBudget begins with a few repeats.
func NewRetryBudget(fraction float64) *RetryBudget {
	return &RetryBudget{fraction: fraction, remaining: 10}
}

// CountFresh counts a message that came for the first time.
func (b *RetryBudget) CountFresh() { b.remaining = min(maxSavedRetries, b.remaining+b.fraction) }

func (b *RetryBudget) take() bool {
	if b.remaining < 1 {
		return false
	}
	b.remaining--
	return true
}

// minRetryDelay is before a message is put back that the module had no room for, twice as long with each attempt. Danger: broker and
// instance hand it to and fro as fast as they can, and the budget is spent on a moment without room while the message has
// time. Five attempts last three seconds.
const minRetryDelay = 200 * time.Millisecond

// Settle decides what becomes of a message. chance is between 0 and 1; after is when to come back, as the module said.
func (b *RetryBudget) Settle(message Message, config SettlementConfig, outcome Outcome, retryAfter time.Duration, random float64) Disposition {
	final := Disposition{Reply: true, Action: Ack, Code: outcome.Code(), DeadLetter: outcome != Succeeded && config.DeadLetter}
	switch outcome {
	case Drained: // it is the broker's again, whatever its attempts: our leaving is no failure of it
		if config.UseRetryQueue && !message.Idempotent { // put back, it would come redelivered, and could not be told from one that ran
			return Disposition{Action: Reject}
		}
		return Disposition{Action: Requeue}
	case Rejected:
		// Half to one and a half times: what was nacked together does not come back together.
		delay := max(minRetryDelay<<min(message.Attempt, 8), retryAfter)
		delay = delay/2 + time.Duration(random*float64(delay))
		total := delay
		if config.UseRetryQueue {
			total += config.RetryQueueDelay
		}
		if message.Attempt+1 >= config.MaxAttempts || total >= message.Remaining || !b.take() {
			final.Code = Failed.Code()
			if message.Attempt+1 >= config.MaxAttempts {
				final.Code = "out-of-attempts"
			}
			return final
		}
		if config.UseRetryQueue {
			return Disposition{Action: Reject, Delay: delay}
		}
		return Disposition{Action: Requeue, Delay: delay}
	}
	return final
}

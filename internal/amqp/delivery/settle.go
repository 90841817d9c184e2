package delivery

import (
	"time"
)

const (
	// minRetryDelay is how long a message is kept after its first rejection before it is returned to the broker or
	// submitted again. The delay doubles with each further attempt. Without a delay, broker and instance would pass the
	// message back and forth as fast as they can, and a brief lack of capacity would use up the budget.
	minRetryDelay = 200 * time.Millisecond
	// maxRetryDelayDoublings limits how often minRetryDelay is doubled.
	maxRetryDelayDoublings = 8
)

// Settle decides how to settle a message. retryAfter is the delay before a retry that the server asked for, or 0.
// random must be at least 0 and less than 1.
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

// settleDrained returns the message regardless of its number of attempts, because the instance is draining and the
// message did not fail. A requeued message is redelivered, and if it is not idempotent the next consumer cannot
// distinguish it from one that was executed. Such a message is returned through the retry queue if there is one. A
// message that would come back with another deadline, or after it, is replied to.
func settleDrained(message Message, config SettlementConfig) Disposition {
	action := Requeue
	delay := time.Duration(0)
	if config.UseRetryQueue && !message.Idempotent {
		action = Reject
		delay = config.RetryQueueDelay
	}
	if !message.keepsDeadline(action) || !message.returnsInTime(action, delay) {
		return finalDisposition(Failed, config)
	}
	return Disposition{Action: action}
}

// ReturnUnreceived decides how a draining instance returns a delivery that it has not processed. It returns false if
// the delivery must be processed instead, because it would come back with other values, or after its deadline. A
// requeued message that must not be executed twice would be answered as uncertain at a peer, so it is returned through
// the retry queue if there is one. A redelivered one must stay recognizable as such.
func ReturnUnreceived(message Message, config SettlementConfig, redelivered bool) (action Action, ok bool) {
	if !config.UseRetryQueue || redelivered || message.Idempotent {
		return Requeue, true
	}
	return Reject, !message.ChangedByRetryQueue && message.returnsInTime(Reject, config.RetryQueueDelay)
}

// settleRejected schedules another attempt if the message's attempts, its deadline and the budget allow one.
func (b *RetryBudget) settleRejected(
	message Message, config SettlementConfig, retryAfter time.Duration, random float64,
) Disposition {
	if message.PriorAttempts+1 >= config.MaxAttempts {
		return finalDisposition(OutOfAttempts, config)
	}
	delay := retryDelay(message.PriorAttempts, retryAfter, random)
	action := message.retryAction(config, delay)
	total := delay
	if action == Reject {
		total += config.RetryQueueDelay
	}
	if total >= message.Remaining || !b.take() {
		return finalDisposition(Failed, config)
	}
	return Disposition{Action: action, Delay: delay}
}

// retryDelay returns how long a rejected message is kept. The delay is multiplied by a random factor between 0.5 and
// 1.5, so that messages that were rejected together are not tried again together.
func retryDelay(priorAttempts int, retryAfter time.Duration, random float64) time.Duration {
	delay := max(minRetryDelay<<min(priorAttempts, maxRetryDelayDoublings), retryAfter)
	return delay/2 + time.Duration(random*float64(delay))
}

// retryAction returns how a rejected message gets to its next attempt. It is returned to the broker, unless it might
// come back with another deadline. A message with an expiration is not requeued either: if it expires before a peer
// receives it, nobody replies to it.
func (m Message) retryAction(config SettlementConfig, delay time.Duration) Action {
	action := Requeue
	if config.UseRetryQueue {
		action = Reject
		delay += config.RetryQueueDelay
	}
	if m.DeadlineSource == FromExpiration || !m.keepsDeadline(action) {
		return Resubmit
	}
	hasTimeOnlyHere := delay < m.Remaining && !m.returnsInTime(action, delay)
	if hasTimeOnlyHere {
		return Resubmit
	}
	return action
}

// keepsDeadline reports whether each consumer, also one of an earlier version, reads the message's deadline again after
// the message has been returned. A broker returns a requeued message as it was published. It removes the expiration of
// a dead-lettered one, and documents only for expired messages that it keeps it elsewhere.
func (m Message) keepsDeadline(action Action) bool {
	if action == Reject {
		return m.DeadlineSource == FromDefault && !m.ChangedByRetryQueue
	}
	return m.DeadlineSource != NotStated
}

// returnsInTime reports whether a message that is returned after a delay comes back before its deadline.
func (m Message) returnsInTime(action Action, delay time.Duration) bool {
	if action == Reject {
		delay += m.RetryQueueShortens
	}
	return delay < m.Remaining
}

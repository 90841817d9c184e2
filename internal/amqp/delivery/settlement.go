package delivery

import (
	"time"
)

// Outcome is what became of a message.
type Outcome int

// The outcomes.
const (
	NoOutcome       Outcome = iota // none that is replied: the message goes back to the broker
	Succeeded                      // it was executed
	Rejected                       // the server had no capacity; it was not executed here
	Failed                         // it may have been executed
	Denied                         // its caller may not; it was not executed
	Unservable                     // it can't be served, now or later; it was not executed
	Expired                        // it arrived after its deadline; it was not executed
	MayHaveExecuted                // redelivered, not idempotent, and not known here
	Drained                        // the instance drains; it was not executed
	DuplicateID                    // another message with its id and another content is remembered
	OutOfAttempts                  // rejected as often as is allowed; it was not executed
)

var outcomeNames = [...]string{
	NoOutcome:       "",
	Succeeded:       "acked",
	Rejected:        "nacked",
	Failed:          "failed",
	Denied:          "denied",
	Unservable:      "unservable",
	Expired:         "past-due",
	MayHaveExecuted: "may-have-run",
	Drained:         "drained",
	DuplicateID:     "id-twice",
	OutOfAttempts:   "out-of-attempts",
}

// String returns the outcome as replies, dead letters and counters name it, empty for NoOutcome.
func (o Outcome) String() string {
	if o < 0 || int(o) >= len(outcomeNames) {
		return "unknown"
	}
	return outcomeNames[o]
}

// Message is what the decision on a message depends on.
type Message struct {
	Attempt    int           // earlier attempts, by the broker's count or ours
	Remaining  time.Duration // until its deadline
	Idempotent bool          // its class may be executed twice
}

// SettlementConfig is how the messages of a queue are settled.
type SettlementConfig struct {
	MaxAttempts     int           // after so many attempts a message is replied to as failed
	UseRetryQueue   bool          // the queue dead-letters rejected messages into one that returns them after a while
	RetryQueueDelay time.Duration // how long the retry queue keeps a message
	DeadLetter      bool          // messages that did not succeed are copied to a dead-letter queue
	Reply           bool          // messages name the queue of their reply
}

// Action is how a delivery is settled, after its reply if there is one.
type Action int

// The actions.
const (
	Ack     Action = iota
	Requeue        // return it to the queue, for a peer
	Reject         // dead-letter it into the retry queue
)

// Disposition is the decision on a message.
type Disposition struct {
	Reply      bool    // reply now; there is no further attempt
	Outcome    Outcome // that is replied
	DeadLetter bool    // copy it to the dead-letter queue
	Action     Action
	Delay      time.Duration // before the action
}

package delivery

import (
	"time"
)

// Outcome is the result of processing a message.
type Outcome int

// The outcomes.
const (
	NoOutcome       Outcome = iota // no reply is sent; the message is returned to the broker
	Succeeded                      // executed
	Rejected                       // the server had no capacity; not executed here
	Failed                         // may have been executed
	Denied                         // the caller is not authorized; not executed
	Unservable                     // cannot be served, now or later; not executed
	Expired                        // arrived after its deadline; not executed
	MayHaveExecuted                // redelivered, not idempotent, and not remembered by this instance
	Drained                        // the instance is draining; not executed
	DuplicateID                    // a message with the same id and different content is remembered
	OutOfAttempts                  // rejected the maximum number of times; not executed
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

// String returns the outcome as replies, dead letters and counters report it. It is empty for NoOutcome.
func (o Outcome) String() string {
	if o < 0 || int(o) >= len(outcomeNames) {
		return "unknown"
	}
	return outcomeNames[o]
}

// DeadlineSource is where a consumer read a message's deadline. It decides which ways back to the broker keep it.
type DeadlineSource int

// The sources of deadlines.
const (
	FromDefault    DeadlineSource = iota // timestamp and the queue's default timeout
	FromExpiration                       // timestamp and expiration
	// NotStated is the source of a deadline that another consumer would not find in the message: it has no timestamp, or
	// the broker may have removed its expiration.
	NotStated
)

// Deadline is a message's deadline and its source.
type Deadline struct {
	At     time.Time
	Source DeadlineSource
}

// Message holds the properties of a message on which its settlement depends.
type Message struct {
	PriorAttempts  int           // earlier attempts, as counted by the broker or by this instance
	Remaining      time.Duration // time until its deadline
	DeadlineSource DeadlineSource
	Idempotent     bool // the message's class may be executed twice
	// ChangedByRetryQueue is set if the broker removes or replaces values of the message when it is dead-lettered.
	ChangedByRetryQueue bool
	// RetryQueueShortens is by how much earlier the deadline is for a consumer that gets the message from the retry queue.
	RetryQueueShortens time.Duration
}

// SettlementConfig configures how the messages of a queue are settled.
type SettlementConfig struct {
	MaxAttempts     int           // a message rejected in this many attempts is replied to as out of attempts
	UseRetryQueue   bool          // rejected messages are dead-lettered into a queue that returns them after a delay
	RetryQueueDelay time.Duration // how long the retry queue keeps a message
	DeadLetter      bool          // messages that did not succeed are copied to a dead-letter queue
	Reply           bool          // messages name a reply queue
}

// Action is how a delivery is settled, after the reply if there is one.
type Action int

// The actions that settle a delivery.
const (
	Ack      Action = iota
	Requeue         // return the message to the queue, for a peer
	Reject          // dead-letter the message into the retry queue
	Resubmit        // keep the message and submit it to this instance's server again
)

// Disposition is the decision on how to settle a message.
type Disposition struct {
	Reply      bool    // reply now; there is no further attempt
	Outcome    Outcome // outcome reported in the reply
	DeadLetter bool    // copy the message to the dead-letter queue
	Action     Action
	Delay      time.Duration // time to wait before the action
}

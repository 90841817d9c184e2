package delivery

import (
	"time"
)

// Outcome is how an op of a message came out.
type Outcome int

const (
	Succeeded       Outcome = iota
	Rejected                // it never ran here
	Failed                  // it may have run
	Denied                  // it may not, and never ran
	Unservable              // it never could be, and never ran
	Expired                 // it came too late, and never ran
	MayHaveExecuted         // redelivered, of a type that must not run twice, and unknown here
	Drained                 // it was not started, and the instance leaves
	DuplicateID             // another message in hand has its id and says something else
)

// Code is what an answer says of an outcome.
func (o Outcome) Code() string {
	return [...]string{"acked", "nacked", "failed", "denied", "unservable", "past-due", "may-have-run", "drained", "id-twice"}[o]
}

// Message is what a decision on one needs.
type Message struct {
	Attempt    int           // times that it has come back already, by the broker's count or ours
	Remaining  time.Duration // of its wait
	Idempotent bool          // its type may run twice
}

// SettlementConfig is what the operator's file says of a queue's messages.
type SettlementConfig struct {
	MaxAttempts     int           // after so many it is answered as failed
	UseRetryQueue   bool          // what is rejected comes back after a while: the queue dead-letters into one that does so
	RetryQueueDelay time.Duration // how long that takes
	DeadLetter      bool          // failures are copied to a dead-letter queue
	Reply           bool          // the message names where its answer goes
}

// Action is what is to be done with a delivery, behind its answer if there is one.
type Action int

const (
	Ack     Action = iota
	Requeue        // put back for a peer
	Reject         // into the retry queue
)

// Disposition is what becomes of a message.
type Disposition struct {
	Reply      bool // it is answered now, finally
	DeadLetter bool // and copied to the dead-letter queue
	Action     Action
	Delay      time.Duration // before Then
	Code       string        // of the answer
}

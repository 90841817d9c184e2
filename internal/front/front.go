// Package front is the seam between the core and whoever hands it ops: client stubs on connections, messages on queues. A
// front translates, and owes one answer an op; the core does not ask by which front an op came.
package front

import (
	"time"

	"lanewheel/internal/identity"
)

// Ask is an op as a front has read it. Body stays valid only during the call that it is given to.
type Ask struct {
	ID, Type, Tenant, Subject string
	At                        int64 // Unix milliseconds
	From                      int   // which caller, where callers are numbered
	Wait                      time.Duration
	Waits                     bool // whether it says how long it waits
	Cost                      time.Duration
	KB, Rank                  float64
	Token                     string // empty where none is brought
	Passed                    int    // how many processes have passed it on
	Anew                      bool   // each try comes under an id of its own: only what it says tells that two are of one op
	Body                      []byte
}

// With is what an answer carries beside itself. Say under 0 is left out, as is an empty Why.
type With struct {
	Say   float64
	After time.Duration
	Last  bool
	Why   string
}

// Owed is an op that is owed its one answer. One of the first four is called once, unless the front has said that the caller
// is gone; Settled follows in any case. All are called on the owner loop and must not wait.
type Owed interface {
	// Answer gives the result of a run; result stays valid only during the call.
	Answer(result []byte, with With)
	// Refuse nacks it: it never ran here.
	Refuse(with With)
	// Fail tells that it failed; it may have run.
	Fail(with With)
	// Reject tells that it could never be served, by code, or, with with.Why, that it was denied. It never ran.
	Reject(code string, with With)
	// Settled tells that nothing is owed any more.
	Settled()
}

// Op is an op that the core has taken; only the core looks inside.
type Op any

// Load is what a front may go by to hand in more or less.
type Load struct {
	Up      bool // the runtime has come up and its link stands
	Leaving bool
	Well    bool    // the module's health
	Cores   float64 // of the runtime
	Held    int     // ops in hand that do not run
	Running int
	Room    int           // ops that there is memory for beside those
	Idle    time.Duration // for how long nothing has been in hand
	Signal  float64       // what the module last had ride on answers, under 0 before it has
}

// Front is one that works beside the core's loop.
type Front interface {
	Start()
	// Leave is the notice to drain; all has to be over by last, a time from now.
	Leave(last time.Duration)
	// Closed tells whether all is over.
	Closed() bool
}

// Core is what a front hands its ops to. Its methods belong to the owner loop.
type Core interface {
	// Enter hands an op in; it gives nil if the op was answered at once. badge is what its caller proved, of one connection
	// or queue; it is never nil.
	Enter(ask Ask, badge *identity.Badge, owed Owed) Op
	// Gone tells that nobody waits for the op any more.
	Gone(Op)
	Load() Load
}

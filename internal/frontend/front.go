// Package frontend is the seam between the core and whoever hands it ops: client stubs on connections, messages on queues. A
// front translates, and owes one answer an op; the core does not ask by which front an op came.
package frontend

import (
	"time"

	"lanewheel/internal/authn"
)

// Request is an op as a front has read it. Body stays valid only during the call that it is given to.
type Request struct {
	ID, Class, Tenant, Resource string
	SentUnixMilli               int64 // Unix milliseconds
	Caller                      int   // which caller, where callers are numbered
	Timeout                     time.Duration
	HasTimeout                  bool // whether it says how long it waits
	WorkHint                    time.Duration
	MemoryKB, Rank              float64
	Token                       string // empty where none is brought
	Hops                        int    // how many processes have passed it on
	NewIDPerAttempt             bool   // each try comes under an id of its own: only what it says tells that two are of one op
	Body                        []byte
}

// ResponseMetadata is what an answer carries beside itself. Say under 0 is left out, as is an empty Why.
type ResponseMetadata struct {
	LoadReport float64
	RetryAfter time.Duration
	NoFailover bool
	Reason     string
}

// Responder is an op that is owed its one answer. One of the first four is called once, unless the front has said that the caller
// is gone; Settled follows in any case. All are called on the owner loop and must not wait.
type Responder interface {
	// Answer gives the result of a run; result stays valid only during the call.
	Succeed(result []byte, with ResponseMetadata)
	// Refuse nacks it: it never ran here.
	Reject(with ResponseMetadata)
	// Fail tells that it failed; it may have run.
	Fail(with ResponseMetadata)
	// Reject tells that it could never be served, by code, or, with with.Why, that it was denied. It never ran.
	RejectPermanently(code string, with ResponseMetadata)
	// Settled tells that nothing is owed any more.
	Done()
}

// Handle is an op that the core has taken; only the core looks inside.
type Handle any

// Load is what a front may go by to hand in more or less.
type Load struct {
	Ready        bool // the runtime has come up and its link stands
	Draining     bool
	Healthy      bool    // the module's health
	Cores        float64 // of the runtime
	Queued       int     // ops in hand that do not run
	Running      int
	FreeCapacity int           // ops that there is memory for beside those
	IdleFor      time.Duration // for how long nothing has been in hand
	LoadReport   float64       // what the module last had ride on answers, under 0 before it has
}

// Frontend is one that works beside the core's loop.
type Frontend interface {
	Start()
	// Leave is the notice to drain; all has to be over by last, a time from now.
	Drain(last time.Duration)
	// Closed tells whether all is over.
	Drained() bool
}

// Server is what a front hands its ops to. Its methods belong to the owner loop.
type Server interface {
	// Enter hands an op in; it gives nil if the op was answered at once. badge is what its caller proved, of one connection
	// or queue; it is never nil.
	Submit(ask Request, badge *authn.Credential, owed Responder) Handle
	// Gone tells that nobody waits for the op any more.
	Cancel(Handle)
	Load() Load
}

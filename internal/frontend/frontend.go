// Package frontend is the interface between a server and those who hand it requests: clients on connections,
// messages on queues. A front end translates its protocol to and from requests, and owes each request one response.
// The server does not ask which front end a request came by.
package frontend

import (
	"time"

	"lanewheel/internal/authn"
)

// Request is a request as a front end has read it. Body stays valid only during the call that Request is passed to.
type Request struct {
	ID            string
	Class         string
	Tenant        string // empty where there are no tenants
	Resource      string // that is read; empty for a write
	SentUnixMilli int64  // when it was sent, in Unix milliseconds, by the sender's clock
	Caller        int    // where callers are numbered

	Timeout    time.Duration // how long its caller waits, since it was sent
	HasTimeout bool

	WorkHint time.Duration // rough work; 0 where none is given
	MemoryKB float64       // that it takes while it is queued
	Rank     float64       // 0 to under 1

	Token           string // empty where none is presented
	Hops            int    // processes that have forwarded it
	NewIDPerAttempt bool   // retries come under ids of their own; only their bodies tell that they are of one request
	Body            []byte
}

// ResponseMetadata is what a response carries beside itself.
type ResponseMetadata struct {
	LoadReport float64       // negative: left out
	RetryAfter time.Duration // when the caller may come again; 0: left out
	NoFailover bool          // the caller should not try another instance
	Reason     string        // of a denial, an authz.Denial; empty: left out
}

// RejectionCode says why a request could never be served. The codes are part of the protocol of queues.
type RejectionCode string

// The rejection codes.
const (
	UnknownClass   RejectionCode = "unknown-type"
	UnknownTenant  RejectionCode = "unknown-tenant"
	OutOfRange     RejectionCode = "out-of-range" // one of its figures
	UnknownRequest RejectionCode = "unknown-op"   // the runtime knows no such request
	Denied         RejectionCode = "denied"       // ResponseMetadata.Reason says why
)

// Responder is owed the response of one request. One of Succeed, Reject, Fail and RejectPermanently is called once,
// unless the front end has canceled the request; Done follows in any case. All are called on the server's event
// loop and must not wait.
type Responder interface {
	// Succeed gives the result of a run. It stays valid only during the call.
	Succeed(result []byte, metadata ResponseMetadata)
	// Reject says that the request was not executed, and may be sent again.
	Reject(metadata ResponseMetadata)
	// Fail says that the request failed. It may have been executed.
	Fail(metadata ResponseMetadata)
	// RejectPermanently says that the request was not executed, and would not be if it were sent again.
	RejectPermanently(code RejectionCode, metadata ResponseMetadata)
	// Done says that nothing is owed any more.
	Done()
}

// Handle is a request that the server has taken. Only the server looks inside, so it is no interface with methods.
type Handle any

// Load is what a front end may go by to hand in more or less.
type Load struct {
	Ready        bool // the runtime has come up and its link stands
	Draining     bool
	Healthy      bool          // health checks are answered so
	Cores        float64       // of the runtime
	Queued       int           // requests in flight that do not run
	Running      int           // requests in flight that run
	FreeCapacity int           // requests that there is memory for beside those
	IdleFor      time.Duration // how long there has been no request in flight
	LoadReport   float64       // part of every response; negative before the first
}

// Frontend is a front end with an event loop of its own. Its methods are called on the server's, but for Start,
// which is called before that runs.
type Frontend interface {
	Start()
	// Drain is the notice to drain. All has to be closed within a time from now.
	Drain(within time.Duration)
	// Drained tells whether all is closed.
	Drained() bool
}

// Server is what a front end hands its requests to. Its methods are called on the server's event loop.
type Server interface {
	// Submit hands a request in. It returns nil if the request was answered at once. credential is what the caller
	// proved, for one connection or queue; it is never nil.
	Submit(request Request, credential *authn.Credential, responder Responder) Handle
	// Cancel says that nobody waits for the request any more. A nil handle is none.
	Cancel(Handle)
	Load() Load
}

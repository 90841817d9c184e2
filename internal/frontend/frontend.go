// Package frontend defines the interface between a server and its front ends. A front end reads requests from client
// connections or queue messages and submits them to the server. It translates between its protocol and requests, and
// sends exactly one response to each request. The server does not distinguish between front ends.
package frontend

import (
	"time"

	"lanewheel/internal/authn"
)

// Request is a request as read by a front end. Body is valid only during the call that the Request is passed to.
type Request struct {
	ID            string
	Class         string
	Tenant        string // empty if there are no tenants
	Resource      string // resource that is read; empty for a write
	SentUnixMilli int64  // time at which it was sent, in Unix milliseconds by the sender's clock
	Caller        int    // number of the caller, if callers are numbered

	Timeout    time.Duration // how long the caller waits, from the time the request was sent
	HasTimeout bool

	WorkHint time.Duration // approximate work; 0 if the request states none
	MemoryKB float64       // memory that the request takes while it is queued
	Rank     float64       // priority: at least 0 and less than 1; each priority weight has a band, higher weights above

	Token           string // empty if the caller presents none
	Hops            int    // number of processes that have forwarded the request
	NewIDPerAttempt bool   // each attempt has its own ID; attempts of a request are recognized by their equal bodies
	Body            []byte
}

// ResponseMetadata is the additional data that a response carries.
type ResponseMetadata struct {
	LoadReport float64       // omitted if negative
	RetryAfter time.Duration // time after which the caller may retry; omitted if 0
	NoFailover bool          // the caller should not try another instance
	Reason     string        // an authz.Denial, or a RejectionCode for a forwarded request; omitted if empty
}

// RejectionCode is the reason why a request can never be served. The codes are part of the queue protocol.
type RejectionCode string

// The rejection codes.
const (
	UnknownClass   RejectionCode = "unknown-type"
	UnknownTenant  RejectionCode = "unknown-tenant"
	OutOfRange     RejectionCode = "out-of-range" // a numeric value is out of range
	UnknownRequest RejectionCode = "unknown-op"   // the runtime does not know the request
	Denied         RejectionCode = "denied"       // ResponseMetadata.Reason holds the reason
)

// IsInvalid reports whether the code states that a request is invalid, whoever sends it.
func (c RejectionCode) IsInvalid() bool {
	switch c {
	case UnknownClass, UnknownTenant, OutOfRange, UnknownRequest:
		return true
	default:
		return false
	}
}

// Responder receives the response to one request. Exactly one of Succeed, Reject, Fail and RejectPermanently is called,
// once, unless the front end has canceled the request. Done is called last in any case. All methods are called on the
// server's event loop and must not block.
type Responder interface {
	// Succeed responds with the result of a run. The result is valid only during the call.
	Succeed(result []byte, metadata ResponseMetadata)
	// Reject responds that the request was not executed and may be retried.
	Reject(metadata ResponseMetadata)
	// Fail responds that the request failed. The request may have been executed.
	Fail(metadata ResponseMetadata)
	// RejectPermanently responds that the request was not executed and that a retry would not be executed either.
	RejectPermanently(code RejectionCode, metadata ResponseMetadata)
	// Done reports that the server will not call the responder again.
	Done()
}

// Handle identifies a request that the server has accepted. Its value is opaque to front ends, so it has no methods.
type Handle any

// Load is the state of the server. A front end may use it to adjust the rate of its requests.
type Load struct {
	Ready        bool // the runtime is ready, and all events that it sent while disconnected have been read
	Draining     bool
	Healthy      bool          // health checks are answered as healthy
	Cores        float64       // cores of the runtime
	Queued       int           // requests in flight that are neither running nor forwarded
	Running      int           // requests in flight that are running
	FreeCapacity int           // number of further requests that the memory allows
	IdleFor      time.Duration // time since the last request in flight; 0 while there are any
	LoadReport   float64       // sent with every response; negative until the first one is published
}

// Frontend is a front end with its own event loop. Its methods are called on the server's event loop, except for Start,
// which is called before that loop runs.
type Frontend interface {
	Start()
	// Drain starts draining, which must be complete within the given time from now.
	Drain(within time.Duration)
	// Drained reports whether draining is complete.
	Drained() bool
}

// Server accepts the requests of front ends. Its methods are called on the server's event loop.
type Server interface {
	// Submit submits a request. It returns nil if the request was answered at once. credential holds the proof of the
	// caller's identity for one connection or queue; it is never nil.
	Submit(request Request, credential *authn.Credential, responder Responder) Handle
	// Cancel cancels a request whose caller no longer waits for the response, and reports whether it is certain that no
	// attempt of the request has run or will run. It does nothing if the handle is nil.
	Cancel(Handle) (neverRan bool)
	Load() Load
}

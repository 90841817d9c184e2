package forward

import (
	"fmt"

	"lanewheel/internal/balancer"
	"lanewheel/internal/frontend"
	"lanewheel/internal/rpc"
)

// Responses that this process creates if no endpoint has responded.
var (
	busyResponse   = rpc.Response{Error: rpc.CodeBusy, Metadata: frontend.ResponseMetadata{LoadReport: -1}}
	failedResponse = rpc.Response{Error: rpc.CodeFailed, Metadata: frontend.ResponseMetadata{LoadReport: -1}}
)

// Result is the result of a request that was forwarded. Response.Result is valid only until the onDone callback that
// receives the Result returns.
type Result struct {
	LastOutcome balancer.Outcome // outcome of the last attempt
	NotSent     bool             // nothing of the last attempt was sent
	NoEndpoint  bool             // there was no endpoint to try, or no other endpoint to retry at
	TimedOut    bool             // the deadline passed, or Expire was called
	// Invalid is the reason why the request can never be served; it has not run. It is empty if there is no such reason.
	Invalid frontend.RejectionCode
	rpc.Response
}

// MayHaveRun reports whether the request may have run in its last attempt. Earlier attempts need no check, because a
// request is retried only if the previous attempt proved that it has not run, or if it is idempotent.
func (r Result) MayHaveRun() bool {
	return r.LastOutcome != balancer.Rejected && !r.NotSent && !r.NoEndpoint
}

// Disposition is the kind of response that a caller receives.
type Disposition uint8

// The dispositions.
const (
	Succeeded Disposition = iota
	Rejected              // the request has not run, or it is idempotent and did not run in its last attempt
	Denied                // like Rejected, but the caller lacks permission, and a retry would be denied, too
	Failed                // the request may have run
	Invalid               // the request can never be served and has not run
)

var dispositionNames = [...]string{"succeeded", "rejected", "denied", "failed", "invalid"}

// String returns the disposition as it appears in the log.
func (d Disposition) String() string {
	if int(d) < len(dispositionNames) {
		return dispositionNames[d]
	}
	return fmt.Sprintf("Disposition(%d)", uint8(d))
}

// Disposition returns the kind of response that the caller receives.
func (r Result) Disposition() Disposition {
	switch {
	case r.Invalid != "":
		return Invalid
	case r.LastOutcome == balancer.Succeeded:
		return Succeeded
	case r.Error == rpc.CodeDenied:
		return Denied
	case !r.MayHaveRun():
		return Rejected
	}
	return Failed
}

// Respond passes the response to a responder. The caller of Respond must call the responder's Done afterwards.
func (r Result) Respond(responder frontend.Responder) {
	switch r.Disposition() {
	case Succeeded:
		responder.Succeed(r.Result, r.Metadata)
	case Rejected:
		responder.Reject(r.Metadata)
	case Denied:
		responder.RejectPermanently(frontend.Denied, r.Metadata)
	case Failed:
		responder.Fail(r.Metadata)
	case Invalid:
		responder.RejectPermanently(r.Invalid, r.Metadata)
	}
}

package forward

import (
	"fmt"

	"lanewheel/internal/balancer"
	"lanewheel/internal/frontend"
	"lanewheel/internal/transport"
)

// Error codes of the request protocol.
const (
	errorBusy   = "Busy"   // rejected: it never ran
	errorFailed = "Failed" // it may have run
	errorDenied = "Denied" // its caller may not: it never ran, and another endpoint would say the same
)

// Responses of our own, where no endpoint has given one.
var (
	busyResponse   = transport.Response{Error: errorBusy, Metadata: frontend.ResponseMetadata{LoadReport: -1}}
	failedResponse = transport.Response{Error: errorFailed, Metadata: frontend.ResponseMetadata{LoadReport: -1}}
)

// Result is what became of a request that was forwarded. Response.Result stays valid only during the call that it is
// given to.
type Result struct {
	LastOutcome balancer.Outcome // of the last attempt
	NotSent     bool             // nothing of the last attempt went out, and each before proved that the request never ran
	NoEndpoint  bool             // there was no endpoint, or none left, to give it to
	TimedOut    bool             // its deadline passed
	transport.Response
}

// MayHaveRun reports whether the request may have run.
func (r Result) MayHaveRun() bool {
	return r.LastOutcome != balancer.Rejected && !r.NotSent && !r.NoEndpoint
}

// Disposition is how a caller is answered.
type Disposition uint8

// The dispositions.
const (
	Succeeded Disposition = iota
	Rejected              // it never ran
	Denied                // its caller may not: it never ran, and a retry would not help
	Failed                // it may have run
)

var dispositionNames = [...]string{"succeeded", "rejected", "denied", "failed"}

// String returns the disposition as it is logged.
func (d Disposition) String() string {
	if int(d) < len(dispositionNames) {
		return dispositionNames[d]
	}
	return fmt.Sprintf("Disposition(%d)", uint8(d))
}

// Disposition returns how the caller is answered.
func (r Result) Disposition() Disposition {
	switch {
	case r.LastOutcome == balancer.Succeeded:
		return Succeeded
	case r.Error == errorDenied:
		return Denied
	case !r.MayHaveRun():
		return Rejected
	}
	return Failed
}

// Respond gives a responder the one response that it is owed.
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
	}
}

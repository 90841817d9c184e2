package clients

import (
	"lanewheel/internal/authn"
	"lanewheel/internal/authz"
	"lanewheel/internal/frontend"
)

// maxConsecutiveInvalid is the number of consecutive requests that can never be served after which the
// connection is closed. Without this limit, a client that endlessly repeats such a request without a delay
// would take the event loop's time from the other clients. With the limit, it has to reconnect.
const maxConsecutiveInvalid = 8

// responder sends the response to one request to the client. It implements frontend.Responder and is owned by
// the event loop.
type responder struct {
	conn      *connection
	messageID uint32
	requestID string
	handle    frontend.Handle // nil until the server has accepted the request
}

func (r *responder) Succeed(result []byte, metadata frontend.ResponseMetadata) {
	r.conn.consecutiveInvalid = 0
	r.conn.conn.Succeed(r.messageID, result, metadata)
}

func (r *responder) Reject(metadata frontend.ResponseMetadata) {
	r.conn.consecutiveInvalid = 0
	r.conn.conn.Reject(r.messageID, metadata)
}

func (r *responder) Fail(metadata frontend.ResponseMetadata) {
	r.conn.consecutiveInvalid = 0
	r.conn.conn.Fail(r.messageID, metadata)
}

// RejectPermanently answers a request that can never be served. It closes the connection if the runtime does
// not know the request or if this is the last of maxConsecutiveInvalid consecutive ones. If the client's
// certificate has been revoked, the connection is closed as soon as nothing is pending on it.
func (r *responder) RejectPermanently(code frontend.RejectionCode, metadata frontend.ResponseMetadata) {
	conn := r.conn
	invalid := true
	if metadata.Reason == "" {
		conn.conn.Fail(r.messageID, metadata)
	} else {
		conn.conn.Deny(r.messageID, metadata)
		if conn.closeIfRevoked() {
			return
		}
		invalid = authn.IsForgery(authz.Denial(metadata.Reason))
	}
	if invalid {
		conn.consecutiveInvalid++
	}
	if code == frontend.UnknownRequest || conn.consecutiveInvalid >= maxConsecutiveInvalid {
		delete(conn.pending, r.messageID) // it has been answered; failAndClose fails the others
		conn.failAndClose(closeReasonFor(code))
	}
}

// Done removes the request from the pending requests.
func (r *responder) Done() {
	if r.conn.pending[r.messageID] == r {
		delete(r.conn.pending, r.messageID)
	}
	r.conn.lastUsed = r.conn.frontend.loop.Now()
	r.conn.finishDeferredClose()
}

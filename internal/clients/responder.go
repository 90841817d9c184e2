package clients

import (
	"lanewheel/internal/authn"
	"lanewheel/internal/authz"
	"lanewheel/internal/frontend"
)

// maxInvalidInRow is how many requests in a row that could never be served close a connection. A client that sends the
// same again at once, for ever, would take the event loop's time from the others; so it has to connect anew.
const maxInvalidInRow = 8

// responder gives a request's response to the client. It is a frontend.Responder, owned by the event loop.
type responder struct {
	conn      *connection
	messageID uint32
	requestID string
	handle    frontend.Handle // nil until the server has taken the request
}

func (r *responder) Succeed(result []byte, metadata frontend.ResponseMetadata) {
	r.conn.invalidInRow = 0
	r.conn.conn.Succeed(r.messageID, result, metadata)
}

func (r *responder) Reject(metadata frontend.ResponseMetadata) {
	r.conn.invalidInRow = 0
	r.conn.conn.Reject(r.messageID, metadata)
}

func (r *responder) Fail(metadata frontend.ResponseMetadata) {
	r.conn.invalidInRow = 0
	r.conn.conn.Fail(r.messageID, metadata)
}

// RejectPermanently answers a request that could never be served. One that the runtime does not know closes the
// connection, as do several in a row; a certificate that is revoked bars it.
func (r *responder) RejectPermanently(code frontend.RejectionCode, metadata frontend.ResponseMetadata) {
	conn := r.conn
	invalid := true
	if metadata.Reason == "" {
		conn.conn.Fail(r.messageID, metadata)
	} else {
		conn.conn.Deny(r.messageID, metadata)
		if conn.barIfRevoked() {
			return
		}
		invalid = authn.IsForgery(authz.Denial(metadata.Reason))
	}
	if invalid {
		conn.invalidInRow++
	}
	if code == frontend.UnknownRequest || conn.invalidInRow >= maxInvalidInRow {
		delete(conn.pending, r.messageID) // it is answered; the others fail
		conn.failAll(closeReasonFor(code))
	}
}

// Done removes the request from those that are pending.
func (r *responder) Done() {
	if r.conn.pending[r.messageID] == r {
		delete(r.conn.pending, r.messageID)
	}
	r.conn.lastUsed = r.conn.frontend.loop.Now()
	r.conn.closeIfBarred()
}

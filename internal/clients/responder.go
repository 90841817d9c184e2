package clients

import (
	"lanewheel/internal/authn"
	"lanewheel/internal/authz"
	"lanewheel/internal/frontend"
)

// maxConsecutiveInvalid limits the consecutive requests on a connection that can never be served; the connection
// is closed when it is reached. Without this limit, a client that endlessly repeats such a request without a delay
// would take the event loop's time from the other clients. With the limit, it has to reconnect.
const maxConsecutiveInvalid = 8

// responder sends the response to one request to the client. It implements frontend.Responder and is owned by
// the event loop.
type responder struct {
	conn      *connection
	messageID uint32
	requestID string
	forwarded bool            // another process of the fleet has forwarded the request
	handle    frontend.Handle // nil until the server has accepted the request
}

func (r *responder) Succeed(result []byte, metadata frontend.ResponseMetadata) {
	r.conn.consecutiveInvalid = 0
	r.conn.rpcConn.Succeed(r.messageID, result, metadata)
}

func (r *responder) Reject(metadata frontend.ResponseMetadata) {
	r.conn.consecutiveInvalid = 0
	r.conn.rpcConn.Reject(r.messageID, metadata)
}

func (r *responder) Fail(metadata frontend.ResponseMetadata) {
	r.conn.consecutiveInvalid = 0
	r.conn.rpcConn.Fail(r.messageID, metadata)
}

// RejectPermanently answers a request that can never be served. It closes the connection if the runtime does
// not know the request or if this is the last of maxConsecutiveInvalid consecutive ones. If the client's
// certificate has been revoked, the connection is closed as soon as nothing is pending on it.
//
// The connection of a process that forwards requests carries those of many clients. It stays open; that process is told
// the code, and closes the connection of its own client.
func (r *responder) RejectPermanently(code frontend.RejectionCode, metadata frontend.ResponseMetadata) {
	conn := r.conn
	if metadata.Reason != "" {
		conn.rpcConn.Deny(r.messageID, metadata)
		if !conn.closeIfRevoked() && !r.forwarded && authn.IsForgery(authz.Denial(metadata.Reason)) {
			r.countInvalid(code)
		}
		return
	}
	if r.forwarded {
		metadata.Reason = string(code)
		conn.rpcConn.Fail(r.messageID, metadata)
		return
	}
	conn.rpcConn.Fail(r.messageID, metadata)
	r.countInvalid(code)
}

// countInvalid counts a request that can never be served and closes the connection if it has to be closed.
func (r *responder) countInvalid(code frontend.RejectionCode) {
	conn := r.conn
	conn.consecutiveInvalid++
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

package clients

import (
	"maps"
	"slices"
	"time"

	"lanewheel/internal/authn"
	"lanewheel/internal/certs"
	"lanewheel/internal/frontend"
	"lanewheel/internal/rpc"
)

// maxPending is the maximum number of pending requests, health checks among them, on a connection. It is part of the
// protocol.
const maxPending = 32

// connection is a client connection with its pending requests. It is owned by the event loop.
type connection struct {
	frontend           *Frontend
	rpcConn            *rpc.ServerConn
	credential         authn.Credential
	pending            map[uint32]*responder // by message id
	pendingChecks      int                   // unanswered health checks
	consecutiveInvalid int                   // consecutive requests that can never be served
	received           bool                  // a complete message has been received
	lastUsed           time.Duration         // time of the last request or response, or of the close

	goAwayRequested     bool          // the client has been asked to go away
	goAwayRequestedAt   time.Duration // time of that request
	deferredCloseReason closeReason   // reason for closing it once nothing is pending; empty if it stays open
	closeReason         closeReason   // empty until the connection is closed
}

// submit submits a request to the server. If the request violates the protocol, submit fails all pending
// requests and closes the connection. A request whose client has left since it was read is dropped.
func (c *connection) submit(messageID uint32, request *frontend.Request) {
	if c.closeReason != "" || c.rpcConn.PeerClosed() {
		return
	}
	if reason := c.protocolError(messageID, request.ID); reason != "" {
		c.failAndClose(reason)
		return
	}
	pending := &responder{conn: c, messageID: messageID, requestID: request.ID, forwarded: request.Hops > 0}
	c.pending[messageID] = pending
	c.lastUsed = c.frontend.loop.Now()
	pending.handle = c.frontend.server.Submit(*request, &c.credential, pending)
}

// protocolError returns the reason why a request conflicts with the pending requests, or "" if it does not.
func (c *connection) protocolError(messageID uint32, requestID string) closeReason {
	if c.pending[messageID] != nil {
		return closeDuplicateMessageID
	}
	if c.openCount() >= maxPending {
		return closeTooManyPending
	}
	for _, pending := range c.pending {
		if pending.requestID == requestID {
			return closeDuplicateRequestID
		}
	}
	return ""
}

// cancel cancels a pending request for which the client no longer waits. A process that has forwarded it is told if the
// request has not run, so that it need not remember that it may have.
func (c *connection) cancel(messageID uint32) {
	pending := c.pending[messageID]
	if pending == nil {
		return
	}
	if c.frontend.server.Cancel(pending.handle) && pending.forwarded {
		c.rpcConn.Reject(messageID, c.frontend.server.ResponseMetadata())
	}
}

// checkHealth has the server check its health and sends the result to the client.
func (c *connection) checkHealth(messageID uint32, deep bool) {
	if c.closeReason != "" {
		return
	}
	if c.openCount() >= maxPending {
		c.failAndClose(closeTooManyPending)
		return
	}
	c.lastUsed = c.frontend.loop.Now()
	c.pendingChecks++
	c.frontend.server.CheckHealth(deep, func(healthy bool) {
		c.pendingChecks--
		c.rpcConn.AnswerHealthCheck(messageID, healthy, c.frontend.server.ResponseMetadata())
	})
}

// onAuthenticated handles the completion of the TLS handshake.
func (c *connection) onAuthenticated(proof any) {
	c.lastUsed = c.frontend.loop.Now()
	c.credential.Proof, _ = proof.(*certs.VerifiedChain)
	if c.goAwayRequested { // GoAway could not be sent during the handshake
		c.rpcConn.GoAway()
	}
}

// goAway asks the client to send no further requests on the connection. It does so only once.
func (c *connection) goAway() {
	if c.goAwayRequested {
		return
	}
	c.goAwayRequested = true
	c.goAwayRequestedAt = c.frontend.loop.Now()
	c.rpcConn.GoAway()
}

// openCount returns the number of unanswered requests and health checks on the connection.
func (c *connection) openCount() int { return len(c.pending) + c.pendingChecks }

// inUse reports whether requests or health checks on the connection are unanswered.
func (c *connection) inUse() bool { return c.openCount() > 0 }

// unusedFor returns the time since the connection was last used.
func (c *connection) unusedFor() time.Duration { return c.frontend.loop.Now() - c.lastUsed }

// failAndClose fails all pending requests of a client that violated the protocol and closes the connection. It
// does so at once, because no request of this client may succeed any more and the client must not wait for the
// remaining responses.
func (c *connection) failAndClose(reason closeReason) {
	if c.closeReason != "" {
		return
	}
	for _, messageID := range slices.Sorted(maps.Keys(c.pending)) {
		c.rpcConn.Fail(messageID, c.frontend.server.ResponseMetadata())
		c.frontend.server.Cancel(c.pending[messageID].handle)
	}
	c.close(reason)
}

// close closes the connection. Messages that have been written are sent before the close.
func (c *connection) close(reason closeReason) {
	c.closeReason = reason
	c.lastUsed = c.frontend.loop.Now()
	c.rpcConn.Close(string(reason))
}

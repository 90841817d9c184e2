package clients

import (
	"maps"
	"slices"
	"time"

	"lanewheel/internal/authn"
	"lanewheel/internal/certs"
	"lanewheel/internal/transport"
)

// maxPending is how many requests may be pending on a connection, by the protocol.
const maxPending = 32

// connection is a client's connection, with the requests that are pending on it. Owned by the event loop.
type connection struct {
	frontend      *Frontend
	conn          *transport.ServerConn
	credential    authn.Credential
	pending       map[uint32]*responder // by message id
	pendingChecks int                   // health checks that are not answered yet
	invalidInRow  int                   // requests in a row that could never be served
	received      bool                  // a whole message has come
	lastUsed      time.Duration         // when a request last came or was answered, or it was closed

	asked        bool          // to go away
	askedAt      time.Duration // when it was
	barredReason closeReason   // why nothing more is taken from it; it is closed when nothing is pending on it
	closeReason  closeReason   // empty until it is closed
}

// submit hands a request to the server.
func (c *connection) submit(messageID uint32, request *transport.Request) {
	if c.closeReason != "" {
		return
	}
	if reason := c.protocolError(messageID, request.ID); reason != "" {
		c.failAll(reason)
		return
	}
	pending := &responder{conn: c, messageID: messageID, requestID: request.ID}
	c.pending[messageID] = pending
	c.lastUsed = c.frontend.loop.Now()
	pending.handle = c.frontend.server.Submit(*request, &c.credential, pending)
}

// protocolError tells what is wrong with a request beside those that are pending, empty if nothing is.
func (c *connection) protocolError(messageID uint32, requestID string) closeReason {
	if c.pending[messageID] != nil {
		return closeDuplicateMessageID
	}
	if len(c.pending) >= maxPending {
		return closeTooManyPending
	}
	for _, pending := range c.pending {
		if pending.requestID == requestID {
			return closeDuplicateRequestID
		}
	}
	return ""
}

// cancel hears that the client no longer waits for a request.
func (c *connection) cancel(messageID uint32) {
	if pending := c.pending[messageID]; pending != nil {
		c.frontend.server.Cancel(pending.handle)
	}
}

// checkHealth answers a health check.
func (c *connection) checkHealth(messageID uint32, deep bool) {
	if c.closeReason != "" {
		return
	}
	c.lastUsed = c.frontend.loop.Now()
	c.pendingChecks++
	c.frontend.server.CheckHealth(deep, func(healthy bool) {
		c.pendingChecks--
		c.conn.AnswerHealthCheck(messageID, healthy, c.frontend.server.ResponseMetadata())
	})
}

// authenticated hears that the TLS handshake is completed.
func (c *connection) authenticated(proof any) {
	c.lastUsed = c.frontend.loop.Now()
	c.credential.Proof, _ = proof.(*certs.VerifiedChain)
	if c.asked { // it could not be sent before
		c.conn.GoAway()
	}
}

// goAway asks the client, once, to send nothing new here.
func (c *connection) goAway() {
	if c.asked {
		return
	}
	c.asked = true
	c.askedAt = c.frontend.loop.Now()
	c.conn.GoAway()
}

// inUse tells whether responses are owed on the connection.
func (c *connection) inUse() bool { return len(c.pending) > 0 || c.pendingChecks > 0 }

// unusedFor is how long nothing has come or gone on the connection.
func (c *connection) unusedFor() time.Duration { return c.frontend.loop.Now() - c.lastUsed }

// failAll fails what is pending on the connection of a client that broke the protocol, and closes it, at once:
// nothing of such a client succeeds any more, and it must not wait for the rest.
func (c *connection) failAll(reason closeReason) {
	if c.closeReason != "" {
		return
	}
	for _, messageID := range slices.Sorted(maps.Keys(c.pending)) {
		c.conn.Fail(messageID, c.frontend.server.ResponseMetadata())
		c.frontend.server.Cancel(c.pending[messageID].handle)
	}
	c.close(reason)
}

// close closes the connection. What was written goes before the close.
func (c *connection) close(reason closeReason) {
	c.closeReason = reason
	c.lastUsed = c.frontend.loop.Now()
	c.conn.Close(string(reason))
}

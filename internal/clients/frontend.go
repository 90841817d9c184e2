// Package clients implements the front end for clients that connect directly. It submits their requests to a
// server and sends the responses. It closes connections whose client violates the protocol or sends no complete
// message, and connections that are unused. It holds no state that outlives a connection.
//
// # Goroutines
//
// A Frontend is owned by the event loop of its server. All methods except Accept, and all callbacks of
// connections, are called on that loop. The poller calls Accept on its own goroutine for each connection that
// it has accepted. The callbacks of a connection are posted to the loop in order, after the closure that Accept
// posts.
package clients

import (
	"maps"
	"slices"
	"time"

	"lanewheel/internal/authn"
	"lanewheel/internal/authz"
	"lanewheel/internal/eventloop"
	"lanewheel/internal/frontend"
	"lanewheel/internal/rpc"
	"lanewheel/internal/transport"
)

// Server is the server of a Frontend. It extends frontend.Server, which all front ends use. Its methods are
// called on the event loop.
type Server interface {
	frontend.Server
	// CheckHealth calls then with true if the server is healthy, either at once or later. A deep check tests
	// whether the server executes requests.
	CheckHealth(deep bool, then func(healthy bool))
	// ResponseMetadata returns the metadata for responses that the front end sends on its own.
	ResponseMetadata() frontend.ResponseMetadata
}

// Authenticator checks the credentials of connections. Its methods are called on the event loop.
type Authenticator interface {
	// RevocationReason returns the reason why a credential is no longer valid, or "" if it is valid.
	RevocationReason(*authn.Credential) authz.Denial
	// NeedsRecheck reports whether the configuration that a credential depends on has changed since the last check.
	NeedsRecheck(*authn.Credential) bool
	// Sweep removes state that is no longer needed for checking credentials.
	Sweep()
}

// Frontend manages the client connections of a server. It is owned by the event loop.
type Frontend struct {
	server        Server
	loop          *eventloop.Loop
	net           *transport.Net
	authenticator Authenticator // nil: every client may do everything
	connections   map[*rpc.ServerConn]*connection
	idleTimeout   time.Duration // for unused connections; 0: no timeout
	draining      bool          // clients are asked to go away, including new ones
	lastSweep     time.Duration
}

// New returns the front end of a server. It uses the server's event loop and connections. If authenticator is
// nil, every client is accepted. If idleTimeout is 0, unused connections stay open.
func New(
	server Server, loop *eventloop.Loop, net *transport.Net, authenticator Authenticator, idleTimeout time.Duration,
) *Frontend {
	return &Frontend{
		server:        server,
		loop:          loop,
		net:           net,
		authenticator: authenticator,
		connections:   map[*rpc.ServerConn]*connection{},
		idleTimeout:   idleTimeout,
	}
}

// SetIdleTimeout sets how long an unused connection may stay open. With 0, there is no limit.
func (f *Frontend) SetIdleTimeout(timeout time.Duration) { f.idleTimeout = timeout }

// Accept adds an accepted connection as a client connection. It is called on the poller's goroutine.
func (f *Frontend) Accept(accepted *transport.Conn) {
	conn := rpc.NewServerConn(accepted)
	c := &connection{frontend: f, conn: conn, pending: map[uint32]*responder{}}
	conn.OnRequest = func(messageID uint32, request frontend.Request) {
		c.received = true
		c.submit(messageID, &request)
	}
	conn.OnCancel = func(messageID uint32) {
		c.received = true
		c.cancel(messageID)
	}
	conn.OnHealthCheck = func(messageID uint32, deep bool) {
		c.received = true
		c.checkHealth(messageID, deep)
	}
	conn.OnAuthenticated = c.onAuthenticated
	conn.OnProtocolError = func(code string) { c.failAndClose(closeReason(code)) }
	conn.OnClose = func(string) { f.remove(c) }
	f.loop.Post(func() { f.add(c) })
}

func (f *Frontend) add(c *connection) {
	c.lastUsed = f.loop.Now()
	f.connections[c.conn] = c
	if f.draining {
		c.goAway()
	}
}

// remove removes a closed connection and cancels its pending requests, because their caller no longer waits for
// them.
func (f *Frontend) remove(c *connection) {
	delete(f.connections, c.conn)
	for _, messageID := range slices.Sorted(maps.Keys(c.pending)) {
		f.server.Cancel(c.pending[messageID].handle)
	}
}

// GoAway asks all clients to send no further requests, including clients whose connections are accepted later.
func (f *Frontend) GoAway() {
	f.draining = true
	for _, c := range f.connections {
		c.goAway()
	}
}

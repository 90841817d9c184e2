// Package clients is the front end of clients on connections. It hands their requests to a server and gives them the
// responses, and closes the connections of those that break the protocol, stay silent or are not used. It holds nothing
// that outlives a connection.
//
// # Goroutines
//
// A Frontend belongs to the event loop of its server: all methods are called there, and all callbacks of
// connections come there, but for Accept, which the poller calls on its own goroutine for each connection that it
// has accepted. What a connection brings is handed to the loop after what Accept has posted, in order.
package clients

import (
	"maps"
	"slices"
	"time"

	"lanewheel/internal/authn"
	"lanewheel/internal/authz"
	"lanewheel/internal/eventloop"
	"lanewheel/internal/frontend"
	"lanewheel/internal/transport"
)

// Server is what a Frontend needs beside what any front end does. Its methods are called on the event loop.
type Server interface {
	frontend.Server
	// CheckHealth calls then, at once or later, with whether the server is healthy. deep asks whether work gets done.
	CheckHealth(deep bool, then func(healthy bool))
	// ResponseMetadata is part of the responses that the front end gives of itself.
	ResponseMetadata() frontend.ResponseMetadata
}

// Authenticator knows the credentials of connections. Its methods are called on the event loop.
type Authenticator interface {
	// RevocationReason tells why a credential no longer counts, empty if it does.
	RevocationReason(*authn.Credential) authz.Denial
	// NeedsRecheck tells whether what a credential rests on has changed since it was checked.
	NeedsRecheck(*authn.Credential) bool
	// Sweep drops what is no longer needed to check credentials.
	Sweep()
}

// Frontend is the client connections of a server. Owned by the event loop.
type Frontend struct {
	server        Server
	loop          *eventloop.Loop
	net           *transport.Net
	authenticator Authenticator // nil: every client may do everything
	connections   map[*transport.ServerConn]*connection
	idleTimeout   time.Duration // for unused connections; 0: none
	draining      bool          // all clients are asked to go away
	lastSweep     time.Duration
}

// New returns the front end of a server whose event loop and connections it shares. A nil authenticator lets every
// client in; an idle timeout of 0 is none.
func New(
	server Server, loop *eventloop.Loop, net *transport.Net, authenticator Authenticator, idleTimeout time.Duration,
) *Frontend {
	return &Frontend{
		server:        server,
		loop:          loop,
		net:           net,
		authenticator: authenticator,
		connections:   map[*transport.ServerConn]*connection{},
		idleTimeout:   idleTimeout,
	}
}

// SetIdleTimeout sets how long an unused connection may stay.
func (f *Frontend) SetIdleTimeout(timeout time.Duration) { f.idleTimeout = timeout }

// Accept makes an accepted connection one of a client. It is called on the poller's goroutine.
func (f *Frontend) Accept(accepted *transport.Conn) {
	conn := accepted.ServerConn()
	c := &connection{frontend: f, conn: conn, pending: map[uint32]*responder{}}
	conn.OnRequest = func(messageID uint32, request transport.Request) {
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
	conn.OnAuthenticated = c.authenticated
	conn.OnProtocolError = func(code string) { c.failAll(closeReason(code)) }
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

// remove hears that a connection is closed. Nobody waits any more for what is pending on it.
func (f *Frontend) remove(c *connection) {
	delete(f.connections, c.conn)
	for _, messageID := range slices.Sorted(maps.Keys(c.pending)) {
		f.server.Cancel(c.pending[messageID].handle)
	}
}

// GoAway asks all clients to send nothing new here, also those that are accepted from now on.
func (f *Frontend) GoAway() {
	f.draining = true
	for _, c := range f.connections {
		c.goAway()
	}
}

package transport

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"
)

// Handler holds the callbacks with which a codec handles the input and the close of a connection.
type Handler struct {
	// Parse parses one message at the start of b. It returns the size of the message and a function that handles it on
	// the owner loop, or nil if there is nothing to do. The size is 0 if the message is incomplete. An error, usually a
	// ParseError, closes the connection; its text is the close code. Parse does not run on the owner loop; it is called
	// by one goroutine at a time, and b is valid only during the call.
	Parse func(b []byte) (size int, call func(), err error)
	// OnUnreadable is called on the owner loop with the close code after Parse has failed, and must close the
	// connection. If it is nil, the connection is closed with the code.
	OnUnreadable func(code string)
	// OnClose is called once on the owner loop, with the close code, when the connection has been closed. It may be nil.
	OnClose func(code string)
	// OnAuthenticated is called on the owner loop after a TLS handshake, with the identity that VerifyChain returned, or
	// nil if the client presented no certificate. It may be nil.
	OnAuthenticated func(identity any)
}

// ParseError is the reason why input cannot be parsed. Its text is the code with which the connection is closed.
type ParseError string

// Error returns the close code.
func (e ParseError) Error() string { return string(e) }

// ErrTooLong reports a message that does not fit into a buffer of BufferSize bytes.
const ErrTooLong ParseError = "too-long"

// Conn is a connection. Its methods must be called on the owner loop unless their comments state otherwise.
type Conn struct {
	net      *Net
	peer     Peer
	openedAt time.Time
	handler  Handler
	tls      *tlsStream // nil on a plain connection

	// resetOnClose makes the kernel reset the connection on close instead of keeping it in TIME_WAIT. With one
	// connection per call, all local ports would otherwise end up in that state.
	resetOnClose bool
	// halfCloses makes Close shut down only the write side, so that the last responses reach a peer that is still
	// sending. It is set for accepted connections.
	halfCloses bool

	// Owned by the goroutine that opens the connection, until it sets opened. The poller handles input only if opened is
	// set, and therefore sees all earlier writes of that goroutine.
	onOpen func(polled *nbio.Conn) // called before any input is read
	opened atomic.Bool

	// Owned by the goroutine that reads: the poller, or with TLS the stream's goroutine.
	partial      []byte       // an incomplete message
	partialSince atomic.Int64 // time at which partial began, in Unix nanoseconds; 0 if there is none
	ignoresInput bool         // input is read and discarded, so that a close by the peer is noticed

	// Owned by the owner loop.
	polled           *nbio.Conn
	cancelDial       context.CancelFunc // nil if no dial is in progress
	output           []byte             // buffered until the next flush; nil if empty
	flushPending     bool
	closed           bool
	closeReason      string
	unpolled         bool   // the connection is open, but not yet registered with the poller
	outputBeforePoll []byte // output held back while unpolled; counted in Net.unreadBytes, not in unwritten

	// Safe for concurrent use.
	closeError atomic.Pointer[error] // reason for the close; it takes precedence over the error that the poller reports
	unwritten  atomic.Int64          // bytes that the kernel has not accepted yet
	closing    atomic.Bool
	peerClosed atomic.Bool // the poller has closed the connection, and handleClosed will be called
}

// newAccepted returns a Conn for an accepted connection and passes it to OnAccept. The connection uses TLS if
// stream is not nil.
func (n *Net) newAccepted(polled *nbio.Conn, stream *tlsStream) *Conn {
	n.acceptedConns.Add(1)
	conn := &Conn{
		net:        n,
		polled:     polled,
		peer:       PeerClient,
		openedAt:   time.Now(),
		halfCloses: true,
		tls:        stream,
	}
	polled.SetSession(conn)
	n.OnAccept(conn)
	return conn
}

// SetHandler sets the handler. For an accepted connection it must be called by Net.OnAccept, on the same
// goroutine; for a connection to be dialed, it must be called before Dial.
func (c *Conn) SetHandler(handler Handler) { c.handler = handler }

// Net returns the Net to which the connection belongs. It may be called from any goroutine.
func (c *Conn) Net() *Net { return c.net }

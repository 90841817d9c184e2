package transport

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"
)

// Handler is what a codec does with the input of a connection and its end.
type Handler struct {
	// Parse takes one message off the front of b, and gives its size and what the owner loop is to do with it, if
	// anything. The size is 0 while the message is not complete. An error, seldom other than a ParseError, ends the
	// connection; its text is the code of the close. It is called beside the owner loop, by one goroutine at a time,
	// and b is valid only during the call.
	Parse func(b []byte) (size int, call func(), err error)
	// OnUnreadable is called on the owner loop after Parse failed, with the code, and has to close the connection.
	// If nil, the connection is closed with the code.
	OnUnreadable func(code string)
	// OnClose is called on the owner loop when the connection is closed, once, with the code of the reason.
	OnClose func(code string)
	// OnAuthenticated is called on the owner loop after a TLS handshake, with what VerifyChain made of the chain.
	OnAuthenticated func(identity any)
}

// ParseError is why input can't be read: the code that its connection is closed with.
type ParseError string

// Error is the code.
func (e ParseError) Error() string { return string(e) }

// ErrTooLong is a message that does not fit a buffer.
const ErrTooLong ParseError = "too-long"

// Conn is one connection. Its methods are for the owner loop.
type Conn struct {
	net      *Net
	peer     Peer
	openedAt time.Time
	handler  Handler
	tls      *tlsStream // nil on a plain connection

	// resetOnClose has it closed without a lingering state: a connection for each call would otherwise leave all ports
	// waiting for late bytes.
	resetOnClose bool
	// halfCloses has it closed by a half-close, so that the last responses reach a peer that is still sending. It is set
	// for what was accepted.
	halfCloses bool

	// Owned by the goroutine that opens the connection; opened orders that before the poller's reading.
	onOpen func(polled *nbio.Conn) // called before anything is read
	opened atomic.Bool

	// Owned by what reads: the poller, or under TLS the stream's goroutine.
	partial      []byte       // a message that is not complete
	partialSince atomic.Int64 // when it began, in Unix nanoseconds; 0: there is none
	ignoresInput bool         // what comes is read, so that the peer's close is seen, and dropped

	// Owned by the owner loop.
	polled           *nbio.Conn
	cancelDial       context.CancelFunc // nil: no dial is under way
	output           []byte             // what the next flush writes
	flushPending     bool
	closed           bool
	closeReason      string
	unpolled         bool   // the poller does not watch it yet
	outputBeforePoll []byte // to be written once it does; counted in Net.unreadBytes, not in unwritten

	// For any goroutine.
	closeError atomic.Pointer[error] // why it has to be closed, where that is better known here than to the poller
	unwritten  atomic.Int64          // bytes that the kernel has not taken
	closing    atomic.Bool
}

// newAccepted makes a Conn of what was accepted, under TLS if stream is not nil.
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

// SetHandler sets the handler, for a connection that was accepted on the goroutine that calls Net.OnAccept, and for one
// that is to be dialled before Dial.
func (c *Conn) SetHandler(handler Handler) { c.handler = handler }

// Net is the poller of the connection. It may be called from any goroutine.
func (c *Conn) Net() *Net { return c.net }

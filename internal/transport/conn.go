package transport

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"
)

// Conn is one connection. parse, fault and ended are its callbacks.
type Conn struct {
	net      *Net
	polled   *nbio.Conn
	peer     string
	openedAt time.Time
	// parse takes one message off the front and gives what the owner loop is to do with it: 0 if there is no
	// whole one, or a code for the reason that it can't be read. It is called beside the owner loop.
	parse        func(b []byte) (n int, call func(), fault string)
	onUnreadable func(code string) // what to do about a message that can't be read; the link is closed if nil
	onClose      func(code string)
	// opened hears of a connection that we dialled, before anything is read from it.
	onOpen func(c *nbio.Conn)
	// abrupt has it end without a trace. Danger: a connection for each call would leave all ports waiting for late bytes.
	resetOnClose bool
	// lingers has it end by a half-close: the last answers reach a peer that is still sending. Set for what was accepted.
	halfCloses bool
	cancelDial context.CancelFunc // of the dial, while it lasts; the owner's

	closeError       atomic.Pointer[error] // why it has to be closed, where we know better than the poller
	opened           atomic.Bool           // what opened it has done so; orders that before the poller's reading
	partial          []byte                // an unfinished message; the poller's
	partialSince     atomic.Int64          // when it began, in Unix nanoseconds; 0 while there is none
	ignoresInput     bool                  // reads on, to hear of the close, but takes nothing in; the poller's
	output           []byte                // what the next flush writes; the owner's
	flushPending     bool
	closed           bool
	closeReason      string
	unpolled         bool   // the poller does not watch it yet; the owner's
	outputBeforePoll []byte // what is to be written once it does; counted as unread, not as unwritten
	unwritten        atomic.Int64
	closing          atomic.Bool
	tls              *tlsStream // nil on a plain connection
}

// newAccepted makes a connection that was accepted one of a client stub, under TLS if pipe is not nil.
func (n *Net) newAccepted(c *nbio.Conn, pipe *tlsStream) *Conn {
	n.acceptedConns.Add(1)
	conn := n.newConn(c, "stub")
	conn.tls = pipe
	n.OnAccept(conn)
	return conn
}

func (n *Net) newConn(c *nbio.Conn, peer string) *Conn {
	conn := &Conn{net: n, polled: c, peer: peer, openedAt: time.Now(), halfCloses: true}
	c.SetSession(conn)
	return conn
}

package transport

import (
	"errors"
	"io"
	"log/slog"
	"net"
	"syscall"
	"time"
)

// The codes of closes that no caller of Close gave.
const (
	codePeerClosed      = "peer-closed"
	codePeerReset       = "peer-reset"
	codeUnreadLimit     = "never-reads"
	codeSystemError     = "errno-" // before the text of the error
	codeHandshakeFailed = "handshake-failed"
	codeMalformedRecord = "bad-record"
)

// SetCloseReason notes the code of a connection that is going to be closed, whoever closes it. The first one counts.
func (c *Conn) SetCloseReason(code string) {
	if c.closeReason == "" {
		c.closeReason = code
	}
}

// Close ends the connection once all that was gathered for it is written. One that was accepted is ended by a
// half-close: it is closed when the peer has ended its side too, or by Abort, which the caller has to see to.
func (c *Conn) Close(code string) {
	c.SetCloseReason(code)
	if c.polled == nil {
		c.CancelDial()
	}
	if c.closed || c.polled == nil || c.closing.Load() {
		return
	}
	c.flush()
	if c.tls != nil && c.tls.established.Load() {
		_ = c.tls.conn.CloseWrite() // so that the peer can tell our end from one that somebody else made
	}
	c.closing.Store(true)
	if c.unwritten.Load() <= 0 && len(c.outputBeforePoll) == 0 {
		c.finishClose()
	}
}

// finishClose ends what is closing and has nothing left to write; it may be called twice. A close over bytes that
// nobody has read resets the connection, and the peer loses the responses that it has not read yet: so our side ends
// first, what still comes is read and dropped, and the poller closes at the peer's end.
func (c *Conn) finishClose() {
	if c.halfCloses {
		c.shutdown(syscall.SHUT_WR, nil)
	} else {
		c.Abort()
	}
}

// Abort ends the connection at once, whatever is not written yet.
func (c *Conn) Abort() {
	if !c.closed {
		c.closing.Store(true) // nothing that still comes is parsed
		c.shutdown(syscall.SHUT_RDWR, nil)
	}
}

// CancelDial has a dial that is under way end as refused. A connection that stands already stays.
func (c *Conn) CancelDial() {
	if c.cancelDial != nil {
		c.cancelDial()
	}
}

// handleClosed gives back what the connection holds, logs the close and tells the handler.
func (c *Conn) handleClosed(err error) {
	if c.closed {
		return
	}
	c.closed = true
	if !c.halfCloses { // we dialled it
		c.net.dialedConns.Add(-1)
	}
	c.net.unreadBytes.Add(-c.unwritten.Load() - int64(len(c.outputBeforePoll)))
	c.outputBeforePoll = nil
	code := c.closeCode(err)
	if now := time.Now(); c.net.closeSampler.Allow(closeKind{c.peer, code}, now) {
		slog.Info("connection closed", "peer", c.peer.String(), "code", code, "duration", now.Sub(c.openedAt))
	}
	if c.output != nil {
		c.net.Put(c.output)
		c.output = nil
	}
	if c.handler.OnClose != nil {
		c.handler.OnClose(code)
	}
}

// closeCode is the code of a close that the poller tells with err.
func (c *Conn) closeCode(err error) string {
	if c.closeReason != "" {
		return c.closeReason
	}
	if reason := c.closeError.Load(); reason != nil {
		err = *reason
	}
	var errno syscall.Errno
	switch {
	case err == nil, errors.Is(err, io.EOF), errors.Is(err, net.ErrClosed):
		return codePeerClosed
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		return codePeerReset
	case errors.As(err, &errno):
		return codeSystemError + errno.Error()
	default: // errUnreadLimit, or the poller's own bound of the same size
		return codeUnreadLimit
	}
}

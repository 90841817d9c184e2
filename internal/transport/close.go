package transport

import (
	"errors"
	"io"
	"log/slog"
	"net"
	"syscall"
	"time"
)

// The close codes set by this package. A code that a caller has set takes precedence.
const (
	codePeerClosed      = "peer-closed"
	codePeerReset       = "peer-reset"
	codeUnreadLimit     = "never-reads"
	codeSystemError     = "errno-" // followed by the text of the error
	codeHandshakeFailed = "handshake-failed"
	codeMalformedRecord = "bad-record"
)

// SetCloseReason records the code with which the connection will be reported as closed, regardless of which side
// closes it. Only the first call takes effect.
func (c *Conn) SetCloseReason(code string) {
	if c.closeReason == "" {
		c.closeReason = code
	}
}

// Close closes the connection after all buffered output has been written. An accepted connection is half-closed:
// it remains open until the peer also closes its side or Abort is called. The caller must make sure that it is
// aborted if the peer does not close its side.
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
		_ = c.tls.conn.CloseWrite() // lets the peer distinguish a close by this process from one forged by a third party
	}
	c.closing.Store(true)
	if c.unwritten.Load() <= 0 && len(c.outputBeforePoll) == 0 {
		c.finishClose()
	}
}

// finishClose completes the close of a connection that is closing and has no output left. It may be called twice.
// Closing a socket that still holds unread input resets the connection, and the peer loses the responses that it has
// not read yet. Therefore only the write side of an accepted connection is shut down; further input is read and
// discarded, and the poller closes the connection when the peer closes its side.
func (c *Conn) finishClose() {
	if c.halfCloses {
		c.shutdown(syscall.SHUT_WR, nil)
	} else {
		c.Abort()
	}
}

// Abort closes the connection immediately and discards output that has not been written yet.
func (c *Conn) Abort() {
	if !c.closed {
		c.closing.Store(true) // further input is not parsed
		c.shutdown(syscall.SHUT_RDWR, nil)
	}
}

// PeerClosed reports whether the connection has ended, although OnClose may not have been called yet: the peer has
// closed it, or it was aborted. It may be called from any goroutine.
func (c *Conn) PeerClosed() bool { return c.peerClosed.Load() }

// CancelDial cancels a dial in progress, which then fails. It has no effect on an established connection.
func (c *Conn) CancelDial() {
	if c.cancelDial != nil {
		c.cancelDial()
	}
}

// handleClosed releases the resources of the connection, logs the close and calls Handler.OnClose. It runs on the
// owner loop.
func (c *Conn) handleClosed(err error) {
	if c.closed {
		return
	}
	c.closed = true
	if !c.halfCloses { // the connection was dialed
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

// closeCode returns the code of a close that the poller reports with err.
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
	default: // errUnreadLimit, or the poller's own limit of the same size
		return codeUnreadLimit
	}
}

package transport

import (
	"errors"
	"io"
	"log/slog"
	"net"
	"syscall"
	"time"
)

// SetCloseReason notes why a connection is going to end, whoever ends it then.
func (l *Conn) SetCloseReason(code string) {
	if l.closeReason == "" {
		l.closeReason = code
	}
}

// Close ends the connection once all that was gathered for it is written. One that was accepted is ended by a half-close: it is over when
// the peer has ended its side too, or with Cut, which whoever closes has to see to.
func (l *Conn) Close(code string) {
	l.SetCloseReason(code)
	if l.polled == nil {
		l.CancelDial()
	}
	if l.closed || l.polled == nil || l.closing.Load() {
		return
	}
	l.flush()
	if l.tls != nil && l.tls.established.Load() {
		_ = l.tls.conn.CloseWrite() // so that the peer can tell our end from one that somebody else made
	}
	l.closing.Store(true)
	if l.unwritten.Load() <= 0 && len(l.outputBeforePoll) == 0 {
		l.finishClose()
	}
}

// finishClose ends what is closing and has nothing left to write; it may come twice. Danger: a close over bytes that nobody has read resets
// the connection, and the peer loses the answers that it has not read yet. Our side ends first, what still comes is read and
// thrown away, and the poller closes at the peer's end.
func (l *Conn) finishClose() {
	if l.halfCloses {
		l.shutdown(syscall.SHUT_WR, nil)
	} else {
		l.Abort()
	}
}

// Abort ends the connection at once, whatever is not written yet.
func (l *Conn) Abort() {
	if !l.closed {
		l.closing.Store(true) // nothing that still comes is taken in
		l.shutdown(syscall.SHUT_RDWR, nil)
	}
}

// CancelDial has a dial that goes on end as refused. One that stands already stays.
func (l *Conn) CancelDial() {
	if l.cancelDial != nil {
		l.cancelDial()
	}
}

// handleClosed leaves the one line of the connection's end, with a code for the reason.
func (l *Conn) handleClosed(err error) {
	if l.closed {
		return
	}
	l.closed = true
	if !l.halfCloses { // we dialled it
		l.net.dialedConns.Add(-1)
	}
	l.net.unreadBytes.Add(-l.unwritten.Load() - int64(len(l.outputBeforePoll)))
	l.outputBeforePoll = nil
	if reason := l.closeError.Load(); reason != nil {
		err = *reason
	}
	code := l.closeReason
	var errno syscall.Errno
	switch {
	case code != "":
	case err == nil, errors.Is(err, io.EOF), errors.Is(err, net.ErrClosed):
		code = "peer-closed"
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		code = "peer-reset"
	case errors.As(err, &errno):
		code = "errno-" + errno.Error()
	default:
		code = "never-reads"
	}
	if now := time.Now(); l.net.closeTally.Allow(closeKind{l.peer, code}, now) {
		slog.Info("end", "party", l.peer, "code", code, "open_ms", now.Sub(l.openedAt).Milliseconds())
	}
	if l.output != nil {
		l.net.Put(l.output)
		l.output = nil
	}
	if l.onClose != nil {
		l.onClose(code)
	}
}

package transport

import (
	"errors"
	"syscall"
)

// errUnreadLimit closes a connection whose peer leaves too much unread.
var errUnreadLimit = errors.New("peer leaves too much unread")

// OutputBuffer gives what was gathered for the next flush, to append a message of at most BufferSize to. SetOutput has
// to follow.
func (c *Conn) OutputBuffer() []byte {
	if c.output == nil {
		c.output = c.net.Get()
	}
	if !c.flushPending {
		c.flushPending = true
		c.net.unflushed = append(c.net.unflushed, c)
	}
	return c.output
}

// SetOutput takes back what OutputBuffer gave, with the message behind it.
func (c *Conn) SetOutput(output []byte) {
	if cap(output) > BufferSize { // grown past its buffer: written at once, so that the pool keeps one size
		c.net.Put(c.output)
		c.output = nil
		c.write(output)
		return
	}
	c.output = output
}

func (c *Conn) flush() {
	if c.output == nil {
		return
	}
	output := c.output
	c.output = nil
	c.write(output)
	c.net.Put(output)
}

func (c *Conn) write(b []byte) {
	if c.closed || c.polled == nil || len(b) == 0 {
		return
	}
	const guaranteedUnread = 16 << 10 // bytes: some responses with the longest results
	// Peers that read nothing, each within its own bound, would together hold all the memory.
	if c.net.unreadBytes.Add(int64(len(b))) > c.net.MaxUnread && c.unwritten.Load() > guaranteedUnread {
		c.net.unreadBytes.Add(-int64(len(b)))
		c.SetCloseReason(codeUnreadLimit)
		c.Abort()
		return
	}
	if c.tls != nil {
		// tls.Conn.Write would have the owner loop wait for a handshake. What it encrypts is counted again, and written,
		// by tlsStream.Write.
		if c.tls.established.Load() {
			_, _ = c.tls.conn.Write(b) // a failure ends the connection, which is told
		}
		c.net.unreadBytes.Add(-int64(len(b)))
		return
	}
	if c.unpolled {
		c.outputBeforePoll = append(c.outputBeforePoll, b...)
		return
	}
	c.transmit(b)
}

// transmit sends what it can and leaves the rest to the poller. The bytes were counted as unread before. After a
// failure the poller closes the connection, which its callback tells.
func (c *Conn) transmit(b []byte) {
	unwrittenBefore := c.unwritten.Add(int64(len(b))) - int64(len(b))
	var err error
	if unwrittenBefore+int64(len(b)) > maxUnwritten {
		err = errUnreadLimit
	} else if unwrittenBefore == 0 { // else what comes first is not written yet
		var n int
		n, err = c.writeNow(b)
		if b = b[n:]; n > 0 {
			c.handleWritten(n)
		}
	}
	if err == nil && len(b) > 0 {
		_, err = c.polled.Write(b)
	}
	if err != nil {
		c.unwritten.Add(-int64(len(b)))
		c.net.unreadBytes.Add(-int64(len(b)))
		c.shutdown(syscall.SHUT_RDWR, err)
	}
}

// handleWritten hears that the kernel has taken so many bytes, on any goroutine.
func (c *Conn) handleWritten(size int) {
	c.net.unreadBytes.Add(-int64(size))
	if c.unwritten.Add(-int64(size)) == 0 && c.closing.Load() {
		c.net.Post(c.finishClose)
	}
}

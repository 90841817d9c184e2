package transport

import (
	"errors"
	"syscall"
)

// errUnreadLimit is the reason for closing a connection whose peer leaves more than maxUnwritten bytes unread.
var errUnreadLimit = errors.New("unread output exceeds the limit of the connection")

// OutputBuffer returns the output buffered for the next flush, so that the caller can append a message of at most
// BufferSize bytes. The caller must pass the result to SetOutput.
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

// SetOutput stores the buffer returned by OutputBuffer after a message has been appended to it.
func (c *Conn) SetOutput(output []byte) {
	if cap(output) > BufferSize { // append reallocated it: written at once, so that all pooled buffers have one size
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
	const guaranteedUnread = 16 << 10 // bytes; several responses with the longest results
	// Without a common limit, peers that read nothing, each within its own limit, could together use up all memory.
	if c.net.unreadBytes.Add(int64(len(b))) > c.net.MaxUnread && c.unwritten.Load() > guaranteedUnread {
		c.net.unreadBytes.Add(-int64(len(b)))
		c.SetCloseReason(codeUnreadLimit)
		c.Abort()
		return
	}
	if c.tls != nil {
		// Before the handshake has completed, tls.Conn.Write would block the owner loop. tlsStream.Write counts the
		// encrypted bytes again and sends them.
		if c.tls.established.Load() {
			_, _ = c.tls.conn.Write(b) // a failure closes the connection, which is reported by handleClose
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

// transmit sends as much as the kernel accepts and leaves the rest to the poller. The caller must already have
// counted the bytes in Net.unreadBytes. After a failure the poller closes the connection and calls handleClose.
func (c *Conn) transmit(b []byte) {
	unwrittenBefore := c.unwritten.Add(int64(len(b))) - int64(len(b))
	var err error
	if unwrittenBefore+int64(len(b)) > maxUnwritten {
		err = errUnreadLimit
	} else if unwrittenBefore == 0 { // otherwise earlier output is still waiting to be written
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

// handleWritten records that the kernel has accepted size bytes. It may be called from any goroutine.
func (c *Conn) handleWritten(size int) {
	c.net.unreadBytes.Add(-int64(size))
	if c.unwritten.Add(-int64(size)) == 0 && c.closing.Load() {
		c.net.Post(c.finishClose)
	}
}

package transport

import (
	"errors"
	"syscall"
)

// outputBuffer gives the bytes gathered for the next write, to append a message of at most BufferSize to.
func (l *Conn) outputBuffer() []byte {
	if l.output == nil {
		l.output = l.net.Get()
	}
	if !l.flushPending {
		l.flushPending = true
		l.net.unflushed = append(l.net.unflushed, l)
	}
	return l.output
}

// setOutput takes back what room gave, with the message behind it.
func (l *Conn) setOutput(output []byte) {
	if cap(output) > BufferSize { // grown past its buffer: written at once, so that the pool keeps one size
		l.net.Put(l.output)
		l.output = nil
		l.write(output)
		return
	}
	l.output = output
}

func (l *Conn) flush() {
	if l.output == nil {
		return
	}
	output := l.output
	l.output = nil
	l.write(output)
	l.net.Put(output)
}

func (l *Conn) write(b []byte) {
	if l.closed || l.polled == nil || len(b) == 0 {
		return
	}
	const slack = 16 << 10 // some answers with the longest results
	// Danger: peers that read nothing, each within its bound, hold all the memory together.
	if l.net.unreadBytes.Add(int64(len(b))) > l.net.MaxUnread && l.unwritten.Load() > slack {
		l.net.unreadBytes.Add(-int64(len(b)))
		l.SetCloseReason("never-reads")
		l.Abort()
		return
	}
	if l.tls != nil && !l.tls.established.Load() { // Danger: the loop would wait for the handshake
		l.net.unreadBytes.Add(-int64(len(b)))
		return
	}
	if l.tls != nil {
		// What comes out of it is written, and counted, by the pipe below.
		_, _ = l.tls.conn.Write(b)
		l.net.unreadBytes.Add(-int64(len(b)))
		return
	}
	if l.unpolled {
		l.outputBeforePoll = append(l.outputBeforePoll, b...)
		return
	}
	l.transmit(b)
}

var errUnreadLimit = errors.New("leaves too much unread")

// transmit sends what it can and leaves the rest to the poller; the bytes are counted as unread before. A failure has the poller end the
// connection, which is told by its callback.
func (l *Conn) transmit(b []byte) {
	before := l.unwritten.Add(int64(len(b))) - int64(len(b))
	var err error
	if before+int64(len(b)) > maxUnwritten {
		err = errUnreadLimit
	} else if before == 0 { // else what comes first is not written yet
		var n int
		n, err = l.writeNow(b)
		if b = b[n:]; n > 0 {
			l.written(n)
		}
	}
	if err == nil && len(b) > 0 {
		_, err = l.polled.Write(b)
	}
	if err != nil {
		l.unwritten.Add(-int64(len(b)))
		l.net.unreadBytes.Add(-int64(len(b)))
		l.shutdown(syscall.SHUT_RDWR, err)
	}
}

// written hears that the kernel has taken so many bytes.
func (l *Conn) written(size int) {
	l.net.unreadBytes.Add(-int64(size))
	if l.unwritten.Add(-int64(size)) == 0 && l.closing.Load() {
		l.net.Post(l.finishClose)
	}
}

package transport

import (
	"crypto/tls"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/lesismal/nbio"
)

// tlsStream is what lies between a connection's TLS and the poller: crypto/tls takes it for a net.Conn whose reads wait and
// whose writes do not.
type tlsStream struct {
	conn            *tls.Conn
	polled          *nbio.Conn
	owner           *Conn
	identity        any             // what the handshake came to
	onAuthenticated func(proof any) // the owner's, called on its loop
	established     atomic.Bool     // the handshake is over

	mu       sync.Mutex
	readable sync.Cond // something came, or the end
	consumed sync.Cond // something was taken
	input    []byte
	err      error
}

// maxUndeciphered is what may lie undeciphered before the poller waits: some records. It waits only while the owner loop has so much to
// do that plain connections wait too.
const maxUndeciphered = 64 << 10

// serve shakes hands and reads until the connection ends.
func (p *tlsStream) serve() {
	n := p.owner.net
	err := p.conn.Handshake()
	p.established.Store(err == nil)
	n.tlsListener.handshakes.Add(-1)
	if err != nil {
		p.endInput(io.EOF)
		code := "handshake-failed"
		var reason verifyError
		if errors.As(err, &reason) {
			code = string(reason)
		}
		n.Post(func() {
			p.owner.SetCloseReason(code)
			p.owner.Close(code)
		})
		return
	}
	n.Post(func() { p.onAuthenticated(p.identity) })
	buf := n.Get()
	for err == nil {
		var size int
		if size, err = p.conn.Read(buf[:BufferSize]); size > 0 {
			p.owner.received(buf[:size])
		}
	}
	n.Put(buf)
	// The client has ended its side, or sent what can't be deciphered: nothing more comes, and nobody reads on. Danger:
	// the poller would wait for room here.
	p.endInput(io.EOF)
	n.Post(func() {
		if !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
			p.owner.SetCloseReason("bad-record")
		}
		p.owner.Abort()
	})
}

// receive takes what the poller has read.
func (p *tlsStream) receive(b []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.input) > maxUndeciphered && p.err == nil {
		p.consumed.Wait()
	}
	if p.err != nil {
		return
	}
	if p.input == nil {
		p.input = p.owner.net.Get()
	}
	p.input = append(p.input, b...)
	p.readable.Signal()
}

// endInput ends what reads.
func (p *tlsStream) endInput(err error) {
	p.mu.Lock()
	p.err = err
	p.mu.Unlock()
	p.readable.Broadcast()
	p.consumed.Broadcast()
}

func (p *tlsStream) Read(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.input) == 0 {
		if p.err != nil {
			return 0, p.err
		}
		p.readable.Wait()
	}
	n := copy(b, p.input)
	p.input = p.input[:copy(p.input, p.input[n:])]
	if len(p.input) == 0 {
		p.owner.net.Put(p.input)
		p.input = nil
	}
	p.consumed.Signal()
	return n, nil
}

// Write counts and writes what TLS has made of the answers.
func (p *tlsStream) Write(b []byte) (int, error) {
	p.owner.net.unreadBytes.Add(int64(len(b)))
	p.owner.transmit(b)
	return len(b), nil
}

func (p *tlsStream) Close() error {
	p.endInput(io.EOF)
	p.owner.shutdown(syscall.SHUT_RDWR, nil)
	return nil
}

func (p *tlsStream) LocalAddr() net.Addr { return p.polled.LocalAddr() }

func (p *tlsStream) RemoteAddr() net.Addr { return p.polled.RemoteAddr() }

func (p *tlsStream) SetDeadline(time.Time) error { return nil }

func (p *tlsStream) SetReadDeadline(time.Time) error { return nil }

func (p *tlsStream) SetWriteDeadline(time.Time) error { return nil }

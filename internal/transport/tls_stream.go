package transport

import (
	"context"
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

// tlsStream lies between a connection's TLS and the poller: crypto/tls takes it for a net.Conn whose reads wait and
// whose writes do not. The poller reads and writes its socket as all others, and what it reads is fed to one
// goroutine a connection, which shakes hands and decrypts. What is written is encrypted where it is written, and
// never waits. docs/identity.md says what else was weighed.
type tlsStream struct {
	conn        *tls.Conn
	polled      *nbio.Conn
	owner       *Conn
	identity    any         // what the handshake proved; written and read by the goroutine that runs serve
	established atomic.Bool // the handshake is over, and went well

	mu       sync.Mutex
	readable sync.Cond // Read waits for it: there is input, or err
	consumed sync.Cond // the poller waits for it in receive: there is room for input, or err
	input    []byte    // guarded by mu
	err      error     // guarded by mu; nothing more is read
}

// maxEncryptedInput is how many bytes may wait to be decrypted before the poller waits: some records. It waits only
// while the owner loop has so much to do that plain connections wait too.
const maxEncryptedInput = 64 << 10

func newTLSStream(polled *nbio.Conn, config *tls.Config) *tlsStream {
	stream := &tlsStream{polled: polled}
	stream.readable.L = &stream.mu
	stream.consumed.L = &stream.mu
	stream.conn = tls.Server(stream, config)
	return stream
}

// serve shakes hands and reads until the connection ends.
func (s *tlsStream) serve() {
	n := s.owner.net
	// The front end closes a connection whose handshake takes too long.
	err := s.conn.HandshakeContext(context.Background())
	s.established.Store(err == nil)
	n.tlsListener.handshakes.Add(-1)
	if err != nil {
		s.endInput(io.EOF)
		s.closeUnauthenticated(err)
		return
	}
	n.Post(func() {
		if s.owner.handler.OnAuthenticated != nil {
			s.owner.handler.OnAuthenticated(s.identity)
		}
	})
	buffer := n.Get()
	for err == nil {
		var size int
		if size, err = s.conn.Read(buffer[:BufferSize]); size > 0 {
			s.owner.handleInput(buffer[:size])
		}
	}
	n.Put(buffer)
	// The client has ended its side, or sent what can't be decrypted. Nobody reads on, and the poller must not wait in
	// receive for somebody who does.
	s.endInput(io.EOF)
	n.Post(func() {
		if !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
			s.owner.SetCloseReason(codeMalformedRecord)
		}
		s.owner.Abort()
	})
}

// closeUnauthenticated closes the connection after a handshake that failed.
func (s *tlsStream) closeUnauthenticated(err error) {
	code := codeHandshakeFailed
	var reason verifyError
	if errors.As(err, &reason) {
		code = string(reason)
	}
	s.owner.net.Post(func() {
		s.owner.SetCloseReason(code)
		s.owner.Close(code)
	})
}

// receive takes what the poller has read, and waits while too much of it is not decrypted yet.
func (s *tlsStream) receive(b []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.input) > maxEncryptedInput && s.err == nil {
		s.consumed.Wait()
	}
	if s.err != nil {
		return
	}
	if s.input == nil {
		s.input = s.owner.net.Get()
	}
	s.input = append(s.input, b...)
	s.readable.Signal()
}

// endInput has Read fail from now on, once the input is read, and receive drop what comes.
func (s *tlsStream) endInput(err error) {
	s.mu.Lock()
	s.err = err
	s.mu.Unlock()
	s.readable.Broadcast()
	s.consumed.Broadcast()
}

// Read gives input to decrypt, and waits for it.
func (s *tlsStream) Read(b []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.input) == 0 {
		if s.err != nil {
			return 0, s.err
		}
		s.readable.Wait()
	}
	n := copy(b, s.input)
	s.input = s.input[:copy(s.input, s.input[n:])]
	if len(s.input) == 0 {
		s.owner.net.Put(s.input)
		s.input = nil
	}
	s.consumed.Signal()
	return n, nil
}

// Write counts and writes what TLS has encrypted. It is called on the owner loop, and by serve during the handshake.
func (s *tlsStream) Write(b []byte) (int, error) {
	s.owner.net.unreadBytes.Add(int64(len(b)))
	s.owner.transmit(b)
	return len(b), nil
}

// Close ends both directions; the poller closes the descriptor.
func (s *tlsStream) Close() error {
	s.endInput(io.EOF)
	s.owner.shutdown(syscall.SHUT_RDWR, nil)
	return nil
}

// LocalAddr is the address of our end.
func (s *tlsStream) LocalAddr() net.Addr { return s.polled.LocalAddr() }

// RemoteAddr is the address of the peer's end.
func (s *tlsStream) RemoteAddr() net.Addr { return s.polled.RemoteAddr() }

// SetDeadline does nothing: who waits too long is closed by the front end.
func (s *tlsStream) SetDeadline(time.Time) error { return nil }

// SetReadDeadline does nothing, like SetDeadline.
func (s *tlsStream) SetReadDeadline(time.Time) error { return nil }

// SetWriteDeadline does nothing: writes do not wait.
func (s *tlsStream) SetWriteDeadline(time.Time) error { return nil }

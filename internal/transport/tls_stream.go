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

// tlsStream connects crypto/tls with the poller. For crypto/tls it is a net.Conn whose reads block and whose
// writes do not. The poller reads and writes the socket like any other, and passes the input to a goroutine of
// the connection, which performs the handshake and decrypts. Output is encrypted on the goroutine that writes it,
// which never blocks. docs/identity.md describes the alternatives considered.
type tlsStream struct {
	conn        *tls.Conn
	polled      *nbio.Conn
	owner       *Conn
	identity    any         // result of VerifyChain; owned by the goroutine that runs serve
	established atomic.Bool // the handshake has succeeded

	mu       sync.Mutex
	readable sync.Cond // signaled when input or err is set; Read waits for it
	consumed sync.Cond // signaled when input has been consumed or err is set; the poller waits for it in receive
	input    []byte    // guarded by mu
	err      error     // guarded by mu; returned by Read once input is empty
}

// maxEncryptedInput is the number of bytes waiting for decryption, equal to several TLS records, above which the
// poller waits. It waits only while the owner loop is so overloaded that reading from plain connections blocks as
// well.
const maxEncryptedInput = 64 << 10

func newTLSStream(polled *nbio.Conn, config *tls.Config) *tlsStream {
	stream := &tlsStream{polled: polled}
	stream.readable.L = &stream.mu
	stream.consumed.L = &stream.mu
	stream.conn = tls.Server(stream, config)
	return stream
}

// serve performs the handshake and reads until the connection ends. It runs on the connection's goroutine.
func (s *tlsStream) serve() {
	n := s.owner.net
	// A context without a deadline is enough because the front end closes connections whose handshake takes too long.
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
	// The client has closed its side, or sent data that cannot be decrypted. Nothing reads the input from now on, so the
	// poller must not wait in receive for it to be consumed.
	s.endInput(io.EOF)
	n.Post(func() {
		if !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
			s.owner.SetCloseReason(codeMalformedRecord)
		}
		s.owner.Abort()
	})
}

// closeUnauthenticated closes the connection after a failed handshake.
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

// receive appends bytes that the poller has read to the input, and waits while the input exceeds
// maxEncryptedInput. After endInput it discards them. It is called on the poller.
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

// endInput makes Read return err once the remaining input has been read, and receive discard further input. It may be
// called from any goroutine.
func (s *tlsStream) endInput(err error) {
	s.mu.Lock()
	s.err = err
	s.mu.Unlock()
	s.readable.Broadcast()
	s.consumed.Broadcast()
}

// Read returns input to decrypt. It blocks until there is input, or endInput has been called.
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

// Write counts encrypted bytes as unread and sends them. It is called on the owner loop, and by serve during the
// handshake. It never blocks and never returns an error.
func (s *tlsStream) Write(b []byte) (int, error) {
	s.owner.net.unreadBytes.Add(int64(len(b)))
	s.owner.transmit(b)
	return len(b), nil
}

// Close shuts down both directions; the poller closes the descriptor.
func (s *tlsStream) Close() error {
	s.endInput(io.EOF)
	s.owner.shutdown(syscall.SHUT_RDWR, nil)
	return nil
}

// LocalAddr returns the local address.
func (s *tlsStream) LocalAddr() net.Addr { return s.polled.LocalAddr() }

// RemoteAddr returns the address of the peer.
func (s *tlsStream) RemoteAddr() net.Addr { return s.polled.RemoteAddr() }

// SetDeadline does nothing. The front end closes connections that wait too long.
func (s *tlsStream) SetDeadline(time.Time) error { return nil }

// SetReadDeadline does nothing, for the same reason as SetDeadline.
func (s *tlsStream) SetReadDeadline(time.Time) error { return nil }

// SetWriteDeadline does nothing, because writes do not block.
func (s *tlsStream) SetWriteDeadline(time.Time) error { return nil }

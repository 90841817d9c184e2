package transport

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/lesismal/nbio"
	"golang.org/x/time/rate"
)

// TLS runs above the poller: the poller reads and writes the sockets of these connections as it does of all others, and
// what it reads is fed to one goroutine a connection, which shakes hands and deciphers. What is written is enciphered where
// it is written, and never waits. docs/identity.md says what else was weighed.

// TLSListener is a further listener, with TLS.
type TLSListener struct {
	Addr string
	// Config gives what is in force for the next handshake; it is not changed once given.
	Config func() *tls.Config
	// Prove follows a client's chain and gives what it proves or a code for why it does not.
	VerifyChain         func(chain []*x509.Certificate) (proof any, code string)
	MaxHandshakes       int64   // handshakes at a time
	HandshakesPerSecond float64 // handshakes a second
}

type tlsListener struct {
	TLSListener
	base       *tls.Config  // holds the keys of session tickets, whatever Config gives
	handshakes atomic.Int64 // handshakes under way
	limiter    *rate.Limiter
}

// ListenTLS listens for connections with TLS.
func (n *Net) ListenTLS(config TLSListener) error {
	listener, err := (&net.ListenConfig{KeepAlive: -1}).Listen(context.Background(), "tcp", config.Addr)
	if err != nil {
		return err
	}
	secure := &tlsListener{TLSListener: config, limiter: rate.NewLimiter(rate.Limit(config.HandshakesPerSecond), int(max(1, config.HandshakesPerSecond)))}
	secure.base = &tls.Config{GetConfigForClient: func(hello *tls.ClientHelloInfo) (*tls.Config, error) {
		stream, isStream := hello.Conn.(*tlsStream)
		if !isStream {
			return nil, errors.New("no connection of ours")
		}
		c := secure.Config().Clone()
		// Called for a resumed session too. Danger: one that goes on after its certificate was taken back.
		c.VerifyConnection = func(state tls.ConnectionState) error {
			if len(state.PeerCertificates) == 0 { // where one is required, TLS has seen to it
				return nil
			}
			var code string
			if stream.identity, code = secure.VerifyChain(state.PeerCertificates); code != "" {
				return verifyError(code)
			}
			return nil
		}
		return c, nil
	}}
	n.tlsListener = secure
	// Danger: a crowd of handshakes takes the core, or the memory, from those who are in.
	bounded := &boundedListener{TCPListener: listener.(*net.TCPListener), net: n, forever: make(chan struct{}),
		alsoFull: func() bool { return secure.handshakes.Load() >= secure.MaxHandshakes }}
	n.listeners = append(n.listeners, bounded)
	go n.acceptTLS(bounded)
	return nil
}

func (n *Net) acceptTLS(listener *boundedListener) {
	for {
		_ = n.tlsListener.limiter.Wait(context.Background())
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		polled, err := nbio.NBConn(conn)
		if err != nil {
			conn.Close()
			continue
		}
		stream := &tlsStream{polled: polled}
		stream.readable.L, stream.consumed.L = &stream.mu, &stream.mu
		stream.conn = tls.Server(stream, n.tlsListener.base)
		n.tlsListener.handshakes.Add(1)
		stream.owner = n.newAccepted(polled, stream)
		stream.owner.onOpen = func(*nbio.Conn) {} // it stands already
		go stream.serve()
		_, _ = n.engine.AddConn(polled) // a failure closes it, which is told
	}
}

// Handshakes tells how many handshakes are under way, and how many may be.
func (n *Net) Handshakes() (now, limit int64) {
	if n.tlsListener == nil {
		return 0, 1
	}
	return n.tlsListener.handshakes.Load(), n.tlsListener.MaxHandshakes
}

// Handshaking tells whether the connection is still in its handshake.
func (l *Conn) Handshaking() bool { return l.tls != nil && !l.tls.established.Load() }

// verifyError is a code for why a certificate proves nothing.
type verifyError string

func (r verifyError) Error() string { return string(r) }

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
func (p *tlsStream) LocalAddr() net.Addr              { return p.polled.LocalAddr() }
func (p *tlsStream) RemoteAddr() net.Addr             { return p.polled.RemoteAddr() }
func (p *tlsStream) SetDeadline(time.Time) error      { return nil }
func (p *tlsStream) SetReadDeadline(time.Time) error  { return nil }
func (p *tlsStream) SetWriteDeadline(time.Time) error { return nil }

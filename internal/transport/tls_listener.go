package transport

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"net"
	"sync/atomic"

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

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

// TLSListener configures a further listener, with TLS.
type TLSListener struct {
	Addr string
	// Config gives the configuration for the next handshake. It is called on the connection's goroutine, and what it
	// returned is not changed any more.
	Config func() *tls.Config
	// VerifyChain gives the identity that a client's chain proves, or a code for why it proves none. It is called on the
	// connection's goroutine.
	VerifyChain         func(chain []*x509.Certificate) (identity any, code string)
	MaxHandshakes       int64   // handshakes at a time
	HandshakesPerSecond float64 // handshakes begun
}

type tlsListener struct {
	TLSListener
	baseConfig *tls.Config  // holds the keys of session tickets, whatever Config gives
	handshakes atomic.Int64 // handshakes under way
	limiter    *rate.Limiter
}

// ListenTLS listens for connections with TLS. It is called after Start, before the owner loop runs.
func (n *Net) ListenTLS(config TLSListener) error {
	socket, err := (&net.ListenConfig{KeepAlive: -1}).Listen(context.Background(), "tcp", config.Addr)
	if err != nil {
		return err
	}
	burst := int(max(1, config.HandshakesPerSecond))
	listener := &tlsListener{
		TLSListener: config,
		limiter:     rate.NewLimiter(rate.Limit(config.HandshakesPerSecond), burst),
	}
	listener.baseConfig = &tls.Config{GetConfigForClient: listener.configFor}
	n.tlsListener = listener
	bounded := &boundedListener{
		TCPListener: socket.(*net.TCPListener),
		net:         n,
		// Many handshakes at a time would take the core, or the memory, from those who are connected.
		atOtherLimit: func() bool { return listener.handshakes.Load() >= listener.MaxHandshakes },
		neverClosed:  make(chan struct{}),
	}
	n.listeners = append(n.listeners, bounded)
	go n.acceptTLS(bounded)
	return nil
}

// configFor is the configuration of one handshake, which leaves the identity in the connection's stream.
func (l *tlsListener) configFor(hello *tls.ClientHelloInfo) (*tls.Config, error) {
	stream, isStream := hello.Conn.(*tlsStream)
	if !isStream {
		return nil, errors.New("tls handshake on a connection of another listener")
	}
	config := l.Config().Clone()
	// Unlike VerifyPeerCertificate it is called for a resumed session too, which must not outlive a certificate that was
	// revoked.
	config.VerifyConnection = func(state tls.ConnectionState) error {
		if len(state.PeerCertificates) == 0 { // where one is required, crypto/tls has refused the handshake
			return nil
		}
		identity, code := l.VerifyChain(state.PeerCertificates)
		stream.identity = identity
		if code != "" {
			return verifyError(code)
		}
		return nil
	}
	return config, nil
}

func (n *Net) acceptTLS(listener *boundedListener) {
	for {
		_ = n.tlsListener.limiter.Wait(context.Background()) // it fails only with its context, or a burst of 0
		socket, err := listener.Accept()
		if err != nil {
			return
		}
		polled, err := nbio.NBConn(socket)
		if err != nil {
			_ = socket.Close() // there is no descriptor for it, and nothing was read or written
			continue
		}
		stream := newTLSStream(polled, n.tlsListener.baseConfig)
		n.tlsListener.handshakes.Add(1)
		stream.owner = n.newAccepted(polled, stream)
		stream.owner.onOpen = func(*nbio.Conn) {} // it stands already
		go stream.serve()
		_, _ = n.engine.AddConn(polled) // a failure closes it, which is told
	}
}

// Handshakes tells how many handshakes are under way, and how many may be.
func (n *Net) Handshakes() (active, limit int64) {
	if n.tlsListener == nil {
		return 0, 1
	}
	return n.tlsListener.handshakes.Load(), n.tlsListener.MaxHandshakes
}

// Handshaking tells whether the connection is still in its handshake.
func (c *Conn) Handshaking() bool { return c.tls != nil && !c.tls.established.Load() }

// verifyError is a code for why a certificate proves nothing.
type verifyError string

func (e verifyError) Error() string { return string(e) }

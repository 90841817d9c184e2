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

// TLSListener configures an additional listener that uses TLS.
type TLSListener struct {
	Addr string
	// Config returns the configuration for the next handshake. It is called on the connection's goroutine. The returned
	// value must not be modified afterwards.
	Config func() *tls.Config
	// VerifyChain returns the identity that a client's certificate chain proves, or the code of the reason why it proves
	// none, with which the connection is closed. It is called on the connection's goroutine.
	VerifyChain         func(chain []*x509.Certificate) (identity any, code string)
	MaxHandshakes       int64   // maximum number of concurrent handshakes
	HandshakesPerSecond float64 // maximum rate at which handshakes are started
}

type tlsListener struct {
	TLSListener
	baseConfig *tls.Config  // holds the session ticket keys, regardless of what Config returns
	handshakes atomic.Int64 // handshakes in progress
	limiter    *rate.Limiter
}

// ListenTLS listens for TLS connections. It must be called after Start and before the owner loop runs.
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
		// Many concurrent handshakes would take CPU time and memory from established connections.
		atOtherLimit: func() bool { return listener.handshakes.Load() >= listener.MaxHandshakes },
		neverClosed:  make(chan struct{}),
	}
	n.listeners = append(n.listeners, bounded)
	go n.acceptTLS(bounded)
	return nil
}

// configFor returns the configuration of one handshake. The handshake stores the identity in the connection's stream.
func (l *tlsListener) configFor(hello *tls.ClientHelloInfo) (*tls.Config, error) {
	stream, isStream := hello.Conn.(*tlsStream)
	if !isStream {
		return nil, errors.New("tls handshake on a connection of another listener")
	}
	config := l.Config().Clone()
	// Unlike VerifyPeerCertificate, VerifyConnection is also called for resumed sessions: a session must not be resumed
	// after its certificate has been revoked.
	config.VerifyConnection = func(state tls.ConnectionState) error {
		if len(state.PeerCertificates) == 0 { // if a certificate is required, crypto/tls has already rejected the handshake
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
		_ = n.tlsListener.limiter.Wait(context.Background()) // it fails only if the context ends or the burst is 0
		socket, err := listener.Accept()
		if err != nil {
			return
		}
		polled, err := nbio.NBConn(socket)
		if err != nil {
			_ = socket.Close() // no descriptor is available, and nothing was read or written
			continue
		}
		stream := newTLSStream(polled, n.tlsListener.baseConfig)
		n.tlsListener.handshakes.Add(1)
		stream.owner = n.newAccepted(polled, stream)
		stream.owner.onOpen = func(*nbio.Conn) {} // the Conn is already set up
		go stream.serve()
		_, _ = n.engine.AddConn(polled) // on failure the library closes the connection and calls handleClose
	}
}

// Handshakes returns the number of handshakes in progress and its limit. Without a TLS listener, the
// limit is 1.
func (n *Net) Handshakes() (active, limit int64) {
	if n.tlsListener == nil {
		return 0, 1
	}
	return n.tlsListener.handshakes.Load(), n.tlsListener.MaxHandshakes
}

// Handshaking reports whether the TLS handshake of the connection has not been completed. It may be called from any
// goroutine.
func (c *Conn) Handshaking() bool { return c.tls != nil && !c.tls.established.Load() }

// verifyError is the code of the reason why VerifyChain rejected a certificate chain.
type verifyError string

func (e verifyError) Error() string { return string(e) }

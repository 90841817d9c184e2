package wire

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

// Secure is a further listener, with TLS.
type Secure struct {
	Listen string
	// Config gives what is in force for the next handshake; it is not changed once given.
	Config func() *tls.Config
	// Prove follows a client's chain and gives what it proves or a code for why it does not.
	Prove func(chain []*x509.Certificate) (proof any, code string)
	Most  int64   // handshakes at a time
	Rate  float64 // handshakes a second
}

type secure struct {
	Secure
	base    *tls.Config  // holds the keys of session tickets, whatever Config gives
	proving atomic.Int64 // handshakes under way
	pace    *rate.Limiter
}

// StartSecure listens for connections with TLS.
func (n *Net) StartSecure(told Secure) error {
	l, err := (&net.ListenConfig{KeepAlive: -1}).Listen(context.Background(), "tcp", told.Listen)
	if err != nil {
		return err
	}
	s := &secure{Secure: told, pace: rate.NewLimiter(rate.Limit(told.Rate), int(max(1, told.Rate)))}
	s.base = &tls.Config{GetConfigForClient: func(hello *tls.ClientHelloInfo) (*tls.Config, error) {
		p, is := hello.Conn.(*tlsPipe)
		if !is {
			return nil, errors.New("no connection of ours")
		}
		c := s.Config().Clone()
		// Called for a resumed session too. Danger: one that goes on after its certificate was taken back.
		c.VerifyConnection = func(state tls.ConnectionState) error {
			if len(state.PeerCertificates) == 0 { // where one is required, TLS has seen to it
				return nil
			}
			var code string
			if p.proof, code = s.Prove(state.PeerCertificates); code != "" {
				return refusal(code)
			}
			return nil
		}
		return c, nil
	}}
	n.secure = s
	// Danger: a crowd of handshakes takes the core, or the memory, from those who are in.
	g := &gate{TCPListener: l.(*net.TCPListener), net: n, idle: make(chan struct{}),
		full: func() bool { return s.proving.Load() >= s.Most }}
	n.gates = append(n.gates, g)
	go n.acceptSecure(g)
	return nil
}

func (n *Net) acceptSecure(g *gate) {
	for {
		_ = n.secure.pace.Wait(context.Background())
		conn, err := g.Accept()
		if err != nil {
			return
		}
		c, err := nbio.NBConn(conn)
		if err != nil {
			conn.Close()
			continue
		}
		p := &tlsPipe{nb: c}
		p.more.L, p.room.L = &p.mu, &p.mu
		p.conn = tls.Server(p, n.secure.base)
		n.secure.proving.Add(1)
		p.link = n.accepted(c, p)
		p.link.opened = func(*nbio.Conn) {} // it stands already
		go p.serve()
		_, _ = n.engine.AddConn(c) // a failure closes it, which is told
	}
}

// Proving tells how many handshakes are under way, and how many may be.
func (n *Net) Proving() (now, most int64) {
	if n.secure == nil {
		return 0, 1
	}
	return n.secure.proving.Load(), n.secure.Most
}

// Proves tells whether the connection is still in its handshake.
func (l *Link) Proves() bool { return l.tls != nil && !l.tls.stands.Load() }

// refusal is a code for why a certificate proves nothing.
type refusal string

func (r refusal) Error() string { return string(r) }

// tlsPipe is what lies between a connection's TLS and the poller: crypto/tls takes it for a net.Conn whose reads wait and
// whose writes do not.
type tlsPipe struct {
	conn   *tls.Conn
	nb     *nbio.Conn
	link   *Link
	proof  any             // what the handshake came to
	proven func(proof any) // the owner's, called on its loop
	stands atomic.Bool     // the handshake is over

	mu   sync.Mutex
	more sync.Cond // something came, or the end
	room sync.Cond // something was taken
	in   []byte
	err  error
}

// mostFed is what may lie undeciphered before the poller waits: some records. It waits only while the owner loop has so much to
// do that plain connections wait too.
const mostFed = 64 << 10

// serve shakes hands and reads until the connection ends.
func (p *tlsPipe) serve() {
	n := p.link.net
	err := p.conn.Handshake()
	p.stands.Store(err == nil)
	n.secure.proving.Add(-1)
	if err != nil {
		p.cut(io.EOF)
		code := "handshake-failed"
		var why refusal
		if errors.As(err, &why) {
			code = string(why)
		}
		n.Hand(func() {
			p.link.Blame(code)
			p.link.Close(code)
		})
		return
	}
	n.Hand(func() { p.proven(p.proof) })
	buf := n.Take()
	for err == nil {
		var size int
		if size, err = p.conn.Read(buf[:BufferSize]); size > 0 {
			p.link.read(buf[:size])
		}
	}
	n.Give(buf)
	// The client has ended its side, or sent what can't be deciphered: nothing more comes, and nobody reads on. Danger:
	// the poller would wait for room here.
	p.cut(io.EOF)
	n.Hand(func() {
		if !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
			p.link.Blame("bad-record")
		}
		p.link.Cut()
	})
}

// feed takes what the poller has read.
func (p *tlsPipe) feed(b []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.in) > mostFed && p.err == nil {
		p.room.Wait()
	}
	if p.err != nil {
		return
	}
	if p.in == nil {
		p.in = p.link.net.Take()
	}
	p.in = append(p.in, b...)
	p.more.Signal()
}

// cut ends what reads.
func (p *tlsPipe) cut(err error) {
	p.mu.Lock()
	p.err = err
	p.mu.Unlock()
	p.more.Broadcast()
	p.room.Broadcast()
}

func (p *tlsPipe) Read(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.in) == 0 {
		if p.err != nil {
			return 0, p.err
		}
		p.more.Wait()
	}
	n := copy(b, p.in)
	p.in = p.in[:copy(p.in, p.in[n:])]
	if len(p.in) == 0 {
		p.link.net.Give(p.in)
		p.in = nil
	}
	p.room.Signal()
	return n, nil
}

// Write counts and writes what TLS has made of the answers.
func (p *tlsPipe) Write(b []byte) (int, error) {
	p.link.net.unread.Add(int64(len(b)))
	p.link.transmit(b)
	return len(b), nil
}

func (p *tlsPipe) Close() error                     { p.cut(io.EOF); p.link.shut(syscall.SHUT_RDWR, nil); return nil }
func (p *tlsPipe) LocalAddr() net.Addr              { return p.nb.LocalAddr() }
func (p *tlsPipe) RemoteAddr() net.Addr             { return p.nb.RemoteAddr() }
func (p *tlsPipe) SetDeadline(time.Time) error      { return nil }
func (p *tlsPipe) SetReadDeadline(time.Time) error  { return nil }
func (p *tlsPipe) SetWriteDeadline(time.Time) error { return nil }

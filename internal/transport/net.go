// Package transport is what a service instance speaks: one file a party, with its own incremental parsers and the
// connection objects whose callbacks the instance gives. It decides nothing and keeps nothing of an op.
package transport

import (
	"context"
	"io"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"
	nbiolog "github.com/lesismal/nbio/logging"

	"lanewheel/internal/logging"
)

// BufferSize is the one size of all buffers: the longest line of the runtime, a result of 4 KiB in base64
// with its fields, takes 6 KiB.
const BufferSize = 8 << 10

// BufferPool is the pool that buffers are taken from and given back to.
type BufferPool interface {
	Get() []byte // empty, of BufferSize
	Put([]byte)
}

// Net is the one poller that all connections share. Its callbacks run beside the owner loop, which alone
// calls the methods here and is handed all that is read.
type Net struct {
	BufferPool
	Post           func(...func()) // never waits
	PostRead       func(...func()) // waits while the owner has too much to do; for the poller's reading alone
	OnAccept       func(*Conn)     // hears, beside the owner loop, of each connection that was accepted
	OnFull         func()          // the owner's: a connection waits for room under Most
	MaxAccepted    int64           // accepted connections at a time
	MaxConns       int64           // connections at a time, accepted and dialled; 0: Most of the accepted ones is the one bound
	MaxDescriptors int             // descriptors that the program may have; 0: not told
	LocalIP        net.IP          // the address that we dial from; nil: any
	MaxUnread      int64           // past so many bytes, who leaves more than a few unread loses its connection

	// Tokens tells whether stubs may bring tokens; else the field is passed over as others that are not known.
	ReadTokens atomic.Bool
	// Passed tells whether it is read how many processes have passed an op on.
	ReadHops atomic.Bool

	engine        *nbio.Engine
	listeners     []*boundedListener
	tlsListener   *tlsListener // nil: no listener with TLS
	unflushed     []*Conn
	dialQueues    map[string]chan func()     // those that wait, by party; the owner's
	closeTally    logging.Sampler[closeKind] // connections that ended in this second
	acceptedConns atomic.Int64               // connections that were accepted and are not closed
	dialedConns   atomic.Int64               // those that stand or are being opened by us
	unreadBytes   atomic.Int64               // bytes of all connections that their peers have not taken yet
	refusing      atomic.Bool                // no further connection comes about
}

// maxUnwritten is what one peer may leave unread: the answers to 32 ops with the longest results.
const maxUnwritten = 160 << 10

// Start starts the poller and listens.
func (n *Net) Start(listen string) error {
	nbiolog.SetLevel(nbiolog.LevelError)
	n.dialQueues = map[string]chan func(){}
	n.limitDescriptorTable()
	n.engine = nbio.NewEngine(nbio.Config{Network: "tcp", Addrs: []string{listen}, NPoller: 1,
		Listen: func(network, addr string) (net.Listener, error) {
			conn, err := (&net.ListenConfig{KeepAlive: -1}).Listen(context.Background(), network, addr)
			if err != nil {
				return nil, err
			}
			gated := &boundedListener{TCPListener: conn.(*net.TCPListener), net: n, forever: make(chan struct{})}
			n.listeners = append(n.listeners, gated)
			return gated, nil
		},
		ReadBufferSize: BufferSize, MaxWriteBufferSize: maxUnwritten,
		MaxConnReadTimesPerEventLoop: 16}) // 128 KiB of one peer before the next one's turn
	n.engine.OnOpen(func(c *nbio.Conn) {
		if conn, dialled := c.Session().(*Conn); dialled {
			conn.onOpen(c)
			conn.opened.Store(true)
		} else {
			n.newAccepted(c, nil).opened.Store(true)
		}
	})
	n.engine.OnData(func(c *nbio.Conn, b []byte) {
		conn, isConn := c.Session().(*Conn)
		switch {
		case !isConn || !conn.opened.Load():
		case conn.tls != nil:
			conn.tls.receive(b)
		default:
			conn.received(b)
		}
	})
	n.engine.OnWrittenSize(func(c *nbio.Conn, _ []byte, size int) {
		if conn, isConn := c.Session().(*Conn); isConn {
			conn.written(size)
		}
	})
	n.engine.OnClose(func(c *nbio.Conn, err error) {
		if conn, isConn := c.Session().(*Conn); isConn {
			if conn.opened.Load() && conn.halfCloses { // it was accepted, and counted
				n.acceptedConns.Add(-1)
			}
			if conn.tls != nil {
				conn.tls.endInput(io.EOF)
			}
			n.Post(func() { conn.handleClosed(err) })
		}
	})
	return n.engine.Start()
}

var descriptorTableMutex sync.Mutex

// limitDescriptorTable has the library's table of connections, which is one for each number that a descriptor may have, go by the limit that was told.
// Danger: it goes by the machine's own limit else, which may be a million: 8 MB that the collector reads through, an eighth of what a small
// instance is told. The kernel gives out the lowest number that is free, so twice the limit and what a parent may leave open is far above all.
func (n *Net) limitDescriptorTable() {
	descriptorTableMutex.Lock()
	defer descriptorTableMutex.Unlock()
	if limit := 2*n.MaxDescriptors + 1024; n.MaxDescriptors > 0 && limit < nbio.MaxOpenFiles {
		nbio.MaxOpenFiles = limit
	}
}

// closeKind is a kind of end that connections come to.
type closeKind struct{ peer, code string }

// Flush writes what the batch has gathered, each connection's answers together, and once a second a line for each
// kind of end that had more than a few.
func (n *Net) Flush() {
	for _, l := range n.unflushed {
		l.flushPending = false
		l.flush()
	}
	n.unflushed = n.unflushed[:0]
	if n.closeTally.HasPending() {
		n.closeTally.FlushSuppressed(time.Now(), func(e closeKind, more int) {
			slog.Info("ends", "party", e.peer, "code", e.code, "more", more)
		})
	}
}

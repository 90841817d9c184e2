// Package transport keeps the connections of a process: one poller that reads them all, dialling, TLS, and the buffers
// that messages are read into and written from. What the bytes mean is a codec's business: a Handler cuts the messages
// off the front, and packages rpc, runtimelink and database bring one each.
//
// Two goroutines matter. The poller reads, and has the Handler's Parse cut what it read into closures; the owner loop,
// which Net.Post and Net.PostRead reach, runs these closures and alone calls the other methods of Net and Conn, except
// where a method says otherwise.
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

// BufferSize is the one size of all buffers, in bytes: the longest line of the runtime, a result of 4 KiB in base64
// with its fields, takes 6 KiB.
const BufferSize = 8 << 10

// maxUnwritten is what one peer may leave unread, in bytes: the responses to 32 requests with the longest results.
const maxUnwritten = 160 << 10

// BufferPool is the pool that buffers are taken from and given back to.
type BufferPool interface {
	Get() []byte // empty, with a capacity of BufferSize
	Put([]byte)
}

// Net is the one poller that all connections share. The exported fields are set before Start.
type Net struct {
	BufferPool
	Post     func(...func()) // hands closures to the owner loop; never waits
	PostRead func(...func()) // waits while the owner loop has too much to do; for the poller's reading alone
	OnAccept func(*Conn)     // called for each accepted connection, on the goroutine that accepted it
	OnFull   func()          // called on the owner loop: a connection waits for room under MaxAccepted

	MaxAccepted    int64  // accepted connections at a time
	MaxConns       int64  // connections at a time, accepted and dialled; 0: only MaxAccepted bounds them
	MaxDescriptors int    // descriptors that the process may have; 0: not configured
	LocalIP        net.IP // the address to dial from; nil: any
	MaxUnread      int64  // in bytes, of all peers; beyond it a peer that leaves more than a few unread is closed

	// ReadTokens has the codec of client requests read their tokens; else the field is skipped like an unknown one.
	ReadTokens atomic.Bool
	// ReadHops has the codec of client requests read how many processes have forwarded a request.
	ReadHops atomic.Bool

	engine      *nbio.Engine
	listeners   []*boundedListener
	tlsListener *tlsListener // nil: no listener with TLS

	// Owned by the owner loop.
	unflushed    []*Conn
	dialQueues   map[Peer]chan func()
	closeSampler logging.Sampler[closeKind] // connections that were closed in this second

	acceptedConns atomic.Int64 // connections that were accepted and are not closed
	dialedConns   atomic.Int64 // connections that are being dialled, or were and are not closed
	unreadBytes   atomic.Int64 // written to all connections and not taken by their peers yet
	refusing      atomic.Bool  // RefuseNew was called
}

// Start listens at the address and starts the poller.
func (n *Net) Start(addr string) error {
	nbiolog.SetLevel(nbiolog.LevelError)
	n.dialQueues = map[Peer]chan func(){}
	n.limitDescriptorTable()
	n.engine = nbio.NewEngine(nbio.Config{
		Network:                      "tcp",
		Addrs:                        []string{addr},
		NPoller:                      1,
		Listen:                       n.listen,
		ReadBufferSize:               BufferSize,
		MaxWriteBufferSize:           maxUnwritten,
		MaxConnReadTimesPerEventLoop: 16, // 128 KiB of one peer before the next one's turn
	})
	n.engine.OnOpen(n.handleOpen)
	n.engine.OnData(handleData)
	n.engine.OnWrittenSize(handleWritten)
	n.engine.OnClose(n.handleClose)
	return n.engine.Start()
}

func (n *Net) listen(network, addr string) (net.Listener, error) {
	listener, err := (&net.ListenConfig{KeepAlive: -1}).Listen(context.Background(), network, addr)
	if err != nil {
		return nil, err
	}
	bounded := &boundedListener{TCPListener: listener.(*net.TCPListener), net: n, neverClosed: make(chan struct{})}
	n.listeners = append(n.listeners, bounded)
	return bounded, nil
}

func (n *Net) handleOpen(polled *nbio.Conn) {
	if conn, isConn := polled.Session().(*Conn); isConn {
		conn.onOpen(polled)
		conn.opened.Store(true)
		return
	}
	n.newAccepted(polled, nil).opened.Store(true)
}

func handleData(polled *nbio.Conn, b []byte) {
	conn, isConn := polled.Session().(*Conn)
	switch {
	case !isConn || !conn.opened.Load():
	case conn.tls != nil:
		conn.tls.receive(b)
	default:
		conn.handleInput(b)
	}
}

func handleWritten(polled *nbio.Conn, _ []byte, size int) {
	if conn, isConn := polled.Session().(*Conn); isConn {
		conn.handleWritten(size)
	}
}

func (n *Net) handleClose(polled *nbio.Conn, err error) {
	conn, isConn := polled.Session().(*Conn)
	if !isConn {
		return
	}
	if conn.opened.Load() && conn.halfCloses { // it was accepted, and counted
		n.acceptedConns.Add(-1)
	}
	if conn.tls != nil {
		conn.tls.endInput(io.EOF)
	}
	n.Post(func() { conn.handleClosed(err) })
}

var descriptorTableMutex sync.Mutex // guards nbio.MaxOpenFiles

// limitDescriptorTable sizes the library's table of connections, an entry for each number that a descriptor may have,
// by the configured limit. Its default is the machine's limit, which may be a million: 8 MB that the collector reads
// through, an eighth of a small instance. The kernel gives out the lowest number that is free, so twice the limit and
// what a parent may leave open is far above all that are used.
func (n *Net) limitDescriptorTable() {
	descriptorTableMutex.Lock()
	defer descriptorTableMutex.Unlock()
	if limit := 2*n.MaxDescriptors + 1024; n.MaxDescriptors > 0 && limit < nbio.MaxOpenFiles {
		nbio.MaxOpenFiles = limit
	}
}

// closeKind is what closed connections are counted by.
type closeKind struct {
	peer Peer
	code string
}

// Flush writes what was gathered since the last call, each connection's messages together, and once a second logs a
// line for each kind of close of which some were left out.
func (n *Net) Flush() {
	for _, conn := range n.unflushed {
		conn.flushPending = false
		conn.flush()
	}
	n.unflushed = n.unflushed[:0]
	if n.closeSampler.HasPending() {
		n.closeSampler.FlushSuppressed(time.Now(), func(kind closeKind, count int) {
			slog.Info("connections closed", "peer", kind.peer.String(), "code", kind.code, "count", count)
		})
	}
}

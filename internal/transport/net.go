// Package transport manages the connections of a process: one poller that reads all of them, dialing, TLS, and
// the buffers for input and output. It does not interpret the bytes. A codec provides a Handler that parses them
// into messages; packages rpc, runtimelink and database contain one codec each.
//
// Two goroutines are involved. The poller reads, and calls Handler.Parse to turn the input into closures. The
// owner loop runs these closures, which it receives by Net.Post and Net.PostRead. All other methods of Net and
// Conn must be called on the owner loop, unless their comments state otherwise. A TLS connection has an additional
// goroutine, which calls Parse in place of the poller.
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

// BufferSize is the size of all buffers, in bytes. The longest line of the runtime, a result of 4 KiB in base64
// with its fields, takes 6 KiB.
const BufferSize = 8 << 10

// maxUnwritten is the maximum number of bytes that one peer may leave unread. The responses to 32 requests with the
// longest results fit into it.
const maxUnwritten = 160 << 10

// BufferPool provides buffers and takes them back. Its methods must be safe for concurrent use.
type BufferPool interface {
	Get() []byte // returns an empty buffer with a capacity of BufferSize
	Put([]byte)  // returns a buffer to the pool
}

// Net is the poller shared by all connections, with their limits. The exported fields must be set before Start,
// except ReadTokens and ReadHops, which may be changed at any time.
type Net struct {
	BufferPool
	Post     func(...func()) // passes functions to the owner loop; never blocks
	PostRead func(...func()) // like Post, but blocks while the owner loop is overloaded; only for goroutines that read
	OnAccept func(*Conn)     // called for each accepted connection, on the goroutine that accepted it
	OnFull   func()          // called on the owner loop when a limit prevents accepting a connection

	MaxAccepted    int64  // maximum number of open accepted connections
	MaxConns       int64  // maximum number of open connections, accepted and dialed; 0 if only MaxAccepted limits them
	MaxDescriptors int    // maximum number of descriptors of the process; 0 if not configured
	LocalIP        net.IP // local address of dialed connections; nil for any
	MaxUnread      int64  // maximum unread bytes of all peers; beyond it, connections with over 16 KiB are closed

	// ReadTokens makes the codec of client requests read their tokens; otherwise it skips the field like an unknown one.
	ReadTokens atomic.Bool
	// ReadHops makes the codec of client requests read the number of processes that have forwarded a request; otherwise
	// it skips the field.
	ReadHops atomic.Bool

	engine      *nbio.Engine
	listeners   []*boundedListener
	tlsListener *tlsListener // nil if there is no TLS listener

	// Owned by the owner loop.
	unflushed    []*Conn
	dialQueues   map[Peer]chan func()
	closeSampler logging.Sampler[closeKind] // limits the log lines about closed connections

	acceptedConns atomic.Int64 // open accepted connections
	dialedConns   atomic.Int64 // open dialed connections, and dials in progress
	unreadBytes   atomic.Int64 // bytes written to all connections and not accepted by the kernel yet
	refusing      atomic.Bool  // RefuseNew was called
}

// Start listens on addr and starts the poller. It must be called before the owner loop runs.
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
		MaxConnReadTimesPerEventLoop: 16, // reads at most 128 KiB from one peer before the next peer's turn
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
	if conn.opened.Load() { // what its opener has written is visible
		conn.peerClosed.Store(true)
		if conn.halfCloses { // the connection was accepted and counted
			n.acceptedConns.Add(-1)
		}
	}
	if conn.tls != nil {
		conn.tls.endInput(io.EOF)
	}
	n.Post(func() { conn.handleClosed(err) })
}

var descriptorTableMutex sync.Mutex // guards nbio.MaxOpenFiles

// limitDescriptorTable limits the size of the library's connection table, which has one entry per possible
// descriptor number. The default size is the descriptor limit of the machine, which may be a million: 8 MB that
// the garbage collector scans, an eighth of the memory of a small instance. The kernel assigns the lowest free
// number. Twice the configured limit, plus 1024 for descriptors inherited from a parent process, is therefore far
// above all numbers in use.
func (n *Net) limitDescriptorTable() {
	descriptorTableMutex.Lock()
	defer descriptorTableMutex.Unlock()
	if limit := 2*n.MaxDescriptors + 1024; n.MaxDescriptors > 0 && limit < nbio.MaxOpenFiles {
		nbio.MaxOpenFiles = limit
	}
}

// closeKind is the key by which the log lines about closed connections are limited and counted.
type closeKind struct {
	peer Peer
	code string
}

// Flush writes the output buffered since the last call, all messages of a connection together. Once a second it
// logs, for each kind of close, the number of closes that were not logged individually.
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

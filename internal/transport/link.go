// Package transport is what a service instance speaks: one file a party, with its own incremental parsers and the
// connection objects whose callbacks the instance gives. It decides nothing and keeps nothing of an op.
package transport

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"reflect"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
	"unsafe"

	"github.com/lesismal/nbio"
	nbiolog "github.com/lesismal/nbio/logging"
	"golang.org/x/sys/unix"

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

// Conn is one connection. parse, fault and ended are its callbacks.
type Conn struct {
	net      *Net
	polled   *nbio.Conn
	peer     string
	openedAt time.Time
	// parse takes one message off the front and gives what the owner loop is to do with it: 0 if there is no
	// whole one, or a code for the reason that it can't be read. It is called beside the owner loop.
	parse        func(b []byte) (n int, call func(), fault string)
	onUnreadable func(code string) // what to do about a message that can't be read; the link is closed if nil
	onClose      func(code string)
	// opened hears of a connection that we dialled, before anything is read from it.
	onOpen func(c *nbio.Conn)
	// abrupt has it end without a trace. Danger: a connection for each call would leave all ports waiting for late bytes.
	resetOnClose bool
	// lingers has it end by a half-close: the last answers reach a peer that is still sending. Set for what was accepted.
	halfCloses bool
	cancelDial context.CancelFunc // of the dial, while it lasts; the owner's

	closeError       atomic.Pointer[error] // why it has to be closed, where we know better than the poller
	opened           atomic.Bool           // what opened it has done so; orders that before the poller's reading
	partial          []byte                // an unfinished message; the poller's
	partialSince     atomic.Int64          // when it began, in Unix nanoseconds; 0 while there is none
	ignoresInput     bool                  // reads on, to hear of the close, but takes nothing in; the poller's
	output           []byte                // what the next flush writes; the owner's
	flushPending     bool
	closed           bool
	closeReason      string
	unpolled         bool   // the poller does not watch it yet; the owner's
	outputBeforePoll []byte // what is to be written once it does; counted as unread, not as unwritten
	unwritten        atomic.Int64
	closing          atomic.Bool
	tls              *tlsStream // nil on a plain connection
}

// newAccepted makes a connection that was accepted one of a client stub, under TLS if pipe is not nil.
func (n *Net) newAccepted(c *nbio.Conn, pipe *tlsStream) *Conn {
	n.acceptedConns.Add(1)
	conn := n.newConn(c, "stub")
	conn.tls = pipe
	n.OnAccept(conn)
	return conn
}

func (n *Net) newConn(c *nbio.Conn, peer string) *Conn {
	conn := &Conn{net: n, polled: c, peer: peer, openedAt: time.Now(), halfCloses: true}
	c.SetSession(conn)
	return conn
}

// The library holds a lock of its own while it marks a connection as closed, and closes the descriptor after that; it tells of it on another
// goroutine, some time later, and can't be asked. Whoever uses the descriptor beside it has to hold that lock and to see the mark, or what he
// does may be done to a later connection of the same number. The lock is the first thing in its struct; init sees to the shape.
var closedFieldOffset = func() uintptr {
	t := reflect.TypeFor[nbio.Conn]()
	mark, has := t.FieldByName("closed")
	if first := t.Field(0); !has || mark.Type.Kind() != reflect.Bool || first.Type != reflect.TypeFor[sync.Mutex]() {
		panic("nbio.Conn has another shape than that of v1.6.8")
	}
	return mark.Offset
}()

// lockDescriptor locks the descriptor of the link and tells whether it is open; free has to be called then.
func (l *Conn) lockDescriptor() (fd int, open bool) {
	if l.polled == nil {
		return 0, false
	}
	l.mutex().Lock()
	if *(*bool)(unsafe.Add(unsafe.Pointer(l.polled), closedFieldOffset)) {
		l.mutex().Unlock()
		return 0, false
	}
	return l.polled.Hash(), true // which is the descriptor
}

func (l *Conn) mutex() *sync.Mutex { return (*sync.Mutex)(unsafe.Pointer(l.polled)) }
func (l *Conn) unlockDescriptor()  { l.mutex().Unlock() }

// shutdown ends one or both directions and leaves the closing to the poller, which hears of it. Danger: a descriptor that is closed beside
// the poller is given out again at once, and an event that the poller has fetched for the old connection ends the new one.
func (l *Conn) shutdown(direction int, reason error) {
	fd, open := l.lockDescriptor()
	if !open {
		return
	}
	defer l.unlockDescriptor()
	if reason != nil {
		l.closeError.CompareAndSwap(nil, &reason)
	}
	_ = syscall.Shutdown(fd, direction) // one that is not connected any more is ended by the poller all the same
}

// writeNow gives the kernel what it takes now.
func (l *Conn) writeNow(b []byte) (int, error) {
	fd, open := l.lockDescriptor()
	if !open {
		return 0, net.ErrClosed
	}
	defer l.unlockDescriptor()
	for {
		n, err := syscall.Write(fd, b)
		switch err {
		case syscall.EINTR:
		case syscall.EAGAIN:
			return 0, nil
		default:
			return max(0, n), err
		}
	}
}

// written hears that the kernel has taken so many bytes.
func (l *Conn) written(size int) {
	l.net.unreadBytes.Add(-int64(size))
	if l.unwritten.Add(-int64(size)) == 0 && l.closing.Load() {
		l.net.Post(l.finishClose)
	}
}

// dial opens a connection; ready is called with nil once it stands. A refused one proves that nothing was sent.
// Danger: the library's own DialAsync (v1.6.8) takes the first four bytes of an address that has sixteen, and
// so connects to 0.0.0.0. Each party has a few goroutines that dial instead, so that one that hangs holds up no other.
func (n *Net) dial(conn *Conn, addr string, ready func(refused error)) {
	queue := n.dialQueues[conn.peer]
	if queue == nil {
		queue = make(chan func(), 1024) // more than there are descriptors for
		n.dialQueues[conn.peer] = queue
		workers := 4
		if conn.peer == peerMember { // hundreds of them, and those of a lost zone hang until their time is up
			workers = 32
		}
		for range workers {
			go func() {
				for nextDial := range queue {
					nextDial()
				}
			}()
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	conn.cancelDial = cancel
	n.dialedConns.Add(1)
	finish := func(refused error) {
		cancel()
		conn.cancelDial = nil
		if refused != nil {
			n.dialedConns.Add(-1)
		}
		ready(refused)
	}
	queue <- func() {
		// No keepalive: four system calls, and nothing stays open and silent here.
		dialer := net.Dialer{Timeout: 2 * time.Second, KeepAlive: -1}
		if n.LocalIP != nil {
			dialer.LocalAddr = &net.TCPAddr{IP: n.LocalIP}
		}
		// Danger: dials to an address that swallows them hold up the others of their party. One that was given up ends at once, and
		// those behind it that were are not begun.
		socket, err := dialer.DialContext(ctx, "tcp", addr)
		var polled *nbio.Conn
		if err == nil {
			if conn.resetOnClose {
				_ = socket.(*net.TCPConn).SetLinger(0)
			}
			if polled, err = nbio.NBConn(socket); err != nil {
				_ = socket.Close() // Danger: at the descriptor limit the second one that this takes is refused, and the first would stay
			}
		}
		if err != nil {
			n.Post(func() { finish(err) })
			return
		}
		polled.SetSession(conn)
		opened := false
		conn.onOpen = func(polled *nbio.Conn) {
			opened = true
			n.Post(func() {
				conn.polled, conn.unpolled = polled, true
				if conn.closeReason != "" { // closed while it was being opened
					conn.Abort()
				}
				finish(nil)
			})
		}
		_, err = n.engine.AddConn(polled)
		switch {
		case !opened: // the library had no place for it, and tells nobody
			n.Post(func() { finish(err) })
		default: // a failure closes it, which is told
			n.Post(conn.polling)
		}
	}
}

// polling writes what had to wait until the poller watches the connection. Danger: the library opens a connection before that, and what the
// kernel does not take in between is kept by it and never written, as nobody is woken for it.
func (l *Conn) polling() {
	l.unpolled = false
	output := l.outputBeforePoll
	l.outputBeforePoll = nil
	if len(output) > 0 && !l.closed {
		l.transmit(output)
	}
}

// received runs on the poller: it takes whole messages off the bytes and hands them over together.
func (l *Conn) received(b []byte) {
	var calls []func()
	problem := ""
	for len(b) > 0 && !l.ignoresInput && !l.closing.Load() {
		if len(l.partial) == 0 {
			var n int
			n, problem = l.parseMessages(b, &calls)
			b = b[n:]
			if problem != "" || len(b) == 0 || l.ignoresInput {
				break
			}
			if len(b) >= BufferSize {
				problem = "too-long"
				break
			}
			if l.partial == nil {
				l.partial = l.net.Get()
				l.partialSince.Store(time.Now().UnixNano())
			}
			l.partial = append(l.partial[:0], b...)
			break
		}
		size := min(len(b), BufferSize-len(l.partial))
		if size == 0 {
			problem = "too-long"
			break
		}
		l.partial = append(l.partial, b[:size]...)
		b = b[size:]
		var n int
		n, problem = l.parseMessages(l.partial, &calls)
		if n > 0 {
			l.partial = l.partial[:copy(l.partial, l.partial[n:])]
			l.partialSince.Store(time.Now().UnixNano())
		}
		if problem != "" || l.ignoresInput {
			l.partial = l.partial[:0]
			break
		}
	}
	if len(l.partial) == 0 && l.partial != nil {
		l.net.Put(l.partial)
		l.partial = nil
		l.partialSince.Store(0)
	}
	if problem != "" {
		l.ignoresInput = true
		calls = append(calls, func() {
			if l.onUnreadable == nil {
				l.Close(problem)
			} else {
				l.onUnreadable(problem)
			}
		})
	}
	if len(calls) > 0 {
		l.net.PostRead(calls...)
	}
}

func (l *Conn) parseMessages(b []byte, calls *[]func()) (used int, problem string) {
	for used < len(b) && !l.ignoresInput {
		n, call, problem := l.parse(b[used:])
		if problem != "" || n == 0 {
			return used, problem
		}
		used += n
		if call != nil {
			*calls = append(*calls, call)
		}
	}
	return used, ""
}

// outputBuffer gives the bytes gathered for the next write, to append a message of at most BufferSize to.
func (l *Conn) outputBuffer() []byte {
	if l.output == nil {
		l.output = l.net.Get()
	}
	if !l.flushPending {
		l.flushPending = true
		l.net.unflushed = append(l.net.unflushed, l)
	}
	return l.output
}

// setOutput takes back what room gave, with the message behind it.
func (l *Conn) setOutput(output []byte) {
	if cap(output) > BufferSize { // grown past its buffer: written at once, so that the pool keeps one size
		l.net.Put(l.output)
		l.output = nil
		l.write(output)
		return
	}
	l.output = output
}

func (l *Conn) flush() {
	if l.output == nil {
		return
	}
	output := l.output
	l.output = nil
	l.write(output)
	l.net.Put(output)
}

func (l *Conn) write(b []byte) {
	if l.closed || l.polled == nil || len(b) == 0 {
		return
	}
	const slack = 16 << 10 // some answers with the longest results
	// Danger: peers that read nothing, each within its bound, hold all the memory together.
	if l.net.unreadBytes.Add(int64(len(b))) > l.net.MaxUnread && l.unwritten.Load() > slack {
		l.net.unreadBytes.Add(-int64(len(b)))
		l.SetCloseReason("never-reads")
		l.Abort()
		return
	}
	if l.tls != nil && !l.tls.established.Load() { // Danger: the loop would wait for the handshake
		l.net.unreadBytes.Add(-int64(len(b)))
		return
	}
	if l.tls != nil {
		// What comes out of it is written, and counted, by the pipe below.
		_, _ = l.tls.conn.Write(b)
		l.net.unreadBytes.Add(-int64(len(b)))
		return
	}
	if l.unpolled {
		l.outputBeforePoll = append(l.outputBeforePoll, b...)
		return
	}
	l.transmit(b)
}

var errUnreadLimit = errors.New("leaves too much unread")

// transmit sends what it can and leaves the rest to the poller; the bytes are counted as unread before. A failure has the poller end the
// connection, which is told by its callback.
func (l *Conn) transmit(b []byte) {
	before := l.unwritten.Add(int64(len(b))) - int64(len(b))
	var err error
	if before+int64(len(b)) > maxUnwritten {
		err = errUnreadLimit
	} else if before == 0 { // else what comes first is not written yet
		var n int
		n, err = l.writeNow(b)
		if b = b[n:]; n > 0 {
			l.written(n)
		}
	}
	if err == nil && len(b) > 0 {
		_, err = l.polled.Write(b)
	}
	if err != nil {
		l.unwritten.Add(-int64(len(b)))
		l.net.unreadBytes.Add(-int64(len(b)))
		l.shutdown(syscall.SHUT_RDWR, err)
	}
}

// PartialFor tells how long a message has been coming without an end.
func (l *Conn) PartialFor(now time.Time) time.Duration {
	if since := l.partialSince.Load(); since != 0 {
		return now.Sub(time.Unix(0, since))
	}
	return 0
}

// HasPartial tells whether a message has begun to come.
func (l *Conn) HasPartial() bool { return l.partialSince.Load() != 0 }

// SetCloseReason notes why a connection is going to end, whoever ends it then.
func (l *Conn) SetCloseReason(code string) {
	if l.closeReason == "" {
		l.closeReason = code
	}
}

// Close ends the connection once all that was gathered for it is written. One that was accepted is ended by a half-close: it is over when
// the peer has ended its side too, or with Cut, which whoever closes has to see to.
func (l *Conn) Close(code string) {
	l.SetCloseReason(code)
	if l.polled == nil {
		l.CancelDial()
	}
	if l.closed || l.polled == nil || l.closing.Load() {
		return
	}
	l.flush()
	if l.tls != nil && l.tls.established.Load() {
		_ = l.tls.conn.CloseWrite() // so that the peer can tell our end from one that somebody else made
	}
	l.closing.Store(true)
	if l.unwritten.Load() <= 0 && len(l.outputBeforePoll) == 0 {
		l.finishClose()
	}
}

// finishClose ends what is closing and has nothing left to write; it may come twice. Danger: a close over bytes that nobody has read resets
// the connection, and the peer loses the answers that it has not read yet. Our side ends first, what still comes is read and
// thrown away, and the poller closes at the peer's end.
func (l *Conn) finishClose() {
	if l.halfCloses {
		l.shutdown(syscall.SHUT_WR, nil)
	} else {
		l.Abort()
	}
}

// Abort ends the connection at once, whatever is not written yet.
func (l *Conn) Abort() {
	if !l.closed {
		l.closing.Store(true) // nothing that still comes is taken in
		l.shutdown(syscall.SHUT_RDWR, nil)
	}
}

// CancelDial has a dial that goes on end as refused. One that stands already stays.
func (l *Conn) CancelDial() {
	if l.cancelDial != nil {
		l.cancelDial()
	}
}

// handleClosed leaves the one line of the connection's end, with a code for the reason.
func (l *Conn) handleClosed(err error) {
	if l.closed {
		return
	}
	l.closed = true
	if !l.halfCloses { // we dialled it
		l.net.dialedConns.Add(-1)
	}
	l.net.unreadBytes.Add(-l.unwritten.Load() - int64(len(l.outputBeforePoll)))
	l.outputBeforePoll = nil
	if reason := l.closeError.Load(); reason != nil {
		err = *reason
	}
	code := l.closeReason
	var errno syscall.Errno
	switch {
	case code != "":
	case err == nil, errors.Is(err, io.EOF), errors.Is(err, net.ErrClosed):
		code = "peer-closed"
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		code = "peer-reset"
	case errors.As(err, &errno):
		code = "errno-" + errno.Error()
	default:
		code = "never-reads"
	}
	if now := time.Now(); l.net.closeTally.Allow(closeKind{l.peer, code}, now) {
		slog.Info("end", "party", l.peer, "code", code, "open_ms", now.Sub(l.openedAt).Milliseconds())
	}
	if l.output != nil {
		l.net.Put(l.output)
		l.output = nil
	}
	if l.onClose != nil {
		l.onClose(code)
	}
}

// boundedListener is the listening socket. Danger: at the descriptor limit accepting fails again and again and eats the
// core, and takes the descriptors of our own links. It holds back in the backlog what is over the bound.
type boundedListener struct {
	*net.TCPListener
	net         *Net
	alsoFull    func() bool // holds back beside that, if not nil
	closing     atomic.Bool
	allAccepted atomic.Bool // all that was accepted has been handed over, and nothing more will be
	forever     chan struct{}
}

func (g *boundedListener) Accept() (net.Conn, error) {
	for {
		if g.closing.Load() {
			g.allAccepted.Store(true)
			<-g.forever // the poller would ask again at once, for ever
		}
		// Some round trips on one machine: short against an op, long against a core.
		const retryInterval = 2 * time.Millisecond
		// Danger: what waits in the backlog when it is closed is reset, with the ops written there. Before that all of it is let in.
		if g.full() {
			g.net.Post(g.net.OnFull)
			time.Sleep(retryInterval)
			continue
		}
		c, err := g.TCPListener.Accept()
		if err == nil {
			return c, nil
		}
		// Danger: the descriptors may be used up below what we were told, by others in the process or by a lower limit of the machine. An
		// unused connection makes room then too, and accepting goes on.
		if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
			g.net.Post(g.net.OnFull)
		}
		time.Sleep(retryInterval)
	}
}

// full tells whether there is no room for a further connection. At the end of listening all that is in the backlog is let in, as far as the
// descriptors go: the calls that are no longer made leave theirs.
func (g *boundedListener) full() bool {
	accepted := g.net.acceptedConns.Load()
	if g.net.refusing.Load() {
		return g.net.MaxConns > 0 && accepted+g.net.dialedConns.Load() >= g.net.MaxConns
	}
	return accepted >= g.net.MaxAccepted || g.alsoFull != nil && g.alsoFull()
}

// RefuseNew lets no further connection come about. Danger: a listening socket that is closed resets what it has
// not accepted yet, and the ops written there are lost. The kernel drops what asks for a connection from here
// on; those that stand already are accepted until Shut.
func (n *Net) RefuseNew() {
	n.refusing.Store(true)
	for _, listener := range n.listeners {
		raw, err := listener.SyscallConn()
		if err != nil {
			continue
		}
		_ = raw.Control(func(fd uintptr) {
			dropAll := unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K}
			_ = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &dropAll})
		})
	}
}

// HasBacklog tells whether connections stand that were not accepted yet. It is for the time after Deafen.
func (n *Net) HasBacklog() bool {
	waiting := false
	for _, listener := range n.listeners {
		raw, err := listener.SyscallConn()
		if err != nil {
			continue
		}
		_ = raw.Control(func(fd uintptr) {
			// Of a listening socket Unacked is the length of its queue. Where the kernel does not tell, none waits as far as we know.
			info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
			waiting = waiting || err == nil && info.Unacked > 0
		})
	}
	return waiting
}

// AllAccepted tells, after Shut, whether all connections that were accepted have been handed to the owner.
func (n *Net) AllAccepted() bool {
	for _, listener := range n.listeners {
		if !listener.allAccepted.Load() {
			return false
		}
	}
	return true
}

// CloseListeners closes the listening sockets.
func (n *Net) CloseListeners() {
	for _, listener := range n.listeners {
		listener.closing.Store(true)
		_ = listener.Close()
	}
}

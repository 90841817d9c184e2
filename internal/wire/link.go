// Package wire is what a service instance speaks: one file a party, with its own incremental parsers and the
// connection objects whose callbacks the instance gives. It decides nothing and keeps nothing of an op.
package wire

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
	"github.com/lesismal/nbio/logging"
	"golang.org/x/sys/unix"

	"lanewheel/internal/logline"
)

// BufferSize is the one size of all buffers: the longest line of the runtime, a result of 4 KiB in base64
// with its fields, takes 6 KiB.
const BufferSize = 8 << 10

// Buffers is the pool that buffers are taken from and given back to.
type Buffers interface {
	Take() []byte // empty, of BufferSize
	Give([]byte)
}

// Net is the one poller that all connections share. Its callbacks run beside the owner loop, which alone
// calls the methods here and is handed all that is read.
type Net struct {
	Buffers
	Hand    func(...func()) // never waits
	Read    func(...func()) // waits while the owner has too much to do; for the poller's reading alone
	Accept  func(*Link)     // hears, beside the owner loop, of each connection that was accepted
	Crowded func()          // the owner's: a connection waits for room under Most
	Most    int64           // accepted connections at a time
	Room    int64           // connections at a time, accepted and dialled; 0: Most of the accepted ones is the one bound
	Limit   int             // descriptors that the program may have; 0: not told
	From    net.IP          // the address that we dial from; nil: any
	Unread  int64           // past so many bytes, who leaves more than a few unread loses its connection

	// Tokens tells whether stubs may bring tokens; else the field is passed over as others that are not known.
	Tokens atomic.Bool
	// Passed tells whether it is read how many processes have passed an op on.
	Passed atomic.Bool

	engine *nbio.Engine
	gates  []*gate
	secure *secure // nil: no listener with TLS
	dirty  []*Link
	dials  map[string]chan func() // those that wait, by party; the owner's
	ends   logline.Sampler[end]   // connections that ended in this second
	stubs  atomic.Int64           // connections that were accepted and are not closed
	calls  atomic.Int64           // those that stand or are being opened by us
	unread atomic.Int64           // bytes of all connections that their peers have not taken yet
	deaf   atomic.Bool            // no further connection comes about
}

// mostUnwritten is what one peer may leave unread: the answers to 32 ops with the longest results.
const mostUnwritten = 160 << 10

// Start starts the poller and listens.
func (n *Net) Start(listen string) error {
	logging.SetLevel(logging.LevelError)
	n.dials = map[string]chan func(){}
	n.sizeTable()
	n.engine = nbio.NewEngine(nbio.Config{Network: "tcp", Addrs: []string{listen}, NPoller: 1,
		Listen: func(network, addr string) (net.Listener, error) {
			l, err := (&net.ListenConfig{KeepAlive: -1}).Listen(context.Background(), network, addr)
			if err != nil {
				return nil, err
			}
			g := &gate{TCPListener: l.(*net.TCPListener), net: n, idle: make(chan struct{})}
			n.gates = append(n.gates, g)
			return g, nil
		},
		ReadBufferSize: BufferSize, MaxWriteBufferSize: mostUnwritten,
		MaxConnReadTimesPerEventLoop: 16}) // 128 KiB of one peer before the next one's turn
	n.engine.OnOpen(func(c *nbio.Conn) {
		if l, dialled := c.Session().(*Link); dialled {
			l.opened(c)
			l.born.Store(true)
		} else {
			n.accepted(c, nil).born.Store(true)
		}
	})
	n.engine.OnData(func(c *nbio.Conn, b []byte) {
		l, is := c.Session().(*Link)
		switch {
		case !is || !l.born.Load():
		case l.tls != nil:
			l.tls.feed(b)
		default:
			l.read(b)
		}
	})
	n.engine.OnWrittenSize(func(c *nbio.Conn, _ []byte, size int) {
		if l, is := c.Session().(*Link); is {
			l.wrote(size)
		}
	})
	n.engine.OnClose(func(c *nbio.Conn, err error) {
		if l, is := c.Session().(*Link); is {
			if l.born.Load() && l.lingers { // it was accepted, and counted
				n.stubs.Add(-1)
			}
			if l.tls != nil {
				l.tls.cut(io.EOF)
			}
			n.Hand(func() { l.end(err) })
		}
	})
	return n.engine.Start()
}

var tableSize sync.Mutex

// sizeTable has the library's table of connections, which is one for each number that a descriptor may have, go by the limit that was told.
// Danger: it goes by the machine's own limit else, which may be a million: 8 MB that the collector reads through, an eighth of what a small
// instance is told. The kernel gives out the lowest number that is free, so twice the limit and what a parent may leave open is far above all.
func (n *Net) sizeTable() {
	tableSize.Lock()
	defer tableSize.Unlock()
	if most := 2*n.Limit + 1024; n.Limit > 0 && most < nbio.MaxOpenFiles {
		nbio.MaxOpenFiles = most
	}
}

// end is a kind of end that connections come to.
type end struct{ party, code string }

// Flush writes what the batch has gathered, each connection's answers together, and once a second a line for each
// kind of end that had more than a few.
func (n *Net) Flush() {
	for _, l := range n.dirty {
		l.dirty = false
		l.flush()
	}
	n.dirty = n.dirty[:0]
	if n.ends.HasPending() {
		n.ends.FlushSuppressed(time.Now(), func(e end, more int) {
			slog.Info("ends", "party", e.party, "code", e.code, "more", more)
		})
	}
}

// Link is one connection. parse, fault and ended are its callbacks.
type Link struct {
	net   *Net
	nb    *nbio.Conn
	party string
	began time.Time
	// parse takes one message off the front and gives what the owner loop is to do with it: 0 if there is no
	// whole one, or a code for the reason that it can't be read. It is called beside the owner loop.
	parse func(b []byte) (n int, call func(), fault string)
	fault func(code string) // what to do about a message that can't be read; the link is closed if nil
	ended func(code string)
	// opened hears of a connection that we dialled, before anything is read from it.
	opened func(c *nbio.Conn)
	// abrupt has it end without a trace. Danger: a connection for each call would leave all ports waiting for late bytes.
	abrupt bool
	// lingers has it end by a half-close: the last answers reach a peer that is still sending. Set for what was accepted.
	lingers bool
	giveUp  context.CancelFunc // of the dial, while it lasts; the owner's

	lost      atomic.Pointer[error] // why it has to be closed, where we know better than the poller
	born      atomic.Bool           // what opened it has done so; orders that before the poller's reading
	part      []byte                // an unfinished message; the poller's
	parted    atomic.Int64          // when it began, in Unix nanoseconds; 0 while there is none
	deaf      bool                  // reads on, to hear of the close, but takes nothing in; the poller's
	out       []byte                // what the next flush writes; the owner's
	dirty     bool
	gone      bool
	why       string
	unwatched bool   // the poller does not watch it yet; the owner's
	early     []byte // what is to be written once it does; counted as unread, not as unwritten
	unwritten atomic.Int64
	closing   atomic.Bool
	tls       *tlsPipe // nil on a plain connection
}

// accepted makes a connection that was accepted one of a client stub, under TLS if pipe is not nil.
func (n *Net) accepted(c *nbio.Conn, pipe *tlsPipe) *Link {
	n.stubs.Add(1)
	l := n.link(c, "stub")
	l.tls = pipe
	n.Accept(l)
	return l
}

func (n *Net) link(c *nbio.Conn, party string) *Link {
	l := &Link{net: n, nb: c, party: party, began: time.Now(), lingers: true}
	c.SetSession(l)
	return l
}

// The library holds a lock of its own while it marks a connection as closed, and closes the descriptor after that; it tells of it on another
// goroutine, some time later, and can't be asked. Whoever uses the descriptor beside it has to hold that lock and to see the mark, or what he
// does may be done to a later connection of the same number. The lock is the first thing in its struct; init sees to the shape.
var closedAt = func() uintptr {
	t := reflect.TypeFor[nbio.Conn]()
	mark, has := t.FieldByName("closed")
	if first := t.Field(0); !has || mark.Type.Kind() != reflect.Bool || first.Type != reflect.TypeFor[sync.Mutex]() {
		panic("nbio.Conn has another shape than that of v1.6.8")
	}
	return mark.Offset
}()

// hold locks the descriptor of the link and tells whether it is open; free has to be called then.
func (l *Link) hold() (fd int, open bool) {
	if l.nb == nil {
		return 0, false
	}
	l.lock().Lock()
	if *(*bool)(unsafe.Add(unsafe.Pointer(l.nb), closedAt)) {
		l.lock().Unlock()
		return 0, false
	}
	return l.nb.Hash(), true // which is the descriptor
}

func (l *Link) lock() *sync.Mutex { return (*sync.Mutex)(unsafe.Pointer(l.nb)) }
func (l *Link) free()             { l.lock().Unlock() }

// shut ends one or both directions and leaves the closing to the poller, which hears of it. Danger: a descriptor that is closed beside
// the poller is given out again at once, and an event that the poller has fetched for the old connection ends the new one.
func (l *Link) shut(how int, why error) {
	fd, open := l.hold()
	if !open {
		return
	}
	defer l.free()
	if why != nil {
		l.lost.CompareAndSwap(nil, &why)
	}
	_ = syscall.Shutdown(fd, how) // one that is not connected any more is ended by the poller all the same
}

// send gives the kernel what it takes now.
func (l *Link) send(b []byte) (int, error) {
	fd, open := l.hold()
	if !open {
		return 0, net.ErrClosed
	}
	defer l.free()
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

// wrote hears that the kernel has taken so many bytes.
func (l *Link) wrote(size int) {
	l.net.unread.Add(-int64(size))
	if l.unwritten.Add(-int64(size)) == 0 && l.closing.Load() {
		l.net.Hand(l.finish)
	}
}

// dial opens a connection; ready is called with nil once it stands. A refused one proves that nothing was sent.
// Danger: the library's own DialAsync (v1.6.8) takes the first four bytes of an address that has sixteen, and
// so connects to 0.0.0.0. Each party has a few goroutines that dial instead, so that one that hangs holds up no other.
func (n *Net) dial(l *Link, addr string, ready func(refused error)) {
	queue := n.dials[l.party]
	if queue == nil {
		queue = make(chan func(), 1024) // more than there are descriptors for
		n.dials[l.party] = queue
		workers := 4
		if l.party == partyMember { // hundreds of them, and those of a lost zone hang until their time is up
			workers = 32
		}
		for range workers {
			go func() {
				for next := range queue {
					next()
				}
			}()
		}
	}
	ctx, giveUp := context.WithCancel(context.Background())
	l.giveUp = giveUp
	n.calls.Add(1)
	over := func(refused error) {
		giveUp()
		l.giveUp = nil
		if refused != nil {
			n.calls.Add(-1)
		}
		ready(refused)
	}
	queue <- func() {
		// No keepalive: four system calls, and nothing stays open and silent here.
		d := net.Dialer{Timeout: 2 * time.Second, KeepAlive: -1}
		if n.From != nil {
			d.LocalAddr = &net.TCPAddr{IP: n.From}
		}
		// Danger: dials to an address that swallows them hold up the others of their party. One that was given up ends at once, and
		// those behind it that were are not begun.
		conn, err := d.DialContext(ctx, "tcp", addr)
		var c *nbio.Conn
		if err == nil {
			if l.abrupt {
				_ = conn.(*net.TCPConn).SetLinger(0)
			}
			if c, err = nbio.NBConn(conn); err != nil {
				_ = conn.Close() // Danger: at the descriptor limit the second one that this takes is refused, and the first would stay
			}
		}
		if err != nil {
			n.Hand(func() { over(err) })
			return
		}
		c.SetSession(l)
		opened := false
		l.opened = func(c *nbio.Conn) {
			opened = true
			n.Hand(func() {
				l.nb, l.unwatched = c, true
				if l.why != "" { // closed while it was being opened
					l.Cut()
				}
				over(nil)
			})
		}
		_, err = n.engine.AddConn(c)
		switch {
		case !opened: // the library had no place for it, and tells nobody
			n.Hand(func() { over(err) })
		default: // a failure closes it, which is told
			n.Hand(l.watch)
		}
	}
}

// watch writes what had to wait until the poller watches the connection. Danger: the library opens a connection before that, and what the
// kernel does not take in between is kept by it and never written, as nobody is woken for it.
func (l *Link) watch() {
	l.unwatched = false
	out := l.early
	l.early = nil
	if len(out) > 0 && !l.gone {
		l.transmit(out)
	}
}

// read runs on the poller: it takes whole messages off the bytes and hands them over together.
func (l *Link) read(b []byte) {
	var calls []func()
	fault := ""
	for len(b) > 0 && !l.deaf && !l.closing.Load() {
		if len(l.part) == 0 {
			var n int
			n, fault = l.messages(b, &calls)
			b = b[n:]
			if fault != "" || len(b) == 0 || l.deaf {
				break
			}
			if len(b) >= BufferSize {
				fault = "too-long"
				break
			}
			if l.part == nil {
				l.part = l.net.Take()
				l.parted.Store(time.Now().UnixNano())
			}
			l.part = append(l.part[:0], b...)
			break
		}
		room := min(len(b), BufferSize-len(l.part))
		if room == 0 {
			fault = "too-long"
			break
		}
		l.part = append(l.part, b[:room]...)
		b = b[room:]
		var n int
		n, fault = l.messages(l.part, &calls)
		if n > 0 {
			l.part = l.part[:copy(l.part, l.part[n:])]
			l.parted.Store(time.Now().UnixNano())
		}
		if fault != "" || l.deaf {
			l.part = l.part[:0]
			break
		}
	}
	if len(l.part) == 0 && l.part != nil {
		l.net.Give(l.part)
		l.part = nil
		l.parted.Store(0)
	}
	if fault != "" {
		l.deaf = true
		calls = append(calls, func() {
			if l.fault == nil {
				l.Close(fault)
			} else {
				l.fault(fault)
			}
		})
	}
	if len(calls) > 0 {
		l.net.Read(calls...)
	}
}

func (l *Link) messages(b []byte, calls *[]func()) (used int, fault string) {
	for used < len(b) && !l.deaf {
		n, call, fault := l.parse(b[used:])
		if fault != "" || n == 0 {
			return used, fault
		}
		used += n
		if call != nil {
			*calls = append(*calls, call)
		}
	}
	return used, ""
}

// room gives the bytes gathered for the next write, to append a message of at most BufferSize to.
func (l *Link) room() []byte {
	if l.out == nil {
		l.out = l.net.Take()
	}
	if !l.dirty {
		l.dirty = true
		l.net.dirty = append(l.net.dirty, l)
	}
	return l.out
}

// put takes back what room gave, with the message behind it.
func (l *Link) put(out []byte) {
	if cap(out) > BufferSize { // grown past its buffer: written at once, so that the pool keeps one size
		l.net.Give(l.out)
		l.out = nil
		l.write(out)
		return
	}
	l.out = out
}

func (l *Link) flush() {
	if l.out == nil {
		return
	}
	out := l.out
	l.out = nil
	l.write(out)
	l.net.Give(out)
}

func (l *Link) write(b []byte) {
	if l.gone || l.nb == nil || len(b) == 0 {
		return
	}
	const some = 16 << 10 // some answers with the longest results
	// Danger: peers that read nothing, each within its bound, hold all the memory together.
	if l.net.unread.Add(int64(len(b))) > l.net.Unread && l.unwritten.Load() > some {
		l.net.unread.Add(-int64(len(b)))
		l.Blame("never-reads")
		l.Cut()
		return
	}
	if l.tls != nil && !l.tls.stands.Load() { // Danger: the loop would wait for the handshake
		l.net.unread.Add(-int64(len(b)))
		return
	}
	if l.tls != nil {
		// What comes out of it is written, and counted, by the pipe below.
		_, _ = l.tls.conn.Write(b)
		l.net.unread.Add(-int64(len(b)))
		return
	}
	if l.unwatched {
		l.early = append(l.early, b...)
		return
	}
	l.transmit(b)
}

var errNeverReads = errors.New("leaves too much unread")

// transmit sends what it can and leaves the rest to the poller; the bytes are counted as unread before. A failure has the poller end the
// connection, which is told by its callback.
func (l *Link) transmit(b []byte) {
	before := l.unwritten.Add(int64(len(b))) - int64(len(b))
	var err error
	if before+int64(len(b)) > mostUnwritten {
		err = errNeverReads
	} else if before == 0 { // else what comes first is not written yet
		var n int
		n, err = l.send(b)
		if b = b[n:]; n > 0 {
			l.wrote(n)
		}
	}
	if err == nil && len(b) > 0 {
		_, err = l.nb.Write(b)
	}
	if err != nil {
		l.unwritten.Add(-int64(len(b)))
		l.net.unread.Add(-int64(len(b)))
		l.shut(syscall.SHUT_RDWR, err)
	}
}

// Unfinished tells how long a message has been coming without an end.
func (l *Link) Unfinished(now time.Time) time.Duration {
	if began := l.parted.Load(); began != 0 {
		return now.Sub(time.Unix(0, began))
	}
	return 0
}

// Partial tells whether a message has begun to come.
func (l *Link) Partial() bool { return l.parted.Load() != 0 }

// Blame notes why a connection is going to end, whoever ends it then.
func (l *Link) Blame(code string) {
	if l.why == "" {
		l.why = code
	}
}

// Close ends the connection once all that was gathered for it is written. One that was accepted is ended by a half-close: it is over when
// the peer has ended its side too, or with Cut, which whoever closes has to see to.
func (l *Link) Close(code string) {
	l.Blame(code)
	if l.nb == nil {
		l.GiveUpDial()
	}
	if l.gone || l.nb == nil || l.closing.Load() {
		return
	}
	l.flush()
	if l.tls != nil && l.tls.stands.Load() {
		_ = l.tls.conn.CloseWrite() // so that the peer can tell our end from one that somebody else made
	}
	l.closing.Store(true)
	if l.unwritten.Load() <= 0 && len(l.early) == 0 {
		l.finish()
	}
}

// finish ends what is closing and has nothing left to write; it may come twice. Danger: a close over bytes that nobody has read resets
// the connection, and the peer loses the answers that it has not read yet. Our side ends first, what still comes is read and
// thrown away, and the poller closes at the peer's end.
func (l *Link) finish() {
	if l.lingers {
		l.shut(syscall.SHUT_WR, nil)
	} else {
		l.Cut()
	}
}

// Cut ends the connection at once, whatever is not written yet.
func (l *Link) Cut() {
	if !l.gone {
		l.closing.Store(true) // nothing that still comes is taken in
		l.shut(syscall.SHUT_RDWR, nil)
	}
}

// GiveUpDial has a dial that goes on end as refused. One that stands already stays.
func (l *Link) GiveUpDial() {
	if l.giveUp != nil {
		l.giveUp()
	}
}

// end leaves the one line of the connection's end, with a code for the reason.
func (l *Link) end(err error) {
	if l.gone {
		return
	}
	l.gone = true
	if !l.lingers { // we dialled it
		l.net.calls.Add(-1)
	}
	l.net.unread.Add(-l.unwritten.Load() - int64(len(l.early)))
	l.early = nil
	if why := l.lost.Load(); why != nil {
		err = *why
	}
	code := l.why
	var no syscall.Errno
	switch {
	case code != "":
	case err == nil, errors.Is(err, io.EOF), errors.Is(err, net.ErrClosed):
		code = "peer-closed"
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		code = "peer-reset"
	case errors.As(err, &no):
		code = "errno-" + no.Error()
	default:
		code = "never-reads"
	}
	if now := time.Now(); l.net.ends.Allow(end{l.party, code}, now) {
		slog.Info("end", "party", l.party, "code", code, "open_ms", now.Sub(l.began).Milliseconds())
	}
	if l.out != nil {
		l.net.Give(l.out)
		l.out = nil
	}
	if l.ended != nil {
		l.ended(code)
	}
}

// gate is the listening socket. Danger: at the descriptor limit accepting fails again and again and eats the
// core, and takes the descriptors of our own links. It holds back in the backlog what is over the bound.
type gate struct {
	*net.TCPListener
	net  *Net
	full func() bool // holds back beside that, if not nil
	shut atomic.Bool
	done atomic.Bool // all that was accepted has been handed over, and nothing more will be
	idle chan struct{}
}

func (g *gate) Accept() (net.Conn, error) {
	for {
		if g.shut.Load() {
			g.done.Store(true)
			<-g.idle // the poller would ask again at once, for ever
		}
		// Some round trips on one machine: short against an op, long against a core.
		const again = 2 * time.Millisecond
		// Danger: what waits in the backlog when it is closed is reset, with the ops written there. Before that all of it is let in.
		if g.crowded() {
			g.net.Hand(g.net.Crowded)
			time.Sleep(again)
			continue
		}
		c, err := g.TCPListener.Accept()
		if err == nil {
			return c, nil
		}
		// Danger: the descriptors may be used up below what we were told, by others in the process or by a lower limit of the machine. An
		// unused connection makes room then too, and accepting goes on.
		if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
			g.net.Hand(g.net.Crowded)
		}
		time.Sleep(again)
	}
}

// crowded tells whether there is no room for a further connection. At the end of listening all that is in the backlog is let in, as far as the
// descriptors go: the calls that are no longer made leave theirs.
func (g *gate) crowded() bool {
	stubs := g.net.stubs.Load()
	if g.net.deaf.Load() {
		return g.net.Room > 0 && stubs+g.net.calls.Load() >= g.net.Room
	}
	return stubs >= g.net.Most || g.full != nil && g.full()
}

// Deafen lets no further connection come about. Danger: a listening socket that is closed resets what it has
// not accepted yet, and the ops written there are lost. The kernel drops what asks for a connection from here
// on; those that stand already are accepted until Shut.
func (n *Net) Deafen() {
	n.deaf.Store(true)
	for _, g := range n.gates {
		raw, err := g.SyscallConn()
		if err != nil {
			continue
		}
		_ = raw.Control(func(fd uintptr) {
			drop := unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K}
			_ = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &drop})
		})
	}
}

// Backlog tells whether connections stand that were not accepted yet. It is for the time after Deafen.
func (n *Net) Backlog() bool {
	waits := false
	for _, g := range n.gates {
		raw, err := g.SyscallConn()
		if err != nil {
			continue
		}
		_ = raw.Control(func(fd uintptr) {
			// Of a listening socket Unacked is the length of its queue. Where the kernel does not tell, none waits as far as we know.
			info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
			waits = waits || err == nil && info.Unacked > 0
		})
	}
	return waits
}

// Done tells, after Shut, whether all connections that were accepted have been handed to the owner.
func (n *Net) Done() bool {
	for _, g := range n.gates {
		if !g.done.Load() {
			return false
		}
	}
	return true
}

// Shut closes the listening sockets.
func (n *Net) Shut() {
	for _, g := range n.gates {
		g.shut.Store(true)
		_ = g.Close()
	}
}

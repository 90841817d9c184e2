// Package wire is what a service instance speaks: one file a party, with its own incremental parsers and the
// connection objects whose callbacks the instance gives. It decides nothing and keeps nothing of an op.
package wire

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/logging"

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
	ends   logline.Tally[end]     // connections that ended in this second
	stubs  atomic.Int64           // connections that were accepted and are not closed
	unread atomic.Int64           // bytes of all connections that their peers have not taken yet
}

// mostUnwritten is what one peer may leave unread: the answers to 32 ops with the longest results.
const mostUnwritten = 160 << 10

// Start starts the poller and listens.
func (n *Net) Start(listen string) error {
	logging.SetLevel(logging.LevelError)
	n.dials = map[string]chan func(){}
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
			n.unread.Add(-int64(size))
			if l.unwritten.Add(-int64(size)) == 0 && l.closing.Load() {
				n.Hand(l.Cut)
			}
		}
	})
	n.engine.OnClose(func(c *nbio.Conn, err error) {
		if l, is := c.Session().(*Link); is {
			if l.opened == nil || l.tls != nil {
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
	if n.ends.Waits() {
		n.ends.Rest(time.Now(), func(e end, more int) {
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
	// abrupt ends it without a trace. Danger: a connection for each call would leave all ports waiting for late bytes.
	abrupt bool

	born      atomic.Bool  // what opened it has done so; orders that before the poller's reading
	part      []byte       // an unfinished message; the poller's
	parted    atomic.Int64 // when it began, in Unix nanoseconds; 0 while there is none
	deaf      bool         // reads on, to hear of the close, but takes nothing in; the poller's
	out       []byte       // what the next flush writes; the owner's
	dirty     bool
	gone      bool
	why       string
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
	l := &Link{net: n, nb: c, party: party, began: time.Now()}
	c.SetSession(l)
	return l
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
	queue <- func() {
		// No keepalive: four system calls, and nothing stays open and silent here.
		d := net.Dialer{Timeout: 2 * time.Second, KeepAlive: -1}
		if n.From != nil {
			d.LocalAddr = &net.TCPAddr{IP: n.From}
		}
		conn, err := d.Dial("tcp", addr)
		var c *nbio.Conn
		if err == nil {
			c, err = nbio.NBConn(conn)
		}
		if err != nil {
			n.Hand(func() { ready(err) })
			return
		}
		c.SetSession(l)
		l.opened = func(c *nbio.Conn) {
			n.Hand(func() {
				l.nb = c
				if l.why != "" { // closed while it was being opened
					l.Cut()
				}
				ready(nil)
			})
		}
		_, _ = n.engine.AddConn(c) // a failure closes it, which is told
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
	l.unwritten.Add(int64(len(b)))
	_, _ = l.nb.Write(b) // a failure closes the connection, which is told by its callback
}

// Unfinished tells how long a message has been coming without an end.
func (l *Link) Unfinished(now time.Time) time.Duration {
	if began := l.parted.Load(); began != 0 {
		return now.Sub(time.Unix(0, began))
	}
	return 0
}

// Blame notes why a connection is going to end, whoever ends it then.
func (l *Link) Blame(code string) {
	if l.why == "" {
		l.why = code
	}
}

// Close ends the connection once all that was gathered for it is written.
func (l *Link) Close(code string) {
	l.Blame(code)
	if l.gone || l.nb == nil || l.closing.Load() {
		return
	}
	l.flush()
	if l.tls != nil && l.tls.stands.Load() {
		_ = l.tls.conn.CloseWrite() // so that the peer can tell our end from one that somebody else made
	}
	l.closing.Store(true)
	if l.unwritten.Load() <= 0 {
		l.Cut()
	}
}

// Cut ends the connection at once, whatever is not written yet.
func (l *Link) Cut() {
	if !l.gone && l.nb != nil {
		if l.abrupt {
			_ = l.nb.SetLinger(1, 0)
		}
		_ = l.nb.Close()
	}
}

// end leaves the one line of the connection's end, with a code for the reason.
func (l *Link) end(err error) {
	if l.gone {
		return
	}
	l.gone = true
	l.net.unread.Add(-l.unwritten.Load())
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
	if now := time.Now(); l.net.ends.Line(end{l.party, code}, now) {
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
	idle chan struct{}
}

func (g *gate) Accept() (net.Conn, error) {
	for {
		if g.shut.Load() {
			<-g.idle // the poller would ask again at once, for ever
		}
		// Some round trips on one machine: short against an op, long against a core.
		const again = 2 * time.Millisecond
		if g.net.stubs.Load() >= g.net.Most || g.full != nil && g.full() {
			g.net.Hand(g.net.Crowded)
			time.Sleep(again)
			continue
		}
		c, err := g.TCPListener.Accept()
		if err == nil {
			return c, nil
		}
		time.Sleep(again)
	}
}

// Deafen lets no further connection come about. Danger: a listening socket that is closed resets what it has
// not accepted yet, and the ops written there are lost. The kernel drops what asks for a connection from here
// on; those that stand already are accepted until Shut.
func (n *Net) Deafen() {
	for _, g := range n.gates {
		raw, err := g.SyscallConn()
		if err != nil {
			continue
		}
		_ = raw.Control(func(fd uintptr) {
			drop := []syscall.SockFilter{*syscall.LsfStmt(syscall.BPF_RET|syscall.BPF_K, 0)}
			_ = syscall.AttachLsf(int(fd), drop)
		})
	}
}

// Shut closes the listening sockets.
func (n *Net) Shut() {
	for _, g := range n.gates {
		g.shut.Store(true)
		_ = g.Close()
	}
}

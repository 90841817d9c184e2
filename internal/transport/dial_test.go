package transport_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/lesismal/nbio"
	"golang.org/x/sys/unix"

	"lanewheel/internal/database"
	"lanewheel/internal/rpc"
	"lanewheel/internal/runtimelink"
	"lanewheel/internal/transport"
)

// Small writes are never held back, on what is accepted and on what is dialled.
func Example_noDelay() {
	x := newTestNet()
	at := func(l *transport.Conn) int {
		on, _ := unix.GetsockoptInt(l.Descriptor(), unix.IPPROTO_TCP, unix.TCP_NODELAY)
		return on
	}
	_, s := x.connect()
	fmt.Println("accepted", at(s.Conn))
	l := listen()
	defer closeAll(l) // kept until then: the collector closes one that is out of use, and what stands there is reset
	addr := l.Addr().String()
	var stands sync.WaitGroup
	ready := func(error) { stands.Done() }
	stands.Add(3)
	var db *database.Conn
	var rt *runtimelink.Conn
	var cl *rpc.ClientConn
	x.onOwner(func() {
		db, rt, cl = database.Dial(x.Net, addr, ready), runtimelink.Dial(x.Net, addr, ready), rpc.Dial(x.Net, addr, ready)
		db.OnClose = func(string) {}
		rt.OnClose, cl.OnClose = db.OnClose, db.OnClose
	})
	stands.Wait()
	fmt.Println("dialled", at(db.Conn), at(rt.Conn), at(cl.Conn))
	// Output:
	// accepted 1
	// dialled 1 1 1
}

// A dial that an address swallows can be cancelled at once, and holds up no other to its kind of peer.
func Example_swallowedDials() {
	x := newTestNet()
	hole := blackHoleAddr()
	l := listen()
	refused := make(chan error, 99)
	var calls []*database.Conn
	x.onOwner(func() {
		for range 40 {
			d := database.Dial(x.Net, hole, func(err error) { refused <- err })
			d.OnClose = func(string) {}
			calls = append(calls, d)
		}
	})
	began := time.Now()
	x.onOwner(func() {
		for _, d := range calls {
			d.Close("timed-out")
		}
	})
	for range calls {
		if err := <-refused; err == nil {
			fmt.Println("stands")
		}
	}
	x.onOwner(func() {
		database.Dial(x.Net, l.Addr().String(), func(err error) { refused <- err }).OnClose = func(string) {}
	})
	fmt.Println(<-refused, time.Since(began) < 5*time.Second) // ten times two seconds otherwise
	closeAll(l)
	// Output:
	// <nil> true
}

// blackHoleAddr gives an address whose queue is full: what connects there hears nothing.
func blackHoleAddr() string {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM, 0)
	if err != nil {
		panic(err)
	}
	if err = unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err == nil {
		err = unix.Listen(fd, 0)
	}
	if err != nil {
		panic(err)
	}
	at, _ := unix.Getsockname(fd)
	addr := fmt.Sprintf("127.0.0.1:%d", at.(*unix.SockaddrInet4).Port)
	dialer := net.Dialer{Timeout: 100 * time.Millisecond}
	for {
		if _, err := dialer.DialContext(context.Background(), "tcp", addr); err != nil {
			return addr
		}
	}
}

// What is written to a connection that we dial before the poller watches it, more than the kernel takes at once,
// comes whole, and the close behind it. The connection is handed to the poller only once the owner has taken that it
// is open, so it always writes before.
func Example_writtenBeforeWatched() {
	small := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 4096) })
	}}
	far, err := small.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer closeAll(far)
	x := newTestNet()
	l := x.NewDialed(transport.DialOptions{Peer: transport.PeerDatabase})
	l.SetHandler(transport.Handler{Parse: func([]byte) (int, func(), error) { return 0, nil, nil }})
	const many = 150 << 10 // under the bound of what a peer may leave unread, over what the kernel takes
	later := x.Post
	x.onOwner(func() {
		var first atomic.Bool
		x.Post = func(calls ...func()) {
			// The first is that of the open connection: who hands it in waits until the owner has taken it.
			if !first.CompareAndSwap(false, true) {
				later(calls...)
				return
			}
			taken := make(chan struct{})
			later(append(calls, func() { close(taken) })...)
			<-taken
		}
		l.Dial(far.Addr().String(), func(refused error) {
			if refused != nil {
				panic(refused)
			}
			if err := unix.SetsockoptInt(l.Descriptor(), unix.SOL_SOCKET, unix.SO_SNDBUF, 4096); err != nil {
				panic(err)
			}
			for range many >> 10 {
				l.SetOutput(append(l.OutputBuffer(), make([]byte, 1024)...))
				l.FlushNow()
			}
			l.Close("done")
		})
	})
	c, err := far.Accept()
	if err != nil {
		panic(err)
	}
	_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
	got, err := io.Copy(io.Discard, c)
	fmt.Println(got == many, err)
	// Output:
	// true <nil>
}

// A dial that the library has no place for is refused and leaves nothing open.
func Example_dialWithoutPlace() {
	before := nbio.MaxOpenFiles
	x := newTestNetWithLimit(64)
	defer func() { nbio.MaxOpenFiles = before }()
	far := listen()
	defer closeAll(far)
	for { // numbers up to the table's end are taken
		fd, err := unix.FcntlInt(0, unix.F_DUPFD_CLOEXEC, 3)
		if err != nil {
			panic(err)
		}
		defer func() { _ = unix.Close(fd) }()
		if fd >= nbio.MaxOpenFiles {
			break
		}
	}
	refused := make(chan error)
	x.onOwner(func() {
		l := x.NewDialed(transport.DialOptions{Peer: transport.PeerDatabase})
		l.Dial(far.Addr().String(), func(err error) { go func() { refused <- err }() })
	})
	select {
	case err := <-refused:
		fmt.Println(err != nil, x.DialedConns())
	case <-time.After(10 * time.Second):
		fmt.Println("not told")
	}
	c, err := far.Accept()
	if err != nil {
		panic(err)
	}
	_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
	_, err = c.Read(make([]byte, 1))
	fmt.Println(err)
	// Output:
	// true 0
	// EOF
}

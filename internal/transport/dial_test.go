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
	noDelay := func(conn *transport.Conn) int {
		on, _ := unix.GetsockoptInt(conn.Descriptor(), unix.IPPROTO_TCP, unix.TCP_NODELAY)
		return on
	}
	_, s := x.connect()
	fmt.Println("accepted", noDelay(s.Conn))
	l := listen()
	defer closeAll(l) // kept until then: the collector closes one that is out of use, and what stands there is reset
	addr := l.Addr().String()
	var pendingDials sync.WaitGroup
	ready := func(error) { pendingDials.Done() }
	pendingDials.Add(3)
	var db *database.Conn
	var rt *runtimelink.Conn
	var cl *rpc.ClientConn
	x.onOwner(func() {
		db, rt, cl = database.Dial(x.Net, addr, ready), runtimelink.Dial(x.Net, addr, ready), rpc.Dial(x.Net, addr, ready)
		db.OnClose = func(string) {}
		rt.OnClose, cl.OnClose = db.OnClose, db.OnClose
	})
	pendingDials.Wait()
	fmt.Println("dialled", noDelay(db.Conn), noDelay(rt.Conn), noDelay(cl.Conn))
	// Output:
	// accepted 1
	// dialled 1 1 1
}

// A dial that an address swallows can be cancelled at once, and holds up no other to its kind of peer.
func Example_unansweredDials() {
	x := newTestNet()
	hole := blackHoleAddr()
	l := listen()
	results := make(chan error, 99)
	var conns []*database.Conn
	x.onOwner(func() {
		for range 40 {
			conn := database.Dial(x.Net, hole, func(err error) { results <- err })
			conn.OnClose = func(string) {}
			conns = append(conns, conn)
		}
	})
	began := time.Now()
	x.onOwner(func() {
		for _, conn := range conns {
			conn.Close("timed-out")
		}
	})
	for range conns {
		if err := <-results; err == nil {
			fmt.Println("stands")
		}
	}
	x.onOwner(func() {
		database.Dial(x.Net, l.Addr().String(), func(err error) { results <- err }).OnClose = func(string) {}
	})
	fmt.Println(<-results, time.Since(began) < 5*time.Second) // ten times two seconds otherwise
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
	bound, _ := unix.Getsockname(fd)
	addr := fmt.Sprintf("127.0.0.1:%d", bound.(*unix.SockaddrInet4).Port)
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
func Example_writeBeforePolled() {
	smallReceiveBuffer := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 4096) })
	}}
	listener, err := smallReceiveBuffer.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer closeAll(listener)
	x := newTestNet()
	conn := x.NewDialed(transport.DialOptions{Peer: transport.PeerDatabase})
	conn.SetHandler(transport.Handler{Parse: func([]byte) (int, func(), error) { return 0, nil, nil }})
	const size = 150 << 10 // under the bound of what a peer may leave unread, over what the kernel takes
	post := x.Post
	x.onOwner(func() {
		var posted atomic.Bool
		x.Post = func(calls ...func()) {
			// The first is that of the open connection: who hands it in waits until the owner has taken it.
			if !posted.CompareAndSwap(false, true) {
				post(calls...)
				return
			}
			handled := make(chan struct{})
			post(append(calls, func() { close(handled) })...)
			<-handled
		}
		conn.Dial(listener.Addr().String(), func(err error) {
			if err != nil {
				panic(err)
			}
			if err := unix.SetsockoptInt(conn.Descriptor(), unix.SOL_SOCKET, unix.SO_SNDBUF, 4096); err != nil {
				panic(err)
			}
			for range size >> 10 {
				conn.SetOutput(append(conn.OutputBuffer(), make([]byte, 1024)...))
				conn.FlushNow()
			}
			conn.Close("done")
		})
	})
	c, err := listener.Accept()
	if err != nil {
		panic(err)
	}
	_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
	got, err := io.Copy(io.Discard, c)
	fmt.Println(got == size, err)
	// Output:
	// true <nil>
}

// A dial that the library has no place for is refused and leaves nothing open.
func Example_dialBeyondDescriptorTable() {
	before := nbio.MaxOpenFiles
	x := newTestNetWithLimit(64)
	defer func() { nbio.MaxOpenFiles = before }()
	listener := listen()
	defer closeAll(listener)
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
	result := make(chan error)
	x.onOwner(func() {
		conn := x.NewDialed(transport.DialOptions{Peer: transport.PeerDatabase})
		conn.Dial(listener.Addr().String(), func(err error) { go func() { result <- err }() })
	})
	select {
	case err := <-result:
		fmt.Println(err != nil, x.DialedConns())
	case <-time.After(10 * time.Second):
		fmt.Println("not told")
	}
	c, err := listener.Accept()
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

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

// TCP_NODELAY is set on accepted and on dialed connections, so that small writes are not delayed.
func Example_noDelay() {
	x := newTestNet()
	noDelay := func(conn *transport.Conn) int {
		on, _ := unix.GetsockoptInt(conn.Descriptor(), unix.IPPROTO_TCP, unix.TCP_NODELAY)
		return on
	}
	_, s := x.connect()
	fmt.Println("accepted", noDelay(s.Conn))
	listener := listen()
	defer closeAll(listener) // keeps it reachable: when collected, it is closed and resets its connections
	addr := listener.Addr().String()
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

// Dials to an address that does not answer can be canceled immediately, and then do not delay other dials to the same
// kind of peer.
func Example_unansweredDials() {
	x := newTestNet()
	hole := blackHoleAddr()
	listener := listen()
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
			fmt.Println("connection established")
		}
	}
	x.onOwner(func() {
		database.Dial(x.Net, listener.Addr().String(), func(err error) { results <- err }).OnClose = func(string) {}
	})
	fmt.Println(<-results, time.Since(began) < 5*time.Second) // without cancellation, ten times the timeout of two seconds
	closeAll(listener)
	// Output:
	// <nil> true
}

// blackHoleAddr returns the address of a listener whose queue is full, so that connection attempts are not answered.
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

// Output written to a dialed connection before it is registered with the poller arrives completely, followed by the
// close, even if it is more than the kernel accepts at once. The test delays the registration until the owner loop has
// handled the opening of the connection, so the output is always written before.
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
	const size = 150 << 10 // less than a peer may leave unread, and more than the kernel accepts
	post := x.Post
	x.onOwner(func() {
		var firstPosted atomic.Bool
		x.Post = func(calls ...func()) {
			// The first call reports the open connection. It blocks the dial worker until the owner loop has handled it.
			if !firstPosted.CompareAndSwap(false, true) {
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

// A dial whose descriptor number exceeds the library's table fails and leaves no connection open.
func Example_dialBeyondDescriptorTable() {
	before := nbio.MaxOpenFiles
	x := newTestNetWithLimit(64)
	defer func() { nbio.MaxOpenFiles = before }()
	listener := listen()
	defer closeAll(listener)
	for { // use up all descriptor numbers within the table
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
		fmt.Println("ready was not called")
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

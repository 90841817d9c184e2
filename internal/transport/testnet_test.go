package transport_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"lanewheel/internal/frontend"
	"lanewheel/internal/rpc"
	"lanewheel/internal/transport"
)

// testNet is a Net on real sockets with an owner loop. A test can block its poller and run functions on the owner
// loop.
type testNet struct {
	*transport.Net
	posted    chan func()
	accepted  chan *rpc.ServerConn
	readHolds chan chan struct{} // one channel for each read to be blocked
	readHeld  chan struct{}      // receives when the poller is blocked in such a read
	closed    chan string
	peers     []net.Conn // kept reachable: the garbage collector would close unused ones
}

func newTestNet() *testNet { return newTestNetWithLimit(0) }

// newTestNetWithLimit returns a started testNet with a configured descriptor limit; 0 is none.
func newTestNetWithLimit(maxDescriptors int) *testNet {
	x := &testNet{
		posted:    make(chan func(), 1000),
		accepted:  make(chan *rpc.ServerConn, 100),
		readHolds: make(chan chan struct{}, 9),
		readHeld:  make(chan struct{}),
		closed:    make(chan string, 100),
	}
	x.Net = &transport.Net{
		BufferPool:     unpooledBuffers{},
		MaxAccepted:    100,
		MaxDescriptors: maxDescriptors,
		MaxUnread:      1 << 20,
		OnFull:         func() {},
		Post:           x.post,
		PostRead: func(calls ...func()) {
			select {
			case release := <-x.readHolds:
				x.readHeld <- struct{}{}
				<-release
			default:
			}
			x.post(calls...)
		},
		OnAccept: x.accept,
	}
	if err := x.Start("127.0.0.1:0"); err != nil {
		panic(err)
	}
	go func() {
		for call := range x.posted {
			call()
			x.Flush()
		}
	}()
	return x
}

func (x *testNet) post(calls ...func()) {
	for _, call := range calls {
		x.posted <- call
	}
}

func (x *testNet) accept(conn *transport.Conn) {
	s := rpc.NewServerConn(conn)
	s.OnRequest = func(uint32, frontend.Request) {}
	s.OnCancel = func(uint32) {}
	s.OnProtocolError = func(string) {}
	s.OnHealthCheck = func(n uint32, _ bool) { s.AnswerHealthCheck(n, true, frontend.ResponseMetadata{LoadReport: -1}) }
	s.OnClose = func(code string) { x.closed <- code }
	x.accepted <- s
}

type unpooledBuffers struct{}

func (unpooledBuffers) Get() []byte { return make([]byte, 0, transport.BufferSize) }
func (unpooledBuffers) Put([]byte)  {}

// holdNextRead blocks the poller in the next read until release is closed.
func (x *testNet) holdNextRead() (release chan struct{}) {
	release = make(chan struct{})
	x.readHolds <- release
	return release
}

// onOwner runs f on the owner loop and waits until it has returned.
func (x *testNet) onOwner(f func()) {
	done := make(chan struct{})
	x.posted <- func() { f(); close(done) }
	<-done
}

// connect opens a client connection and returns both ends.
func (x *testNet) connect() (net.Conn, *rpc.ServerConn) {
	var dialer net.Dialer
	c, err := dialer.DialContext(context.Background(), "tcp", x.ListenAddr().String())
	if err != nil {
		panic(err)
	}
	x.peers = append(x.peers, c)
	return c, <-x.accepted
}

// prepareConnects creates n sockets and returns functions that connect them and return the server's end. As the
// sockets already exist, connecting them does not allocate descriptors for the client's ends.
func (x *testNet) prepareConnects(n int) (connects []func() *rpc.ServerConn) {
	addr := x.ListenAddr()
	for range n {
		fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
		if err != nil {
			panic(err)
		}
		connects = append(connects, func() *rpc.ServerConn {
			if err := unix.Connect(fd, &unix.SockaddrInet4{Port: addr.Port, Addr: [4]byte(addr.IP.To4())}); err != nil {
				panic(err)
			}
			return <-x.accepted
		})
	}
	return connects
}

var healthCheckMessage = append([]byte{0x94, 0, 1}, "\xa5check\x91\x80"...)

// readHealthCheckResponse returns one health check response in hex, or why it could not be read in full.
func readHealthCheckResponse(c net.Conn) string {
	b := make([]byte, 11)
	_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
	n, err := io.ReadFull(c, b)
	switch {
	case err == nil:
		return fmt.Sprintf("%x", b)
	case errors.Is(err, syscall.ECONNRESET):
		return "reset"
	}
	return fmt.Sprintf("%d bytes, %v", n, err)
}

// waitReady waits until the kernel reports one of the events for a descriptor.
func waitReady(fd int, events int16) {
	p := []unix.PollFd{{Fd: int32(fd), Events: events}}
	for {
		if n, err := unix.Poll(p, 10000); n == 1 && p[0].Revents&events != 0 {
			return
		} else if !errors.Is(err, syscall.EINTR) {
			panic(fmt.Sprint("descriptor is not ready: ", n, err))
		}
	}
}

// listen listens on a free port of the loopback address.
func listen() net.Listener {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	return listener
}

// write writes b to c and panics if that fails.
func write(c net.Conn, b []byte) {
	if _, err := c.Write(b); err != nil {
		panic(err)
	}
}

// closeAll closes all closers and panics if closing one fails.
func closeAll(closers ...io.Closer) {
	for _, closer := range closers {
		if err := closer.Close(); err != nil {
			panic(err)
		}
	}
}

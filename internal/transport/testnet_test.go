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

// testNet is connections on real sockets whose poller and owner loop a test holds where it wants them.
type testNet struct {
	*transport.Net
	posted    chan func()
	accepted  chan *rpc.ServerConn
	readHolds chan chan struct{} // one for each reading that is to be held
	readHeld  chan struct{}      // the poller stands in such a reading
	closed    chan string
	peers     []net.Conn // kept, as the collector would close one that is out of use
}

func newTestNet() *testNet { return newTestNetWithLimit(0) }

// newTestNetWithLimit has a configured limit of descriptors.
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

// holdNextRead has the next reading stand until free is closed.
func (x *testNet) holdNextRead() (release chan struct{}) {
	release = make(chan struct{})
	x.readHolds <- release
	return release
}

// onOwner runs on the owner.
func (x *testNet) onOwner(f func()) {
	done := make(chan struct{})
	x.posted <- func() { f(); close(done) }
	<-done
}

// connect connects and gives both ends.
func (x *testNet) connect() (net.Conn, *rpc.ServerConn) {
	var dialer net.Dialer
	c, err := dialer.DialContext(context.Background(), "tcp", x.ListenAddr().String())
	if err != nil {
		panic(err)
	}
	x.peers = append(x.peers, c)
	return c, <-x.accepted
}

// prepareConnects gives calls that connect, with sockets that there are already, and give our end: no descriptor
// number goes to a peer meanwhile.
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

// waitReady waits until the kernel has something for a descriptor.
func waitReady(fd int, events int16) {
	p := []unix.PollFd{{Fd: int32(fd), Events: events}}
	for {
		if n, err := unix.Poll(p, 10000); n == 1 && p[0].Revents&events != 0 {
			return
		} else if !errors.Is(err, syscall.EINTR) {
			panic(fmt.Sprint("nothing comes: ", n, err))
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

// write writes to a connection that stands.
func write(c net.Conn, b []byte) {
	if _, err := c.Write(b); err != nil {
		panic(err)
	}
}

// closeAll closes what was not closed before.
func closeAll(closers ...io.Closer) {
	for _, closer := range closers {
		if err := closer.Close(); err != nil {
			panic(err)
		}
	}
}

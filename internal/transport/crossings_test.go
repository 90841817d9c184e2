package transport

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/lesismal/nbio"
	"golang.org/x/sys/unix"
)

// testNet is connections on real sockets whose poller and owner a test holds where it wants them.
type testNet struct {
	*Net
	posted   chan func()
	accepted chan *ServerConn
	holds    chan chan struct{} // one for each reading that is to be held
	held     chan struct{}      // the poller stands in such a reading
	ended    chan string
	peers    []net.Conn // kept: one that a test does not look at again would be closed by the collector, and be told as an end
}

func newTestNet() *testNet { return newTestNetWithLimit(0) }

// newTestNetWithLimit is told a limit of descriptors.
func newTestNetWithLimit(limit int) *testNet {
	x := &testNet{posted: make(chan func(), 1000), accepted: make(chan *ServerConn, 100), holds: make(chan chan struct{}, 9), held: make(chan struct{}),
		ended: make(chan string, 100)}
	x.Net = &Net{BufferPool: unpooledBuffers{}, MaxAccepted: 100, MaxDescriptors: limit, MaxUnread: 1 << 20, OnFull: func() {},
		Post: func(calls ...func()) {
			for _, call := range calls {
				x.posted <- call
			}
		},
		PostRead: func(calls ...func()) {
			select {
			case free := <-x.holds:
				x.held <- struct{}{}
				<-free
			default:
			}
			for _, call := range calls {
				x.posted <- call
			}
		},
		OnAccept: func(l *Conn) {
			s := l.ServerConn()
			s.OnRequest, s.OnCancel, s.OnProtocolError = func(uint32, Request) {}, func(uint32) {}, func(string) {}
			s.OnHealthCheck = func(n uint32, _ bool) { s.AnswerHealthCheck(n, true, ResponseMetadata{LoadReport: -1}) }
			s.OnClose = func(code string) { x.ended <- code }
			x.accepted <- s
		}}
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

// holdNextRead has the next reading stand until free is closed.
func (x *testNet) holdNextRead() (free chan struct{}) {
	free = make(chan struct{})
	x.holds <- free
	return free
}

// onOwner runs on the owner.
func (x *testNet) onOwner(call func()) {
	done := make(chan struct{})
	x.posted <- func() { call(); close(done) }
	<-done
}

// connect connects and gives both ends.
func (x *testNet) connect() (net.Conn, *ServerConn) {
	c, err := net.Dial("tcp", x.listeners[0].Addr().String())
	if err != nil {
		panic(err)
	}
	x.peers = append(x.peers, c)
	return c, <-x.accepted
}

// prepareConnects gives calls that connect, with sockets that there are already, and give our end: no number goes to a peer meanwhile.
func (x *testNet) prepareConnects(n int) (all []func() *ServerConn) {
	addr := x.listeners[0].Addr().(*net.TCPAddr)
	for range n {
		fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
		if err != nil {
			panic(err)
		}
		all = append(all, func() *ServerConn {
			if err := unix.Connect(fd, &unix.SockaddrInet4{Port: addr.Port, Addr: [4]byte(addr.IP.To4())}); err != nil {
				panic(err)
			}
			return <-x.accepted
		})
	}
	return all
}

var healthCheckMessage = append([]byte{0x94, 0, 1}, "\xa5check\x91\x80"...)

// readAnswer gives what a peer reads to the end of its connection, or to the end of one answer to a check.
func readAnswer(c net.Conn) string {
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
		} else if err != syscall.EINTR {
			panic(fmt.Sprint("nothing comes: ", n, err))
		}
	}
}

// The poller has fetched the ends of two connections when the owner ends them too, and a new one comes about before the poller goes on. The
// new one lives.
func Example_descriptorGivenOutAgain() {
	x := newTestNet()
	_, first := x.connect()
	second, s := x.connect()
	third, s3 := x.connect()
	other, _ := x.connect()
	fourth, s4 := x.connect()
	_ = first
	knocks := x.prepareConnects(12)
	free := x.holdNextRead()
	other.Write(healthCheckMessage)
	<-x.held
	// With the poller standing, in this order: something to read, and two ends.
	then := x.holdNextRead()
	second.Write(healthCheckMessage)
	waitReady(s.polled.Hash(), unix.POLLIN)
	third.Close()
	waitReady(s3.polled.Hash(), unix.POLLRDHUP)
	fourth.Close()
	waitReady(s4.polled.Hash(), unix.POLLRDHUP)
	close(free)
	<-x.held // it has fetched all three, and stands in the first
	x.onOwner(func() { s3.Abort(); s4.Abort() })
	var later []*ServerConn
	for _, knock := range knocks {
		later = append(later, knock())
	}
	close(then)
	fmt.Println(<-x.ended, <-x.ended)
	again, _ := x.connect() // the poller has taken all that it had fetched
	again.Write(healthCheckMessage)
	fmt.Println(readAnswer(again))
	for _, s := range later {
		if fd, open := s.lockDescriptor(); !open {
			fmt.Println("a later one was ended:", fd)
		} else {
			s.unlockDescriptor()
		}
	}
	// Output:
	// peer-closed peer-closed
	// 9401ce00000001c092c380
}

// A call's connection that its peer has ended gets its order to end without a trace when its number is a stub's already.
func Example_lingerOfAnother() {
	x := newTestNet()
	l, _ := net.Listen("tcp", "127.0.0.1:0")
	var calls []*DatabaseConn
	var far []net.Conn
	for range 2 {
		stands := make(chan error, 1)
		x.onOwner(func() {
			d := x.DialDatabase(l.Addr().String(), func(refused error) { stands <- refused })
			d.OnClose, d.OnReply = func(string) {}, func(Reply) {}
			calls = append(calls, d)
		})
		c, _ := l.Accept()
		far = append(far, c)
		if err := <-stands; err != nil {
			panic(err)
		}
	}
	knocks := x.prepareConnects(12)
	x.onOwner(func() {
		for i, d := range calls {
			far[i].Close()
			for gone := false; !gone; time.Sleep(time.Millisecond) { // until the poller has closed it, which the owner has not heard yet
				_, err := unix.FcntlInt(uintptr(d.polled.Hash()), unix.F_GETFD, 0)
				gone = err == unix.EBADF
			}
		}
		// What is accepted gets the lowest free number, and the poller's library a copy with the next one.
		same, lingers := false, 0
		for _, knock := range knocks {
			s := knock()
			if same {
				continue
			}
			fd := s.polled.Hash()
			same = fd == calls[0].polled.Hash() || fd == calls[1].polled.Hash()
			if same {
				for _, d := range calls {
					d.Close("call-given-up")
				}
				lingers, _ = unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_LINGER)
			}
		}
		fmt.Println("same number:", same, "lingers:", lingers)
	})
	// Output:
	// same number: true lingers: 0
}

// A connection is closed while more lies unread on it: the peer still gets its answer and an end in good order, not a reset. One who does not
// end its side then is cut.
func Example_closeOverUnread() {
	x := newTestNet()
	c, s := x.connect()
	other, _ := x.connect()
	free := x.holdNextRead()
	other.Write(healthCheckMessage)
	<-x.held
	c.Write(healthCheckMessage)
	waitReady(s.polled.Hash(), unix.POLLIN)
	x.onOwner(func() {
		s.AnswerHealthCheck(1, true, ResponseMetadata{LoadReport: -1})
		s.Close("unused")
	})
	close(free)
	for range 2 { // what lies unread is read and thrown away, and so is what comes behind the close
		for left := 1; left > 0; time.Sleep(time.Millisecond) {
			left = 0
			if fd, open := s.lockDescriptor(); open {
				left, _ = unix.IoctlGetInt(fd, unix.TIOCINQ)
				s.unlockDescriptor()
			}
		}
		c.Write(healthCheckMessage)
	}
	raw, _ := c.(*net.TCPConn).SyscallConn()
	_ = raw.Control(func(fd uintptr) {
		wrong, _ := unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_ERROR)
		fmt.Println("wrong:", wrong)
	})
	fmt.Println(readAnswer(c), readAnswer(c))
	x.onOwner(s.Abort)
	fmt.Println(<-x.ended)
	// Output:
	// wrong: 0
	// 9401ce00000001c092c380 0 bytes, EOF
	// unused
}

// A peer that reads nothing has its answers wait here, in order, up to the bound, and its connection ends then; one that reads in time gets them
// all, and the close behind them, whoever comes last to the last byte.
func Example_lastByte() {
	x := newTestNet()
	for range 20 {
		c, s := x.connect()
		// The library opens a connection before it has the poller watch it, and what is left to write in between is never written: stubs are
		// written to only once something has come from them.
		c.Write(healthCheckMessage)
		readAnswer(c)
		x.onOwner(func() {
			_ = unix.SetsockoptInt(s.polled.Hash(), unix.SOL_SOCKET, unix.SO_SNDBUF, 8<<10)
			for i := range 30 {
				s.Succeed(uint32(i), make([]byte, 4096), ResponseMetadata{LoadReport: -1})
			}
			s.Close("unused")
		})
		all, err := io.ReadAll(c)
		if err != nil || len(all) != 30*(4096+13) {
			fmt.Println(len(all), err)
		}
		c.Close()
		if code := <-x.ended; code != "unused" {
			fmt.Println(code)
		}
	}
	c, s := x.connect()
	defer c.Close()
	x.onOwner(func() {
		for i := range 4000 {
			s.Succeed(uint32(i), make([]byte, 4096), ResponseMetadata{LoadReport: -1})
			s.flush()
		}
	})
	fmt.Println(<-x.ended, x.unreadBytes.Load())
	// Output:
	// never-reads 0
}

// Small writes are never held back, on what is accepted and on what is dialled.
func Example_noDelay() {
	x := newTestNet()
	at := func(l *Conn) int {
		on, _ := unix.GetsockoptInt(l.polled.Hash(), unix.IPPROTO_TCP, unix.TCP_NODELAY)
		return on
	}
	_, s := x.connect()
	fmt.Println("accepted", at(s.Conn))
	l, _ := net.Listen("tcp", "127.0.0.1:0")
	defer l.Close() // kept until then: the collector closes one that is out of use, and what stands there is reset
	addr := l.Addr().String()
	var stands sync.WaitGroup
	ready := func(error) { stands.Done() }
	stands.Add(3)
	var db *DatabaseConn
	var rt *RuntimeConn
	var cl *ClientConn
	x.onOwner(func() {
		db, rt, cl = x.DialDatabase(addr, ready), x.DialRuntime(addr, ready), x.DialMember(addr, ready)
		db.OnClose = func(string) {}
		rt.OnClose, cl.OnClose = db.OnClose, db.OnClose
	})
	stands.Wait()
	fmt.Println("dialled", at(db.Conn), at(rt.Conn), at(cl.Conn))
	// Output:
	// accepted 1
	// dialled 1 1 1
}

// A dial that an address swallows is given up at once, and holds up no other of its party.
func Example_swallowedDials() {
	x := newTestNet()
	hole := blackHoleAddr()
	l, _ := net.Listen("tcp", "127.0.0.1:0")
	refused := make(chan error, 99)
	var calls []*DatabaseConn
	x.onOwner(func() {
		for range 40 {
			d := x.DialDatabase(hole, func(err error) { refused <- err })
			d.OnClose = func(string) {}
			calls = append(calls, d)
		}
	})
	began := time.Now()
	x.onOwner(func() {
		for _, d := range calls {
			d.Close("call-given-up")
		}
	})
	for range calls {
		if err := <-refused; err == nil {
			fmt.Println("stands")
		}
	}
	x.onOwner(func() {
		x.DialDatabase(l.Addr().String(), func(err error) { refused <- err }).OnClose = func(string) {}
	})
	fmt.Println(<-refused, time.Since(began) < 5*time.Second) // ten times two seconds otherwise
	l.Close()
	// Output:
	// <nil> true
}

// blackHoleAddr gives an address whose queue is full: what knocks there hears nothing.
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
	for {
		if _, err := net.DialTimeout("tcp", addr, 100*time.Millisecond); err != nil {
			return addr
		}
	}
}

// What is written to a connection that we dial before the poller watches it, more than the kernel takes at once, comes whole, and the close behind
// it. The connection is handed to the poller only once the owner has taken that it is open, so it always writes before.
func Example_writtenBeforeWatched() {
	small := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 4096) })
	}}
	far, err := small.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer far.Close()
	x := newTestNet()
	l := &Conn{net: x.Net, peer: "far", openedAt: time.Now(), onClose: func(string) {}, parse: func([]byte) (int, func(), string) { return 0, nil, "" }}
	const many = 150 << 10 // under the bound of what a peer may leave unread, over what the kernel takes
	later := x.Post
	x.onOwner(func() {
		var first atomic.Bool
		x.Post = func(calls ...func()) { // the first is that of the open connection: who hands it in waits until the owner has taken it
			if !first.CompareAndSwap(false, true) {
				later(calls...)
				return
			}
			taken := make(chan struct{})
			later(append(calls, func() { close(taken) })...)
			<-taken
		}
		x.dial(l, far.Addr().String(), func(refused error) {
			if refused != nil {
				panic(refused)
			}
			if err := unix.SetsockoptInt(l.polled.Hash(), unix.SOL_SOCKET, unix.SO_SNDBUF, 4096); err != nil {
				panic(err)
			}
			for range many >> 10 {
				l.setOutput(append(l.outputBuffer(), make([]byte, 1024)...))
				l.flush()
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

// A dial that the library has no place for, and one at the limit of descriptors, are refused and leave nothing open.
func Example_dialWithoutPlace() {
	before := nbio.MaxOpenFiles
	x := newTestNetWithLimit(64)
	defer func() { nbio.MaxOpenFiles = before }()
	far, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer far.Close()
	for { // numbers up to the table's end are taken
		fd, err := unix.FcntlInt(0, unix.F_DUPFD_CLOEXEC, 3)
		if err != nil {
			panic(err)
		}
		defer unix.Close(fd)
		if fd >= nbio.MaxOpenFiles {
			break
		}
	}
	refused := make(chan error)
	x.onOwner(func() {
		l := &Conn{net: x.Net, peer: "far", openedAt: time.Now(), onClose: func(string) {}}
		x.dial(l, far.Addr().String(), func(err error) { go func() { refused <- err }() })
	})
	select {
	case err := <-refused:
		fmt.Println(err != nil, x.dialedConns.Load())
	case <-time.After(10 * time.Second):
		fmt.Println("no word")
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

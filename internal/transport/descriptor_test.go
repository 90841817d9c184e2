package transport_test

import (
	"fmt"
	"net"
	"time"

	"golang.org/x/sys/unix"

	"lanewheel/internal/database"
	"lanewheel/internal/rpc"
)

// The poller has fetched the ends of two connections when the owner ends them too, and new ones are accepted before the
// poller goes on. The new ones live.
func Example_descriptorReuse() {
	x := newTestNet()
	_, first := x.connect()
	second, s := x.connect()
	third, s3 := x.connect()
	other, _ := x.connect()
	fourth, s4 := x.connect()
	_ = first
	connects := x.prepareConnects(12)
	releaseFirstRead := x.holdNextRead()
	write(other, healthCheckMessage)
	<-x.readHeld
	// With the poller standing, in this order: something to read, and two ends.
	releaseSecondRead := x.holdNextRead()
	write(second, healthCheckMessage)
	waitReady(s.Descriptor(), unix.POLLIN)
	closeAll(third)
	waitReady(s3.Descriptor(), unix.POLLRDHUP)
	closeAll(fourth)
	waitReady(s4.Descriptor(), unix.POLLRDHUP)
	close(releaseFirstRead)
	<-x.readHeld // it has fetched all three, and stands in the first
	x.onOwner(func() { s3.Abort(); s4.Abort() })
	var later []*rpc.ServerConn
	for _, connect := range connects {
		later = append(later, connect())
	}
	close(releaseSecondRead)
	fmt.Println(<-x.closed, <-x.closed)
	last, _ := x.connect() // the poller has taken all that it had fetched
	write(last, healthCheckMessage)
	fmt.Println(readHealthCheckResponse(last))
	for _, s := range later {
		if fd, open := s.LockDescriptor(); !open {
			fmt.Println("a later one was ended:", fd)
		} else {
			s.UnlockDescriptor()
		}
	}
	// Output:
	// peer-closed peer-closed
	// 9401ce00000001c092c380
}

// A call's connection that its peer has ended is closed by its owner when its descriptor's number is a client's
// already: the client's connection is left as it is.
func Example_closeAfterDescriptorReuse() {
	x := newTestNet()
	l := listen()
	var dbConns []*database.Conn
	var remotes []net.Conn
	for range 2 {
		dialed := make(chan error, 1)
		x.onOwner(func() {
			conn := database.Dial(x.Net, l.Addr().String(), func(err error) { dialed <- err })
			conn.OnClose, conn.OnReply = func(string) {}, func(database.Reply) {}
			dbConns = append(dbConns, conn)
		})
		c, _ := l.Accept()
		remotes = append(remotes, c)
		if err := <-dialed; err != nil {
			panic(err)
		}
	}
	connects := x.prepareConnects(12)
	x.onOwner(func() {
		for i, conn := range dbConns {
			closeAll(remotes[i])
			// Until the poller has closed it, which the owner has not heard yet.
			for closed := false; !closed; time.Sleep(time.Millisecond) {
				_, err := unix.FcntlInt(uintptr(conn.Descriptor()), unix.F_GETFD, 0)
				closed = err == unix.EBADF
			}
		}
		// What is accepted gets the lowest free number, and the poller's library a copy with the next one.
		reused, linger := false, 0
		for _, connect := range connects {
			s := connect()
			if reused {
				continue
			}
			fd := s.Descriptor()
			reused = fd == dbConns[0].Descriptor() || fd == dbConns[1].Descriptor()
			if reused {
				for _, conn := range dbConns {
					conn.Close("timed-out")
				}
				linger, _ = unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_LINGER)
			}
		}
		fmt.Println("same number:", reused, "lingers:", linger)
	})
	// Output:
	// same number: true lingers: 0
}

package transport_test

import (
	"fmt"
	"net"
	"time"

	"golang.org/x/sys/unix"

	"lanewheel/internal/database"
	"lanewheel/internal/rpc"
)

// New connections that reuse the descriptor numbers of closed ones must stay open. The poller has already fetched
// the close events of two connections when the owner loop aborts them as well, and new connections are accepted
// before the poller handles the events.
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
	// While the poller is blocked, these events occur in order: input on one connection, and the closes of two others.
	releaseSecondRead := x.holdNextRead()
	write(second, healthCheckMessage)
	waitReady(s.Descriptor(), unix.POLLIN)
	closeAll(third)
	waitReady(s3.Descriptor(), unix.POLLRDHUP)
	closeAll(fourth)
	waitReady(s4.Descriptor(), unix.POLLRDHUP)
	close(releaseFirstRead)
	<-x.readHeld // the poller has fetched all three events, and is blocked in the first one
	x.onOwner(func() { s3.Abort(); s4.Abort() })
	var later []*rpc.ServerConn
	for _, connect := range connects {
		later = append(later, connect())
	}
	close(releaseSecondRead)
	fmt.Println(<-x.closed, <-x.closed)
	last, _ := x.connect() // a response on it shows that the poller has handled all events it had fetched
	write(last, healthCheckMessage)
	fmt.Println(readHealthCheckResponse(last))
	for _, s := range later {
		if fd, open := s.LockDescriptor(); !open {
			fmt.Println("a new connection was closed:", fd)
		} else {
			s.UnlockDescriptor()
		}
	}
	// Output:
	// peer-closed peer-closed
	// 9401ce00000001c092c380
}

// The owner loop closes a connection to the database after the database has closed it and its descriptor number
// has been reused for a client. The connection of the client must not be affected.
func Example_closeAfterDescriptorReuse() {
	x := newTestNet()
	listener := listen()
	var dbConns []*database.Conn
	var remotes []net.Conn
	for range 2 {
		dialed := make(chan error, 1)
		x.onOwner(func() {
			conn := database.Dial(x.Net, listener.Addr().String(), func(err error) { dialed <- err })
			conn.OnClose, conn.OnReply = func(string) {}, func(database.Reply) {}
			dbConns = append(dbConns, conn)
		})
		c, _ := listener.Accept()
		remotes = append(remotes, c)
		if err := <-dialed; err != nil {
			panic(err)
		}
	}
	connects := x.prepareConnects(12)
	x.onOwner(func() {
		for i, conn := range dbConns {
			closeAll(remotes[i])
			// Wait until the poller has closed the descriptor. The owner loop has not been notified yet.
			for closed := false; !closed; time.Sleep(time.Millisecond) {
				_, err := unix.FcntlInt(uintptr(conn.Descriptor()), unix.F_GETFD, 0)
				closed = err == unix.EBADF
			}
		}
		// An accepted connection gets the lowest free descriptor number, and the poller's library a duplicate with the
		// next one.
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

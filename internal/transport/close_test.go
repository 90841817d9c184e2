package transport_test

import (
	"fmt"
	"io"
	"net"
	"time"

	"golang.org/x/sys/unix"

	"lanewheel/internal/frontend"
)

// Closing a connection that holds unread input must not reset it: the peer still receives its response and then
// EOF. If the peer does not close its side, the connection is closed by Abort.
func Example_closeWithUnreadInput() {
	x := newTestNet()
	c, s := x.connect()
	other, _ := x.connect()
	releaseRead := x.holdNextRead()
	write(other, healthCheckMessage)
	<-x.readHeld
	write(c, healthCheckMessage)
	waitReady(s.Descriptor(), unix.POLLIN)
	x.onOwner(func() {
		s.AnswerHealthCheck(1, true, frontend.ResponseMetadata{LoadReport: -1})
		s.Close("unused")
	})
	close(releaseRead)
	for range 2 { // unread input is read and discarded, and so is input received after the close
		for unread := 1; unread > 0; time.Sleep(time.Millisecond) {
			unread = 0
			if fd, open := s.LockDescriptor(); open {
				unread, _ = unix.IoctlGetInt(fd, unix.TIOCINQ)
				s.UnlockDescriptor()
			}
		}
		write(c, healthCheckMessage)
	}
	raw, _ := c.(*net.TCPConn).SyscallConn()
	_ = raw.Control(func(fd uintptr) {
		socketError, _ := unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_ERROR)
		fmt.Println("wrong:", socketError)
	})
	fmt.Println(readHealthCheckResponse(c), readHealthCheckResponse(c))
	x.onOwner(s.Abort)
	fmt.Println(<-x.closed)
	// Output:
	// wrong: 0
	// 9401ce00000001c092c380 0 bytes, EOF
	// unused
}

// A peer that reads receives all its responses, and then the close, regardless of whether the owner loop or the
// poller writes the last byte. Responses to a peer that reads nothing are kept, in order, up to the limit; then
// its connection is closed.
func Example_closeAfterLastByte() {
	x := newTestNet()
	for range 20 {
		c, s := x.connect()
		// The library opens a connection before it registers it with the poller, and never writes output that the kernel
		// does not accept in between. Therefore clients are written to only after input from them has been read.
		write(c, healthCheckMessage)
		readHealthCheckResponse(c)
		x.onOwner(func() {
			_ = unix.SetsockoptInt(s.Descriptor(), unix.SOL_SOCKET, unix.SO_SNDBUF, 8<<10)
			for i := range 30 {
				s.Succeed(uint32(i), make([]byte, 4096), frontend.ResponseMetadata{LoadReport: -1})
			}
			s.Close("unused")
		})
		received, err := io.ReadAll(c)
		if err != nil || len(received) != 30*(4096+13) {
			fmt.Println(len(received), err)
		}
		closeAll(c)
		if code := <-x.closed; code != "unused" {
			fmt.Println(code)
		}
	}
	c, s := x.connect()
	defer closeAll(c)
	x.onOwner(func() {
		for i := range 4000 {
			s.Succeed(uint32(i), make([]byte, 4096), frontend.ResponseMetadata{LoadReport: -1})
			s.FlushNow()
		}
	})
	fmt.Println(<-x.closed, x.UnreadBytes())
	// Output:
	// never-reads 0
}

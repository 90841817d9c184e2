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
func Example_descriptorGivenOutAgain() {
	x := newTestNet()
	_, first := x.connect()
	second, s := x.connect()
	third, s3 := x.connect()
	other, _ := x.connect()
	fourth, s4 := x.connect()
	_ = first
	connects := x.prepareConnects(12)
	free := x.holdNextRead()
	write(other, healthCheckMessage)
	<-x.held
	// With the poller standing, in this order: something to read, and two ends.
	then := x.holdNextRead()
	write(second, healthCheckMessage)
	waitReady(s.Descriptor(), unix.POLLIN)
	closeAll(third)
	waitReady(s3.Descriptor(), unix.POLLRDHUP)
	closeAll(fourth)
	waitReady(s4.Descriptor(), unix.POLLRDHUP)
	close(free)
	<-x.held // it has fetched all three, and stands in the first
	x.onOwner(func() { s3.Abort(); s4.Abort() })
	var later []*rpc.ServerConn
	for _, connect := range connects {
		later = append(later, connect())
	}
	close(then)
	fmt.Println(<-x.closed, <-x.closed)
	again, _ := x.connect() // the poller has taken all that it had fetched
	write(again, healthCheckMessage)
	fmt.Println(readAnswer(again))
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
func Example_lingerOfAnother() {
	x := newTestNet()
	l := listen()
	var calls []*database.Conn
	var far []net.Conn
	for range 2 {
		stands := make(chan error, 1)
		x.onOwner(func() {
			d := database.Dial(x.Net, l.Addr().String(), func(refused error) { stands <- refused })
			d.OnClose, d.OnReply = func(string) {}, func(database.Reply) {}
			calls = append(calls, d)
		})
		c, _ := l.Accept()
		far = append(far, c)
		if err := <-stands; err != nil {
			panic(err)
		}
	}
	connects := x.prepareConnects(12)
	x.onOwner(func() {
		for i, d := range calls {
			closeAll(far[i])
			// Until the poller has closed it, which the owner has not heard yet.
			for gone := false; !gone; time.Sleep(time.Millisecond) {
				_, err := unix.FcntlInt(uintptr(d.Descriptor()), unix.F_GETFD, 0)
				gone = err == unix.EBADF
			}
		}
		// What is accepted gets the lowest free number, and the poller's library a copy with the next one.
		same, lingers := false, 0
		for _, connect := range connects {
			s := connect()
			if same {
				continue
			}
			fd := s.Descriptor()
			same = fd == calls[0].Descriptor() || fd == calls[1].Descriptor()
			if same {
				for _, d := range calls {
					d.Close("timed-out")
				}
				lingers, _ = unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_LINGER)
			}
		}
		fmt.Println("same number:", same, "lingers:", lingers)
	})
	// Output:
	// same number: true lingers: 0
}

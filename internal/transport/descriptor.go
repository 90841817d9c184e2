package transport

import (
	"net"
	"reflect"
	"sync"
	"syscall"
	"unsafe"

	"github.com/lesismal/nbio"
)

// closedFieldOffset is where nbio.Conn has its mark of being closed. The library holds its lock while it sets the
// mark, and closes the descriptor after that; it tells of it on another goroutine, some time later, and can't be
// asked. Whoever uses the descriptor beside it has to hold that lock and to see the mark unset, or acts on a later
// connection with the same number. The lock is the first field of the struct; that both are where they are expected
// is checked here.
var closedFieldOffset = func() uintptr {
	conn := reflect.TypeFor[nbio.Conn]()
	closed, found := conn.FieldByName("closed")
	if !found || closed.Type.Kind() != reflect.Bool || conn.Field(0).Type != reflect.TypeFor[sync.Mutex]() {
		panic("transport: nbio.Conn has another shape than that of v1.6.8")
	}
	return closed.Offset
}()

// lockDescriptor locks the descriptor and tells whether it is open; only then unlockDescriptor has to be called.
func (c *Conn) lockDescriptor() (fd int, open bool) {
	if c.polled == nil {
		return 0, false
	}
	c.descriptorMutex().Lock()
	if *(*bool)(unsafe.Add(unsafe.Pointer(c.polled), closedFieldOffset)) {
		c.descriptorMutex().Unlock()
		return 0, false
	}
	return c.polled.Hash(), true // the library's hash is the descriptor
}

func (c *Conn) unlockDescriptor() { c.descriptorMutex().Unlock() }

func (c *Conn) descriptorMutex() *sync.Mutex { return (*sync.Mutex)(unsafe.Pointer(c.polled)) }

// shutdown ends one or both directions and leaves the closing to the poller, which hears of it: a descriptor that is
// closed beside the poller is given out again at once, and an event that the poller has fetched for the old connection
// would end the new one.
func (c *Conn) shutdown(direction int, reason error) {
	fd, open := c.lockDescriptor()
	if !open {
		return
	}
	defer c.unlockDescriptor()
	if reason != nil {
		c.closeError.CompareAndSwap(nil, &reason)
	}
	_ = syscall.Shutdown(fd, direction) // it fails if the peer has gone, and then the poller closes all the same
}

// writeNow writes what the kernel takes now and tells how much that was.
func (c *Conn) writeNow(b []byte) (int, error) {
	fd, open := c.lockDescriptor()
	if !open {
		return 0, net.ErrClosed
	}
	defer c.unlockDescriptor()
	for {
		n, err := syscall.Write(fd, b)
		switch err {
		case syscall.EINTR:
		case syscall.EAGAIN:
			return 0, nil
		default:
			return max(0, n), err
		}
	}
}

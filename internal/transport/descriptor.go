package transport

import (
	"net"
	"reflect"
	"sync"
	"syscall"
	"unsafe"

	"github.com/lesismal/nbio"
)

// closedFieldOffset is the offset of the unexported field closed in nbio.Conn. The library sets the field under
// its mutex and closes the descriptor afterwards. It reports the close later, on another goroutine, and has no
// method that returns the state. Code that uses the descriptor outside the library must hold the mutex and find
// the field unset; otherwise it could act on a later connection with the same descriptor number. The mutex is the
// first field of the struct. The initialization panics if either field is not where it is expected.
var closedFieldOffset = func() uintptr {
	conn := reflect.TypeFor[nbio.Conn]()
	closed, found := conn.FieldByName("closed")
	if !found || closed.Type.Kind() != reflect.Bool || conn.Field(0).Type != reflect.TypeFor[sync.Mutex]() {
		panic("transport: layout of nbio.Conn differs from that of v1.6.8")
	}
	return closed.Offset
}()

// lockDescriptor locks the descriptor and reports whether it is open. If it is open, the caller must call
// unlockDescriptor; otherwise the descriptor is not locked.
func (c *Conn) lockDescriptor() (fd int, open bool) {
	if c.polled == nil {
		return 0, false
	}
	c.descriptorMutex().Lock()
	if *(*bool)(unsafe.Add(unsafe.Pointer(c.polled), closedFieldOffset)) {
		c.descriptorMutex().Unlock()
		return 0, false
	}
	return c.polled.Hash(), true // Hash returns the descriptor
}

func (c *Conn) unlockDescriptor() { c.descriptorMutex().Unlock() }

func (c *Conn) descriptorMutex() *sync.Mutex { return (*sync.Mutex)(unsafe.Pointer(c.polled)) }

// shutdown shuts down one or both directions and records reason, if it is not nil and the first one. The poller is
// notified and closes the descriptor. If the descriptor were closed here, its number could be reused at once, and an
// event that the poller has already fetched for the old connection would close the new one.
func (c *Conn) shutdown(direction int, reason error) {
	fd, open := c.lockDescriptor()
	if !open {
		return
	}
	defer c.unlockDescriptor()
	if reason != nil {
		c.closeError.CompareAndSwap(nil, &reason)
	}
	_ = syscall.Shutdown(fd, direction) // if it fails, the peer has disconnected and the poller closes the connection
}

// writeNow writes as much as the kernel accepts without blocking and returns the number of bytes written.
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

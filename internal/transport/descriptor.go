package transport

import (
	"net"
	"reflect"
	"sync"
	"syscall"
	"unsafe"

	"github.com/lesismal/nbio"
)

// The library holds a lock of its own while it marks a connection as closed, and closes the descriptor after that; it tells of it on another
// goroutine, some time later, and can't be asked. Whoever uses the descriptor beside it has to hold that lock and to see the mark, or what he
// does may be done to a later connection of the same number. The lock is the first thing in its struct; init sees to the shape.
var closedFieldOffset = func() uintptr {
	t := reflect.TypeFor[nbio.Conn]()
	mark, has := t.FieldByName("closed")
	if first := t.Field(0); !has || mark.Type.Kind() != reflect.Bool || first.Type != reflect.TypeFor[sync.Mutex]() {
		panic("nbio.Conn has another shape than that of v1.6.8")
	}
	return mark.Offset
}()

// lockDescriptor locks the descriptor of the link and tells whether it is open; free has to be called then.
func (l *Conn) lockDescriptor() (fd int, open bool) {
	if l.polled == nil {
		return 0, false
	}
	l.mutex().Lock()
	if *(*bool)(unsafe.Add(unsafe.Pointer(l.polled), closedFieldOffset)) {
		l.mutex().Unlock()
		return 0, false
	}
	return l.polled.Hash(), true // which is the descriptor
}

func (l *Conn) mutex() *sync.Mutex { return (*sync.Mutex)(unsafe.Pointer(l.polled)) }

func (l *Conn) unlockDescriptor() { l.mutex().Unlock() }

// shutdown ends one or both directions and leaves the closing to the poller, which hears of it. Danger: a descriptor that is closed beside
// the poller is given out again at once, and an event that the poller has fetched for the old connection ends the new one.
func (l *Conn) shutdown(direction int, reason error) {
	fd, open := l.lockDescriptor()
	if !open {
		return
	}
	defer l.unlockDescriptor()
	if reason != nil {
		l.closeError.CompareAndSwap(nil, &reason)
	}
	_ = syscall.Shutdown(fd, direction) // one that is not connected any more is ended by the poller all the same
}

// writeNow gives the kernel what it takes now.
func (l *Conn) writeNow(b []byte) (int, error) {
	fd, open := l.lockDescriptor()
	if !open {
		return 0, net.ErrClosed
	}
	defer l.unlockDescriptor()
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

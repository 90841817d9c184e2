package transport

import (
	"errors"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// acceptRetryInterval is some round trips on one machine: short against a request, long against what a core does in it.
const acceptRetryInterval = 2 * time.Millisecond

// boundedListener is a listening socket that leaves in the backlog what is over the bound: at the descriptor limit
// accepting fails again and again and uses up the core, and takes the descriptors of our own connections.
type boundedListener struct {
	*net.TCPListener
	net          *Net
	atOtherLimit func() bool // a further bound; nil: none
	closing      atomic.Bool
	allAccepted  atomic.Bool   // all that was accepted has been handed over, and nothing more will be
	neverClosed  chan struct{} // never closed
}

// Accept waits for room under the bound and for a connection.
func (l *boundedListener) Accept() (net.Conn, error) {
	for {
		if l.closing.Load() {
			l.allAccepted.Store(true)
			<-l.neverClosed // the poller would ask again at once, for ever
		}
		if l.full() {
			l.net.Post(l.net.OnFull)
			time.Sleep(acceptRetryInterval)
			continue
		}
		conn, err := l.TCPListener.Accept()
		if err == nil {
			return conn, nil
		}
		// The descriptors may be used up below the configured limit, by others in the process or by a lower limit of the
		// machine. OnFull makes room by closing an unused connection, and accepting goes on.
		if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
			l.net.Post(l.net.OnFull)
		}
		time.Sleep(acceptRetryInterval)
	}
}

// full tells whether there is no room for a further connection. After RefuseNew all that is in the backlog is let in,
// as far as the descriptors go, as it would be reset with the listening socket, with the requests written there.
func (l *boundedListener) full() bool {
	accepted := l.net.acceptedConns.Load()
	if l.net.refusing.Load() {
		return l.net.MaxConns > 0 && accepted+l.net.dialedConns.Load() >= l.net.MaxConns
	}
	return accepted >= l.net.MaxAccepted || l.atOtherLimit != nil && l.atOtherLimit()
}

// RefuseNew has the kernel drop what asks for a connection from here on; connections that stand already are accepted
// until CloseListeners. A listening socket that is closed without it resets what it has not accepted yet, and the
// requests written there are lost.
func (n *Net) RefuseNew() {
	n.refusing.Store(true)
	dropAll := unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K}
	n.controlListeners(func(fd int) {
		// A kernel that refuses the filter lets connections come until CloseListeners.
		_ = unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &dropAll})
	})
}

// HasBacklog tells whether connections stand that were not accepted yet. It is for the time after RefuseNew.
func (n *Net) HasBacklog() bool {
	waiting := false
	n.controlListeners(func(fd int) {
		// Of a listening socket Unacked is the length of its queue. Where the kernel does not tell, none is known to wait.
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		waiting = waiting || err == nil && info.Unacked > 0
	})
	return waiting
}

// controlListeners calls f with the descriptor of each listening socket that is open.
func (n *Net) controlListeners(f func(fd int)) {
	for _, listener := range n.listeners {
		raw, err := listener.SyscallConn()
		if err != nil {
			continue
		}
		_ = raw.Control(func(fd uintptr) { f(int(fd)) }) // it fails on a socket that is closed
	}
}

// AllAccepted tells, after CloseListeners, whether all connections that were accepted have been handed to Net.OnAccept.
func (n *Net) AllAccepted() bool {
	for _, listener := range n.listeners {
		if !listener.allAccepted.Load() {
			return false
		}
	}
	return true
}

// CloseListeners closes the listening sockets.
func (n *Net) CloseListeners() {
	for _, listener := range n.listeners {
		listener.closing.Store(true)
		_ = listener.Close() // nothing listens there any more, either way
	}
}

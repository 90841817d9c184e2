package transport

import (
	"errors"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// acceptRetryInterval is the time between attempts to accept a connection: several round trips on one machine. It is
// short compared to a request, and long enough that retrying takes little CPU time.
const acceptRetryInterval = 2 * time.Millisecond

// boundedListener is a listening socket that leaves connections beyond the limit in the backlog. Without the limit,
// accepting would take the descriptors that dialed connections need; and at the descriptor limit it would fail
// continuously and use up a CPU core.
type boundedListener struct {
	*net.TCPListener
	net          *Net
	atOtherLimit func() bool // reports whether a further limit has been reached; nil if there is none
	closing      atomic.Bool
	allAccepted  atomic.Bool   // all accepted connections have been passed on, and no more will be accepted
	neverClosed  chan struct{} // blocks Accept after the listener has been closed
}

// Accept waits until the number of connections is below the limit, and then for a connection. It never returns an
// error. After the listener has been closed it blocks forever.
func (l *boundedListener) Accept() (net.Conn, error) {
	for {
		if l.closing.Load() {
			l.allAccepted.Store(true)
			<-l.neverClosed // the poller would call Accept again at once, in an endless loop
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
		// The descriptors may be exhausted below the configured limit, because other code in the process uses them or
		// because the limit of the machine is lower. OnFull makes room by closing an unused connection, and accepting
		// continues.
		if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
			l.net.Post(l.net.OnFull)
		}
		time.Sleep(acceptRetryInterval)
	}
}

// full reports whether there is no room for another connection. After RefuseNew all connections in the backlog
// are accepted, within the limit MaxConns: closing the listening socket would reset them, and the requests
// already written to them would be lost.
func (l *boundedListener) full() bool {
	accepted := l.net.acceptedConns.Load()
	if l.net.refusing.Load() {
		return l.net.MaxConns > 0 && accepted+l.net.dialedConns.Load() >= l.net.MaxConns
	}
	return accepted >= l.net.MaxAccepted || l.atOtherLimit != nil && l.atOtherLimit()
}

// RefuseNew makes the kernel drop new connection requests. Connections already established are still accepted until
// CloseListeners is called. Closing a listening socket without this step resets the connections that are not accepted
// yet, and the requests written to them are lost.
func (n *Net) RefuseNew() {
	n.refusing.Store(true)
	dropAll := unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K}
	n.controlListeners(func(fd int) {
		// If the kernel rejects the filter, new connections are established until CloseListeners is called.
		_ = unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &dropAll})
	})
}

// HasBacklog reports whether there are established connections that are not accepted yet. It is meant to be
// called after RefuseNew.
func (n *Net) HasBacklog() bool {
	waiting := false
	n.controlListeners(func(fd int) {
		// For a listening socket, Unacked is the length of its accept queue. If the kernel does not report it, the queue is
		// taken to be empty.
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		waiting = waiting || err == nil && info.Unacked > 0
	})
	return waiting
}

// controlListeners calls f with the descriptor of each open listening socket.
func (n *Net) controlListeners(f func(fd int)) {
	for _, listener := range n.listeners {
		raw, err := listener.SyscallConn()
		if err != nil {
			continue
		}
		_ = raw.Control(func(fd uintptr) { f(int(fd)) }) // it fails on a closed socket
	}
}

// AllAccepted reports, after CloseListeners, whether all accepted connections have been passed to Net.OnAccept.
func (n *Net) AllAccepted() bool {
	for _, listener := range n.listeners {
		if !listener.allAccepted.Load() {
			return false
		}
	}
	return true
}

// CloseListeners closes the listening sockets. Accepted connections remain open.
func (n *Net) CloseListeners() {
	for _, listener := range n.listeners {
		listener.closing.Store(true)
		_ = listener.Close() // even if this fails, no more connections are accepted
	}
}

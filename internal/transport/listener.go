package transport

import (
	"errors"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// boundedListener is the listening socket. Danger: at the descriptor limit accepting fails again and again and eats the
// core, and takes the descriptors of our own links. It holds back in the backlog what is over the bound.
type boundedListener struct {
	*net.TCPListener
	net         *Net
	alsoFull    func() bool // holds back beside that, if not nil
	closing     atomic.Bool
	allAccepted atomic.Bool // all that was accepted has been handed over, and nothing more will be
	forever     chan struct{}
}

func (g *boundedListener) Accept() (net.Conn, error) {
	for {
		if g.closing.Load() {
			g.allAccepted.Store(true)
			<-g.forever // the poller would ask again at once, for ever
		}
		// Some round trips on one machine: short against an op, long against a core.
		const retryInterval = 2 * time.Millisecond
		// Danger: what waits in the backlog when it is closed is reset, with the ops written there. Before that all of it is let in.
		if g.full() {
			g.net.Post(g.net.OnFull)
			time.Sleep(retryInterval)
			continue
		}
		c, err := g.TCPListener.Accept()
		if err == nil {
			return c, nil
		}
		// Danger: the descriptors may be used up below what we were told, by others in the process or by a lower limit of the machine. An
		// unused connection makes room then too, and accepting goes on.
		if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
			g.net.Post(g.net.OnFull)
		}
		time.Sleep(retryInterval)
	}
}

// full tells whether there is no room for a further connection. At the end of listening all that is in the backlog is let in, as far as the
// descriptors go: the calls that are no longer made leave theirs.
func (g *boundedListener) full() bool {
	accepted := g.net.acceptedConns.Load()
	if g.net.refusing.Load() {
		return g.net.MaxConns > 0 && accepted+g.net.dialedConns.Load() >= g.net.MaxConns
	}
	return accepted >= g.net.MaxAccepted || g.alsoFull != nil && g.alsoFull()
}

// RefuseNew lets no further connection come about. Danger: a listening socket that is closed resets what it has
// not accepted yet, and the ops written there are lost. The kernel drops what asks for a connection from here
// on; those that stand already are accepted until Shut.
func (n *Net) RefuseNew() {
	n.refusing.Store(true)
	for _, listener := range n.listeners {
		raw, err := listener.SyscallConn()
		if err != nil {
			continue
		}
		_ = raw.Control(func(fd uintptr) {
			dropAll := unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K}
			_ = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &dropAll})
		})
	}
}

// HasBacklog tells whether connections stand that were not accepted yet. It is for the time after Deafen.
func (n *Net) HasBacklog() bool {
	waiting := false
	for _, listener := range n.listeners {
		raw, err := listener.SyscallConn()
		if err != nil {
			continue
		}
		_ = raw.Control(func(fd uintptr) {
			// Of a listening socket Unacked is the length of its queue. Where the kernel does not tell, none waits as far as we know.
			info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
			waiting = waiting || err == nil && info.Unacked > 0
		})
	}
	return waiting
}

// AllAccepted tells, after Shut, whether all connections that were accepted have been handed to the owner.
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
		_ = listener.Close()
	}
}

package transport

import (
	"context"
	"net"
	"time"

	"github.com/lesismal/nbio"
)

// dial opens a connection; ready is called with nil once it stands. A refused one proves that nothing was sent.
// Danger: the library's own DialAsync (v1.6.8) takes the first four bytes of an address that has sixteen, and
// so connects to 0.0.0.0. Each party has a few goroutines that dial instead, so that one that hangs holds up no other.
func (n *Net) dial(conn *Conn, addr string, ready func(refused error)) {
	queue := n.dialQueues[conn.peer]
	if queue == nil {
		queue = make(chan func(), 1024) // more than there are descriptors for
		n.dialQueues[conn.peer] = queue
		workers := 4
		if conn.peer == peerMember { // hundreds of them, and those of a lost zone hang until their time is up
			workers = 32
		}
		for range workers {
			go func() {
				for nextDial := range queue {
					nextDial()
				}
			}()
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	conn.cancelDial = cancel
	n.dialedConns.Add(1)
	finish := func(refused error) {
		cancel()
		conn.cancelDial = nil
		if refused != nil {
			n.dialedConns.Add(-1)
		}
		ready(refused)
	}
	queue <- func() {
		// No keepalive: four system calls, and nothing stays open and silent here.
		dialer := net.Dialer{Timeout: 2 * time.Second, KeepAlive: -1}
		if n.LocalIP != nil {
			dialer.LocalAddr = &net.TCPAddr{IP: n.LocalIP}
		}
		// Danger: dials to an address that swallows them hold up the others of their party. One that was given up ends at once, and
		// those behind it that were are not begun.
		socket, err := dialer.DialContext(ctx, "tcp", addr)
		var polled *nbio.Conn
		if err == nil {
			if conn.resetOnClose {
				_ = socket.(*net.TCPConn).SetLinger(0)
			}
			if polled, err = nbio.NBConn(socket); err != nil {
				_ = socket.Close() // Danger: at the descriptor limit the second one that this takes is refused, and the first would stay
			}
		}
		if err != nil {
			n.Post(func() { finish(err) })
			return
		}
		polled.SetSession(conn)
		opened := false
		conn.onOpen = func(polled *nbio.Conn) {
			opened = true
			n.Post(func() {
				conn.polled, conn.unpolled = polled, true
				if conn.closeReason != "" { // closed while it was being opened
					conn.Abort()
				}
				finish(nil)
			})
		}
		_, err = n.engine.AddConn(polled)
		switch {
		case !opened: // the library had no place for it, and tells nobody
			n.Post(func() { finish(err) })
		default: // a failure closes it, which is told
			n.Post(conn.polling)
		}
	}
}

// polling writes what had to wait until the poller watches the connection. Danger: the library opens a connection before that, and what the
// kernel does not take in between is kept by it and never written, as nobody is woken for it.
func (l *Conn) polling() {
	l.unpolled = false
	output := l.outputBeforePoll
	l.outputBeforePoll = nil
	if len(output) > 0 && !l.closed {
		l.transmit(output)
	}
}

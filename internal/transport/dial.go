package transport

import (
	"context"
	"net"
	"time"

	"github.com/lesismal/nbio"
)

const (
	dialTimeout = 2 * time.Second
	// maxQueuedDials is how many dials to one kind of peer may wait: more than there are descriptors for.
	maxQueuedDials = 1024
)

// DialOptions is what a connection that is dialled is like.
type DialOptions struct {
	Peer         Peer
	ResetOnClose bool // closed without a lingering state: for a connection that carries one call
}

// NewDialed makes a connection that Dial opens.
func (n *Net) NewDialed(options DialOptions) *Conn {
	return &Conn{net: n, peer: options.Peer, resetOnClose: options.ResetOnClose, openedAt: time.Now()}
}

// Dial opens the connection. ready is called on the owner loop, with nil once the connection stands, or with why it
// does not: then nothing was sent, and Handler.OnClose is not called.
func (c *Conn) Dial(addr string, ready func(err error)) {
	queue := c.net.dialQueue(c.peer)
	ctx, cancel := context.WithCancel(context.Background())
	c.cancelDial = cancel
	c.net.dialedConns.Add(1)
	finish := func(err error) {
		cancel()
		c.cancelDial = nil
		if err != nil {
			c.net.dialedConns.Add(-1)
		}
		ready(err)
	}
	queue <- func() { c.connect(ctx, addr, finish) }
}

// dialQueue is the queue of the dials to a kind of peer. Its workers dial with the standard library: the poller's own
// DialAsync (v1.6.8) takes the first four bytes of an address that has sixteen, and so connects to 0.0.0.0.
func (n *Net) dialQueue(peer Peer) chan func() {
	if queue := n.dialQueues[peer]; queue != nil {
		return queue
	}
	queue := make(chan func(), maxQueuedDials)
	n.dialQueues[peer] = queue
	for range peer.dialWorkers() {
		go func() {
			for dial := range queue {
				dial()
			}
		}()
	}
	return queue
}

// connect runs on a worker; finish is called on the owner loop.
func (c *Conn) connect(ctx context.Context, addr string, finish func(err error)) {
	polled, err := c.dialSocket(ctx, addr)
	if err != nil {
		c.net.Post(func() { finish(err) })
		return
	}
	polled.SetSession(c)
	opened := false
	c.onOpen = func(polled *nbio.Conn) {
		opened = true
		c.net.Post(func() {
			c.polled = polled
			c.unpolled = true
			if c.closeReason != "" { // closed while it was being opened
				c.Abort()
			}
			finish(nil)
		})
	}
	_, err = c.net.engine.AddConn(polled)
	if !opened { // the library had no place for it, and tells nobody
		c.net.Post(func() { finish(err) })
		return
	}
	c.net.Post(c.handlePolled) // if AddConn failed, the library has closed the connection, which is told
}

// dialSocket dials. Where the address swallows what is sent there, the dial would hold up the others to its kind of
// peer: with ctx cancelled it ends at once, and one that has not begun does not begin.
func (c *Conn) dialSocket(ctx context.Context, addr string) (*nbio.Conn, error) {
	// No keepalive: it costs four system calls, and no connection stays open and silent here.
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	if c.net.LocalIP != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: c.net.LocalIP}
	}
	socket, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	if c.resetOnClose {
		_ = socket.(*net.TCPConn).SetLinger(0) // it fails only on a socket that is closed
	}
	polled, err := nbio.NBConn(socket)
	if err != nil {
		_ = socket.Close() // at the descriptor limit the second one that NBConn takes is refused, and the first would stay
		return nil, err
	}
	return polled, nil
}

// handlePolled writes what had to wait until the poller watches the connection: the library opens a connection before
// that, and what the kernel does not take in between is kept by it and never written, as nobody is woken for it.
func (c *Conn) handlePolled() {
	c.unpolled = false
	output := c.outputBeforePoll
	c.outputBeforePoll = nil
	if len(output) > 0 && !c.closed {
		c.transmit(output)
	}
}

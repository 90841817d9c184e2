package transport

import (
	"context"
	"net"
	"time"

	"github.com/lesismal/nbio"
)

const (
	dialTimeout = 2 * time.Second
	// maxQueuedDials is the maximum number of dials waiting for one kind of peer. It exceeds the number of available
	// descriptors.
	maxQueuedDials = 1024
)

// DialOptions configures a connection to be dialed.
type DialOptions struct {
	Peer         Peer
	ResetOnClose bool // reset on close instead of kept in TIME_WAIT; for a connection that carries one call
}

// NewDialed returns an unopened connection. Dial opens it.
func (n *Net) NewDialed(options DialOptions) *Conn {
	return &Conn{net: n, peer: options.Peer, resetOnClose: options.ResetOnClose, openedAt: time.Now()}
}

// Dial starts opening the connection. ready is called on the owner loop, with nil when the connection is
// established, or with the error if the dial has failed. After an error nothing was sent, and Handler.OnClose is
// not called.
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

// dialQueue returns the queue of dials to a kind of peer; the first call for a kind starts its workers. The
// workers dial with the standard library because DialAsync of the poller (v1.6.8) uses the first four bytes of a
// sixteen-byte address and so connects to 0.0.0.0.
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

// connect opens the connection. It runs on a dial worker; finish is called on the owner loop.
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
	if !opened { // the library's table has no entry for the descriptor, and it calls no callback
		c.net.Post(func() { finish(err) })
		return
	}
	c.net.Post(c.handlePolled) // if AddConn failed, the library has closed the connection and calls handleClose
}

// dialSocket dials addr. A dial to an address that does not answer occupies a worker, and so delays other dials
// to the same kind of peer. Canceling ctx ends the dial at once, or prevents it from starting.
func (c *Conn) dialSocket(ctx context.Context, addr string) (*nbio.Conn, error) {
	// Keepalive is disabled: it costs four system calls, and no dialed connection remains open and silent.
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	if c.net.LocalIP != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: c.net.LocalIP}
	}
	socket, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	if c.resetOnClose {
		_ = socket.(*net.TCPConn).SetLinger(0) // it fails only on a closed socket
	}
	polled, err := nbio.NBConn(socket)
	if err != nil {
		_ = socket.Close() // at the descriptor limit NBConn cannot duplicate the descriptor and leaves the socket open
		return nil, err
	}
	return polled, nil
}

// handlePolled writes the output that was held back until the connection was registered with the poller. The library
// opens a connection before it registers it. Bytes that the kernel does not accept in between are kept by the library
// and never written, because no event triggers the write.
func (c *Conn) handlePolled() {
	c.unpolled = false
	output := c.outputBeforePoll
	c.outputBeforePoll = nil
	if len(output) > 0 && !c.closed {
		c.transmit(output)
	}
}

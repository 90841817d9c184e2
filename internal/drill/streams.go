package drill

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"lanewheel/internal/config"
)

const (
	// streamDialTimeout is the maximum time for connecting to a process.
	streamDialTimeout = time.Second

	// The intervals at which a stream that a fault blocks checks whether the fault has ended: before the stream is
	// connected, and in mid-stream.
	blackholeCheckInterval = 50 * time.Millisecond
	stallCheckInterval     = 20 * time.Millisecond
)

func (n *network) acceptStreams(front *processFront, listener *net.TCPListener, port int) {
	for {
		connection, err := listener.AcceptTCP()
		if err != nil {
			return
		}
		go n.forwardStream(front, connection, port)
	}
}

// forwardStream forwards a stream to a process's port until it ends.
func (n *network) forwardStream(front *processFront, incoming *net.TCPConn, port int) {
	defer func() { _ = incoming.Close() }() // it may be closed already
	host := incoming.RemoteAddr().(*net.TCPAddr).IP.String()
	current := n.lookup(host, front.process)
	n.increment(&current.counters.streams, 1)
	if current.has(config.ActionRefuse) {
		n.increment(&current.counters.refused, 1)
		resetConnection(incoming)
		return
	}
	for current.has(config.ActionBlackhole) { // the stream is accepted but not forwarded
		time.Sleep(blackholeCheckInterval)
		if current = n.lookup(host, front.process); n.isClosed() {
			return
		}
	}
	outgoing, err := n.dialProcess(front, current, port)
	if err != nil {
		resetConnection(incoming)
		return
	}
	defer func() { _ = outgoing.Close() }() // it may be closed already
	forward, backward := link{current.from, front.process}, link{front.process, current.from}
	n.trackStream(outgoing, forward)
	n.trackStream(incoming, backward)
	var copying sync.WaitGroup
	copying.Go(func() { n.copyStream(outgoing, incoming, host, forward.to) })
	copying.Go(func() { n.copyStream(incoming, outgoing, front.target.IP.String(), backward.to) })
	copying.Wait()
	n.untrackStream(outgoing)
	n.untrackStream(incoming)
}

// dialProcess connects to a process from the front of the sender, or from the process's own front if the sender is
// unknown.
func (n *network) dialProcess(front *processFront, current conditions, port int) (*net.TCPConn, error) {
	local := front.ip
	if current.senderFront != nil {
		local = current.senderFront.ip
	}
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: local}, Timeout: streamDialTimeout}
	target := net.TCPAddr{IP: front.target.IP, Port: port}
	connection, err := dialer.DialContext(context.Background(), "tcp", target.String())
	if err != nil {
		return nil, err
	}
	return connection.(*net.TCPConn), nil
}

func (n *network) trackStream(connection *net.TCPConn, l link) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.streams[connection] = l
}

func (n *network) untrackStream(connection *net.TCPConn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.streams, connection)
}

// copyStream copies one direction of a stream, from a host to a process, subject to the faults of its link. It forwards
// the end of the stream as a close, and an error as a reset.
func (n *network) copyStream(to, from *net.TCPConn, host string, target int) {
	const bufferBytes = 8 << 10
	buffer := make([]byte, bufferBytes)
	for {
		size, err := from.Read(buffer)
		if size > 0 {
			n.applyToStream(buffer[:size], host, target)
			if _, err := to.Write(buffer[:size]); err != nil {
				resetConnection(from)
				return
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			_ = to.CloseWrite() // it may be closed already
			return
		case err != nil:
			resetConnection(to)
			return
		}
	}
}

// applyToStream applies the faults of a link to a part of a stream, which it may change. It returns when the part may
// be written.
func (n *network) applyToStream(part []byte, host string, target int) {
	current := n.lookup(host, target)
	n.increment(&current.counters.streamBytes, len(part))
	for current.has(config.ActionStall, config.ActionBlackhole) && !n.isClosed() { // even within a message
		time.Sleep(stallCheckInterval)
		current = n.lookup(host, target)
	}
	for _, fault := range current.faults {
		switch fault.Action {
		case config.ActionDelay:
			time.Sleep(drawDelay(fault))
		case config.ActionThrottle:
			time.Sleep(transferTime(fault, len(part)))
		case config.ActionGarble:
			if n.chance(fault.Fraction) {
				garble(part)
				n.increment(&current.counters.corrupted, 1)
			}
		}
	}
}

package broker

import (
	"bytes"
	"io"
	"net"
	"strings"
	"time"

	amqp "github.com/rabbitmq/amqp091-go"
)

// protocolHeader is the sequence of bytes that a client sends first.
const protocolHeader = "AMQP\x00\x00\x09\x01"

// Values that the broker sends in connection.start and connection.tune.
const (
	majorVersion     = 0
	minorVersion     = 9
	maxChannels      = 64
	heartbeatSeconds = 1
)

// maxQueuedFrames is the maximum number of frames that wait for a client to read them. The connection ends when it is
// exceeded.
const maxQueuedFrames = 1 << 16

// connection is one client's connection. Broker.mu guards all fields except outgoing and netConn.
type connection struct {
	broker   *Broker
	netConn  net.Conn
	number   int // number of the connection, from 1 in the order of acceptance
	channels map[uint16]*channel
	outgoing chan []byte // frames for writeLoop; closed when the field closed is set
	opened   bool        // the handshake is complete
	frames   int         // number of frames sent and received since the handshake
	closed   bool        // no more frames are sent
}

func (b *Broker) newConnection(netConn net.Conn) *connection {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.accepted++
	c := &connection{
		broker:   b,
		netConn:  netConn,
		number:   b.accepted,
		channels: map[uint16]*channel{},
		outgoing: make(chan []byte, maxQueuedFrames),
	}
	b.connections[c] = true
	return c
}

// drop closes the socket, which ends serve and writeLoop.
func (c *connection) drop() { _ = c.netConn.Close() }

func (c *connection) stopWriting() {
	c.closed = true
	close(c.outgoing)
}

// writeFrame queues a frame for writeLoop, subject to the faults of the script.
func (c *connection) writeFrame(f frame) {
	if c.closed {
		return
	}
	b := f.bytes()
	if fault := c.nextFault(); fault != nil && fault.Mode != Stall {
		if fault.Mode == TruncateFrame {
			b = b[:len(b)/2]
		}
		c.outgoing <- b
		c.stopWriting()
		return
	}
	select {
	case c.outgoing <- b:
	default:
		c.stopWriting()
	}
}

func (c *connection) sendMethod(channel uint16, method *payloadWriter) {
	c.writeFrame(frame{kind: frameMethod, channel: channel, payload: method.buffer})
}

func (c *connection) sendBlocked() {
	c.sendMethod(0, newMethod(connectionBlocked).shortString("memory"))
}

// writeLoop writes the queued frames, and closes the socket when the queue is closed or a write fails.
func (c *connection) writeLoop() {
	for b := range c.outgoing {
		if _, err := c.netConn.Write(b); err != nil {
			break
		}
	}
	c.drop()
	for range c.outgoing { // drain the queue until it is closed so that writeFrame never blocks
	}
}

// serve handles the frames of the client until the connection ends.
func (c *connection) serve() {
	defer c.shutdown()
	defer func() { _ = recover() }() // payloadReader panics on a protocol error, which ends the connection
	head := make([]byte, len(protocolHeader))
	if _, err := io.ReadFull(c.netConn, head); err != nil || !bytes.Equal(head, []byte(protocolHeader)) {
		return
	}
	c.sendStart()
	for {
		f, err := readFrame(c.netConn)
		if err != nil || !c.handleFrame(f) {
			return
		}
	}
}

func (c *connection) sendStart() {
	properties := amqp.Table{
		"product": "stand-in",
		"capabilities": amqp.Table{
			"basic.nack":             true,
			"connection.blocked":     true,
			"consumer_cancel_notify": true,
			"publisher_confirms":     true,
		},
	}
	start := newMethod(connectionStart).u8(majorVersion).u8(minorVersion).table(properties)
	c.broker.mu.Lock()
	defer c.broker.mu.Unlock()
	c.sendMethod(0, start.longString("PLAIN").longString("en_US"))
}

// handleFrame applies the fault of a received frame, if any, and dispatches the frame. It reports whether the
// connection stays open.
func (c *connection) handleFrame(f frame) bool {
	b := c.broker
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.silent || c.closed {
		return !c.closed
	}
	fault := c.nextFault()
	if fault == nil {
		return c.dispatch(f)
	}
	switch fault.Mode {
	case TruncateFrame: // the frame did not arrive
		return false
	case Stall:
		b.mu.Unlock()
		time.Sleep(fault.Duration)
		b.mu.Lock()
	}
	return c.dispatch(f) && fault.Mode != Disconnect
}

// dispatch processes one frame and reports whether the connection stays open.
func (c *connection) dispatch(f frame) bool {
	ch := c.channels[f.channel]
	reader := &payloadReader{f.payload}
	switch {
	case f.kind == frameHeartbeat:
		c.writeFrame(frame{kind: frameHeartbeat})
	case f.kind == frameMethod && f.channel == 0:
		return c.handleMethod(reader)
	case f.kind == frameMethod && ch == nil:
		c.openChannel(f.channel, reader)
	case f.kind == frameMethod:
		ch.handleMethod(reader)
	case ch == nil || ch.publishing == nil:
		c.broker.recordViolation("content frame without a basic.publish method")
		return false
	case f.kind == frameHeader:
		ch.handleHeader(reader)
	case f.kind == frameBody:
		ch.handleBody(f.payload)
	}
	return true
}

// handleMethod executes a method of the connection and reports whether the connection stays open.
func (c *connection) handleMethod(r *payloadReader) bool {
	switch r.method() {
	case connectionStartOK:
		c.handleLogin(r)
	case connectionTuneOK:
	case connectionOpen:
		c.sendMethod(0, newMethod(connectionOpenOK).shortString(""))
		c.opened = true
		if c.broker.blocked {
			c.sendBlocked()
		}
	case connectionClose:
		c.sendMethod(0, newMethod(connectionCloseOK))
	case connectionCloseOK:
		return false
	}
	return true
}

// handleLogin accepts a user whose password equals the user name, unless logins are refused.
func (c *connection) handleLogin(r *payloadReader) {
	r.table()       // the client's properties
	r.shortString() // the mechanism
	response := strings.Split(r.longString(), "\x00")
	if c.broker.refuseLogins || len(response) != 3 || response[1] != response[2] {
		c.sendMethod(0, newClose(connectionClose, replyAccessRefused, "ACCESS_REFUSED"))
		return
	}
	c.sendMethod(0, newMethod(connectionTune).u16(maxChannels).u32(maxFrameBytes).u16(heartbeatSeconds))
}

func (c *connection) openChannel(id uint16, r *payloadReader) {
	if r.method() != channelOpen { // the client sent this method before it received channel.close
		return
	}
	ch := &channel{connection: c, id: id, consumers: map[string]*consumer{}}
	c.channels[id] = ch
	ch.send(newMethod(channelOpenOK).longString(""))
}

// closeChannel removes a channel and its consumers, and requeues its unsettled deliveries.
func (c *connection) closeChannel(ch *channel) {
	delete(c.channels, ch.id)
	for _, consumer := range ch.consumers {
		consumer.queue.removeConsumer(consumer)
	}
	requeued := ch.unsettled
	ch.unsettled = nil
	for _, u := range requeued {
		c.broker.requeue(u)
	}
}

// shutdown closes the socket, and removes the connection and its channels.
func (c *connection) shutdown() {
	c.drop()
	c.broker.mu.Lock()
	defer c.broker.mu.Unlock()
	if !c.closed {
		c.stopWriting()
	}
	delete(c.broker.connections, c)
	for _, ch := range c.channels {
		c.closeChannel(ch)
	}
}

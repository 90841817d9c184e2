package broker

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"time"

	amqp "github.com/rabbitmq/amqp091-go"
)

// connection is one client's connection. Its maps belong to the broker's lock.
type connection struct {
	broker   *Broker
	netConn  net.Conn
	number   int
	channels map[uint16]*channel
	outgoing chan []byte
	opened   bool // the handshake is over: frames count from here
	frames   int
	closed   bool
}

type channel struct {
	connection *connection
	id         uint16
	prefetch   int
	consumers  map[string]*consumer
	unsettled  []unsettled
	lastTag    uint64
	confirms   bool
	published  uint64

	exchange, routingKey string // of what is being published
	publishing           *amqp.Publishing
	bodyLeft             int
}

// nextFault tells what the script has for the next frame.
func (c *connection) nextFault() *Fault {
	if !c.opened {
		return nil
	}
	c.frames++
	c.broker.frameCounts[c.number] = c.frames
	for i := range c.broker.faults {
		if f := &c.broker.faults[i]; f.Connection == c.number && f.Frame == c.frames {
			return f
		}
	}
	return nil
}

// writeFrame sends a frame; the caller holds the lock.
func (c *connection) writeFrame(f frame) {
	if c.closed {
		return
	}
	b := f.bytes()
	if x := c.nextFault(); x != nil && x.Mode != Stall {
		c.closed = true
		if x.Mode == TruncateFrame {
			b = b[:len(b)/2]
		}
		c.outgoing <- b
		close(c.outgoing)
		return
	}
	select {
	case c.outgoing <- b:
	default: // a client that reads nothing for ever
		c.closed = true
		close(c.outgoing)
	}
}

func (c *connection) sendMethod(ch uint16, m *payloadWriter) {
	c.writeFrame(frame{frameMethod, ch, m.buffer})
}

func (c *connection) writeLoop() {
	for b := range c.outgoing {
		if _, err := c.netConn.Write(b); err != nil {
			break
		}
	}
	c.netConn.Close()
	for range c.outgoing { // let writers go on until the reader has ended
	}
}

func (c *connection) serve() {
	defer c.shutdown()
	defer func() { _ = recover() }() // a payload that is too short
	head := make([]byte, 8)
	if _, err := io.ReadFull(c.netConn, head); err != nil || !bytes.Equal(head, []byte("AMQP\x00\x00\x09\x01")) {
		return
	}
	c.broker.mu.Lock()
	c.sendMethod(0, newMethod(10, 10).u8(0).u8(9).table(amqp.Table{"product": "stand-in", "capabilities": amqp.Table{"basic.nack": true,
		"connection.blocked": true, "consumer_cancel_notify": true, "publisher_confirms": true}}).longString("PLAIN").longString("en_US"))
	c.broker.mu.Unlock()
	for {
		f, err := readFrame(c.netConn)
		if err != nil {
			return
		}
		if !c.handleFrame(f) {
			return
		}
	}
}

// handleFrame carries out one frame, and tells whether the connection goes on.
func (c *connection) handleFrame(f frame) bool {
	b := c.broker
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.silent || c.closed {
		return !c.closed
	}
	fault := c.nextFault()
	if fault != nil && fault.Mode == TruncateFrame { // it did not arrive
		return false
	}
	if fault != nil && fault.Mode == Stall {
		b.mu.Unlock()
		time.Sleep(fault.Duration)
		b.mu.Lock()
	}
	open := true
	switch ch := c.channels[f.channel]; {
	case f.kind == frameHeartbeat:
		c.writeFrame(frame{kind: frameHeartbeat})
	case f.kind == frameMethod && f.channel == 0:
		open = c.handleConnectionMethod(&payloadReader{f.payload})
	case f.kind == frameMethod:
		c.handleChannelMethod(f.channel, ch, &payloadReader{f.payload})
	case ch == nil || ch.publishing == nil:
		b.violations = append(b.violations, "content without a publish")
		return false
	case f.kind == frameHeader:
		r := &payloadReader{f.payload}
		r.u32()
		ch.bodyLeft = int(r.u64())
		*ch.publishing = r.properties()
		ch.routeWhenComplete()
	case f.kind == frameBody:
		ch.publishing.Body = append(ch.publishing.Body, f.payload...)
		ch.bodyLeft -= len(f.payload)
		ch.routeWhenComplete()
	}
	return open && (fault == nil || fault.Mode != Disconnect)
}

func (c *connection) handleConnectionMethod(r *payloadReader) bool {
	switch class, id := r.u16(), r.u16(); {
	case class == 10 && id == 11: // start-ok
		r.table()
		r.shortString()
		login := strings.Split(r.longString(), "\x00")
		if c.broker.refuseLogins || len(login) != 3 || login[1] != login[2] { // a user's password is its name
			c.sendMethod(0, newMethod(10, 50).u16(403).shortString("ACCESS_REFUSED").u16(0).u16(0))
			return true
		}
		c.sendMethod(0, newMethod(10, 30).u16(64).u32(maxFrameBytes).u16(1))
	case class == 10 && id == 31: // tune-ok
	case class == 10 && id == 40: // open
		c.sendMethod(0, newMethod(10, 41).shortString(""))
		c.opened = true
		if c.broker.blocked {
			c.sendMethod(0, newMethod(10, 60).shortString("memory"))
		}
	case class == 10 && id == 50: // close
		c.sendMethod(0, newMethod(10, 51))
		return true
	case class == 10 && id == 51:
		return false
	}
	return true
}

func (ch *channel) closeWithError(code uint16, text string) {
	ch.connection.closeChannel(ch)
	ch.connection.sendMethod(ch.id, newMethod(20, 40).u16(code).shortString(text).u16(0).u16(0))
}

// closeChannel takes a channel away: what it holds goes back.
func (c *connection) closeChannel(ch *channel) {
	delete(c.channels, ch.id)
	for _, x := range ch.consumers {
		x.queue.consumers = slices.DeleteFunc(x.queue.consumers, func(y *consumer) bool { return y == x })
	}
	held := ch.unsettled
	ch.unsettled = nil
	for _, h := range held {
		c.broker.requeue(h)
	}
}

func (c *connection) shutdown() {
	c.netConn.Close()
	c.broker.mu.Lock()
	defer c.broker.mu.Unlock()
	if !c.closed {
		c.closed = true
		close(c.outgoing)
	}
	delete(c.broker.connections, c)
	for _, ch := range c.channels {
		c.closeChannel(ch)
	}
}

func (c *connection) handleChannelMethod(id uint16, ch *channel, r *payloadReader) {
	b := c.broker
	class, what := r.u16(), r.u16()
	if ch == nil {
		if class == 20 && what == 10 {
			c.channels[id] = &channel{connection: c, id: id, consumers: map[string]*consumer{}}
			c.sendMethod(id, newMethod(20, 11).longString(""))
		}
		return
	}
	reply := func(m *payloadWriter) { c.sendMethod(id, m) }
	switch {
	case class == 20 && what == 40:
		c.closeChannel(ch)
		reply(newMethod(20, 41))
	case class == 20 && what == 41:
	case class == 40 && what == 10:
		r.u16()
		name := r.shortString()
		if b.bindings[name] == nil {
			b.bindings[name] = map[string][]string{}
		}
		reply(newMethod(40, 11))
	case class == 50 && what == 10:
		r.u16()
		name, bits := r.shortString(), r.u8()
		if bits&1 != 0 && b.queues[name] == nil {
			ch.closeWithError(404, fmt.Sprintf("NOT_FOUND - no queue '%s'", name))
			return
		}
		q := b.declare(name, r.table())
		reply(newMethod(50, 11).shortString(name).u32(uint32(len(q.ready))).u32(uint32(len(q.consumers))))
	case class == 50 && what == 20:
		r.u16()
		name, exchange, key := r.shortString(), r.shortString(), r.shortString()
		if b.bindings[exchange] == nil {
			b.bindings[exchange] = map[string][]string{}
		}
		b.bindings[exchange][key] = append(b.bindings[exchange][key], name)
		reply(newMethod(50, 21))
	case class == 60 && what == 10:
		r.u32()
		ch.prefetch = int(r.u16())
		reply(newMethod(60, 11))
		for _, x := range ch.consumers {
			b.deliver(x.queue)
		}
	case class == 60 && what == 20:
		r.u16()
		name, tag, bits := r.shortString(), r.shortString(), r.u8()
		q := b.queues[name]
		if q == nil {
			ch.closeWithError(404, fmt.Sprintf("NOT_FOUND - no queue '%s'", name))
			return
		}
		x := &consumer{tag: tag, channel: ch, queue: q, noAck: bits&2 != 0}
		ch.consumers[tag] = x
		q.consumers = append(q.consumers, x)
		reply(newMethod(60, 21).shortString(tag))
		b.deliver(q)
	case class == 60 && what == 30:
		tag := r.shortString()
		if x := ch.consumers[tag]; x != nil {
			delete(ch.consumers, tag)
			x.queue.consumers = slices.DeleteFunc(x.queue.consumers, func(y *consumer) bool { return y == x })
		}
		reply(newMethod(60, 31).shortString(tag))
	case class == 60 && what == 40:
		r.u16()
		ch.exchange, ch.routingKey = r.shortString(), r.shortString()
		ch.publishing, ch.bodyLeft = &amqp.Publishing{}, 0
	case class == 60 && what == 80:
		tag, multiple := r.u64(), r.u8()&1 != 0
		ch.settle(tag, multiple, func(h unsettled) { h.queue.counts.Acked++ })
	case class == 60 && (what == 90 || what == 120):
		tag, bits := r.u64(), r.u8()
		requeue, multiple := bits&1 != 0, false
		if what == 120 {
			requeue, multiple = bits&2 != 0, bits&1 != 0
		}
		ch.settle(tag, multiple, func(h unsettled) {
			if requeue {
				b.requeue(h)
				return
			}
			h.queue.counts.Rejected++
			b.deadLetter(h.queue, h.message, "rejected")
		})
	case class == 85 && what == 10:
		ch.confirms = true
		reply(newMethod(85, 11))
	default:
		b.violations = append(b.violations, fmt.Sprintf("method %d.%d", class, what))
	}
}

// routeWhenComplete routes what was published once its body is whole.
func (ch *channel) routeWhenComplete() {
	if ch.bodyLeft > 0 {
		return
	}
	p := *ch.publishing
	ch.publishing = nil
	ch.connection.broker.route(ch.exchange, ch.routingKey, p)
	if ch.confirms {
		ch.published++
		ch.connection.sendMethod(ch.id, newMethod(60, 80).u64(ch.published).boolean(false))
	}
}

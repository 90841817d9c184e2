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

// conn is one client's connection. Its maps belong to the broker's lock.
type conn struct {
	b        *Broker
	net      net.Conn
	no       int
	channels map[uint16]*channel
	out      chan []byte
	opened   bool // the handshake is over: frames count from here
	frames   int
	dead     bool
}

type channel struct {
	conn      *conn
	id        uint16
	prefetch  int
	consumers map[string]*consumer
	held      []held
	tag       uint64
	confirms  bool
	published uint64

	exchange, key string // of what is being published
	msg           *amqp.Publishing
	left          int
}

// fault tells what the script has for the next frame.
func (c *conn) fault() *Fault {
	if !c.opened {
		return nil
	}
	c.frames++
	c.b.frames[c.no] = c.frames
	for i := range c.b.faults {
		if f := &c.b.faults[i]; f.Connection == c.no && f.Frame == c.frames {
			return f
		}
	}
	return nil
}

// write sends a frame; the caller holds the lock.
func (c *conn) write(f frame) {
	if c.dead {
		return
	}
	b := f.bytes()
	if x := c.fault(); x != nil && x.How != Stall {
		c.dead = true
		if x.How == Half {
			b = b[:len(b)/2]
		}
		c.out <- b
		close(c.out)
		return
	}
	select {
	case c.out <- b:
	default: // a client that reads nothing for ever
		c.dead = true
		close(c.out)
	}
}

func (c *conn) send(ch uint16, m *out) { c.write(frame{frameMethod, ch, m.b}) }

func (c *conn) writes() {
	for b := range c.out {
		if _, err := c.net.Write(b); err != nil {
			break
		}
	}
	c.net.Close()
	for range c.out { // let writers go on until the reader has ended
	}
}

func (c *conn) serve() {
	defer c.end()
	defer func() { _ = recover() }() // a payload that is too short
	head := make([]byte, 8)
	if _, err := io.ReadFull(c.net, head); err != nil || !bytes.Equal(head, []byte("AMQP\x00\x00\x09\x01")) {
		return
	}
	c.b.mu.Lock()
	c.send(0, method(10, 10).u8(0).u8(9).table(amqp.Table{"product": "stand-in", "capabilities": amqp.Table{"basic.nack": true,
		"connection.blocked": true, "consumer_cancel_notify": true, "publisher_confirms": true}}).long("PLAIN").long("en_US"))
	c.b.mu.Unlock()
	for {
		f, err := readFrame(c.net)
		if err != nil {
			return
		}
		if !c.take(f) {
			return
		}
	}
}

// take carries out one frame, and tells whether the connection goes on.
func (c *conn) take(f frame) bool {
	b := c.b
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.silent || c.dead {
		return !c.dead
	}
	x := c.fault()
	if x != nil && x.How == Half { // it did not arrive
		return false
	}
	if x != nil && x.How == Stall {
		b.mu.Unlock()
		time.Sleep(x.For)
		b.mu.Lock()
	}
	on := true
	switch ch := c.channels[f.channel]; {
	case f.kind == frameHeartbeat:
		c.write(frame{kind: frameHeartbeat})
	case f.kind == frameMethod && f.channel == 0:
		on = c.connection(&in{f.payload})
	case f.kind == frameMethod:
		c.method(f.channel, ch, &in{f.payload})
	case ch == nil || ch.msg == nil:
		b.wrong = append(b.wrong, "content without a publish")
		return false
	case f.kind == frameHeader:
		r := &in{f.payload}
		r.u32()
		ch.left = int(r.u64())
		*ch.msg = r.properties()
		ch.content()
	case f.kind == frameBody:
		ch.msg.Body = append(ch.msg.Body, f.payload...)
		ch.left -= len(f.payload)
		ch.content()
	}
	return on && (x == nil || x.How != Cut)
}

func (c *conn) connection(r *in) bool {
	switch class, id := r.u16(), r.u16(); {
	case class == 10 && id == 11: // start-ok
		r.table()
		r.short()
		login := strings.Split(r.long(), "\x00")
		if c.b.refuse || len(login) != 3 || login[1] != login[2] { // a user's password is its name
			c.send(0, method(10, 50).u16(403).short("ACCESS_REFUSED").u16(0).u16(0))
			return true
		}
		c.send(0, method(10, 30).u16(64).u32(mostFrame).u16(1))
	case class == 10 && id == 31: // tune-ok
	case class == 10 && id == 40: // open
		c.send(0, method(10, 41).short(""))
		c.opened = true
		if c.b.blocked {
			c.send(0, method(10, 60).short("memory"))
		}
	case class == 10 && id == 50: // close
		c.send(0, method(10, 51))
		return true
	case class == 10 && id == 51:
		return false
	}
	return true
}

func (ch *channel) close(code uint16, text string) {
	ch.conn.drop(ch)
	ch.conn.send(ch.id, method(20, 40).u16(code).short(text).u16(0).u16(0))
}

// drop takes a channel away: what it holds goes back.
func (c *conn) drop(ch *channel) {
	delete(c.channels, ch.id)
	for _, x := range ch.consumers {
		x.queue.consumers = slices.DeleteFunc(x.queue.consumers, func(y *consumer) bool { return y == x })
	}
	held := ch.held
	ch.held = nil
	for _, h := range held {
		c.b.back(h)
	}
}

func (c *conn) end() {
	c.net.Close()
	c.b.mu.Lock()
	defer c.b.mu.Unlock()
	if !c.dead {
		c.dead = true
		close(c.out)
	}
	delete(c.b.conns, c)
	for _, ch := range c.channels {
		c.drop(ch)
	}
}

func (c *conn) method(id uint16, ch *channel, r *in) {
	b := c.b
	class, what := r.u16(), r.u16()
	if ch == nil {
		if class == 20 && what == 10 {
			c.channels[id] = &channel{conn: c, id: id, consumers: map[string]*consumer{}}
			c.send(id, method(20, 11).long(""))
		}
		return
	}
	reply := func(m *out) { c.send(id, m) }
	switch {
	case class == 20 && what == 40:
		c.drop(ch)
		reply(method(20, 41))
	case class == 20 && what == 41:
	case class == 40 && what == 10:
		r.u16()
		name := r.short()
		if b.bindings[name] == nil {
			b.bindings[name] = map[string][]string{}
		}
		reply(method(40, 11))
	case class == 50 && what == 10:
		r.u16()
		name, bits := r.short(), r.u8()
		if bits&1 != 0 && b.queues[name] == nil {
			ch.close(404, fmt.Sprintf("NOT_FOUND - no queue '%s'", name))
			return
		}
		q := b.declare(name, r.table())
		reply(method(50, 11).short(name).u32(uint32(len(q.ready))).u32(uint32(len(q.consumers))))
	case class == 50 && what == 20:
		r.u16()
		name, exchange, key := r.short(), r.short(), r.short()
		if b.bindings[exchange] == nil {
			b.bindings[exchange] = map[string][]string{}
		}
		b.bindings[exchange][key] = append(b.bindings[exchange][key], name)
		reply(method(50, 21))
	case class == 60 && what == 10:
		r.u32()
		ch.prefetch = int(r.u16())
		reply(method(60, 11))
		for _, x := range ch.consumers {
			b.pump(x.queue)
		}
	case class == 60 && what == 20:
		r.u16()
		name, tag, bits := r.short(), r.short(), r.u8()
		q := b.queues[name]
		if q == nil {
			ch.close(404, fmt.Sprintf("NOT_FOUND - no queue '%s'", name))
			return
		}
		x := &consumer{tag: tag, ch: ch, queue: q, noAck: bits&2 != 0}
		ch.consumers[tag] = x
		q.consumers = append(q.consumers, x)
		reply(method(60, 21).short(tag))
		b.pump(q)
	case class == 60 && what == 30:
		tag := r.short()
		if x := ch.consumers[tag]; x != nil {
			delete(ch.consumers, tag)
			x.queue.consumers = slices.DeleteFunc(x.queue.consumers, func(y *consumer) bool { return y == x })
		}
		reply(method(60, 31).short(tag))
	case class == 60 && what == 40:
		r.u16()
		ch.exchange, ch.key = r.short(), r.short()
		ch.msg, ch.left = &amqp.Publishing{}, 0
	case class == 60 && what == 80:
		tag, multiple := r.u64(), r.u8()&1 != 0
		ch.settle(tag, multiple, func(h held) { h.queue.counts.Acked++ })
	case class == 60 && (what == 90 || what == 120):
		tag, bits := r.u64(), r.u8()
		requeue, multiple := bits&1 != 0, false
		if what == 120 {
			requeue, multiple = bits&2 != 0, bits&1 != 0
		}
		ch.settle(tag, multiple, func(h held) {
			if requeue {
				b.back(h)
				return
			}
			h.queue.counts.Rejected++
			b.deadLetter(h.queue, h.msg, "rejected")
		})
	case class == 85 && what == 10:
		ch.confirms = true
		reply(method(85, 11))
	default:
		b.wrong = append(b.wrong, fmt.Sprintf("method %d.%d", class, what))
	}
}

// content routes what was published once its body is whole.
func (ch *channel) content() {
	if ch.left > 0 {
		return
	}
	p := *ch.msg
	ch.msg = nil
	ch.conn.b.route(ch.exchange, ch.key, p)
	if ch.confirms {
		ch.published++
		ch.conn.send(ch.id, method(60, 80).u64(ch.published).flag(false))
	}
}

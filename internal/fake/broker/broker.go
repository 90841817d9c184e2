package broker

import (
	"net"
	"slices"
	"sync"
	"time"

	amqp "github.com/rabbitmq/amqp091-go"
)

// Counts are what happened to a queue's messages.
type Counts struct {
	Published, Delivered, Redelivered, Acked, Requeued, Rejected, Expired int
	Ready, Unsettled, Consumers                                           int // now
}

// Fault is one failure of the script: what happens to a connection, numbered from 1, at one of its frames, in both
// directions together, numbered from 1 behind the handshake.
type Fault struct {
	Connection, Frame int
	Mode              FaultMode
	Duration          time.Duration // of a stall
}

// FaultMode a fault shows.
type FaultMode int

const (
	Disconnect    FaultMode = iota // behind the frame
	TruncateFrame                  // in the middle of the frame, which does not arrive
	Stall                          // nothing moves for a while
)

// Broker is the stand-in.
type Broker struct {
	listener net.Listener

	mu           sync.Mutex
	queues       map[string]*queue
	bindings     map[string]map[string][]string // exchange, key, queues
	connections  map[*connection]bool
	accepted     int
	lastSequence uint64
	faults       []Fault
	refuseLogins bool
	blocked      bool
	silent       bool // sends no heartbeats and answers nothing
	frameCounts  map[int]int
	violations   []string // what clients did that the specification forbids
}

type queue struct {
	name         string
	args         amqp.Table
	ready        []*message
	consumers    []*consumer
	nextConsumer int // whose turn it is
	counts       Counts
}

type message struct {
	amqp.Publishing
	sequence    uint64
	routingKey  string
	redelivered bool
}

type consumer struct {
	tag     string
	channel *channel
	queue   *queue
	noAck   bool
}

type unsettled struct {
	tag     uint64
	message *message
	queue   *queue
}

// New starts one on a loopback port.
func New() *Broker { return newOnAddress("127.0.0.1:0") }

// newOnAddress starts one at an address.
func newOnAddress(address string) *Broker {
	l, err := net.Listen("tcp", address)
	if err != nil {
		panic(err)
	}
	return NewOnListener(l)
}

// NewOnListener starts one on a listener, as one with TLS.
func NewOnListener(l net.Listener) *Broker {
	b := &Broker{listener: l, queues: map[string]*queue{}, bindings: map[string]map[string][]string{}, connections: map[*connection]bool{},
		frameCounts: map[int]int{}}
	go b.acceptLoop()
	return b
}

func (b *Broker) Addr() string { return b.listener.Addr().String() }
func (b *Broker) URL() string  { return "amqp://guest:guest@" + b.Addr() + "/" }

// Close ends it with all its connections; Cut ends the connections alone.
func (b *Broker) Close() {
	b.listener.Close()
	b.DropConnections()
}

func (b *Broker) DropConnections() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for c := range b.connections {
		c.netConn.Close()
	}
}

// SetFaults sets the faults to come.
func (b *Broker) SetFaults(faults ...Fault) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.faults = faults
}

// RefuseLogins has logins refused; Block tells all clients that nothing is taken for now; Silence has it answer nothing at all.
func (b *Broker) RefuseLogins(on bool) { b.mu.Lock(); b.refuseLogins = on; b.mu.Unlock() }
func (b *Broker) SetSilent(on bool)    { b.mu.Lock(); b.silent = on; b.mu.Unlock() }
func (b *Broker) SetBlocked(on bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.blocked = on
	for c := range b.connections {
		if on {
			c.sendMethod(0, newMethod(10, 60).shortString("memory"))
		} else {
			c.sendMethod(0, newMethod(10, 61))
		}
	}
}

// DeclareQueue makes a queue.
func (b *Broker) DeclareQueue(name string, args amqp.Table) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.declare(name, args)
}

func (b *Broker) declare(name string, args amqp.Table) *queue {
	q := b.queues[name]
	if q == nil {
		q = &queue{name: name, args: args}
		b.queues[name] = q
	}
	return q
}

// DeleteQueue takes a queue away, and tells its consumers.
func (b *Broker) DeleteQueue(name string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if q := b.queues[name]; q != nil {
		delete(b.queues, name)
		for _, c := range q.consumers {
			delete(c.channel.consumers, c.tag)
			c.channel.connection.sendMethod(c.channel.id, newMethod(60, 30).shortString(c.tag).boolean(true))
		}
	}
}

// CloseConsumerChannels closes all channels that consume, as over a wrong settlement.
func (b *Broker) CloseConsumerChannels() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for c := range b.connections {
		for _, ch := range c.channels {
			if len(ch.consumers) > 0 {
				ch.closeWithError(406, "PRECONDITION_FAILED")
			}
		}
	}
}

// Publish puts a message in a queue.
func (b *Broker) Publish(name string, p amqp.Publishing) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.enqueue(b.declare(name, nil), &message{Publishing: p, routingKey: name})
}

// DrainQueue gives and removes all that is ready in a queue.
func (b *Broker) DrainQueue(name string) (messages []amqp.Publishing) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if q := b.queues[name]; q != nil {
		for _, m := range q.ready {
			messages = append(messages, m.Publishing)
		}
		q.ready = nil
	}
	return messages
}

// Counts tells what happened to a queue's messages.
func (b *Broker) Counts(name string) Counts {
	b.mu.Lock()
	defer b.mu.Unlock()
	q := b.queues[name]
	if q == nil {
		return Counts{}
	}
	c := q.counts
	c.Ready, c.Consumers = len(q.ready), len(q.consumers)
	for conn := range b.connections {
		for _, ch := range conn.channels {
			for _, h := range ch.unsettled {
				if h.queue == q {
					c.Unsettled++
				}
			}
		}
	}
	return c
}

// Connections is how many were accepted, and how many stand; Frames is how many passed on one behind its handshake; Wrong is
// what clients did that the specification forbids.
func (b *Broker) Connections() (ever, now int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.accepted, len(b.connections)
}

func (b *Broker) FrameCount(connection int) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.frameCounts[connection]
}

func (b *Broker) Violations() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.violations)
}

// enqueue appends a message, or puts it back where it was by its number.
func (b *Broker) enqueue(q *queue, added *message) {
	if added.sequence == 0 {
		b.lastSequence++
		added.sequence = b.lastSequence
		q.counts.Published++
	}
	at, _ := slices.BinarySearchFunc(q.ready, added, func(x, y *message) int {
		if _, ranked := q.args["x-max-priority"]; ranked && x.Priority != y.Priority {
			return int(y.Priority) - int(x.Priority)
		}
		return int(x.sequence) - int(y.sequence)
	})
	q.ready = slices.Insert(q.ready, at, added)
	ttl := time.Duration(-1)
	if d, err := time.ParseDuration(added.Expiration + "ms"); err == nil {
		ttl = d
	}
	if ms, ok := toInt64(q.args["x-message-ttl"]); ok && (ttl < 0 || time.Duration(ms)*time.Millisecond < ttl) {
		ttl = time.Duration(ms) * time.Millisecond
	}
	if ttl >= 0 {
		time.AfterFunc(ttl, func() { b.expire(q, added) })
	}
	b.deliver(q)
}

func toInt64(x any) (int64, bool) {
	switch x := x.(type) {
	case int:
		return int64(x), true
	case int32:
		return int64(x), true
	case int64:
		return x, true
	}
	return 0, false
}

func (b *Broker) expire(q *queue, m *message) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if i := slices.Index(q.ready, m); i >= 0 {
		q.ready = slices.Delete(q.ready, i, i+1)
		q.counts.Expired++
		b.deadLetter(q, m, "expired")
	}
}

// deadLetter moves a message to where its queue tells, with a count in x-death, as the extension has it.
func (b *Broker) deadLetter(q *queue, m *message, reason string) {
	exchange, found := q.args["x-dead-letter-exchange"].(string)
	if !found {
		return
	}
	key, found := q.args["x-dead-letter-routing-key"].(string)
	if !found {
		key = m.routingKey
	}
	p := m.Publishing
	p.Expiration = ""
	p.Headers = amqp.Table{}
	for name, x := range m.Headers {
		p.Headers[name] = x
	}
	var deaths []any
	count := int64(1)
	if earlier, ok := p.Headers["x-death"].([]any); ok {
		for _, x := range earlier {
			if d, ok := x.(amqp.Table); ok && d["queue"] == q.name && d["reason"] == reason {
				n, _ := toInt64(d["count"])
				count += n
			} else {
				deaths = append(deaths, x)
			}
		}
	}
	p.Headers["x-death"] = append([]any{amqp.Table{"queue": q.name, "reason": reason, "count": count, "exchange": exchange}}, deaths...)
	b.route(exchange, key, p)
}

func (b *Broker) route(exchange, key string, p amqp.Publishing) bool {
	names := []string{key}
	if exchange != "" {
		names = b.bindings[exchange][key]
	}
	found := false
	for _, name := range names {
		if q := b.queues[name]; q != nil {
			b.enqueue(q, &message{Publishing: p, routingKey: key})
			found = true
		}
	}
	return found
}

// deliver delivers what is ready to consumers with room, in turn.
func (b *Broker) deliver(q *queue) {
	for len(q.ready) > 0 {
		var to *consumer
		for i := range q.consumers {
			c := q.consumers[(q.nextConsumer+i)%len(q.consumers)]
			if c.channel.prefetch == 0 || len(c.channel.unsettled) < c.channel.prefetch {
				to, q.nextConsumer = c, (q.nextConsumer+i+1)%len(q.consumers)
				break
			}
		}
		if to == nil {
			return
		}
		m := q.ready[0]
		q.ready = q.ready[1:]
		q.counts.Delivered++
		if m.redelivered {
			q.counts.Redelivered++
		}
		ch := to.channel
		ch.lastTag++
		if !to.noAck {
			ch.unsettled = append(ch.unsettled, unsettled{ch.lastTag, m, q})
		}
		ch.connection.sendMethod(ch.id, newMethod(60, 60).shortString(to.tag).u64(ch.lastTag).boolean(m.redelivered).shortString("").shortString(m.routingKey))
		head := (&payloadWriter{}).u16(60).u16(0).u64(uint64(len(m.Body))).properties(&m.Publishing)
		ch.connection.writeFrame(frame{frameHeader, ch.id, head.buffer})
		for rest := m.Body; len(rest) > 0; {
			n := min(len(rest), maxFrameBytes-8)
			ch.connection.writeFrame(frame{frameBody, ch.id, rest[:n]})
			rest = rest[n:]
		}
	}
}

// settle takes deliveries off a channel's hands; a tag that is none closes the channel.
func (ch *channel) settle(tag uint64, multiple bool, apply func(unsettled)) {
	found := false
	kept := ch.unsettled[:0:0]
	var settled []unsettled
	for _, h := range ch.unsettled {
		if h.tag == tag || multiple && (tag == 0 || h.tag <= tag) {
			found = true
			settled = append(settled, h)
		} else {
			kept = append(kept, h)
		}
	}
	ch.unsettled = kept
	if !found {
		b := ch.connection.broker
		b.violations = append(b.violations, "settled what is not in hand")
		ch.closeWithError(406, "PRECONDITION_FAILED - unknown delivery tag")
		return
	}
	queues := map[*queue]bool{}
	for _, h := range settled {
		apply(h)
		queues[h.queue] = true
	}
	for q := range queues {
		ch.connection.broker.deliver(q)
	}
}

// requeue puts a delivery in its queue again, where it was, with the flag set.
func (b *Broker) requeue(h unsettled) {
	h.message.redelivered = true
	h.queue.counts.Requeued++
	b.enqueue(h.queue, h.message)
}

func (b *Broker) acceptLoop() {
	for {
		n, err := b.listener.Accept()
		if err != nil {
			return
		}
		b.mu.Lock()
		b.accepted++
		c := &connection{broker: b, netConn: n, number: b.accepted, channels: map[uint16]*channel{}, outgoing: make(chan []byte, 1<<16)}
		b.connections[c] = true
		b.mu.Unlock()
		go c.writeLoop()
		go c.serve()
	}
}

// Package broker is a fake message broker: the server's side of AMQP 0-9-1, written from the specification, as far as
// the consumer here uses it. It counts every delivery and settlement, and fails by a script.
package broker

import (
	"context"
	"net"
	"slices"
	"sync"

	amqp "github.com/rabbitmq/amqp091-go"
)

// Counts are what happened to a queue's messages.
type Counts struct {
	Published   int
	Delivered   int
	Redelivered int // contained in Delivered
	Acked       int
	Requeued    int
	Rejected    int
	Expired     int

	// What there is now.
	Ready     int
	Unsettled int
	Consumers int
}

// Broker is the fake broker. Its methods may be called from any goroutine.
type Broker struct {
	listener net.Listener

	mu           sync.Mutex // guards all below, and all in queues, connections and channels
	queues       map[string]*queue
	bindings     map[string]map[string][]string // exchange, routing key, queues
	connections  map[*connection]bool
	accepted     int    // connections
	lastSequence uint64 // of a message
	faults       []Fault
	refuseLogins bool
	blocked      bool
	silent       bool
	frameCounts  map[int]int // by a connection's number
	violations   []string
}

// New starts a broker on a free port of the loopback address.
func New() *Broker {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	return NewOnListener(listener)
}

// NewOnListener starts a broker on a listener, for instance one with TLS.
func NewOnListener(listener net.Listener) *Broker {
	b := &Broker{
		listener:    listener,
		queues:      map[string]*queue{},
		bindings:    map[string]map[string][]string{},
		connections: map[*connection]bool{},
		frameCounts: map[int]int{},
	}
	go b.acceptLoop()
	return b
}

func (b *Broker) acceptLoop() {
	for {
		netConn, err := b.listener.Accept()
		if err != nil {
			return
		}
		c := b.newConnection(netConn)
		go c.writeLoop()
		go c.serve()
	}
}

// Addr is where clients connect to.
func (b *Broker) Addr() string { return b.listener.Addr().String() }

// URL is Addr with the credentials of a user that is let in.
func (b *Broker) URL() string { return "amqp://guest:guest@" + b.Addr() + "/" }

// Close ends the broker with all its connections.
func (b *Broker) Close() {
	_ = b.listener.Close() // it listens no more, either way
	b.DropConnections()
}

// DropConnections ends all connections without a word. New ones are accepted.
func (b *Broker) DropConnections() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for c := range b.connections {
		c.drop()
	}
}

// SetFaults replaces the faults to come.
func (b *Broker) SetFaults(faults ...Fault) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.faults = faults
}

// RefuseLogins has logins refused.
func (b *Broker) RefuseLogins(on bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refuseLogins = on
}

// SetSilent has what comes from clients dropped, heartbeats too.
func (b *Broker) SetSilent(on bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.silent = on
}

// SetBlocked tells all clients that no messages are taken for now, or that they are again.
func (b *Broker) SetBlocked(on bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.blocked = on
	for c := range b.connections {
		if on {
			c.sendBlocked()
		} else {
			c.sendMethod(0, newMethod(connectionUnblocked))
		}
	}
}

// CloseConsumerChannels closes all channels that consume, as after a wrong settlement.
func (b *Broker) CloseConsumerChannels() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for c := range b.connections {
		for _, ch := range c.channels {
			if len(ch.consumers) > 0 {
				ch.closeWithError(replyPreconditionFailed, "PRECONDITION_FAILED")
			}
		}
	}
}

// DeclareQueue makes a queue if there is none of the name.
func (b *Broker) DeclareQueue(name string, args amqp.Table) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.declare(name, args)
}

// DeleteQueue takes a queue away, and tells its consumers.
func (b *Broker) DeleteQueue(name string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	q := b.queues[name]
	if q == nil {
		return
	}
	delete(b.queues, name)
	for _, c := range q.consumers {
		delete(c.channel.consumers, c.tag)
		c.channel.send(newMethod(basicCancel).shortString(c.tag).boolean(true))
	}
}

// Publish puts a message in a queue, which it makes if there is none of the name.
func (b *Broker) Publish(name string, p amqp.Publishing) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.enqueue(b.declare(name, nil), &message{Publishing: p, routingKey: name})
}

// DrainQueue gives and removes all that is ready in a queue.
func (b *Broker) DrainQueue(name string) (messages []amqp.Publishing) {
	b.mu.Lock()
	defer b.mu.Unlock()
	q := b.queues[name]
	if q == nil {
		return nil
	}
	for _, m := range q.ready {
		messages = append(messages, m.Publishing)
	}
	q.ready = nil
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
	counts := q.counts
	counts.Ready = len(q.ready)
	counts.Consumers = len(q.consumers)
	for c := range b.connections {
		for _, ch := range c.channels {
			counts.Unsettled += ch.unsettledOf(q)
		}
	}
	return counts
}

// Connections tells how many connections were accepted, and how many stand.
func (b *Broker) Connections() (accepted, standing int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.accepted, len(b.connections)
}

// FrameCount tells how many frames passed on a connection, by its number, behind the handshake.
func (b *Broker) FrameCount(connection int) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.frameCounts[connection]
}

// Violations tells what clients did that the specification forbids, or that the fake does not know.
func (b *Broker) Violations() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.violations)
}

func (b *Broker) recordViolation(text string) { b.violations = append(b.violations, text) }

// Package broker is a fake message broker. It implements the server's side of AMQP 0-9-1 from the specification,
// limited to the parts that this project's consumer uses. It counts every delivery and settlement, and injects
// scripted faults.
package broker

import (
	"context"
	"net"
	"slices"
	"sync"

	amqp "github.com/rabbitmq/amqp091-go"
)

// Counts holds the counters of a queue.
type Counts struct {
	Published   int
	Delivered   int
	Redelivered int // included in Delivered
	Acked       int
	Requeued    int
	Rejected    int
	Expired     int

	// The current numbers of ready messages, unsettled deliveries and consumers.
	Ready     int
	Unsettled int
	Consumers int
}

// Broker is the fake broker. Its methods may be called from any goroutine.
type Broker struct {
	listener net.Listener

	mu           sync.Mutex // guards the fields below and the state of queues, connections and channels
	queues       map[string]*queue
	bindings     map[string]map[string][]string // queue names by exchange and routing key
	connections  map[*connection]bool
	accepted     int    // number of connections accepted so far
	lastSequence uint64 // sequence number of the newest message
	faults       []Fault
	refuseLogins bool
	blocked      bool
	silent       bool
	frameCounts  map[int]int // by connection number
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

// Addr returns the address that accepts clients.
func (b *Broker) Addr() string { return b.listener.Addr().String() }

// URL returns the AMQP URL of the broker with the credentials of a user whose login is accepted.
func (b *Broker) URL() string { return "amqp://guest:guest@" + b.Addr() + "/" }

// Close stops the broker and closes all connections.
func (b *Broker) Close() {
	_ = b.listener.Close() // the listener is closed even if Close returns an error
	b.DropConnections()
}

// DropConnections closes the sockets of all connections without sending connection.close. New connections are accepted.
func (b *Broker) DropConnections() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for c := range b.connections {
		c.drop()
	}
}

// DropConnection closes the socket of the connection with the given number, counted from 1, as DropConnections does.
func (b *Broker) DropConnection(number int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for c := range b.connections {
		if c.number == number {
			c.drop()
		}
	}
}

// SetFaults replaces the list of scripted faults.
func (b *Broker) SetFaults(faults ...Fault) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.faults = faults
}

// RefuseLogins sets whether logins are refused.
func (b *Broker) RefuseLogins(on bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refuseLogins = on
}

// SetSilent sets whether all frames from clients, including heartbeats, are ignored.
func (b *Broker) SetSilent(on bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.silent = on
}

// SetBlocked notifies all clients that the broker does not accept published messages, or that it accepts them again.
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

// CloseConsumerChannels closes all channels that have consumers, with the error that follows an invalid settlement.
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

// DeclareQueue creates a queue if none has that name.
func (b *Broker) DeclareQueue(name string, args amqp.Table) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.declare(name, args)
}

// DeleteQueue deletes a queue and sends basic.cancel to its consumers.
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

// Publish adds a message to a queue, and creates the queue if none has that name.
func (b *Broker) Publish(name string, p amqp.Publishing) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.enqueue(b.declare(name, nil), &message{Publishing: p, routingKey: name})
}

// DrainQueue removes and returns all ready messages of a queue.
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

// Counts returns the counters of a queue. They are all 0 if the queue does not exist.
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
			counts.Unsettled += ch.unsettledCount(q)
		}
	}
	return counts
}

// Connections returns the number of connections accepted so far and the number of open connections.
func (b *Broker) Connections() (accepted, open int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.accepted, len(b.connections)
}

// FrameCount returns the number of frames sent and received after the handshake on the connection with the given
// number.
func (b *Broker) FrameCount(connection int) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.frameCounts[connection]
}

// Violations returns descriptions of the client actions that the specification forbids or the fake does not support.
func (b *Broker) Violations() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.violations)
}

func (b *Broker) recordViolation(text string) { b.violations = append(b.violations, text) }

package broker

import (
	"slices"
	"time"

	amqp "github.com/rabbitmq/amqp091-go"
)

// The queue arguments that are supported.
const (
	argMaxPriority          = "x-max-priority"
	argMessageTTL           = "x-message-ttl" // milliseconds
	argDeadLetterExchange   = "x-dead-letter-exchange"
	argDeadLetterRoutingKey = "x-dead-letter-routing-key"
)

// queue is a message queue. Broker.mu guards it, as it guards all other types in this file.
type queue struct {
	name         string
	args         amqp.Table
	ready        []*message // sorted by priority, if the queue has priorities, and then by sequence
	consumers    []*consumer
	nextConsumer int // index of the consumer that is considered first for the next delivery
	counts       Counts
}

type message struct {
	amqp.Publishing
	sequence    uint64 // 0 until the message is added to a queue
	exchange    string // exchange to which it was published or dead-lettered
	routingKey  string
	redelivered bool
	expiry      time.Time // when it expires in its queue; the zero Time: never
	ownExpiry   bool      // expiry comes from its expiration, not from its queue
}

// consumer is a consumer of a queue on a channel.
type consumer struct {
	tag     string
	channel *channel
	queue   *queue
	noAck   bool
}

// hasRoom reports whether the prefetch limit of the consumer's channel allows one more delivery.
func (c *consumer) hasRoom() bool {
	return c.channel.prefetch == 0 || len(c.channel.unsettled) < c.channel.prefetch
}

func (b *Broker) declare(name string, args amqp.Table) *queue {
	q := b.queues[name]
	if q == nil {
		q = &queue{name: name, args: args}
		b.queues[name] = q
	}
	return q
}

// enqueue adds a message to a queue: a new message at the end, a requeued one at its earlier position, and with its
// earlier time of expiry. In a queue with priorities these are the positions within the message's priority.
func (b *Broker) enqueue(q *queue, added *message) {
	now := time.Now()
	if added.sequence == 0 {
		b.lastSequence++
		added.sequence = b.lastSequence
		q.counts.Published++
		added.setExpiry(q, now)
	} else if added.hasExpired(now) {
		q.counts.Expired++
		b.deadLetter(q, added, reasonExpired)
		return
	}
	index, _ := slices.BinarySearchFunc(q.ready, added, q.compare)
	q.ready = slices.Insert(q.ready, index, added)
	if !added.expiry.IsZero() {
		time.AfterFunc(added.expiry.Sub(now), func() { b.expire(q, added) })
	}
	b.deliver(q)
}

// setExpiry sets the time at which a message expires in a queue.
func (m *message) setExpiry(q *queue, now time.Time) {
	ttl, expires := q.ttlOf(m)
	if !expires {
		return
	}
	ownTTL, hasOwnTTL := m.ttl()
	m.expiry = now.Add(ttl)
	m.ownExpiry = hasOwnTTL && ownTTL == ttl
}

func (m *message) hasExpired(now time.Time) bool { return !m.expiry.IsZero() && !now.Before(m.expiry) }

// ttl returns the message's own time to live, if it has a valid one.
func (m *message) ttl() (ttl time.Duration, isValid bool) {
	ttl, err := time.ParseDuration(m.Expiration + "ms")
	return ttl, err == nil && ttl >= 0
}

// compare returns a negative number if x comes before y in the queue, and a positive number if it comes after y.
func (q *queue) compare(x, y *message) int {
	if _, hasPriorities := q.args[argMaxPriority]; hasPriorities && x.Priority != y.Priority {
		return int(y.Priority) - int(x.Priority)
	}
	return int(x.sequence) - int(y.sequence)
}

// ttlOf returns how long a message may stay ready: the shorter of its own time to live and the queue's.
func (q *queue) ttlOf(m *message) (ttl time.Duration, expires bool) {
	ttl, expires = m.ttl()
	if ms, hasTTL := toInt64(q.args[argMessageTTL]); hasTTL {
		if queueTTL := time.Duration(ms) * time.Millisecond; !expires || queueTTL < ttl {
			ttl = queueTTL
			expires = queueTTL >= 0
		}
	}
	return ttl, expires
}

func toInt64(x any) (value int64, isInteger bool) {
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
	index := slices.Index(q.ready, m)
	if index < 0 { // the message was delivered or drained
		return
	}
	q.ready = slices.Delete(q.ready, index, index+1)
	q.counts.Expired++
	b.deadLetter(q, m, reasonExpired)
}

// route adds a message to each queue that its routing key is bound to. If there is none, the message is lost.
func (b *Broker) route(exchange, key string, p amqp.Publishing) {
	names := []string{key} // the default exchange routes to the queue that the key names
	if exchange != "" {
		names = b.bindings[exchange][key]
	}
	for _, name := range names {
		if q := b.queues[name]; q != nil {
			b.enqueue(q, &message{Publishing: p, exchange: exchange, routingKey: key})
		}
	}
}

func (b *Broker) bind(queueName, exchange, key string) {
	b.declareExchange(exchange)
	b.bindings[exchange][key] = append(b.bindings[exchange][key], queueName)
}

func (b *Broker) declareExchange(name string) {
	if b.bindings[name] == nil {
		b.bindings[name] = map[string][]string{}
	}
}

// deliver delivers ready messages in turn to the consumers whose prefetch limit allows it.
func (b *Broker) deliver(q *queue) {
	for len(q.ready) > 0 {
		receiver := q.selectConsumer()
		if receiver == nil {
			return
		}
		m := q.ready[0]
		q.ready = q.ready[1:]
		q.counts.Delivered++
		if m.redelivered {
			q.counts.Redelivered++
		}
		receiver.channel.deliver(receiver, m)
	}
}

// selectConsumer returns the next consumer whose prefetch limit allows a delivery, or nil if there is none.
func (q *queue) selectConsumer() *consumer {
	for i := range q.consumers {
		index := (q.nextConsumer + i) % len(q.consumers)
		if c := q.consumers[index]; c.hasRoom() {
			q.nextConsumer = (index + 1) % len(q.consumers)
			return c
		}
	}
	return nil
}

func (q *queue) removeConsumer(removed *consumer) {
	q.consumers = slices.DeleteFunc(q.consumers, func(c *consumer) bool { return c == removed })
}

// requeue returns the message of a delivery to its earlier position in the queue and marks it as redelivered.
func (b *Broker) requeue(u unsettled) {
	u.message.redelivered = true
	u.queue.counts.Requeued++
	b.enqueue(u.queue, u.message)
}

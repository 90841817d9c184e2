package broker

import (
	"fmt"

	amqp "github.com/rabbitmq/amqp091-go"
)

// channel is a channel of a connection. Broker.mu guards it, as it guards all other types in this file.
type channel struct {
	connection *connection
	id         uint16
	prefetch   int // maximum number of unsettled deliveries; 0 means no limit
	consumers  map[string]*consumer
	unsettled  []unsettled
	lastTag    uint64 // the last delivery tag
	confirms   bool   // published messages are confirmed
	published  uint64 // number of messages published in confirm mode

	// The message being published: its method has arrived, its header or a part of its body has not.
	exchange      string
	routingKey    string
	publishing    *amqp.Publishing // nil if no message is being published
	remainingBody int              // bytes of the body that have not arrived
}

// unsettled is a delivery that the client has not settled.
type unsettled struct {
	tag     uint64
	message *message
	queue   *queue
}

func (ch *channel) send(method *payloadWriter) { ch.connection.sendMethod(ch.id, method) }

func (ch *channel) closeWithError(code uint16, text string) {
	ch.connection.closeChannel(ch)
	ch.send(newClose(channelClose, code, text))
}

// unsettledCount returns the number of unsettled deliveries from a queue.
func (ch *channel) unsettledCount(q *queue) int {
	count := 0
	for _, u := range ch.unsettled {
		if u.queue == q {
			count++
		}
	}
	return count
}

// handleMethod executes a method of the channel.
func (ch *channel) handleMethod(r *payloadReader) {
	switch id := r.method(); id {
	case channelClose:
		ch.connection.closeChannel(ch)
		ch.send(newMethod(channelCloseOK))
	case channelCloseOK:
	case exchangeDeclare:
		r.u16() // reserved, as in the methods below
		ch.connection.broker.declareExchange(r.shortString())
		ch.send(newMethod(exchangeDeclareOK))
	case queueDeclare:
		ch.declareQueue(r)
	case queueBind:
		r.u16()
		queueName, exchange, key := r.shortString(), r.shortString(), r.shortString()
		ch.connection.broker.bind(queueName, exchange, key)
		ch.send(newMethod(queueBindOK))
	case basicQos:
		ch.setPrefetch(r)
	case basicConsume:
		ch.consume(r)
	case basicCancel:
		ch.cancel(r.shortString())
	case basicPublish:
		r.u16()
		ch.exchange = r.shortString()
		ch.routingKey = r.shortString()
		ch.publishing = &amqp.Publishing{}
		ch.remainingBody = 0
	case basicAck:
		tag, bits := r.u64(), r.u8()
		ch.settle(tag, bits&ackMultiple != 0, func(u unsettled) { u.queue.counts.Acked++ })
	case basicReject:
		tag, bits := r.u64(), r.u8()
		ch.reject(tag, false, bits&rejectRequeue != 0)
	case basicNack:
		tag, bits := r.u64(), r.u8()
		ch.reject(tag, bits&nackMultiple != 0, bits&nackRequeue != 0)
	case confirmSelect:
		ch.confirms = true
		ch.send(newMethod(confirmSelectOK))
	default:
		ch.connection.broker.recordViolation(id.String())
	}
}

func (ch *channel) declareQueue(r *payloadReader) {
	b := ch.connection.broker
	r.u16()
	name, bits := r.shortString(), r.u8()
	if bits&declarePassive != 0 && b.queues[name] == nil {
		ch.closeNotFound(name)
		return
	}
	q := b.declare(name, r.table())
	reply := newMethod(queueDeclareOK).shortString(name)
	ch.send(reply.u32(uint32(len(q.ready))).u32(uint32(len(q.consumers))))
}

func (ch *channel) closeNotFound(queueName string) {
	ch.closeWithError(replyNotFound, fmt.Sprintf("NOT_FOUND - no queue '%s'", queueName))
}

func (ch *channel) setPrefetch(r *payloadReader) {
	r.u32() // the limit in bytes; RabbitMQ does not support it either
	ch.prefetch = int(r.u16())
	ch.send(newMethod(basicQosOK))
	for _, c := range ch.consumers {
		ch.connection.broker.deliver(c.queue)
	}
}

func (ch *channel) consume(r *payloadReader) {
	r.u16()
	name, tag, bits := r.shortString(), r.shortString(), r.u8()
	q := ch.connection.broker.queues[name]
	if q == nil {
		ch.closeNotFound(name)
		return
	}
	added := &consumer{tag: tag, channel: ch, queue: q, noAck: bits&consumeNoAck != 0}
	ch.consumers[tag] = added
	q.consumers = append(q.consumers, added)
	ch.send(newMethod(basicConsumeOK).shortString(tag))
	ch.connection.broker.deliver(q)
}

// cancel removes a consumer. The messages that were delivered to it stay unsettled.
func (ch *channel) cancel(tag string) {
	if c := ch.consumers[tag]; c != nil {
		delete(ch.consumers, tag)
		c.queue.removeConsumer(c)
	}
	ch.send(newMethod(basicCancelOK).shortString(tag))
}

// deliver sends a message to a consumer of the channel.
func (ch *channel) deliver(to *consumer, m *message) {
	ch.lastTag++
	if !to.noAck {
		ch.unsettled = append(ch.unsettled, unsettled{tag: ch.lastTag, message: m, queue: to.queue})
	}
	method := newMethod(basicDeliver).shortString(to.tag).u64(ch.lastTag).boolean(m.redelivered)
	ch.send(method.shortString(m.exchange).shortString(m.routingKey))
	const weight = 0 // reserved
	header := (&payloadWriter{}).u16(classBasic).u16(weight).u64(uint64(len(m.Body))).properties(&m.Publishing)
	ch.connection.writeFrame(frame{kind: frameHeader, channel: ch.id, payload: header.buffer})
	for rest := m.Body; len(rest) > 0; {
		n := min(len(rest), maxFrameBytes-frameOverhead)
		ch.connection.writeFrame(frame{kind: frameBody, channel: ch.id, payload: rest[:n]})
		rest = rest[n:]
	}
}

// reject settles deliveries by requeueing or dead-lettering their messages.
func (ch *channel) reject(tag uint64, multiple, requeue bool) {
	b := ch.connection.broker
	ch.settle(tag, multiple, func(u unsettled) {
		if requeue {
			b.requeue(u)
			return
		}
		u.queue.counts.Rejected++
		b.deadLetter(u.queue, u.message, reasonRejected)
	})
}

// settle settles a delivery, or all deliveries up to it if multiple is true, and calls apply for each. Tag 0 with
// multiple means all deliveries. A tag that matches no unsettled delivery closes the channel.
func (ch *channel) settle(tag uint64, multiple bool, apply func(unsettled)) {
	var kept, settled []unsettled
	for _, u := range ch.unsettled {
		if u.tag == tag || multiple && (tag == 0 || u.tag <= tag) {
			settled = append(settled, u)
		} else {
			kept = append(kept, u)
		}
	}
	ch.unsettled = kept
	if len(settled) == 0 {
		ch.connection.broker.recordViolation("settled an unknown delivery")
		ch.closeWithError(replyPreconditionFailed, "PRECONDITION_FAILED - unknown delivery tag")
		return
	}
	queues := map[*queue]bool{}
	for _, u := range settled {
		apply(u)
		queues[u.queue] = true
	}
	for q := range queues {
		ch.connection.broker.deliver(q)
	}
}

// handleHeader reads the content header of the message being published.
func (ch *channel) handleHeader(r *payloadReader) {
	r.u32() // class and weight
	ch.remainingBody = int(r.u64())
	*ch.publishing = r.properties()
	ch.routeWhenComplete()
}

// handleBody appends a part of the body of the message being published.
func (ch *channel) handleBody(part []byte) {
	ch.publishing.Body = append(ch.publishing.Body, part...)
	ch.remainingBody -= len(part)
	ch.routeWhenComplete()
}

// routeWhenComplete routes the message being published if its body is complete.
func (ch *channel) routeWhenComplete() {
	if ch.remainingBody > 0 {
		return
	}
	p := *ch.publishing
	ch.publishing = nil
	ch.connection.broker.route(ch.exchange, ch.routingKey, p)
	if ch.confirms {
		ch.published++
		ch.send(newMethod(basicAck).u64(ch.published).boolean(false))
	}
}

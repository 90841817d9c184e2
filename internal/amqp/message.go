package amqp

import (
	"bytes"
	"fmt"
	"log/slog"
	"time"

	"lanewheel/admission"
	"lanewheel/internal/amqp/delivery"
	"lanewheel/internal/frontend"
)

// maxLoggedBytes bounds what a message or a broker can write into a log line.
const maxLoggedBytes = 64

// truncate bounds text from outside for the log.
func truncate(s string) string { return s[:min(len(s), maxLoggedBytes)] }

// pendingMessage is a message in flight. It is the frontend.Responder of its request: those methods are called on the
// server's event loop, all else belongs to the consumer's.
type pendingMessage struct {
	consumer *Consumer
	queue    *Queue
	message  parsedMessage
	finished bool // its outcome has arrived
}

// handleDelivery takes one delivery, which was read on a goroutine of its channel.
func (c *Consumer) handleDelivery(queue *Queue, message parsedMessage, tag delivery.Tag, redelivered bool) {
	if c.session == nil || c.session.channelOf(queue.Name, tag) == nil {
		return // its channel is gone; the broker delivers it again
	}
	c.flow.RecordDelivery(queue.Name)
	c.session.trackDelivery(queue.Name, tag)
	if c.draining {
		c.counters.events[eventReturnedAtDrain]++
		c.session.giveBack(queue.Name, tag, delivery.Requeue)
		return
	}
	decision, earlier := c.deduplicator.Receive(c.Now(), delivery.Arrival{
		ID:          message.id,
		Digest:      message.digest,
		Tag:         tag,
		Redelivered: redelivered,
		Idempotent:  c.isIdempotent(&message),
	})
	conflict := decision == delivery.IDConflict
	if conflict {
		// Under its own id it would be confused with the other message, so its content becomes part of its id. It is
		// not going to be executed, so a redelivery does no harm.
		message.id = delivery.MessageID(fmt.Sprintf("%s#%x", message.id, message.digest))
		decision, earlier = c.deduplicator.Receive(c.Now(), delivery.Arrival{
			ID:         message.id,
			Digest:     message.digest,
			Tag:        tag,
			Idempotent: true,
		})
	}
	pending := &pendingMessage{consumer: c, queue: queue, message: message}
	switch decision {
	case delivery.Join:
		c.counters.events[eventJoined]++
	case delivery.AlreadyReplied:
		c.counters.events[eventRepeated]++
		c.session.ack(queue.Name, tag)
	case delivery.ResendReply:
		c.counters.events[eventReplyResent]++
		c.resendReply(pending, earlier, tag)
	case delivery.Uncertain:
		c.settle(pending, nil, c.disposition(pending, delivery.MayHaveExecuted, 0), "")
	case delivery.Process, delivery.IDConflict:
		if conflict {
			c.settle(pending, nil, c.disposition(pending, delivery.DuplicateID, 0), "")
			return
		}
		if message.attempt == 0 && !redelivered {
			c.retryBudget.CountFresh()
		}
		c.submit(pending)
	}
}

func (c *Consumer) isIdempotent(message *parsedMessage) bool {
	return c.config.IdempotentClasses[admission.Class(message.request.Class)]
}

// resendReply publishes the reply of an earlier delivery again, as nobody knows whether the broker got it.
func (c *Consumer) resendReply(pending *pendingMessage, earlier *reply, tag delivery.Tag) {
	s := c.session
	s.publishReply(earlier, func() {
		c.deduplicator.MarkReplyConfirmed(pending.message.id)
		s.ack(pending.queue.Name, tag)
	})
}

// submit hands a message to the server, but for one that can't be served.
func (c *Consumer) submit(pending *pendingMessage) {
	message := &pending.message
	c.inFlight[message.id] = pending
	switch {
	case message.defect != noDefect:
		c.complete(pending, delivery.Unservable, nil, frontend.ResponseMetadata{Reason: string(message.defect)})
	case !time.Now().Before(message.deadline):
		c.complete(pending, delivery.Expired, nil, frontend.ResponseMetadata{})
	default:
		c.postToServer(func() {
			c.server.Submit(message.request, c.credentials[pending.queue.Name], pending)
		})
	}
}

// disposition decides what becomes of a message.
func (c *Consumer) disposition(
	pending *pendingMessage, outcome delivery.Outcome, retryAfter time.Duration,
) delivery.Disposition {
	message := delivery.Message{
		PriorAttempts: max(pending.message.attempt, c.deduplicator.ReturnCount(pending.message.id)),
		Remaining:     time.Until(pending.message.deadline),
		Idempotent:    c.isIdempotent(&pending.message),
	}
	return c.retryBudget.Settle(message, pending.queue.Settlement, outcome, retryAfter, c.random.Float64())
}

// complete takes the outcome of a message.
func (c *Consumer) complete(
	pending *pendingMessage, outcome delivery.Outcome, result []byte, metadata frontend.ResponseMetadata,
) {
	if pending.finished {
		return
	}
	pending.finished = true
	if c.draining && outcome == delivery.Rejected {
		outcome = delivery.Drained
	}
	switch outcome {
	case delivery.Rejected:
		c.flow.RecordRejection()
	case delivery.Succeeded, delivery.Failed:
		c.flow.RecordOutcome(c.Now(), pending.queue.Name, outcome == delivery.Failed)
	default: // it says nothing of the server or the queue
	}
	disposition := c.disposition(pending, outcome, metadata.RetryAfter)
	if disposition.Delay > 0 {
		c.ScheduleAt(c.Now()+disposition.Delay, func() { c.settle(pending, result, disposition, metadata.Reason) })
		return
	}
	c.settle(pending, result, disposition, metadata.Reason)
}

// settle replies to a message, or gives it back to the broker.
func (c *Consumer) settle(
	pending *pendingMessage, result []byte, disposition delivery.Disposition, reason string,
) {
	id := pending.message.id
	delete(c.inFlight, id)
	if !disposition.Reply {
		tags := c.deduplicator.MarkReturned(c.Now(), id)
		c.counters.events[eventReturned]++
		c.giveBack(pending.queue.Name, tags, disposition.Action)
		return
	}
	c.counters.outcomes[disposition.Outcome]++
	c.logOutcome(pending, disposition.Outcome, reason)
	answer := newReply(&pending.message, result, disposition.Outcome, reason)
	tags := c.deduplicator.MarkReplied(c.Now(), id, answer)
	c.publishOutcome(pending, answer, disposition.DeadLetter, tags)
}

func (c *Consumer) giveBack(queue delivery.QueueName, tags []delivery.Tag, action delivery.Action) {
	if c.session == nil {
		return // the broker has the message back already
	}
	for _, tag := range tags {
		c.session.giveBack(queue, tag, action)
	}
}

func (c *Consumer) logOutcome(pending *pendingMessage, outcome delivery.Outcome, reason string) {
	if outcome == delivery.Succeeded || !c.logSampler.Allow(sampledLine{outcome: outcome}, time.Now()) {
		return
	}
	slog.Info("queue message not succeeded",
		"queue", string(pending.queue.Name),
		"outcome", outcome.String(),
		"reason", reason,
		"message_id", truncate(string(pending.message.id)),
		"attempt", pending.message.attempt)
}

// publishOutcome publishes the reply and the copy for the dead-letter queue, and acks the deliveries once the broker
// has confirmed both.
func (c *Consumer) publishOutcome(pending *pendingMessage, answer *reply, deadLetter bool, tags []delivery.Tag) {
	s := c.session
	if s == nil {
		return // the broker delivers the message again, and the reply is remembered
	}
	deadLetter = deadLetter && pending.queue.DeadLetterQueue != ""
	unconfirmed := 0
	if answer.replyTo != "" {
		unconfirmed++
	}
	if deadLetter {
		unconfirmed++
	}
	if unconfirmed == 0 {
		c.ackReplied(s, pending, answer.outcome, tags)
		return
	}
	onConfirmed := func() {
		unconfirmed--
		if unconfirmed == 0 {
			c.ackReplied(s, pending, answer.outcome, tags)
		}
	}
	if answer.replyTo != "" {
		s.publishReply(answer, onConfirmed)
	}
	if deadLetter {
		s.publishDeadLetter(pending, answer, onConfirmed)
	}
}

// ackReplied acks the deliveries of a message whose reply the broker has.
func (c *Consumer) ackReplied(
	s *session, pending *pendingMessage, outcome delivery.Outcome, tags []delivery.Tag,
) {
	c.deduplicator.MarkReplyConfirmed(pending.message.id)
	ack := func() {
		for _, tag := range tags {
			s.ack(pending.queue.Name, tag)
		}
	}
	if outcome == delivery.Succeeded || outcome == delivery.Failed {
		ack()
		return
	}
	c.paceAck(ack)
}

// report passes the outcome to the consumer's event loop; the result is the server's after the call.
func (m *pendingMessage) report(outcome delivery.Outcome, result []byte, metadata frontend.ResponseMetadata) {
	result = bytes.Clone(result)
	m.consumer.Post(func() { m.consumer.complete(m, outcome, result, metadata) })
}

// Succeed implements frontend.Responder.
func (m *pendingMessage) Succeed(result []byte, metadata frontend.ResponseMetadata) {
	m.report(delivery.Succeeded, result, metadata)
}

// Reject implements frontend.Responder.
func (m *pendingMessage) Reject(metadata frontend.ResponseMetadata) {
	m.report(delivery.Rejected, nil, metadata)
}

// Fail implements frontend.Responder.
func (m *pendingMessage) Fail(metadata frontend.ResponseMetadata) {
	m.report(delivery.Failed, nil, metadata)
}

// RejectPermanently implements frontend.Responder. A denial brings its reason along, all else has the code for one.
func (m *pendingMessage) RejectPermanently(code frontend.RejectionCode, metadata frontend.ResponseMetadata) {
	if metadata.Reason != "" {
		m.report(delivery.Denied, nil, metadata)
		return
	}
	metadata.Reason = string(code)
	m.report(delivery.Unservable, nil, metadata)
}

// Done implements frontend.Responder.
func (m *pendingMessage) Done() {}

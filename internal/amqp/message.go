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

// maxLoggedBytes limits the text from a message or a broker in a log line.
const maxLoggedBytes = 64

// truncateForLog limits external text to maxLoggedBytes.
func truncateForLog(s string) string { return s[:min(len(s), maxLoggedBytes)] }

// pendingMessage is a message in flight. It is the frontend.Responder of its request: the methods of that interface are
// called on the server's event loop; everything else is owned by the consumer's event loop.
type pendingMessage struct {
	consumer *Consumer
	queue    *Queue
	message  parsedMessage
	finished bool // the outcome has been received
	// resubmitted is set if this consumer has kept the message and submitted it again.
	resubmitted bool
}

// handleDelivery handles one delivery, which was read by the goroutine of its channel.
func (c *Consumer) handleDelivery(queue *Queue, message parsedMessage, tag delivery.Tag, redelivered bool) {
	if c.session == nil || c.session.channelOf(queue.Name, tag) == nil {
		return // the channel has closed; the broker redelivers the message
	}
	c.flow.RecordDelivery(queue.Name)
	c.session.trackDelivery(queue.Name, tag)
	if c.draining {
		action, ok := delivery.ReturnUnreceived(c.settlementMessage(&message), queue.Settlement, redelivered)
		if ok {
			c.counters.events[eventReturnedAtDrain]++
			c.session.returnDelivery(queue.Name, tag, action)
			return
		}
	}
	decision, earlierReply := c.deduplicator.Receive(c.Now(), delivery.Arrival{
		ID:          message.id,
		Content:     message.content,
		Deadline:    message.deadline,
		Tag:         tag,
		Redelivered: redelivered,
		Idempotent:  c.isIdempotent(&message),
	})
	conflict := decision == delivery.IDConflict
	if conflict {
		// Under its own id the message would be confused with the other one, so the digest of its content is added to
		// its id. It will not be executed, so a redelivery does no harm and the arrival is marked idempotent.
		message.id = delivery.MessageID(fmt.Sprintf("%s#%x", message.id, message.content.Digest))
		decision, earlierReply = c.deduplicator.Receive(c.Now(), delivery.Arrival{
			ID:         message.id,
			Content:    message.content,
			Deadline:   message.deadline,
			Tag:        tag,
			Idempotent: true,
		})
	}
	message.setDeadline(c.deduplicator.Deadline(message.id))
	pending := &pendingMessage{consumer: c, queue: queue, message: message}
	switch decision {
	case delivery.Join:
		c.counters.events[eventJoined]++
	case delivery.AlreadyReplied:
		c.counters.events[eventRepeated]++
		c.session.ack(queue.Name, tag)
	case delivery.ResendReply:
		c.counters.events[eventReplyResent]++
		c.publishOutcome(pending, earlierReply, []delivery.Tag{tag})
	case delivery.Uncertain:
		c.settle(pending, nil, c.decideDisposition(pending, delivery.MayHaveExecuted, 0), "")
	case delivery.Process, delivery.IDConflict:
		if conflict {
			c.settle(pending, nil, c.decideDisposition(pending, delivery.DuplicateID, 0), "")
			return
		}
		if message.priorAttempts == 0 && !redelivered {
			c.retryBudget.CountFresh()
		}
		c.submit(pending)
	}
}

// isIdempotent reports whether the class of a message may be executed twice.
func (c *Consumer) isIdempotent(message *parsedMessage) bool {
	return c.config.IdempotentClasses[admission.Class(message.request.Class)]
}

// submit submits a message to the server, or completes it at once if it has a defect or its deadline has passed.
func (c *Consumer) submit(pending *pendingMessage) {
	message := &pending.message
	c.inFlight[message.id] = pending
	switch {
	case message.defect != noDefect:
		c.complete(pending, delivery.Unservable, nil, frontend.ResponseMetadata{Reason: string(message.defect)})
	case !time.Now().Before(message.deadline.At):
		c.complete(pending, delivery.Expired, nil, frontend.ResponseMetadata{})
	case c.draining:
		c.complete(pending, delivery.Drained, nil, frontend.ResponseMetadata{})
	default:
		c.postToServer(func() {
			c.server.Submit(message.request, c.credentials[pending.queue.Name], pending)
		})
	}
}

// settlementMessage returns the properties of a message on which its settlement depends.
func (c *Consumer) settlementMessage(message *parsedMessage) delivery.Message {
	return delivery.Message{
		PriorAttempts:       max(message.priorAttempts, c.deduplicator.ReturnCount(message.id)),
		Remaining:           time.Until(message.deadline.At),
		DeadlineSource:      message.deadline.Source,
		Idempotent:          c.isIdempotent(message),
		ChangedByRetryQueue: message.changedByRetryQueue,
		RetryQueueShortens:  max(0, message.deadline.At.Sub(message.retryQueueDeadline)),
	}
}

// decideDisposition decides how to settle a message. A retry is taken from the budget.
func (c *Consumer) decideDisposition(
	pending *pendingMessage, outcome delivery.Outcome, retryAfter time.Duration,
) delivery.Disposition {
	message := c.settlementMessage(&pending.message)
	return c.retryBudget.Settle(message, pending.queue.Settlement, outcome, retryAfter, c.random.Float64())
}

// complete handles the outcome of a message. It ignores further outcomes of the same message.
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
	default: // the outcome has no bearing on the load of the server or the state of the queue
	}
	disposition := c.decideDisposition(pending, outcome, metadata.RetryAfter)
	if disposition.Delay > 0 {
		c.scheduleRetry(pending, disposition)
		return
	}
	c.settle(pending, result, disposition, metadata.Reason)
}

// settle replies to a message, or returns it to the broker, according to the disposition.
func (c *Consumer) settle(
	pending *pendingMessage, result []byte, disposition delivery.Disposition, reason string,
) {
	id := pending.message.id
	delete(c.inFlight, id)
	if !disposition.Reply {
		tags := c.deduplicator.MarkReturned(c.Now(), id, disposition.Action)
		c.counters.events[eventReturned]++
		c.returnDeliveries(pending.queue.Name, tags, disposition.Action)
		return
	}
	c.counters.outcomes[disposition.Outcome]++
	c.logOutcome(pending, disposition.Outcome, reason)
	outcomeReply := newReply(pending, result, disposition, reason)
	tags := c.deduplicator.MarkReplied(c.Now(), id, outcomeReply)
	c.publishOutcome(pending, outcomeReply, tags)
}

// returnDeliveries returns the deliveries of one message to the broker.
func (c *Consumer) returnDeliveries(queue delivery.QueueName, tags []delivery.Tag, action delivery.Action) {
	if c.session == nil {
		return // the broker took the message back when the connection closed
	}
	for _, tag := range tags {
		c.session.returnDelivery(queue, tag, action)
	}
}

// logOutcome logs an outcome other than Succeeded, unless the sampler suppresses the line.
func (c *Consumer) logOutcome(pending *pendingMessage, outcome delivery.Outcome, reason string) {
	if outcome == delivery.Succeeded || !c.logSampler.Allow(logLineKind{outcome: outcome}, time.Now()) {
		return
	}
	slog.Info("queue message did not succeed",
		"queue", string(pending.queue.Name),
		"outcome", outcome.String(),
		"reason", reason,
		"message_id", truncateForLog(string(pending.message.id)),
		"attempt", pending.message.priorAttempts)
}

// publishOutcome publishes the reply and the dead letter, if the message has them, and acks the deliveries once the
// broker has confirmed both. A message whose deliveries were lost with their channel is not replied to: the broker
// redelivers it, and the consumer that receives it then owes the reply. If that is this one, the deduplicator has kept
// the reply. A reply is published again if it is unknown whether the broker received it.
func (c *Consumer) publishOutcome(pending *pendingMessage, outcomeReply *reply, tags []delivery.Tag) {
	s := c.session
	if s == nil || len(tags) == 0 {
		c.counters.events[eventReplyKept]++
		return
	}
	unconfirmed := 0
	if outcomeReply.replyTo != "" {
		unconfirmed++
	}
	if outcomeReply.deadLetter {
		unconfirmed++
	}
	if unconfirmed == 0 {
		c.ackReplied(s, pending, outcomeReply.outcome, tags)
		return
	}
	onConfirmed := func() {
		unconfirmed--
		if unconfirmed == 0 {
			c.ackReplied(s, pending, outcomeReply.outcome, tags)
		}
	}
	if outcomeReply.replyTo != "" {
		s.publishReply(outcomeReply, onConfirmed)
	}
	if outcomeReply.deadLetter {
		s.publishDeadLetter(pending, outcomeReply, onConfirmed)
	}
}

// ackReplied acks the deliveries of a message whose reply the broker has confirmed, or that needs no reply. The acks of
// messages that were not executed are paced.
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

// report passes the outcome to the consumer's event loop. It copies the result, because the server owns the original
// after the call.
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

// RejectPermanently implements frontend.Responder. A rejection with a reason is a denial; otherwise the code is the
// reason.
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

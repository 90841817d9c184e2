package amqp

import (
	"fmt"
	"log/slog"
	"time"

	"lanewheel/admission"
	"lanewheel/internal/amqp/delivery"
	"lanewheel/internal/frontend"
)

// pendingMessage is one message in hand.
type pendingMessage struct {
	consumer *Consumer
	queue    *Queue
	message  parsedMessage
	finished bool // its outcome has come
}

// handleDelivery takes one delivery, read beside the loop.
func (p *Consumer) handleDelivery(queue *Queue, message parsedMessage, tag delivery.Tag, redelivered bool) {
	if p.session == nil || p.session.channelOf(queue.Name, tag) == nil {
		return // lost meanwhile; it comes again
	}
	p.flow.Received(queue.Name)
	p.session.trackDelivery(queue.Name, tag)
	if p.draining {
		p.counters["returned"]++
		p.session.requeue(queue.Name, tag)
		return
	}
	idempotent := p.config.IdempotentClasses[admission.Class(message.request.Class)]
	decision, earlier := p.deduplicator.Receive(p.Now(), delivery.Arrival{
		ID: message.id, Digest: message.digest, Tag: tag, Redelivered: redelivered, Idempotent: idempotent,
	})
	conflict := decision == delivery.IDConflict
	if conflict { // it is known by what it says, too
		message.id = delivery.MessageID(fmt.Sprintf("%s#%x", message.id, message.digest))
		decision, earlier = p.deduplicator.Receive(p.Now(), delivery.Arrival{
			ID: message.id, Digest: message.digest, Tag: tag, Idempotent: true,
		})
	}
	pending := &pendingMessage{consumer: p, queue: queue, message: message}
	switch decision {
	case delivery.Join: // in hand already; the delivery is settled with it
		p.counters["joined"]++
		return
	case delivery.AlreadyReplied:
		p.counters["repeated"]++
		p.session.ack(queue.Name, tag)
		return
	case delivery.ResendReply:
		p.counters["answered-again"]++
		s := p.session
		s.publishReply(earlier, func() {
			p.deduplicator.ReplyConfirmed(message.id)
			s.ack(queue.Name, tag)
		})
		return
	case delivery.Uncertain:
		p.settle(pending, nil, p.disposition(pending, delivery.MayHaveExecuted, 0), "")
		return
	}
	if conflict {
		p.settle(pending, nil, p.disposition(pending, delivery.DuplicateID, 0), "")
		return
	}
	if message.attempt == 0 && !redelivered {
		p.retryBudget.CountFresh()
	}
	p.inFlight[message.id] = pending
	switch {
	case message.defect != "":
		p.complete(pending, delivery.Unservable, nil, frontend.ResponseMetadata{Reason: message.defect})
	case !time.Now().Before(message.deadline): // the core does not hear of it
		p.complete(pending, delivery.Expired, nil, frontend.ResponseMetadata{})
	default:
		p.postToServer(func() { p.server.Submit(message.request, p.credentials[queue.Name], pending) })
	}
}

// disposition decides what becomes of a message.
func (p *Consumer) disposition(pending *pendingMessage, outcome delivery.Outcome, retryAfter time.Duration) delivery.Disposition {
	return p.retryBudget.Settle(delivery.Message{Attempt: max(pending.message.attempt, p.deduplicator.Returns(pending.message.id)), Remaining: time.Until(pending.message.deadline),
		Idempotent: p.config.IdempotentClasses[admission.Class(pending.message.request.Class)]}, pending.queue.Settlement, outcome, retryAfter, p.random.Float64())
}

// complete takes how the op of a message came out.
func (p *Consumer) complete(pending *pendingMessage, outcome delivery.Outcome, result []byte, metadata frontend.ResponseMetadata) {
	if pending.finished {
		return
	}
	pending.finished = true
	if p.draining && outcome == delivery.Rejected {
		outcome = delivery.Drained
	}
	switch outcome {
	case delivery.Rejected:
		p.flow.Rejected()
	case delivery.Succeeded, delivery.Failed:
		p.flow.Finished(p.Now(), pending.queue.Name, outcome == delivery.Failed)
	}
	disposition := p.disposition(pending, outcome, metadata.RetryAfter)
	if disposition.Delay > 0 {
		p.ScheduleAt(p.Now()+disposition.Delay, func() { p.settle(pending, result, disposition, metadata.Reason) })
		return
	}
	p.settle(pending, result, disposition, metadata.Reason)
}

func (p *Consumer) settle(pending *pendingMessage, result []byte, disposition delivery.Disposition, reason string) {
	delete(p.inFlight, pending.message.id)
	if !disposition.Reply {
		tags := p.deduplicator.Returned(p.Now(), pending.message.id)
		p.counters["put-back"]++
		if p.session == nil {
			return // the broker has it back already
		}
		for _, tag := range tags {
			if disposition.Action == delivery.Reject {
				p.session.reject(pending.queue.Name, tag)
			} else {
				p.session.requeue(pending.queue.Name, tag)
			}
		}
		return
	}
	answer := pending.newReply(result, disposition.Outcome.String(), reason)
	tags := p.deduplicator.Replied(p.Now(), pending.message.id, answer)
	p.publishOutcome(pending, answer, disposition, reason, tags)
}

// publishOutcome answers, copies to the dead-letter queue, and acks once both are confirmed.
func (p *Consumer) publishOutcome(pending *pendingMessage, answer *reply, disposition delivery.Disposition, reason string, tags []delivery.Tag) {
	p.counters[disposition.Outcome.String()]++
	if disposition.Outcome.String() != delivery.Succeeded.String() && p.outcomeLog.Allow(disposition.Outcome.String(), time.Now()) {
		slog.Info("message", "queue", pending.queue.Name, "code", disposition.Outcome.String(), "why", reason, "id", truncate(string(pending.message.id)), "attempt", pending.message.attempt)
	}
	s := p.session
	if s == nil {
		return // it comes again, and finds its answer remembered
	}
	deadLetter := disposition.DeadLetter && pending.queue.DeadLetterQueue != ""
	unconfirmed := 0 // for so many confirmations
	confirmed := func() {
		if unconfirmed--; unconfirmed > 0 {
			return
		}
		p.deduplicator.ReplyConfirmed(pending.message.id)
		ack := func() {
			for _, tag := range tags {
				s.ack(pending.queue.Name, tag)
			}
		}
		if executedOutcomes[disposition.Outcome.String()] {
			ack()
		} else {
			p.paceAck(ack)
		}
	}
	if deadLetter {
		unconfirmed++
	}
	if answer.replyTo != "" {
		unconfirmed++
		s.publishReply(answer, confirmed)
	}
	if deadLetter {
		s.publishDeadLetter(pending, disposition.Outcome.String(), reason, confirmed)
	}
	if unconfirmed == 0 {
		confirmed()
	}
}

// executedOutcomes are the outcomes of messages that were runs; the others never were.
var executedOutcomes = map[string]bool{delivery.Succeeded.String(): true, delivery.Failed.String(): true}

// truncate bounds what a message can write into the log.
func truncate(s string) string { return s[:min(len(s), 64)] }

// The rest is front.Owed, called on the core's loop.

func (j *pendingMessage) report(outcome delivery.Outcome, result []byte, metadata frontend.ResponseMetadata) {
	if result != nil {
		result = append(make([]byte, 0, len(result)), result...)
	}
	j.consumer.Post(func() { j.consumer.complete(j, outcome, result, metadata) })
}

func (j *pendingMessage) Succeed(result []byte, metadata frontend.ResponseMetadata) {
	j.report(delivery.Succeeded, result, metadata)
}
func (j *pendingMessage) Reject(metadata frontend.ResponseMetadata) {
	j.report(delivery.Rejected, nil, metadata)
}
func (j *pendingMessage) Fail(metadata frontend.ResponseMetadata) {
	j.report(delivery.Failed, nil, metadata)
}
func (j *pendingMessage) Done() {}

func (j *pendingMessage) RejectPermanently(code frontend.RejectionCode, metadata frontend.ResponseMetadata) {
	if metadata.Reason != "" {
		j.report(delivery.Denied, nil, metadata)
		return
	}
	metadata.Reason = string(code)
	j.report(delivery.Unservable, nil, metadata)
}

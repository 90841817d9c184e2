package amqp

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

	client "github.com/rabbitmq/amqp091-go"

	"lanewheel/internal/amqp/delivery"
)

// The headers of replies and dead letters. Their names are part of the protocol with clients.
const (
	outcomeHeader = "outcome"
	reasonHeader  = "why"
	queueHeader   = "queue"
	attemptHeader = "attempt"
)

// maxShortString is the maximum length of a property, in bytes. The client library closes the connection over a longer
// one.
const maxShortString = 255

// shortID returns an id that fits into a property: the id itself, or if it is too long, a hash of it.
func shortID(id string) string {
	if len(id) <= maxShortString {
		return id
	}
	sum := sha256.Sum256([]byte(id))
	return "sha256:" + hex.EncodeToString(sum[:])
}

// reply is a reply to a message.
type reply struct {
	replyTo       string // empty: the message has no reply queue
	correlationID string
	outcome       delivery.Outcome
	reason        string // empty: none
	messageID     delivery.MessageID
	body          []byte
	deadLetter    bool // the message is copied to the dead-letter queue, too
}

func newReply(pending *pendingMessage, result []byte, disposition delivery.Disposition, reason string) *reply {
	return &reply{
		replyTo:       pending.message.replyTo,
		correlationID: pending.message.correlationID,
		outcome:       disposition.Outcome,
		reason:        reason,
		messageID:     pending.message.id,
		body:          result,
		deadLetter:    disposition.DeadLetter && pending.queue.DeadLetterQueue != "",
	}
}

// outcomeHeaders returns the headers that replies and dead letters have in common.
func (r *reply) outcomeHeaders() client.Table {
	headers := client.Table{outcomeHeader: r.outcome.String()}
	if r.reason != "" {
		headers[reasonHeader] = r.reason
	}
	return headers
}

// publishReply publishes a reply. onConfirmed is called on the consumer's event loop once the broker has confirmed it.
// A reply is published again if it is unknown whether the broker received it. Its id is derived from the message's id,
// so that a client that receives it twice can recognize the duplicate.
func (s *session) publishReply(r *reply, onConfirmed func()) {
	s.publish(r.replyTo, client.Publishing{
		MessageId:     shortID("answer:" + string(r.messageID)),
		CorrelationId: r.correlationID,
		Type:          r.outcome.String(),
		Headers:       r.outcomeHeaders(),
		Body:          r.body,
		Timestamp:     time.Now(),
	}, onConfirmed)
}

// publishDeadLetter copies a message to its queue's dead-letter queue, with the outcome and the reason of its reply.
// onConfirmed is called as for publishReply.
func (s *session) publishDeadLetter(pending *pendingMessage, r *reply, onConfirmed func()) {
	message := &pending.message
	headers := r.outcomeHeaders()
	headers[queueHeader] = string(pending.queue.Name)
	headers[attemptHeader] = int64(message.priorAttempts)
	s.publish(pending.queue.DeadLetterQueue, client.Publishing{
		MessageId:     shortID(string(message.id)),
		CorrelationId: message.correlationID,
		ReplyTo:       message.replyTo,
		Type:          message.request.Class[:min(len(message.request.Class), maxShortString)],
		Headers:       headers,
		Body:          message.request.Body,
		DeliveryMode:  client.Persistent,
		Timestamp:     time.Now(),
	}, onConfirmed)
}

// publish publishes to a queue through the default exchange. The sequence number that the confirmation will carry is
// read right before the message is published. This is safe because only the writer publishes on this channel.
func (s *session) publish(queue string, message client.Publishing, onConfirmed func()) {
	s.mu.Lock()
	s.unconfirmed++
	s.mu.Unlock()
	s.enqueue(func() error {
		s.mu.Lock()
		s.onConfirm[s.replyChannel.GetNextPublishSeqNo()] = onConfirmed
		s.mu.Unlock()
		return s.replyChannel.Publish("", queue, false, false, message)
	})
}

// handleConfirmation handles a confirmation by the broker. If it is negative, the message stays unsettled and is
// redelivered when its channel closes. It is called on a goroutine of the session.
func (s *session) handleConfirmation(confirmation client.Confirmation) {
	s.mu.Lock()
	onConfirmed := s.onConfirm[confirmation.DeliveryTag]
	delete(s.onConfirm, confirmation.DeliveryTag)
	s.unconfirmed--
	s.mu.Unlock()
	if onConfirmed != nil && confirmation.Ack {
		s.consumer.Post(onConfirmed)
	}
}

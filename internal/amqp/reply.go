package amqp

import (
	"time"

	client "github.com/rabbitmq/amqp091-go"
)

// reply is an answer as it is published.
type reply struct {
	replyTo, correlationID, outcome, reason string
	messageID                               string // the message's id
	body                                    []byte
}

func (j *pendingMessage) newReply(result []byte, outcome, reason string) *reply {
	return &reply{replyTo: j.message.replyTo, correlationID: j.message.correlationID, outcome: outcome, reason: reason, messageID: string(j.message.id), body: result}
}

// publishReply publishes an answer; then is called once it is confirmed.
func (s *session) publishReply(answer *reply, onConfirmed func()) {
	headers := client.Table{"outcome": answer.outcome}
	if answer.reason != "" {
		headers["why"] = answer.reason
	}
	// Its id is the message's: whoever gets an answer twice, since nobody could tell whether the first one arrived, knows it again.
	s.publish(answer.replyTo, client.Publishing{MessageId: "answer:" + answer.messageID, CorrelationId: answer.correlationID, Type: answer.outcome, Headers: headers, Body: answer.body, Timestamp: time.Now()}, onConfirmed)
}

// publishDeadLetter copies a message to its queue's dead-letter queue, with the reason.
func (s *session) publishDeadLetter(pending *pendingMessage, outcome, reason string, onConfirmed func()) {
	headers := client.Table{"outcome": outcome, "queue": string(pending.queue.Name), "attempt": int64(pending.message.attempt)}
	if reason != "" {
		headers["why"] = reason
	}
	s.publish(pending.queue.DeadLetterQueue, client.Publishing{MessageId: string(pending.message.id), CorrelationId: pending.message.correlationID, ReplyTo: pending.message.replyTo,
		Type: pending.message.request.Class, Headers: headers, Body: pending.message.request.Body, DeliveryMode: client.Persistent, Timestamp: time.Now()}, onConfirmed)
}

func (s *session) publish(key string, message client.Publishing, onConfirmed func()) {
	s.mu.Lock()
	s.unconfirmed++
	s.mu.Unlock()
	s.enqueue(func() error {
		s.mu.Lock()
		s.onConfirm[s.replyChannel.GetNextPublishSeqNo()] = onConfirmed
		s.mu.Unlock()
		return s.replyChannel.Publish("", key, false, false, message)
	})
}

// handleConfirmation hears from the broker that it has what was published, or has not: then the message stays unsettled and comes again
// with its channel.
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

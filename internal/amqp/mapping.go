package amqp

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"slices"
	"strconv"
	"time"

	client "github.com/rabbitmq/amqp091-go"

	"lanewheel/admission"
	"lanewheel/internal/amqp/delivery"
	"lanewheel/internal/frontend"
)

const (
	maxCostMilliseconds       = 1e9
	maxExpirationMilliseconds = 1e12
)

// defect is the reason why a message cannot be served. The values are sent in replies and are part of the protocol with
// clients.
type defect string

const (
	noDefect      defect = ""
	badNumber     defect = "bad-number"
	badExpiration defect = "bad-expiration"
	badHeader     defect = "bad-header"
	tooLong       defect = "too-long"
)

// Mapping configures how the messages of a queue are read.
type Mapping struct {
	// The sources of the values of a request. Cost is in milliseconds of work, KB is the memory in KB.
	Class, Tenant, Subject, Rank, Cost, KB, Token Source

	DefaultTimeout time.Duration // timeout of a message without expiration
	// ClassTimeouts holds the timeouts of the classes, 0 for none. They limit the DefaultTimeout of a message whose
	// expiration the broker may have removed.
	ClassTimeouts map[admission.Class]time.Duration
	MaxBodyBytes  int
	DefaultRank   float64 // rank of a message without one
	DefaultKB     float64 // memory of a message without a value, in KB
}

// parsedMessage is a message after it has been read.
type parsedMessage struct {
	id            delivery.MessageID
	content       delivery.Content
	request       frontend.Request
	priorAttempts int // earlier attempts, as counted by the broker or by this instance
	replyTo       string
	correlationID string // correlation id of the reply
	deadline      delivery.Deadline
	defect        defect

	// changedByRetryQueue is set if the broker removes or replaces values of the message when it is dead-lettered.
	changedByRetryQueue bool
	// retryQueueDeadline is the deadline for a consumer that gets the message from the retry queue, if it has a timestamp
	// and no expiration.
	retryQueueDeadline time.Time
}

// read reads a message. now is used as the time of a message that has no timestamp and was not dead-lettered.
// filterDefect is the defect that the frame filter has found. Each delivery of a message yields the same id, class and
// tenant, and matching content. If the message has a timestamp, each yields the same deadline, unless the broker has
// removed the expiration and not kept it.
func (m *Mapping) read(
	queue delivery.QueueName, incoming *client.Delivery, filterDefect defect, now time.Time,
) parsedMessage {
	deaths := readDeaths(queue, incoming.Headers)
	published := deaths.restore(incoming)
	message := parsedMessage{
		replyTo:       published.ReplyTo,
		correlationID: published.CorrelationId,
		priorAttempts: deaths.rejections,
		defect:        filterDefect,
	}
	sum := m.contentHash(&published)
	message.content = m.contentOf(&published, sum)
	message.content.ExpirationUnknown = deaths.occurred && published.Expiration == ""
	message.id = delivery.MessageID(published.MessageId)
	if message.id == "" {
		message.id = delivery.MessageID("sha256:" + hex.EncodeToString(sum[:16]))
	}
	if message.correlationID == "" {
		message.correlationID = published.MessageId
	}
	m.readRequest(&message, queue, &published)
	m.readDeadline(&message, &published, deaths.latestSentTime(now))
	if deaths.occurred && incoming.Expiration == "" {
		message.deadline.Source = delivery.NotStated
	}
	message.changedByRetryQueue = incoming.Expiration != "" ||
		m.usesRoutingKey() && incoming.RoutingKey != string(queue)
	if len(published.Body) > m.MaxBodyBytes {
		message.markDefect(tooLong)
	}
	return message
}

// valueSources returns the sources of the values that are part of a message's content.
func (m *Mapping) valueSources() [6]Source {
	return [...]Source{m.Class, m.Tenant, m.Subject, m.Rank, m.Cost, m.KB}
}

// usesRoutingKey reports whether a value of a request is read from the routing key.
func (m *Mapping) usesRoutingKey() bool {
	routingKey := Source{Name: "routing-key"}
	sources := m.valueSources()
	return m.Token == routingKey || slices.Contains(sources[:], routingKey)
}

// contentHash hashes the content of a message without its id. The input must stay the same between versions of this
// program, because a redelivery may be read by another version and must have the same hash.
func (m *Mapping) contentHash(published *client.Delivery) []byte {
	var content []byte
	content = fmt.Appendf(content, "%q%q%q%q%d:",
		published.Type, published.ReplyTo, published.CorrelationId, published.Expiration, published.Timestamp.Unix())
	for _, source := range m.valueSources() {
		content = fmt.Appendf(content, "%q", source.value(published))
	}
	sum := sha256.Sum256(append(content, published.Body...))
	return sum[:]
}

// contentOf returns the content of a message whose contentHash is sum.
func (m *Mapping) contentOf(published *client.Delivery, sum []byte) delivery.Content {
	content := delivery.Content{Digest: binary.BigEndian.Uint64(sum)}
	content.WithoutExpiration = content.Digest
	if published.Expiration != "" {
		withoutExpiration := *published
		withoutExpiration.Expiration = ""
		content.WithoutExpiration = binary.BigEndian.Uint64(m.contentHash(&withoutExpiration))
	}
	return content
}

// readRequest fills in the request of a message, except for its timeout.
func (m *Mapping) readRequest(message *parsedMessage, queue delivery.QueueName, incoming *client.Delivery) {
	id := sha256.Sum256([]byte(string(queue) + "\x00" + string(message.id)))
	message.request = frontend.Request{
		ID:       hex.EncodeToString(id[:8]),
		Class:    m.Class.value(incoming),
		Tenant:   m.Tenant.value(incoming),
		Resource: m.Subject.value(incoming),
		Token:    m.Token.value(incoming),
		Rank:     m.DefaultRank,
		MemoryKB: m.DefaultKB,
		Body:     incoming.Body,
	}
	costMilliseconds := 0.0
	for _, number := range []struct {
		source Source
		value  *float64
	}{
		{m.Rank, &message.request.Rank},
		{m.KB, &message.request.MemoryKB},
		{m.Cost, &costMilliseconds},
	} {
		if !number.source.readNumber(incoming, number.value) {
			message.markDefect(badNumber)
		}
	}
	if costMilliseconds < 0 || costMilliseconds > maxCostMilliseconds {
		message.markDefect(badNumber)
		costMilliseconds = 0
	}
	message.request.WorkHint = time.Duration(costMilliseconds * float64(time.Millisecond))
}

// readDeadline reads when a message was sent, and its timeout, which is counted from that time. latestSentTime is used
// as the time of a message without a timestamp.
func (m *Mapping) readDeadline(message *parsedMessage, published *client.Delivery, latestSentTime time.Time) {
	sentAt := latestSentTime
	source := delivery.NotStated
	if !published.Timestamp.IsZero() {
		sentAt = published.Timestamp
		source = delivery.FromDefault
	}
	timeout := m.DefaultTimeout
	returnedTimeout := m.returnedTimeout(message.request.Class)
	switch {
	case published.Expiration != "":
		timeout = message.readExpiration(published.Expiration)
		if source == delivery.FromDefault {
			source = delivery.FromExpiration
		}
	case message.content.ExpirationUnknown:
		timeout = returnedTimeout
	}
	message.request.HasTimeout = true
	message.request.Timeout = timeout
	message.request.SentUnixMilli = sentAt.UnixMilli()
	message.deadline = delivery.Deadline{At: sentAt.Add(timeout), Source: source}
	message.retryQueueDeadline = sentAt.Add(returnedTimeout)
}

// returnedTimeout returns the timeout of a message whose expiration the broker may have removed. It may have stated
// less than the default, so it has no more time than its class.
func (m *Mapping) returnedTimeout(class string) time.Duration {
	if timeout := m.ClassTimeouts[admission.Class(class)]; timeout > 0 {
		return min(m.DefaultTimeout, timeout)
	}
	return m.DefaultTimeout
}

// readExpiration returns the timeout that an expiration states. An invalid one is a defect.
func (m *parsedMessage) readExpiration(expiration string) time.Duration {
	timeout, ok := parseExpiration(expiration)
	if !ok {
		m.markDefect(badExpiration)
	}
	return timeout
}

// parseExpiration parses an expiration, a number of milliseconds. For an invalid one it returns 0 and false.
func parseExpiration(expiration string) (timeout time.Duration, ok bool) {
	milliseconds, err := strconv.ParseInt(expiration, 10, 64)
	if err != nil || milliseconds < 0 || milliseconds > maxExpirationMilliseconds {
		return 0, false
	}
	return time.Duration(milliseconds) * time.Millisecond, true
}

// setDeadline replaces the deadline. Unless its time is the same, it replaces the timeout of the request, too.
func (m *parsedMessage) setDeadline(deadline delivery.Deadline) {
	isSameTime := deadline.At.Equal(m.deadline.At)
	m.deadline = deadline
	if isSameTime {
		return
	}
	m.request.Timeout = max(0, deadline.At.Sub(time.UnixMilli(m.request.SentUnixMilli)))
}

// markDefect records a defect. Only the first one is kept.
func (m *parsedMessage) markDefect(messageDefect defect) {
	if m.defect == noDefect {
		m.defect = messageDefect
	}
}

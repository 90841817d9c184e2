package amqp

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	client "github.com/rabbitmq/amqp091-go"

	"lanewheel/internal/amqp/delivery"
	"lanewheel/internal/frontend"
)

const (
	maxCostMilliseconds       = 1e9
	maxExpirationMilliseconds = 1e12
	maxAttemptCount           = 1e6
)

// defect is the reason why a message cannot be served. The values are part of the protocol of queues.
type defect string

const (
	noDefect      defect = ""
	badNumber     defect = "bad-number"
	badExpiration defect = "bad-expiration"
	badHeader     defect = "bad-header"
	tooLong       defect = "too-long"
)

// Source is the property or header of a message from which a value is read. The zero Source has no value.
type Source struct {
	Header bool
	Name   string
}

// propertyReaders return the properties from which a value can be read, by name.
var propertyReaders = map[string]func(*client.Delivery) string{
	"type":           func(d *client.Delivery) string { return d.Type },
	"app-id":         func(d *client.Delivery) string { return d.AppId },
	"user-id":        func(d *client.Delivery) string { return d.UserId },
	"content-type":   func(d *client.Delivery) string { return d.ContentType },
	"correlation-id": func(d *client.Delivery) string { return d.CorrelationId },
	"routing-key":    func(d *client.Delivery) string { return d.RoutingKey },
}

// ParseSource parses the name of a property, or "header:" followed by the name of a header. An empty text is the zero
// Source. Any other text is an error.
func ParseSource(text string) (Source, error) {
	if name, isHeader := strings.CutPrefix(text, "header:"); isHeader && name != "" {
		return Source{Header: true, Name: name}, nil
	}
	if _, isProperty := propertyReaders[text]; !isProperty && text != "" {
		const accepted = "header:NAME, or one of type, app-id, user-id, content-type, correlation-id, routing-key"
		return Source{}, fmt.Errorf("value source %q must be %s", text, accepted)
	}
	return Source{Name: text}, nil
}

// value returns the value in a message as text, or "" if there is none or its type is not supported.
func (s Source) value(d *client.Delivery) string {
	if !s.Header {
		if read := propertyReaders[s.Name]; read != nil {
			return read(d)
		}
		return ""
	}
	switch x := d.Headers[s.Name].(type) {
	case string:
		return x
	case []byte:
		return string(x)
	case int, int8, int16, int32, int64, uint8, uint16, uint32:
		return fmt.Sprint(x)
	case float32:
		return strconv.FormatFloat(float64(x), 'f', -1, 32)
	case float64:
		return strconv.FormatFloat(x, 'f', -1, 64)
	}
	return ""
}

// readNumber stores a finite number in value. It leaves value unchanged if the message has none. It returns false if
// the text is not a finite number.
func (s Source) readNumber(d *client.Delivery, value *float64) bool {
	text := s.value(d)
	if text == "" {
		return true
	}
	x, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(x) || math.IsInf(x, 0) {
		return false
	}
	*value = x
	return true
}

// Mapping configures how the messages of a queue are read.
type Mapping struct {
	Class, Tenant, Subject, Rank, Cost, KB, Token Source

	DefaultTimeout time.Duration // timeout of a message without expiration
	MaxBodyBytes   int
	DefaultRank    float64 // rank of a message without one
	DefaultKB      float64 // memory of a message without a value, in KB
}

// parsedMessage is a message after it has been read.
type parsedMessage struct {
	id            delivery.MessageID
	digest        uint64 // hash of its content
	request       frontend.Request
	priorAttempts int // earlier attempts, as counted by the broker
	replyTo       string
	correlationID string // correlation id of the reply
	deadline      time.Time
	defect        defect
}

// read reads a message. now is used as the time of a message without a timestamp. filterDefect is the defect that the
// frame filter has found. Each delivery of a message yields the same id and digest and, if the message has a timestamp,
// the same deadline.
func (m *Mapping) read(
	queue delivery.QueueName, incoming *client.Delivery, filterDefect defect, now time.Time,
) parsedMessage {
	message := parsedMessage{
		replyTo:       incoming.ReplyTo,
		correlationID: incoming.CorrelationId,
		priorAttempts: rejectionCount(queue, incoming.Headers),
		defect:        filterDefect,
	}
	sum := m.contentHash(incoming)
	message.digest = binary.BigEndian.Uint64(sum)
	message.id = delivery.MessageID(incoming.MessageId)
	if message.id == "" {
		message.id = delivery.MessageID("sha256:" + hex.EncodeToString(sum[:16]))
	}
	if message.correlationID == "" {
		message.correlationID = incoming.MessageId
	}
	m.readRequest(&message, queue, incoming)
	m.readTimeout(&message, incoming, now)
	if len(incoming.Body) > m.MaxBodyBytes {
		message.markDefect(tooLong)
	}
	return message
}

// contentHash hashes the content of a message without its id. The input must stay the same between versions of this
// program, because a redelivery may be read by another version and must have the same hash.
func (m *Mapping) contentHash(incoming *client.Delivery) []byte {
	var content []byte
	content = fmt.Appendf(content, "%q%q%q%q%d:",
		incoming.Type, incoming.ReplyTo, incoming.CorrelationId, incoming.Expiration, incoming.Timestamp.Unix())
	for _, source := range []Source{m.Class, m.Tenant, m.Subject, m.Rank, m.Cost, m.KB} {
		content = fmt.Appendf(content, "%q", source.value(incoming))
	}
	sum := sha256.Sum256(append(content, incoming.Body...))
	return sum[:]
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

// readTimeout reads when a message was sent, and its timeout, which is counted from that time.
func (m *Mapping) readTimeout(message *parsedMessage, incoming *client.Delivery, now time.Time) {
	timeout := m.DefaultTimeout
	if incoming.Expiration != "" {
		milliseconds, err := strconv.ParseInt(incoming.Expiration, 10, 64)
		if err != nil || milliseconds < 0 || milliseconds > maxExpirationMilliseconds {
			message.markDefect(badExpiration)
			milliseconds = 0
		}
		timeout = time.Duration(milliseconds) * time.Millisecond
	}
	sentAt := now
	if !incoming.Timestamp.IsZero() {
		sentAt = incoming.Timestamp
	}
	message.request.HasTimeout = true
	message.request.Timeout = timeout
	message.request.SentUnixMilli = sentAt.UnixMilli()
	message.deadline = sentAt.Add(timeout)
}

// markDefect records a defect. Only the first one is kept.
func (m *parsedMessage) markDefect(messageDefect defect) {
	if m.defect == noDefect {
		m.defect = messageDefect
	}
}

// rejectionCount returns how often the queue's consumers have rejected a message, as counted in the x-death header.
func rejectionCount(queue delivery.QueueName, headers client.Table) int {
	entries, _ := headers["x-death"].([]any)
	for _, x := range entries {
		entry, _ := x.(client.Table)
		if entry["queue"] != string(queue) || entry["reason"] != "rejected" {
			continue
		}
		switch n := entry["count"].(type) {
		case int64:
			return int(min(max(n, 0), maxAttemptCount))
		case int32:
			return int(max(n, 0))
		}
	}
	return 0
}

// Package amqp is the front for messages on queues (AMQP 0-9-1): it consumes, hands ops to the core, answers and settles. What
// it decides stands in intake; mapping.go and routes.go are pure as well.
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
	"lanewheel/internal/authz"
	"lanewheel/internal/frontend"
)

// Source is where a value is read in a message: a property, or a header.
type Source struct {
	Header bool
	Name   string
}

// properties are those that a value can come from.
var properties = map[string]func(*client.Delivery) string{
	"type":           func(d *client.Delivery) string { return d.Type },
	"app-id":         func(d *client.Delivery) string { return d.AppId },
	"user-id":        func(d *client.Delivery) string { return d.UserId },
	"content-type":   func(d *client.Delivery) string { return d.ContentType },
	"correlation-id": func(d *client.Delivery) string { return d.CorrelationId },
	"routing-key":    func(d *client.Delivery) string { return d.RoutingKey },
}

// ParseSource reads a source: the name of a property, or header: and a header's name. Empty is none.
func ParseSource(text string) (Source, error) {
	if name, isHeader := strings.CutPrefix(text, "header:"); isHeader && name != "" {
		return Source{Header: true, Name: name}, nil
	}
	if _, known := properties[text]; !known && text != "" {
		return Source{}, fmt.Errorf("%q: wants header:NAME, or one of type, app-id, user-id, content-type, correlation-id, routing-key", text)
	}
	return Source{Name: text}, nil
}

// value is what stands there; numbers come as text.
func (s Source) value(d *client.Delivery) string {
	if !s.Header {
		if read := properties[s.Name]; read != nil {
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

// Mapping is how the messages of a queue are read.
type Mapping struct {
	Class, Tenant, Subject, Rank, Cost, KB, Token Source
	DefaultWait                                   time.Duration // of a message without expiration
	MaxBodyBytes                                  int           // bytes of a body
	DefaultRank                                   float64       // where none is told
	DefaultKB                                     float64
}

// parsedMessage is a message as it was read.
type parsedMessage struct {
	id            delivery.MessageID
	request       frontend.Request
	digest        uint64 // of what it says
	attempt       int
	replyTo       string
	correlationID string // correlation id of its answer
	deadline      time.Time
	defect        string // why it can't be served, empty if it can be
}

// read reads a message; now is the wall clock, for one without a timestamp. A redelivery reads the same but for that.
func (m *Mapping) read(queue delivery.QueueName, incoming *client.Delivery, defect string, now time.Time) parsedMessage {
	message := parsedMessage{replyTo: incoming.ReplyTo, correlationID: incoming.CorrelationId, defect: defect}
	hash := sha256.New()
	fmt.Fprintf(hash, "%q%q%q%q%d:", incoming.Type, incoming.ReplyTo, incoming.CorrelationId, incoming.Expiration, incoming.Timestamp.Unix())
	for _, source := range []Source{m.Class, m.Tenant, m.Subject, m.Rank, m.Cost, m.KB} {
		fmt.Fprintf(hash, "%q", source.value(incoming))
	}
	hash.Write(incoming.Body)
	sum := hash.Sum(nil)
	message.digest = binary.BigEndian.Uint64(sum)
	// A missing id is derived from all that the message says, so that a redelivery gets the same.
	if message.id = delivery.MessageID(incoming.MessageId); message.id == "" {
		message.id = delivery.MessageID("sha256:" + hex.EncodeToString(sum[:16]))
	}
	if message.correlationID == "" {
		message.correlationID = incoming.MessageId
	}
	requestID := sha256.Sum256([]byte(string(queue) + "\x00" + string(message.id)))
	request := &message.request
	request.ID = hex.EncodeToString(requestID[:8])
	request.Class, request.Tenant, request.Resource, request.Token = m.Class.value(incoming), m.Tenant.value(incoming), m.Subject.value(incoming), m.Token.value(incoming)
	request.Rank, request.MemoryKB, request.Body = m.DefaultRank, m.DefaultKB, incoming.Body
	readNumber := func(source Source, to *float64) {
		if text := source.value(incoming); text != "" {
			x, err := strconv.ParseFloat(text, 64)
			if err != nil || math.IsNaN(x) || math.IsInf(x, 0) {
				message.markDefect("bad-number")
				return
			}
			*to = x
		}
	}
	cost := 0.0
	readNumber(m.Rank, &request.Rank)
	readNumber(m.KB, &request.MemoryKB)
	readNumber(m.Cost, &cost)
	if cost < 0 || cost > 1e9 {
		message.markDefect("bad-number")
		cost = 0
	}
	request.WorkHint = time.Duration(cost * float64(time.Millisecond))
	sentAt := now
	if !incoming.Timestamp.IsZero() {
		sentAt = incoming.Timestamp
	}
	request.HasTimeout, request.Timeout = true, m.DefaultWait
	if incoming.Expiration != "" {
		milliseconds, err := strconv.ParseInt(incoming.Expiration, 10, 64)
		if err != nil || milliseconds < 0 || milliseconds > 1e12 {
			message.markDefect("bad-expiration")
			milliseconds = 0
		}
		request.Timeout = time.Duration(milliseconds) * time.Millisecond
	}
	request.SentUnixMilli = sentAt.UnixMilli()
	message.deadline = sentAt.Add(request.Timeout)
	if len(incoming.Body) > m.MaxBodyBytes {
		message.markDefect(string(tooLong))
	}
	message.attempt = rejections(queue, incoming.Headers)
	return message
}

func (m *parsedMessage) markDefect(reason string) {
	if m.defect == "" {
		m.defect = reason
	}
}

// rejections is how often a message was rejected by its queue's consumers, as the broker counts it in x-death.
func rejections(queue delivery.QueueName, headers client.Table) int {
	entries, _ := headers["x-death"].([]any)
	for _, x := range entries {
		entry, _ := x.(client.Table)
		if entry["queue"] != string(queue) || entry["reason"] != "rejected" {
			continue
		}
		switch n := entry["count"].(type) {
		case int64:
			return int(min(max(n, 0), 1e6))
		case int32:
			return int(max(n, 0))
		}
	}
	return 0
}

// Queue is one queue as the operator's file tells of it.
type Queue struct {
	delivery.Queue
	Settlement      delivery.SettlementConfig
	Mapping         Mapping
	Identity        authz.Identity // whose ops its messages are; empty: each brings a token
	DeadLetterQueue string         // name of the dead-letter queue, empty for none
}

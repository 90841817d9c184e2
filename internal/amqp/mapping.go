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

	"lanewheel/internal/front"
	"lanewheel/internal/intake"
	"lanewheel/internal/rights"
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

// ReadSource reads a source: the name of a property, or header: and a header's name. Empty is none.
func ReadSource(text string) (Source, error) {
	if name, is := strings.CutPrefix(text, "header:"); is && name != "" {
		return Source{Header: true, Name: name}, nil
	}
	if _, known := properties[text]; !known && text != "" {
		return Source{}, fmt.Errorf("%q: wants header:NAME, or one of type, app-id, user-id, content-type, correlation-id, routing-key", text)
	}
	return Source{Name: text}, nil
}

// text is what stands there; numbers come as text.
func (s Source) text(d *client.Delivery) string {
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
	Type, Tenant, Subject, Rank, Cost, KB, Token Source
	Wait                                         time.Duration // of a message without expiration
	Longest                                      int           // bytes of a body
	Rank0                                        float64       // where none is told
	KB0                                          float64
}

// Message is a message as it was read.
type Message struct {
	ID      intake.MessageID
	Ask     front.Request
	Digest  uint64 // of what it says
	Attempt int
	ReplyTo string
	Reply   string // correlation id of its answer
	Due     time.Time
	Bad     string // why it can't be served, empty if it can be
}

// Read reads a message; now is the wall clock, for one without a timestamp. A redelivery reads the same but for that.
func (m *Mapping) Read(queue intake.QueueName, d *client.Delivery, marked string, now time.Time) Message {
	r := Message{ReplyTo: d.ReplyTo, Reply: d.CorrelationId, Bad: marked}
	h := sha256.New()
	fmt.Fprintf(h, "%q%q%q%q%d:", d.Type, d.ReplyTo, d.CorrelationId, d.Expiration, d.Timestamp.Unix())
	for _, s := range []Source{m.Type, m.Tenant, m.Subject, m.Rank, m.Cost, m.KB} {
		fmt.Fprintf(h, "%q", s.text(d))
	}
	h.Write(d.Body)
	sum := h.Sum(nil)
	r.Digest = binary.BigEndian.Uint64(sum)
	// A missing id is derived from all that the message says, so that a redelivery gets the same.
	if r.ID = intake.MessageID(d.MessageId); r.ID == "" {
		r.ID = intake.MessageID("sha256:" + hex.EncodeToString(sum[:16]))
	}
	if r.Reply == "" {
		r.Reply = d.MessageId
	}
	op := sha256.Sum256([]byte(string(queue) + "\x00" + string(r.ID)))
	a := &r.Ask
	a.ID = hex.EncodeToString(op[:8])
	a.Class, a.Tenant, a.Resource, a.Token = m.Type.text(d), m.Tenant.text(d), m.Subject.text(d), m.Token.text(d)
	a.Rank, a.MemoryKB, a.Body = m.Rank0, m.KB0, d.Body
	number := func(s Source, to *float64) {
		if text := s.text(d); text != "" {
			x, err := strconv.ParseFloat(text, 64)
			if err != nil || math.IsNaN(x) || math.IsInf(x, 0) {
				r.bad("bad-number")
				return
			}
			*to = x
		}
	}
	cost := 0.0
	number(m.Rank, &a.Rank)
	number(m.KB, &a.MemoryKB)
	number(m.Cost, &cost)
	if cost < 0 || cost > 1e9 {
		r.bad("bad-number")
		cost = 0
	}
	a.WorkHint = time.Duration(cost * float64(time.Millisecond))
	came := now
	if !d.Timestamp.IsZero() {
		came = d.Timestamp
	}
	a.HasTimeout, a.Timeout = true, m.Wait
	if d.Expiration != "" {
		ms, err := strconv.ParseInt(d.Expiration, 10, 64)
		if err != nil || ms < 0 || ms > 1e12 {
			r.bad("bad-expiration")
			ms = 0
		}
		a.Timeout = time.Duration(ms) * time.Millisecond
	}
	a.SentUnixMilli = came.UnixMilli()
	r.Due = came.Add(a.Timeout)
	if len(d.Body) > m.Longest {
		r.bad(string(tooLong))
	}
	r.Attempt = attempts(queue, d.Headers)
	return r
}

func (m *Message) bad(why string) {
	if m.Bad == "" {
		m.Bad = why
	}
}

// attempts is how often a message was rejected by its queue's consumers, as the broker counts it in x-death.
func attempts(queue intake.QueueName, headers client.Table) int {
	deaths, _ := headers["x-death"].([]any)
	for _, x := range deaths {
		d, _ := x.(client.Table)
		if d["queue"] != string(queue) || d["reason"] != "rejected" {
			continue
		}
		switch n := d["count"].(type) {
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
	intake.Queue
	Told     intake.Told
	Mapping  Mapping
	Identity rights.Identity // whose ops its messages are; empty: each brings a token
	Dead     string          // name of the dead-letter queue, empty for none
}

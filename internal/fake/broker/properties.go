package broker

import (
	"time"

	amqp "github.com/rabbitmq/amqp091-go"
)

// Flags in a content header that mark the properties that follow, in the order of the properties.
const (
	hasContentType     = 1 << 15
	hasContentEncoding = 1 << 14
	hasHeaders         = 1 << 13
	hasDeliveryMode    = 1 << 12
	hasPriority        = 1 << 11
	hasCorrelationID   = 1 << 10
	hasReplyTo         = 1 << 9
	hasExpiration      = 1 << 8
	hasMessageID       = 1 << 7
	hasTimestamp       = 1 << 6
	hasType            = 1 << 5
	hasUserID          = 1 << 4
	hasAppID           = 1 << 3
)

// properties reads the part of a content header that follows the body size.
func (r *payloadReader) properties() (p amqp.Publishing) {
	flags := r.u16()
	has := func(bit uint16) bool { return flags&bit != 0 }
	text := func(bit uint16, to *string) {
		if has(bit) {
			*to = r.shortString()
		}
	}
	text(hasContentType, &p.ContentType)
	text(hasContentEncoding, &p.ContentEncoding)
	if has(hasHeaders) {
		p.Headers = r.table()
	}
	if has(hasDeliveryMode) {
		p.DeliveryMode = r.u8()
	}
	if has(hasPriority) {
		p.Priority = r.u8()
	}
	text(hasCorrelationID, &p.CorrelationId)
	text(hasReplyTo, &p.ReplyTo)
	text(hasExpiration, &p.Expiration)
	text(hasMessageID, &p.MessageId)
	if has(hasTimestamp) {
		p.Timestamp = time.Unix(int64(r.u64()), 0)
	}
	text(hasType, &p.Type)
	text(hasUserID, &p.UserId)
	text(hasAppID, &p.AppId)
	return p
}

// properties writes the part of a content header that follows the body size.
func (w *payloadWriter) properties(p *amqp.Publishing) *payloadWriter {
	var flags uint16
	var part payloadWriter
	text := func(bit uint16, s string) {
		if s != "" {
			flags |= bit
			part.shortString(s)
		}
	}
	text(hasContentType, p.ContentType)
	text(hasContentEncoding, p.ContentEncoding)
	if len(p.Headers) > 0 {
		flags |= hasHeaders
		part.table(p.Headers)
	}
	if p.DeliveryMode != 0 {
		flags |= hasDeliveryMode
		part.u8(p.DeliveryMode)
	}
	if p.Priority != 0 {
		flags |= hasPriority
		part.u8(p.Priority)
	}
	text(hasCorrelationID, p.CorrelationId)
	text(hasReplyTo, p.ReplyTo)
	text(hasExpiration, p.Expiration)
	text(hasMessageID, p.MessageId)
	if !p.Timestamp.IsZero() {
		flags |= hasTimestamp
		part.u64(uint64(p.Timestamp.Unix()))
	}
	text(hasType, p.Type)
	text(hasUserID, p.UserId)
	text(hasAppID, p.AppId)
	w.u16(flags)
	w.buffer = append(w.buffer, part.buffer...)
	return w
}

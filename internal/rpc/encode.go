package rpc

import (
	"encoding/binary"
	"strconv"
	"time"

	"lanewheel/internal/frontend"
)

// appendMessageID writes an id in the one form that all messages from here have.
func appendMessageID(b []byte, messageID uint32) []byte {
	return binary.BigEndian.AppendUint32(append(b, tagUint32), messageID)
}

// appendNotificationHead writes a notification up to its params.
func appendNotificationHead(b []byte, method string) []byte {
	return appendString(append(b, tagFixArray|notificationParts, kindNotification), method)
}

func appendString(b []byte, s string) []byte {
	if len(s) <= fixStringMask {
		return append(append(b, tagFixString|byte(len(s))), s...)
	}
	return append(append(b, tagString8, byte(len(s))), s...)
}

func appendBytes(b, body []byte) []byte {
	if len(body) < 256 {
		return append(append(b, tagBin8, byte(len(body))), body...)
	}
	b = binary.BigEndian.AppendUint16(append(b, tagBin16), uint16(len(body)))
	return append(b, body...)
}

// fieldWriter writes a map of strings to strings with at most 15 fields behind the bytes that it has.
type fieldWriter struct {
	output []byte
	head   int // where the tag with the number of fields stands
}

func newFieldWriter(b []byte) fieldWriter {
	return fieldWriter{output: append(b, tagFixMap), head: len(b)}
}

func (w *fieldWriter) text(name, value string) {
	w.output[w.head]++
	w.output = appendString(appendString(w.output, name), value)
}

func (w *fieldWriter) integer(name string, value int64) { w.text(name, strconv.FormatInt(value, 10)) }

func (w *fieldWriter) number(name string, value float64) {
	w.text(name, strconv.FormatFloat(value, 'f', -1, 64))
}

// milliseconds writes a duration with its fraction.
func (w *fieldWriter) milliseconds(name string, value time.Duration) {
	w.number(name, float64(value)/float64(time.Millisecond))
}

// appendMetadata writes the fields beside a result or error.
func appendMetadata(b []byte, metadata frontend.ResponseMetadata) []byte {
	fields := newFieldWriter(b)
	if metadata.LoadReport >= 0 {
		fields.number(fieldLoadReport, metadata.LoadReport)
	}
	if metadata.RetryAfter > 0 { // whole milliseconds, rounded up
		fields.integer(fieldRetryAfter, int64((metadata.RetryAfter+time.Millisecond-1)/time.Millisecond))
	}
	if metadata.NoFailover {
		fields.text(fieldNoFailover, "1")
	}
	if metadata.Reason != "" {
		fields.text(fieldReason, metadata.Reason)
	}
	return fields.output
}

// appendRequestFields writes the fields beside a request's body.
func appendRequestFields(b []byte, request *frontend.Request) []byte {
	fields := newFieldWriter(b)
	fields.text(fieldRequestID, request.ID)
	fields.integer(fieldSentAt, request.SentUnixMilli)
	fields.integer(fieldCaller, int64(request.Caller))
	if request.HasTimeout {
		fields.milliseconds(fieldTimeout, request.Timeout)
	}
	if request.Tenant != "" {
		fields.text(fieldTenant, request.Tenant)
	}
	if request.Resource != "" {
		fields.text(fieldResource, request.Resource)
	}
	fields.milliseconds(fieldWorkHint, request.WorkHint)
	fields.number(fieldMemoryKB, request.MemoryKB)
	fields.number(fieldRank, request.Rank)
	if request.Token != "" {
		fields.text(fieldToken, request.Token)
	}
	if request.Hops > 0 {
		fields.integer(fieldHops, int64(request.Hops))
	}
	return fields.output
}

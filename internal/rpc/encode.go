package rpc

import (
	"encoding/binary"
	"math"
	"strconv"
	"time"

	"lanewheel/internal/frontend"
	"lanewheel/internal/transport"
)

// appendMessageID appends a message id, always encoded as a uint32.
func appendMessageID(b []byte, messageID uint32) []byte {
	return binary.BigEndian.AppendUint32(append(b, tagUint32), messageID)
}

// appendNotificationHead appends a notification up to its params.
func appendNotificationHead(b []byte, method string) []byte {
	return appendString(append(b, tagFixArray|notificationParts, kindNotification), method)
}

// appendString appends a str of any length.
func appendString(b []byte, s string) []byte {
	if len(s) <= fixStringMask {
		return append(append(b, tagFixString|byte(len(s))), s...)
	}
	return append(appendLength(b, tagString8, len(s)), s...)
}

// appendBytes appends a bin of any length.
func appendBytes(b, body []byte) []byte {
	return append(appendLength(b, tagBin8, len(body)), body...)
}

// appendLength appends the header of a str or bin: its tag and its length in 8, 16 or 32 bits. tag8 is the tag of the
// form with 8 bits, which the tags of the longer forms follow.
func appendLength(b []byte, tag8 byte, length int) []byte {
	switch {
	case length <= math.MaxUint8:
		return append(b, tag8, byte(length))
	case length <= math.MaxUint16:
		return binary.BigEndian.AppendUint16(append(b, tag8+1), uint16(length))
	default:
		return binary.BigEndian.AppendUint32(append(b, tag8+2), uint32(length))
	}
}

// fieldWriter appends a map of strings to strings, with at most 15 fields, to its output.
type fieldWriter struct {
	output    []byte
	tagOffset int // offset in output of the tag that contains the number of fields
}

func newFieldWriter(b []byte) fieldWriter {
	return fieldWriter{output: append(b, tagFixMap), tagOffset: len(b)}
}

func (w *fieldWriter) addText(name, value string) {
	w.output[w.tagOffset]++
	w.output = appendString(appendString(w.output, name), value)
}

func (w *fieldWriter) addInteger(name string, value int64) {
	w.addText(name, strconv.FormatInt(value, 10))
}

func (w *fieldWriter) addNumber(name string, value float64) {
	w.addText(name, strconv.FormatFloat(value, 'f', -1, 64))
}

// addMilliseconds adds a duration in milliseconds, with its fraction.
func (w *fieldWriter) addMilliseconds(name string, value time.Duration) {
	w.addNumber(name, float64(value)/float64(time.Millisecond))
}

// appendMetadata appends the fields that accompany a result or error.
func appendMetadata(b []byte, metadata frontend.ResponseMetadata) []byte {
	fields := newFieldWriter(b)
	if metadata.LoadReport >= 0 {
		fields.addNumber(fieldLoadReport, metadata.LoadReport)
	}
	if metadata.RetryAfter > 0 { // whole milliseconds, rounded up
		fields.addInteger(fieldRetryAfter, int64((metadata.RetryAfter+time.Millisecond-1)/time.Millisecond))
	}
	if metadata.NoFailover {
		fields.addText(fieldNoFailover, "1")
	}
	if metadata.Reason != "" {
		fields.addText(fieldReason, metadata.Reason)
	}
	return fields.output
}

// appendRequest appends a request.
func appendRequest(b []byte, messageID uint32, request *frontend.Request) []byte {
	b = append(b, tagFixArray|requestParts, kindRequest)
	b = appendString(appendMessageID(b, messageID), request.Class)
	b = appendRequestFields(append(b, tagFixArray|2), request)
	return appendBytes(b, request.Body)
}

// maxNumberBytes is a bound of the length of a number as text without an exponent; the smallest float64 takes 326.
const maxNumberBytes = 330

// maxRequestOverhead is a bound of the size of a request in addition to its strings and its body: six numbers, and the
// names and headers of all fields.
const maxRequestOverhead = 6*maxNumberBytes + 256

// Sendable reports whether an instance reads a request. One that is too large, or whose values violate the protocol,
// would make the instance close the connection and fail the requests of other callers on it.
func Sendable(request *frontend.Request) bool {
	if len(request.Body) > maxBodyBytes || !isRequestID(request.ID) || request.Hops > maxHops {
		return false
	}
	textBytes := len(request.ID) + len(request.Class) + len(request.Tenant) + len(request.Resource) + len(request.Token)
	if textBytes+len(request.Body)+maxRequestOverhead <= transport.BufferSize {
		return true
	}
	return len(appendRequest(nil, 0, request)) <= transport.BufferSize
}

// appendRequestFields appends the fields that accompany the body of a request.
func appendRequestFields(b []byte, request *frontend.Request) []byte {
	fields := newFieldWriter(b)
	fields.addText(fieldRequestID, request.ID)
	fields.addInteger(fieldSentAt, request.SentUnixMilli)
	fields.addInteger(fieldCaller, int64(request.Caller))
	if request.HasTimeout {
		fields.addMilliseconds(fieldTimeout, request.Timeout)
	}
	if request.Tenant != "" {
		fields.addText(fieldTenant, request.Tenant)
	}
	if request.Resource != "" {
		fields.addText(fieldResource, request.Resource)
	}
	fields.addMilliseconds(fieldWorkHint, request.WorkHint)
	fields.addNumber(fieldMemoryKB, request.MemoryKB)
	fields.addNumber(fieldRank, request.Rank)
	if request.Token != "" {
		fields.addText(fieldToken, request.Token)
	}
	if request.Hops > 0 {
		fields.addInteger(fieldHops, int64(request.Hops))
	}
	return fields.output
}

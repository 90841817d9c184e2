// Package broker is a stand-in for a message broker: the server's side of AMQP 0-9-1, written from the specification, as far
// as the consumer here uses it. It counts every delivery and settlement, and fails by a script.
package broker

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
	"time"

	amqp "github.com/rabbitmq/amqp091-go"
)

// Frame types, and the octet behind each frame.
const (
	frameMethod    = 1
	frameHeader    = 2
	frameBody      = 3
	frameHeartbeat = 8
	frameEnd       = 0xce
)

// maxFrameBytes is how large a frame may be; it is told to the client.
const maxFrameBytes = 128 << 10

type frame struct {
	kind    byte
	channel uint16
	payload []byte
}

func readFrame(r io.Reader) (f frame, err error) {
	var head [7]byte
	if _, err = io.ReadFull(r, head[:]); err != nil {
		return f, err
	}
	f.kind, f.channel = head[0], binary.BigEndian.Uint16(head[1:])
	size := binary.BigEndian.Uint32(head[3:])
	if size > maxFrameBytes {
		return f, fmt.Errorf("a frame of %d bytes", size)
	}
	f.payload = make([]byte, size+1)
	if _, err = io.ReadFull(r, f.payload); err != nil {
		return f, err
	}
	if f.payload[size] != frameEnd {
		return f, errors.New("a frame without its end")
	}
	f.payload = f.payload[:size]
	return f, nil
}

func (f frame) bytes() []byte {
	b := make([]byte, 0, len(f.payload)+8)
	b = binary.BigEndian.AppendUint16(append(b, f.kind), f.channel)
	b = binary.BigEndian.AppendUint32(b, uint32(len(f.payload)))
	return append(append(b, f.payload...), frameEnd)
}

// payloadReader reads the parts of a payload; what is too short panics, and ends the connection.
type payloadReader struct{ rest []byte }

func (r *payloadReader) take(n int) []byte {
	if n < 0 || n > len(r.rest) {
		panic(errors.New("a payload that is too short"))
	}
	b := r.rest[:n]
	r.rest = r.rest[n:]
	return b
}

func (r *payloadReader) u8() byte            { return r.take(1)[0] }
func (r *payloadReader) u16() uint16         { return binary.BigEndian.Uint16(r.take(2)) }
func (r *payloadReader) u32() uint32         { return binary.BigEndian.Uint32(r.take(4)) }
func (r *payloadReader) u64() uint64         { return binary.BigEndian.Uint64(r.take(8)) }
func (r *payloadReader) shortString() string { return string(r.take(int(r.u8()))) }
func (r *payloadReader) longString() string  { return string(r.take(int(r.u32()))) }

func (r *payloadReader) table() amqp.Table {
	t := amqp.Table{}
	for part := (payloadReader{r.take(int(r.u32()))}); len(part.rest) > 0; {
		name := part.shortString()
		t[name] = part.value()
	}
	return t
}

func (r *payloadReader) value() any {
	switch kind := r.u8(); kind {
	case 't':
		return r.u8() != 0
	case 'b':
		return int8(r.u8())
	case 'B':
		return r.u8()
	case 's':
		return int16(r.u16())
	case 'u':
		return r.u16()
	case 'I':
		return int32(r.u32())
	case 'i':
		return r.u32()
	case 'l':
		return int64(r.u64())
	case 'f':
		return math.Float32frombits(r.u32())
	case 'd':
		return math.Float64frombits(r.u64())
	case 'S':
		return r.longString()
	case 'x':
		return []byte(r.longString())
	case 'T':
		return time.Unix(int64(r.u64()), 0)
	case 'F':
		return r.table()
	case 'A':
		var list []any
		for part := (payloadReader{r.take(int(r.u32()))}); len(part.rest) > 0; {
			list = append(list, part.value())
		}
		return list
	case 'V':
		return nil
	default:
		panic(fmt.Errorf("a field of kind %q", kind))
	}
}

// payloadWriter writes the parts of a payload.
type payloadWriter struct{ buffer []byte }

func newMethod(class, id uint16) *payloadWriter {
	return &payloadWriter{binary.BigEndian.AppendUint16(binary.BigEndian.AppendUint16(nil, class), id)}
}

func (w *payloadWriter) u8(x byte) *payloadWriter { w.buffer = append(w.buffer, x); return w }
func (w *payloadWriter) u16(x uint16) *payloadWriter {
	w.buffer = binary.BigEndian.AppendUint16(w.buffer, x)
	return w
}
func (w *payloadWriter) u32(x uint32) *payloadWriter {
	w.buffer = binary.BigEndian.AppendUint32(w.buffer, x)
	return w
}
func (w *payloadWriter) u64(x uint64) *payloadWriter {
	w.buffer = binary.BigEndian.AppendUint64(w.buffer, x)
	return w
}
func (w *payloadWriter) boolean(x bool) *payloadWriter {
	if x {
		return w.u8(1)
	}
	return w.u8(0)
}
func (w *payloadWriter) shortString(s string) *payloadWriter {
	w.buffer = append(append(w.buffer, byte(len(s))), s...)
	return w
}
func (w *payloadWriter) longString(s string) *payloadWriter {
	w.u32(uint32(len(s)))
	w.buffer = append(w.buffer, s...)
	return w
}

func (w *payloadWriter) table(t amqp.Table) *payloadWriter {
	var part payloadWriter
	for name, x := range t {
		part.shortString(name)
		part.value(x)
	}
	return w.longString(string(part.buffer))
}

func (w *payloadWriter) value(x any) {
	switch x := x.(type) {
	case bool:
		w.u8('t').boolean(x)
	case int:
		w.u8('l').u64(uint64(x))
	case int32:
		w.u8('I').u32(uint32(x))
	case int64:
		w.u8('l').u64(uint64(x))
	case float64:
		w.u8('d').u64(math.Float64bits(x))
	case string:
		w.u8('S').longString(x)
	case []byte:
		w.u8('x').longString(string(x))
	case time.Time:
		w.u8('T').u64(uint64(x.Unix()))
	case amqp.Table:
		w.u8('F').table(x)
	case []any:
		var part payloadWriter
		for _, one := range x {
			part.value(one)
		}
		w.u8('A').longString(string(part.buffer))
	default:
		w.u8('V')
	}
}

// properties reads a content header behind its sizes.
func (r *payloadReader) properties() (p amqp.Publishing) {
	flags := r.u16()
	has := func(bit int) bool { return flags&(1<<bit) != 0 }
	texts := func(bit int, to *string) {
		if has(bit) {
			*to = r.shortString()
		}
	}
	texts(15, &p.ContentType)
	texts(14, &p.ContentEncoding)
	if has(13) {
		p.Headers = r.table()
	}
	if has(12) {
		p.DeliveryMode = r.u8()
	}
	if has(11) {
		p.Priority = r.u8()
	}
	texts(10, &p.CorrelationId)
	texts(9, &p.ReplyTo)
	texts(8, &p.Expiration)
	texts(7, &p.MessageId)
	if has(6) {
		p.Timestamp = time.Unix(int64(r.u64()), 0)
	}
	texts(5, &p.Type)
	texts(4, &p.UserId)
	texts(3, &p.AppId)
	return p
}

func (w *payloadWriter) properties(p *amqp.Publishing) *payloadWriter {
	var flags uint16
	var part payloadWriter
	text := func(bit int, s string) {
		if s != "" {
			flags |= 1 << bit
			part.shortString(s)
		}
	}
	text(15, p.ContentType)
	text(14, p.ContentEncoding)
	if len(p.Headers) > 0 {
		flags |= 1 << 13
		part.table(p.Headers)
	}
	if p.DeliveryMode != 0 {
		flags |= 1 << 12
		part.u8(p.DeliveryMode)
	}
	if p.Priority != 0 {
		flags |= 1 << 11
		part.u8(p.Priority)
	}
	text(10, p.CorrelationId)
	text(9, p.ReplyTo)
	text(8, p.Expiration)
	text(7, p.MessageId)
	if !p.Timestamp.IsZero() {
		flags |= 1 << 6
		part.u64(uint64(p.Timestamp.Unix()))
	}
	text(5, p.Type)
	text(4, p.UserId)
	text(3, p.AppId)
	w.u16(flags)
	w.buffer = append(w.buffer, part.buffer...)
	return w
}

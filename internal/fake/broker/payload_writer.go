package broker

import (
	"encoding/binary"
	"math"
	"time"

	amqp "github.com/rabbitmq/amqp091-go"
)

// payloadWriter encodes the parts of a payload; most of its methods return the writer for chaining.
type payloadWriter struct{ buffer []byte }

func (w *payloadWriter) u8(x byte) *payloadWriter {
	w.buffer = append(w.buffer, x)
	return w
}

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

// value writes a table value; a value of an unsupported type is written as void.
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
		for _, element := range x {
			part.value(element)
		}
		w.u8('A').longString(string(part.buffer))
	default:
		w.u8('V')
	}
}

package broker

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"time"

	amqp "github.com/rabbitmq/amqp091-go"
)

// payloadReader decodes the parts of a payload. Its methods panic if the payload is too short or contains a value of an
// unknown type; the panic ends the connection.
type payloadReader struct{ rest []byte }

func (r *payloadReader) take(n int) []byte {
	if n < 0 || n > len(r.rest) {
		panic(errors.New("payload is too short"))
	}
	b := r.rest[:n]
	r.rest = r.rest[n:]
	return b
}

func (r *payloadReader) u8() byte { return r.take(1)[0] }

func (r *payloadReader) u16() uint16 { return binary.BigEndian.Uint16(r.take(2)) }

func (r *payloadReader) u32() uint32 { return binary.BigEndian.Uint32(r.take(4)) }

func (r *payloadReader) u64() uint64 { return binary.BigEndian.Uint64(r.take(8)) }

func (r *payloadReader) shortString() string { return string(r.take(int(r.u8()))) }

func (r *payloadReader) longString() string { return string(r.take(int(r.u32()))) }

func (r *payloadReader) table() amqp.Table {
	t := amqp.Table{}
	for part := (payloadReader{r.take(int(r.u32()))}); len(part.rest) > 0; {
		name := part.shortString()
		t[name] = part.value()
	}
	return t
}

// value reads a table value: the letter of its type and the value itself.
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
		panic(fmt.Errorf("field type %q is unknown", kind))
	}
}

// method reads the method id at the start of a method's payload.
func (r *payloadReader) method() methodID { return methodID(r.u32()) }

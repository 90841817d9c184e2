package amqp

import (
	"bytes"
	"encoding/binary"
	"net"
	"testing"
)

// Content of any size and tables of any depth do not reach the library; whatever way the bytes come cut, the same goes on.
func TestFrameFilter(t *testing.T) {
	frame := func(kind byte, channel uint16, payload []byte) []byte {
		b := binary.BigEndian.AppendUint16([]byte{kind}, channel)
		b = binary.BigEndian.AppendUint32(b, uint32(len(payload)))
		return append(append(b, payload...), 0xce)
	}
	header := func(size uint64, id int) []byte { // with a message-id of that length
		b := binary.BigEndian.AppendUint64([]byte{0, 60, 0, 0}, size)
		if id == 0 {
			return append(b, 0, 0)
		}
		return append(append(b, 0, 1<<7, byte(id)), make([]byte, id)...)
	}
	var stream []byte
	stream = append(stream, frame(1, 1, []byte("method"))...)
	stream = append(stream, frame(2, 1, header(5, 0))...)
	stream = append(stream, frame(3, 1, []byte("small"))...)
	stream = append(stream, frame(2, 2, header(3000, 3))...)
	stream = append(stream, frame(3, 2, make([]byte, 2000))...)
	stream = append(stream, frame(8, 0, nil)...)
	stream = append(stream, frame(3, 2, make([]byte, 1000))...)
	stream = append(stream, frame(2, 1, header(4, 200))...)
	stream = append(stream, frame(3, 1, []byte("more"))...)
	stream = append(stream, frame(1, 1, []byte("end"))...)
	var want []byte
	want = append(want, frame(1, 1, []byte("method"))...)
	want = append(want, frame(2, 1, header(5, 0))...)
	want = append(want, frame(3, 1, []byte("small"))...)
	want = append(want, frame(2, 2, header(uint64(len(placeholders[tooLong])), 3))...)
	want = append(want, frame(3, 2, []byte(placeholders[tooLong]))...)
	want = append(want, frame(8, 0, nil)...)
	want = append(want, frame(2, 1, header(uint64(len(placeholders[badHeader])), 0))...)
	want = append(want, frame(3, 1, []byte(placeholders[badHeader]))...)
	want = append(want, frame(1, 1, []byte("end"))...)
	for size := 1; size <= len(stream); size++ {
		s := newFrameFilter(nil, 100, 100)
		for rest := stream; len(rest) > 0; {
			n := min(size, len(rest))
			s.feed(rest[:n])
			rest = rest[n:]
		}
		if !bytes.Equal(s.ready, want) {
			t.Fatalf("in pieces of %d: %q", size, s.ready)
		}
	}
}

var _ net.Conn = (*frameFilter)(nil)

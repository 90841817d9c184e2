package amqp

import (
	"bytes"
	"encoding/binary"
	"net"
	"slices"
	"testing"
)

var _ net.Conn = (*frameFilter)(nil)

// frameOf returns a frame of a type for a channel.
func frameOf(kind byte, channel uint16, payload []byte) []byte {
	b := binary.BigEndian.AppendUint16([]byte{kind}, channel)
	b = binary.BigEndian.AppendUint32(b, uint32(len(payload)))
	return append(append(b, payload...), 0xce)
}

// headerOf returns the payload of a header frame for a body of bodySize bytes, with a message-id of idBytes bytes.
func headerOf(bodySize, idBytes int) []byte {
	b := binary.BigEndian.AppendUint64([]byte{0, 60, 0, 0}, uint64(bodySize))
	if idBytes == 0 {
		return append(b, 0, 0)
	}
	return append(append(b, 0, 1<<7, byte(idBytes)), make([]byte, idBytes)...)
}

// The library receives placeholders for bodies and headers that exceed the limits. The result does not depend on how
// the bytes are divided between reads.
func TestFrameFilter(t *testing.T) {
	stream := slices.Concat(
		frameOf(1, 1, []byte("method")),
		frameOf(2, 1, headerOf(5, 0)),
		frameOf(3, 1, []byte("small")),
		frameOf(2, 2, headerOf(3000, 3)),
		frameOf(3, 2, make([]byte, 2000)),
		frameOf(8, 0, nil),
		frameOf(3, 2, make([]byte, 1000)),
		frameOf(2, 1, headerOf(4, 200)),
		frameOf(3, 1, []byte("more")),
		frameOf(1, 1, []byte("end")),
	)
	want := slices.Concat(
		frameOf(1, 1, []byte("method")),
		frameOf(2, 1, headerOf(5, 0)),
		frameOf(3, 1, []byte("small")),
		frameOf(2, 2, headerOf(len(placeholders[tooLong]), 3)),
		frameOf(3, 2, []byte(placeholders[tooLong])),
		frameOf(8, 0, nil),
		frameOf(2, 1, headerOf(len(placeholders[badHeader]), 0)),
		frameOf(3, 1, []byte(placeholders[badHeader])),
		frameOf(1, 1, []byte("end")),
	)
	for size := 1; size <= len(stream); size++ {
		filter := newFrameFilter(nil, 100, 100)
		for piece := range slices.Chunk(stream, size) {
			filter.feed(piece)
		}
		if !bytes.Equal(filter.ready, want) {
			t.Fatalf("in pieces of %d bytes: got %q, want %q", size, filter.ready, want)
		}
	}
}

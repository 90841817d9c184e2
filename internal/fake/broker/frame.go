package broker

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
)

// Frame types, and the octet that ends each frame.
const (
	frameMethod    = 1
	frameHeader    = 2
	frameBody      = 3
	frameHeartbeat = 8
	frameEnd       = 0xce
)

// maxFrameBytes is the maximum size of a frame in bytes, which is sent to clients in connection.tune. readFrame applies
// it to the payload alone.
const maxFrameBytes = 128 << 10

// frameOverhead is the number of bytes of a frame in addition to its payload.
const frameOverhead = 8

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
	f.kind = head[0]
	f.channel = binary.BigEndian.Uint16(head[1:])
	size := binary.BigEndian.Uint32(head[3:])
	if size > maxFrameBytes {
		return f, fmt.Errorf("frame payload has %d bytes, must be at most %d", size, maxFrameBytes)
	}
	f.payload = make([]byte, size+1)
	if _, err = io.ReadFull(r, f.payload); err != nil {
		return f, err
	}
	if f.payload[size] != frameEnd {
		return f, errors.New("frame does not end with the frame-end octet")
	}
	f.payload = f.payload[:size]
	return f, nil
}

func (f frame) bytes() []byte {
	b := make([]byte, 0, len(f.payload)+frameOverhead)
	b = binary.BigEndian.AppendUint16(append(b, f.kind), f.channel)
	b = binary.BigEndian.AppendUint32(b, uint32(len(f.payload)))
	return append(append(b, f.payload...), frameEnd)
}

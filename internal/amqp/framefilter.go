package amqp

import (
	"crypto/rand"
	"encoding/binary"
	"net"
)

// Frame types of the specification that matter here.
const (
	headerFrame = 2
	bodyFrame   = 3
)

// The layout of a frame: type, channel and size, then the payload, then frameEnd. The payload of a header frame is
// the class, a weight, the size of the body, the flags of the properties and those.
const (
	frameHeadBytes = 7
	frameTailBytes = 1
	frameEnd       = 0xce

	bodySizeOffset   = frameHeadBytes + 4
	propertiesOffset = bodySizeOffset + 8
	minHeaderPayload = propertiesOffset + 2 - frameHeadBytes
)

// maxCountedBody keeps a body size that a broker makes up within an int.
const maxCountedBody = 1 << 62

// placeholders are the bodies that replace what is kept back, by its defect. They are drawn anew by each process, so
// that no message can pretend to be one.
var placeholders = map[defect]string{tooLong: rand.Text(), badHeader: rand.Text()}

// placeholderDefect returns the defect for which a body was replaced, noDefect if it was not.
func placeholderDefect(body []byte) defect {
	for defect, placeholder := range placeholders {
		if string(body) == placeholder {
			return defect
		}
	}
	return noDefect
}

// frameFilter lies between a broker's bytes and the client library. That collects a content of any size in memory
// before anybody sees it, and reads tables of any depth: one message of 100 MB, or one with a table nested ten thousand
// times, would end the process. Of a content whose body is too large only the header is passed on, of one whose header
// is too large or can't be read an empty header; a placeholder replaces the body. Read belongs to one goroutine.
type frameFilter struct {
	net.Conn
	maxHeaderBytes, maxBodyBytes int

	buffered  []byte // the beginning of a frame, until it is decided on
	wanted    int    // bytes of the frame that have to be buffered for the decision
	ready     []byte // to be returned by Read
	passBytes int    // of the present frame that are still to be passed on
	skipBytes int    // of the present frame that are still to be dropped
	appended  []byte // is passed on behind the present frame
	bodies    map[uint16]*bodyProgress
}

// bodyProgress is a body that arrives on a channel.
type bodyProgress struct {
	remaining int // bytes
	drop      bool
}

func newFrameFilter(conn net.Conn, maxHeaderBytes, maxBodyBytes int) *frameFilter {
	return &frameFilter{
		Conn:           conn,
		maxHeaderBytes: maxHeaderBytes,
		maxBodyBytes:   maxBodyBytes,
		wanted:         frameHeadBytes,
		bodies:         map[uint16]*bodyProgress{},
	}
}

// Read implements net.Conn.
func (f *frameFilter) Read(b []byte) (int, error) {
	for len(f.ready) == 0 {
		n, err := f.Conn.Read(b)
		if n > 0 {
			f.feed(b[:n])
		}
		if err != nil && len(f.ready) == 0 {
			return 0, err
		}
	}
	n := copy(b, f.ready)
	f.ready = f.ready[:copy(f.ready, f.ready[n:])]
	return n, nil
}

// feed takes bytes of the broker and appends to ready what is passed on.
func (f *frameFilter) feed(b []byte) {
	for len(b) > 0 {
		var n int
		switch {
		case f.passBytes > 0:
			n = min(f.passBytes, len(b))
			f.ready = append(f.ready, b[:n]...)
			f.passBytes -= n
		case f.skipBytes > 0:
			n = min(f.skipBytes, len(b))
			f.skipBytes -= n
		default:
			n = min(f.wanted-len(f.buffered), len(b))
			f.buffered = append(f.buffered, b[:n]...)
			if len(f.buffered) == f.wanted {
				f.decide()
			}
		}
		b = b[n:]
		if f.passBytes == 0 && f.skipBytes == 0 && f.appended != nil {
			f.ready = append(f.ready, f.appended...)
			f.appended = nil
		}
	}
}

// decide looks at the buffered beginning of a frame. Either it decides what is passed on of the frame, or it wants
// more of it.
func (f *frameFilter) decide() {
	channel := binary.BigEndian.Uint16(f.buffered[1:])
	size := int(binary.BigEndian.Uint32(f.buffered[3:]))
	switch {
	case f.buffered[0] == headerFrame && size >= minHeaderPayload:
		f.decideHeader(channel, size)
	case f.buffered[0] == bodyFrame && f.dropsBody(channel, size):
		f.skipFrame(size)
	default:
		f.passFrame(size)
	}
}

// decideHeader decides on a header frame. One that is not too large is looked at whole, of others just the beginning.
func (f *frameFilter) decideHeader(channel uint16, size int) {
	wanted := propertiesOffset
	if size <= f.maxHeaderBytes {
		wanted = frameHeadBytes + size
	}
	if len(f.buffered) < wanted {
		f.wanted = wanted
		return
	}
	bodySize := binary.BigEndian.Uint64(f.buffered[bodySizeOffset:])
	found := noDefect
	switch {
	case size > f.maxHeaderBytes || !validProperties(f.buffered[propertiesOffset:]):
		found = badHeader
	case bodySize > uint64(f.maxBodyBytes):
		found = tooLong
	}
	if bodySize > 0 {
		remaining := int(min(bodySize, maxCountedBody))
		f.bodies[channel] = &bodyProgress{remaining: remaining, drop: found != noDefect}
	} else {
		delete(f.bodies, channel)
	}
	if found == noDefect {
		f.passFrame(size)
		return
	}
	placeholder := placeholders[found]
	f.appended = bodyFrameOf(channel, placeholder)
	if found == badHeader {
		f.ready = append(f.ready, emptyHeaderFrame(f.buffered, len(placeholder))...)
		f.skipFrame(size)
		return
	}
	binary.BigEndian.PutUint64(f.buffered[bodySizeOffset:], uint64(len(placeholder)))
	f.passFrame(size)
}

// dropsBody counts a body frame and tells whether its content is kept back.
func (f *frameFilter) dropsBody(channel uint16, size int) bool {
	body := f.bodies[channel]
	if body == nil {
		return false
	}
	body.remaining -= size
	if body.remaining <= 0 {
		delete(f.bodies, channel)
	}
	return body.drop
}

// passFrame passes on the frame of so many payload bytes that is buffered in part.
func (f *frameFilter) passFrame(size int) {
	f.ready = append(f.ready, f.buffered...)
	f.passBytes = frameHeadBytes + size + frameTailBytes - len(f.buffered)
	f.resetBuffer()
}

// skipFrame drops the frame of so many payload bytes that is buffered in part.
func (f *frameFilter) skipFrame(size int) {
	f.skipBytes = frameHeadBytes + size + frameTailBytes - len(f.buffered)
	f.resetBuffer()
}

func (f *frameFilter) resetBuffer() {
	f.buffered = f.buffered[:0]
	f.wanted = frameHeadBytes
}

// emptyHeaderFrame is a header frame for the channel and class of another, without weight or properties.
func emptyHeaderFrame(other []byte, bodySize int) []byte {
	b := []byte{headerFrame, other[1], other[2], 0, 0, 0, minHeaderPayload}
	b = append(b, other[frameHeadBytes], other[frameHeadBytes+1], 0, 0)
	b = binary.BigEndian.AppendUint64(b, uint64(bodySize))
	return append(b, 0, 0, frameEnd)
}

func bodyFrameOf(channel uint16, body string) []byte {
	b := binary.BigEndian.AppendUint16([]byte{bodyFrame}, channel)
	b = binary.BigEndian.AppendUint32(b, uint32(len(body)))
	return append(append(b, body...), frameEnd)
}

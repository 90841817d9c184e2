package amqp

import (
	"crypto/rand"
	"encoding/binary"
	"net"
)

// The frame types of the specification that the filter handles.
const (
	headerFrameType = 2
	bodyFrameType   = 3
)

// The layout of a frame: type, channel and payload size, then the payload, then frameEnd. The payload of a header frame
// consists of the class, the weight, the body size, the property flags and the properties.
const (
	frameHeadBytes = 7
	frameTailBytes = 1
	frameEnd       = 0xce

	bodySizeOffset   = frameHeadBytes + 4
	propertiesOffset = bodySizeOffset + 8
	minHeaderPayload = propertiesOffset + 2 - frameHeadBytes
)

// maxTrackedBodyBytes limits a body size announced by the broker, so that it fits into an int.
const maxTrackedBodyBytes = 1 << 62

// placeholders are the bodies that replace dropped content, by the defect. They are random for each process, so that no
// message can imitate one.
var placeholders = map[defect]string{tooLong: rand.Text(), badHeader: rand.Text()}

// placeholderDefect returns the defect for which the filter replaced a body, or noDefect if it did not replace it.
func placeholderDefect(body []byte) defect {
	for defect, placeholder := range placeholders {
		if string(body) == placeholder {
			return defect
		}
	}
	return noDefect
}

// frameFilter is a connection that filters the broker's bytes before the client library reads them. The library
// collects a content of any size in memory before it delivers it, and reads tables of any depth: one message of 100 MB,
// or one with a table nested ten thousand times, would end the process. If the body is too large, the filter passes on
// the header and drops the body. If the header is too large or invalid, the filter replaces it by an empty header and
// drops the body too. A dropped body is replaced by a placeholder. Read must be called by one goroutine only.
type frameFilter struct {
	net.Conn
	maxHeaderBytes, maxBodyBytes int

	buffered         []byte                   // the beginning of the current frame, until the filter has decided about it
	requiredBytes    int                      // bytes of the current frame that must be buffered for the decision
	ready            []byte                   // filtered bytes that Read has yet to return
	passBytes        int                      // remaining bytes of the current frame to pass on
	skipBytes        int                      // remaining bytes of the current frame to drop
	placeholderFrame []byte                   // body frame with a placeholder, passed on after the current frame
	bodies           map[uint16]*bodyProgress // bodies being received, by channel
}

// bodyProgress is the progress of a body that is being received on a channel.
type bodyProgress struct {
	remaining int // bytes not yet received
	drop      bool
}

func newFrameFilter(conn net.Conn, maxHeaderBytes, maxBodyBytes int) *frameFilter {
	return &frameFilter{
		Conn:           conn,
		maxHeaderBytes: maxHeaderBytes,
		maxBodyBytes:   maxBodyBytes,
		requiredBytes:  frameHeadBytes,
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

// feed filters bytes read from the broker and appends the result to ready.
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
			n = min(f.requiredBytes-len(f.buffered), len(b))
			f.buffered = append(f.buffered, b[:n]...)
			if len(f.buffered) == f.requiredBytes {
				f.inspectFrame()
			}
		}
		b = b[n:]
		if f.passBytes == 0 && f.skipBytes == 0 && f.placeholderFrame != nil {
			f.ready = append(f.ready, f.placeholderFrame...)
			f.placeholderFrame = nil
		}
	}
}

// inspectFrame decides whether to pass on or drop the current frame, based on its buffered beginning, or increases
// requiredBytes if it needs more of the frame.
func (f *frameFilter) inspectFrame() {
	channel := binary.BigEndian.Uint16(f.buffered[1:])
	size := int(binary.BigEndian.Uint32(f.buffered[3:]))
	switch {
	case f.buffered[0] == headerFrameType && size >= minHeaderPayload:
		f.inspectHeader(channel, size)
	case f.buffered[0] == bodyFrameType && f.trackBodyFrame(channel, size):
		f.skipFrame(size)
	default:
		f.passFrame(size)
	}
}

// inspectHeader decides about a header frame. It validates the whole frame, unless that exceeds maxHeaderBytes.
func (f *frameFilter) inspectHeader(channel uint16, size int) {
	requiredBytes := propertiesOffset
	if size <= f.maxHeaderBytes {
		requiredBytes = frameHeadBytes + size
	}
	if len(f.buffered) < requiredBytes {
		f.requiredBytes = requiredBytes
		return
	}
	bodySize := binary.BigEndian.Uint64(f.buffered[bodySizeOffset:])
	messageDefect := noDefect
	switch {
	case size > f.maxHeaderBytes || !validProperties(f.buffered[propertiesOffset:]):
		messageDefect = badHeader
	case bodySize > uint64(f.maxBodyBytes):
		messageDefect = tooLong
	}
	if bodySize > 0 {
		remaining := int(min(bodySize, maxTrackedBodyBytes))
		f.bodies[channel] = &bodyProgress{remaining: remaining, drop: messageDefect != noDefect}
	} else {
		delete(f.bodies, channel)
	}
	if messageDefect == noDefect {
		f.passFrame(size)
		return
	}
	placeholder := placeholders[messageDefect]
	f.placeholderFrame = encodeBodyFrame(channel, placeholder)
	if messageDefect == badHeader {
		f.ready = append(f.ready, emptyHeaderFrame(f.buffered, len(placeholder))...)
		f.skipFrame(size)
		return
	}
	binary.BigEndian.PutUint64(f.buffered[bodySizeOffset:], uint64(len(placeholder)))
	f.passFrame(size)
}

// trackBodyFrame subtracts a body frame from the remaining body and reports whether the frame must be dropped.
func (f *frameFilter) trackBodyFrame(channel uint16, size int) bool {
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

// passFrame passes on the current, partly buffered frame. size is the number of its payload bytes.
func (f *frameFilter) passFrame(size int) {
	f.ready = append(f.ready, f.buffered...)
	f.passBytes = frameHeadBytes + size + frameTailBytes - len(f.buffered)
	f.resetBuffer()
}

// skipFrame drops the current, partly buffered frame. size is the number of its payload bytes.
func (f *frameFilter) skipFrame(size int) {
	f.skipBytes = frameHeadBytes + size + frameTailBytes - len(f.buffered)
	f.resetBuffer()
}

// resetBuffer prepares the buffer for the next frame.
func (f *frameFilter) resetBuffer() {
	f.buffered = f.buffered[:0]
	f.requiredBytes = frameHeadBytes
}

// emptyHeaderFrame returns a header frame for the channel and class of another one, without weight or properties.
func emptyHeaderFrame(other []byte, bodySize int) []byte {
	b := []byte{headerFrameType, other[1], other[2], 0, 0, 0, minHeaderPayload}
	b = append(b, other[frameHeadBytes], other[frameHeadBytes+1], 0, 0)
	b = binary.BigEndian.AppendUint64(b, uint64(bodySize))
	return append(b, 0, 0, frameEnd)
}

// encodeBodyFrame returns a body frame.
func encodeBodyFrame(channel uint16, body string) []byte {
	b := binary.BigEndian.AppendUint16([]byte{bodyFrameType}, channel)
	b = binary.BigEndian.AppendUint32(b, uint32(len(body)))
	return append(append(b, body...), frameEnd)
}

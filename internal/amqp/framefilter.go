package amqp

import (
	"crypto/rand"
	"encoding/binary"
	"net"
)

// frameFilter lies between a broker's bytes and the client library, which would gather a content of any size in memory before
// anybody sees it, and read tables as deep as they come. Danger: one message of 100 MB, or one that is a table in a table ten
// thousand times, ends the process. Of a content whose header or body is too large only an empty header, or the header alone, goes on; that it was
// so is told by a body that stands for it.
type frameFilter struct {
	net.Conn
	maxHeaderBytes, maxBodyBytes int

	buffered  []byte // read and not passed on, less than a frame's head or a header frame
	ready     []byte // to be passed on
	passBytes int    // bytes of the present frame that are passed on
	skipBytes int    // bytes of the present frame that are not
	appended  []byte // goes on behind the present frame
	bodies    map[uint16]*bodyProgress
}

// bodyProgress is a body that is coming on a channel.
type bodyProgress struct {
	remaining int
	drop      bool
}

// placeholders are the bodies that stand for what was kept back: drawn anew by each process, so that no message can say of itself
// what only the sieve says.
var placeholders = map[string]string{tooLong: rand.Text(), badHeader: rand.Text()}

const (
	tooLong   = "too-long"
	badHeader = "bad-header"
)

// placeholderReason tells why a body was kept back, empty if it was not.
func placeholderReason(body []byte) string {
	for why, text := range placeholders {
		if string(body) == text {
			return why
		}
	}
	return ""
}

// Frame types of the specification that matter here, and the bytes round a payload.
const (
	methodFrame, headerFrame, bodyFrame = 1, 2, 3
	frameHeadBytes, frameTailBytes      = 7, 1
	frameEnd                            = 0xce
)

func newFrameFilter(c net.Conn, maxHeaderBytes, maxBodyBytes int) *frameFilter {
	return &frameFilter{Conn: c, maxHeaderBytes: maxHeaderBytes, maxBodyBytes: maxBodyBytes, bodies: map[uint16]*bodyProgress{}}
}

func (s *frameFilter) Read(b []byte) (int, error) {
	for len(s.ready) == 0 {
		n, err := s.Conn.Read(b)
		if n > 0 {
			s.feed(b[:n])
		}
		if err != nil && len(s.ready) == 0 {
			return 0, err
		}
	}
	n := copy(b, s.ready)
	s.ready = s.ready[:copy(s.ready, s.ready[n:])]
	return n, nil
}

// feed takes bytes and appends to out what goes on.
func (s *frameFilter) feed(b []byte) {
	for len(b) > 0 || s.passBytes == 0 && s.skipBytes == 0 && s.appended != nil {
		switch {
		case s.passBytes == 0 && s.skipBytes == 0 && s.appended != nil:
			s.ready, s.appended = append(s.ready, s.appended...), nil
		case s.passBytes > 0:
			n := min(s.passBytes, len(b))
			s.ready = append(s.ready, b[:n]...)
			s.passBytes, b = s.passBytes-n, b[n:]
			continue
		case s.skipBytes > 0:
			n := min(s.skipBytes, len(b))
			s.skipBytes, b = s.skipBytes-n, b[n:]
			continue
		}
		wanted := frameHeadBytes
		if len(s.buffered) >= frameHeadBytes {
			wanted = s.handleFrame()
			if wanted == 0 {
				continue
			}
		}
		n := min(wanted-len(s.buffered), len(b))
		s.buffered, b = append(s.buffered, b[:n]...), b[n:]
		if len(s.buffered) == wanted {
			s.handleFrame()
		}
	}
}

// handleFrame looks at the frame whose head is in hand. It gives how many bytes it has to see first, 0 if it has decided.
func (s *frameFilter) handleFrame() int {
	if len(s.buffered) < frameHeadBytes {
		return frameHeadBytes
	}
	kind, channel := s.buffered[0], binary.BigEndian.Uint16(s.buffered[1:])
	size := int(binary.BigEndian.Uint32(s.buffered[3:]))
	switch kind {
	case headerFrame:
		const minHeaderBytes = 14 // class, weight, body size, flags
		if size < minHeaderBytes {
			break
		}
		// A header of a size that we take is looked at whole, of a larger one just the beginning.
		wanted := frameHeadBytes + 12
		if size <= s.maxHeaderBytes {
			wanted = frameHeadBytes + size
		}
		if len(s.buffered) < wanted {
			return wanted
		}
		body := binary.BigEndian.Uint64(s.buffered[frameHeadBytes+4:])
		reason := ""
		switch {
		case size > s.maxHeaderBytes || !validProperties(s.buffered[frameHeadBytes+12:]):
			reason = badHeader
		case body > uint64(s.maxBodyBytes):
			reason = tooLong
		}
		if body > 0 {
			s.bodies[channel] = &bodyProgress{remaining: int(min(body, 1<<62)), drop: reason != ""}
		} else {
			delete(s.bodies, channel)
		}
		if reason == "" {
			break
		}
		if reason == badHeader { // an empty one in its place: the class as it came, no weight, no properties
			s.ready = append(s.ready, headerFrame, s.buffered[1], s.buffered[2], 0, 0, 0, minHeaderBytes, s.buffered[frameHeadBytes], s.buffered[frameHeadBytes+1], 0, 0)
			s.ready = binary.BigEndian.AppendUint64(s.ready, uint64(len(placeholders[reason])))
			s.ready = append(s.ready, 0, 0, frameEnd)
			s.skipBytes = frameHeadBytes + size + frameTailBytes - len(s.buffered)
		} else { // its properties stay, with the length of the mark
			s.ready = append(s.ready, s.buffered[:frameHeadBytes+4]...)
			s.ready = binary.BigEndian.AppendUint64(s.ready, uint64(len(placeholders[reason])))
			s.ready = append(s.ready, s.buffered[frameHeadBytes+12:]...)
			s.passBytes = frameHeadBytes + size + frameTailBytes - len(s.buffered)
		}
		s.appended = s.placeholderFrame(channel, placeholders[reason])
		s.buffered = s.buffered[:0]
		return 0
	case bodyFrame:
		c := s.bodies[channel]
		if c == nil {
			break
		}
		if c.remaining -= size; c.remaining <= 0 {
			delete(s.bodies, channel)
		}
		if c.drop {
			s.skipBytes = size + frameTailBytes
			s.buffered = s.buffered[:0]
			return 0
		}
	}
	s.ready = append(s.ready, s.buffered...)
	s.passBytes = frameHeadBytes + size + frameTailBytes - len(s.buffered)
	s.buffered = s.buffered[:0]
	return 0
}

// placeholderFrame is the body frame of a mark.
func (s *frameFilter) placeholderFrame(channel uint16, body string) []byte {
	b := binary.BigEndian.AppendUint16([]byte{bodyFrame}, channel)
	b = binary.BigEndian.AppendUint32(b, uint32(len(body)))
	return append(append(b, body...), frameEnd)
}

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

// validProperties tells whether properties, behind class, weight and size, can be read: text where text has to be, tables of known kinds and
// of little depth. Danger: the library closes the connection over what it can't read, the broker sends it again, and a single
// message keeps a queue from being consumed for ever.
func validProperties(b []byte) bool {
	walk := propertyWalker{rest: b}
	flags := walk.readUint(2)
	if flags&1 != 0 { // more flags than the specification has properties
		return false
	}
	for bit := 15; bit >= 2; bit-- {
		if flags&(1<<bit) == 0 {
			continue
		}
		switch bit {
		case 13:
			walk.table(0)
		case 12, 11:
			walk.skip(1)
		case 6:
			walk.skip(8)
		default:
			walk.skip(walk.readUint(1))
		}
	}
	return !walk.invalid && len(walk.rest) == 0
}

// propertyWalker passes over the parts of properties.
type propertyWalker struct {
	rest    []byte
	invalid bool
}

func (w *propertyWalker) skip(n int) {
	if n < 0 || n > len(w.rest) {
		w.invalid, w.rest = true, nil
		return
	}
	w.rest = w.rest[n:]
}

func (w *propertyWalker) readUint(size int) (x int) {
	if size > len(w.rest) {
		w.invalid, w.rest = true, nil
		return 0
	}
	for _, c := range w.rest[:size] {
		x = x<<8 | int(c)
	}
	w.rest = w.rest[size:]
	return x
}

// maxTableDepth is how far tables may be nested; a person nests two or three.
const maxTableDepth = 8

// section gives the next so many bytes to walk by themselves.
func (w *propertyWalker) section(n int) propertyWalker {
	if n < 0 || n > len(w.rest) {
		w.invalid, w.rest = true, nil
		return propertyWalker{}
	}
	p := propertyWalker{rest: w.rest[:n]}
	w.rest = w.rest[n:]
	return p
}

func (w *propertyWalker) table(depth int) {
	p := w.section(w.readUint(4))
	for len(p.rest) > 0 && !p.invalid {
		p.skip(p.readUint(1))
		p.value(depth)
	}
	w.invalid = w.invalid || p.invalid
}

func (w *propertyWalker) value(depth int) {
	if depth > maxTableDepth {
		w.invalid = true
		return
	}
	switch kind := w.readUint(1); kind {
	case 't', 'b', 'B':
		w.skip(1)
	case 's':
		w.skip(2)
	case 'I', 'f':
		w.skip(4)
	case 'D':
		w.skip(5)
	case 'l', 'd', 'T':
		w.skip(8)
	case 'S', 'x':
		w.skip(w.readUint(4))
	case 'F':
		w.table(depth + 1)
	case 'A':
		p := w.section(w.readUint(4))
		for len(p.rest) > 0 && !p.invalid {
			p.value(depth + 1)
		}
		w.invalid = w.invalid || p.invalid
	case 'V':
	default:
		w.invalid = true
	}
}

package amqp

import (
	"crypto/rand"
	"encoding/binary"
	"net"
)

// sieve lies between a broker's bytes and the client library, which would gather a content of any size in memory before
// anybody sees it, and read tables as deep as they come. Danger: one message of 100 MB, or one that is a table in a table ten
// thousand times, ends the process. Of a content whose header or body is too large only an empty header, or the header alone, goes on; that it was
// so is told by a body that stands for it.
type sieve struct {
	net.Conn
	mostHeader, mostBody int

	in    []byte // read and not passed on, less than a frame's head or a header frame
	out   []byte // to be passed on
	pass  int    // bytes of the present frame that are passed on
	skip  int    // bytes of the present frame that are not
	after []byte // goes on behind the present frame
	sized map[uint16]*content
}

// content is a body that is coming on a channel.
type content struct {
	left int
	drop bool
}

// marks are the bodies that stand for what was kept back: drawn anew by each process, so that no message can say of itself
// what only the sieve says.
var marks = map[string]string{tooLong: rand.Text(), badHeader: rand.Text()}

const (
	tooLong   = "too-long"
	badHeader = "bad-header"
)

// marked tells why a body was kept back, empty if it was not.
func marked(body []byte) string {
	for why, text := range marks {
		if string(body) == text {
			return why
		}
	}
	return ""
}

// Frame types of the specification that matter here, and the bytes round a payload.
const (
	methodFrame, headerFrame, bodyFrame = 1, 2, 3
	frameHead, frameTail                = 7, 1
	frameEnd                            = 0xce
)

func newSieve(c net.Conn, mostHeader, mostBody int) *sieve {
	return &sieve{Conn: c, mostHeader: mostHeader, mostBody: mostBody, sized: map[uint16]*content{}}
}

func (s *sieve) Read(b []byte) (int, error) {
	for len(s.out) == 0 {
		n, err := s.Conn.Read(b)
		if n > 0 {
			s.feed(b[:n])
		}
		if err != nil && len(s.out) == 0 {
			return 0, err
		}
	}
	n := copy(b, s.out)
	s.out = s.out[:copy(s.out, s.out[n:])]
	return n, nil
}

// feed takes bytes and appends to out what goes on.
func (s *sieve) feed(b []byte) {
	for len(b) > 0 || s.pass == 0 && s.skip == 0 && s.after != nil {
		switch {
		case s.pass == 0 && s.skip == 0 && s.after != nil:
			s.out, s.after = append(s.out, s.after...), nil
		case s.pass > 0:
			n := min(s.pass, len(b))
			s.out = append(s.out, b[:n]...)
			s.pass, b = s.pass-n, b[n:]
			continue
		case s.skip > 0:
			n := min(s.skip, len(b))
			s.skip, b = s.skip-n, b[n:]
			continue
		}
		want := frameHead
		if len(s.in) >= frameHead {
			want = s.frame()
			if want == 0 {
				continue
			}
		}
		n := min(want-len(s.in), len(b))
		s.in, b = append(s.in, b[:n]...), b[n:]
		if len(s.in) == want {
			s.frame()
		}
	}
}

// frame looks at the frame whose head is in hand. It gives how many bytes it has to see first, 0 if it has decided.
func (s *sieve) frame() int {
	if len(s.in) < frameHead {
		return frameHead
	}
	kind, channel := s.in[0], binary.BigEndian.Uint16(s.in[1:])
	size := int(binary.BigEndian.Uint32(s.in[3:]))
	switch kind {
	case headerFrame:
		const least = 14 // class, weight, body size, flags
		if size < least {
			break
		}
		// A header of a size that we take is looked at whole, of a larger one just the beginning.
		want := frameHead + 12
		if size <= s.mostHeader {
			want = frameHead + size
		}
		if len(s.in) < want {
			return want
		}
		body := binary.BigEndian.Uint64(s.in[frameHead+4:])
		why := ""
		switch {
		case size > s.mostHeader || !sound(s.in[frameHead+12:]):
			why = badHeader
		case body > uint64(s.mostBody):
			why = tooLong
		}
		if body > 0 {
			s.sized[channel] = &content{left: int(min(body, 1<<62)), drop: why != ""}
		} else {
			delete(s.sized, channel)
		}
		if why == "" {
			break
		}
		if why == badHeader { // an empty one in its place: the class as it came, no weight, no properties
			s.out = append(s.out, headerFrame, s.in[1], s.in[2], 0, 0, 0, least, s.in[frameHead], s.in[frameHead+1], 0, 0)
			s.out = binary.BigEndian.AppendUint64(s.out, uint64(len(marks[why])))
			s.out = append(s.out, 0, 0, frameEnd)
			s.skip = frameHead + size + frameTail - len(s.in)
		} else { // its properties stay, with the length of the mark
			s.out = append(s.out, s.in[:frameHead+4]...)
			s.out = binary.BigEndian.AppendUint64(s.out, uint64(len(marks[why])))
			s.out = append(s.out, s.in[frameHead+12:]...)
			s.pass = frameHead + size + frameTail - len(s.in)
		}
		s.after = s.frames(channel, marks[why])
		s.in = s.in[:0]
		return 0
	case bodyFrame:
		c := s.sized[channel]
		if c == nil {
			break
		}
		if c.left -= size; c.left <= 0 {
			delete(s.sized, channel)
		}
		if c.drop {
			s.skip = size + frameTail
			s.in = s.in[:0]
			return 0
		}
	}
	s.out = append(s.out, s.in...)
	s.pass = frameHead + size + frameTail - len(s.in)
	s.in = s.in[:0]
	return 0
}

// frames is the body frame of a mark.
func (s *sieve) frames(channel uint16, body string) []byte {
	b := binary.BigEndian.AppendUint16([]byte{bodyFrame}, channel)
	b = binary.BigEndian.AppendUint32(b, uint32(len(body)))
	return append(append(b, body...), frameEnd)
}

// sound tells whether properties, behind class, weight and size, can be read: text where text has to be, tables of known kinds and
// of little depth. Danger: the library closes the connection over what it can't read, the broker sends it again, and a single
// message keeps a queue from being consumed for ever.
func sound(b []byte) bool {
	w := walker{b: b}
	flags := w.number(2)
	if flags&1 != 0 { // more flags than the specification has properties
		return false
	}
	for bit := 15; bit >= 2; bit-- {
		if flags&(1<<bit) == 0 {
			continue
		}
		switch bit {
		case 13:
			w.table(0)
		case 12, 11:
			w.skip(1)
		case 6:
			w.skip(8)
		default:
			w.skip(w.number(1))
		}
	}
	return !w.bad && len(w.b) == 0
}

// walker passes over the parts of properties.
type walker struct {
	b   []byte
	bad bool
}

func (w *walker) skip(n int) {
	if n < 0 || n > len(w.b) {
		w.bad, w.b = true, nil
		return
	}
	w.b = w.b[n:]
}

func (w *walker) number(size int) (x int) {
	if size > len(w.b) {
		w.bad, w.b = true, nil
		return 0
	}
	for _, c := range w.b[:size] {
		x = x<<8 | int(c)
	}
	w.b = w.b[size:]
	return x
}

// deepest is how far tables may be nested; a person nests two or three.
const deepest = 8

// part gives the next so many bytes to walk by themselves.
func (w *walker) part(n int) walker {
	if n < 0 || n > len(w.b) {
		w.bad, w.b = true, nil
		return walker{}
	}
	p := walker{b: w.b[:n]}
	w.b = w.b[n:]
	return p
}

func (w *walker) table(depth int) {
	p := w.part(w.number(4))
	for len(p.b) > 0 && !p.bad {
		p.skip(p.number(1))
		p.value(depth)
	}
	w.bad = w.bad || p.bad
}

func (w *walker) value(depth int) {
	if depth > deepest {
		w.bad = true
		return
	}
	switch kind := w.number(1); kind {
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
		w.skip(w.number(4))
	case 'F':
		w.table(depth + 1)
	case 'A':
		p := w.part(w.number(4))
		for len(p.b) > 0 && !p.bad {
			p.value(depth + 1)
		}
		w.bad = w.bad || p.bad
	case 'V':
	default:
		w.bad = true
	}
}

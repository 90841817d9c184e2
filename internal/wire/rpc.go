package wire

import (
	"encoding/binary"
	"math"
	"strconv"
	"time"

	"lanewheel/internal/front"
)

// Client stubs speak MessagePack-RPC: an op is a call whose method is the op's type. Nothing outside this
// file knows MessagePack.

// Ask and With are the seam's; here they are written and read.
type (
	Ask  = front.Request
	With = front.ResponseMetadata
)

// Stub is a client stub's connection. The fields are its callbacks, called on the owner loop.
type Stub struct {
	*Link
	OnOp        func(n uint32, ask Ask)
	OnInterrupt func(n uint32)
	OnCheck     func(n uint32, deep bool)
	OnFault     func(code string)
	OnEnd       func(code string)
	// OnProven hears of the proof that a handshake came to; on a plain connection it never comes.
	OnProven func(proof any)

	token string // the last one read, which the next is likely to be; the reader's
}

// Stub makes an accepted connection one of a client stub.
func (l *Link) Stub() *Stub {
	s := &Stub{Link: l}
	l.parse = s.message
	l.fault = func(code string) { s.OnFault(code) }
	l.ended = func(code string) { s.OnEnd(code) }
	if l.tls != nil {
		l.tls.proven = func(proof any) { s.OnProven(proof) }
	}
	return s
}

// Answer gives the result of a run; Refuse and Failed are errors; Checked answers a health check.
func (s *Stub) Answer(n uint32, result []byte, with With) {
	b := append(answer(s.room(), n), 0xc0, 0x92)
	b = appendBin(b, result)
	s.put(appendWith(b, with))
}

func (s *Stub) Refuse(n uint32, with With) { s.error(n, "Busy", with) }
func (s *Stub) Failed(n uint32, with With) { s.error(n, "Failed", with) }

// Denied is the error of an op that its caller may not ask for; with.Why says why in one word.
func (s *Stub) Denied(n uint32, with With) { s.error(n, "Denied", with) }

func (s *Stub) error(n uint32, name string, with With) {
	b := append(answer(s.room(), n), 0x92)
	b = appendStr(b, name)
	s.put(append(appendWith(b, with), 0xc0))
}

func (s *Stub) Checked(n uint32, good bool, with With) {
	b := append(answer(s.room(), n), 0xc0, 0x92, 0xc2)
	if good {
		b[len(b)-1] = 0xc3
	}
	s.put(appendWith(b, with))
}

// GoAway asks the stub to send nothing new here and to close when all is answered.
func (s *Stub) GoAway() {
	b := append(s.room(), 0x93, 0x02)
	s.put(append(appendStr(b, "goaway"), 0x90))
}

func answer(b []byte, n uint32) []byte {
	return binary.BigEndian.AppendUint32(append(b, 0x94, 0x01, 0xce), n)
}

// appendWith writes the fields, a map of strings to strings.
func appendWith(b []byte, w With) []byte {
	at := len(b)
	b = append(b, 0x80)
	if w.LoadReport >= 0 {
		b[at]++
		b = appendStr(appendStr(b, "say"), strconv.FormatFloat(w.LoadReport, 'f', -1, 64))
	}
	if w.RetryAfter > 0 {
		b[at]++
		ms := (w.RetryAfter + time.Millisecond - 1) / time.Millisecond
		b = appendStr(appendStr(b, "after"), strconv.FormatInt(int64(ms), 10))
	}
	if w.NoFailover {
		b[at]++
		b = appendStr(appendStr(b, "last"), "1")
	}
	if w.Reason != "" {
		b[at]++
		b = appendStr(appendStr(b, "why"), w.Reason)
	}
	return b
}

func appendStr(b []byte, s string) []byte {
	if len(s) < 32 {
		return append(append(b, 0xa0|byte(len(s))), s...)
	}
	return append(append(b, 0xd9, byte(len(s))), s...)
}

func appendBin(b, body []byte) []byte {
	if len(body) < 256 {
		return append(append(b, 0xc4, byte(len(body))), body...)
	}
	b = binary.BigEndian.AppendUint16(append(b, 0xc5), uint16(len(body)))
	return append(b, body...)
}

// message reads one message: [0, n, method, params] or [2, method, params].
func (s *Stub) message(b []byte) (int, func(), string) {
	r := unpack{b: b}
	parts := r.array()
	kind := r.whole()
	var call func()
	switch {
	case r.bad:
	case parts == 4 && kind == 0:
		n, method := r.whole(), string(r.text())
		switch params := r.array(); {
		case r.bad || n < 0 || n > math.MaxUint32:
			r.bad = true
		case params == 2:
			call = s.op(&r, uint32(n), method)
		case params == 1 && method == "check":
			_, deep := s.fields(&r)
			call = func() { s.OnCheck(uint32(n), deep) }
		default:
			r.bad = true
		}
	case parts == 3 && kind == 2:
		method := string(r.text())
		if method == "interrupt" && r.array() == 1 {
			n := r.whole()
			if n >= 0 && n <= math.MaxUint32 {
				call = func() { s.OnInterrupt(uint32(n)) }
			}
		} else if method == "interrupt" {
			r.bad = true
		} else {
			r.skip(0) // a notification that we do not know asks for nothing
		}
	default:
		r.bad = true
	}
	switch {
	case r.short:
		return 0, nil, ""
	case r.bad:
		return 0, nil, "bad-message"
	}
	return r.at, call, ""
}

// mostPassed is how many processes an op may say to have come by: two are usual, so what says more goes in a circle.
const mostPassed = 8

// mostBody is the longest body that an op may have.
const mostBody = 2 << 10

func (s *Stub) op(r *unpack, n uint32, method string) func() {
	ask, _ := s.fields(r)
	ask.Class, ask.NewIDPerAttempt = method, true
	body := r.blob()
	if len(body) > mostBody || !r.short && !r.bad && len(ask.ID) != 16 {
		r.bad = true
	}
	if r.short || r.bad {
		return nil
	}
	ask.Body = append(s.net.Take(), body...)
	return func() {
		s.OnOp(n, ask)
		s.net.Give(ask.Body)
	}
}

// fields reads the map beside a body; deep is a health check's.
func (s *Stub) fields(r *unpack) (ask Ask, deep bool) {
	for i := r.mapping(); i > 0 && !r.bad && !r.short; i-- {
		switch name := r.text(); string(name) {
		case "id":
			ask.ID = string(r.text())
		case "tenant":
			ask.Tenant = string(r.text())
		case "key":
			ask.Resource = string(r.text())
		case "at":
			ask.SentUnixMilli = r.whole()
		case "from":
			ask.Caller = int(r.whole())
		case "wait":
			ask.Timeout, ask.HasTimeout = r.milliseconds(), true
		case "cost":
			ask.WorkHint = r.milliseconds()
		case "kb":
			ask.MemoryKB = r.number()
		case "rank":
			ask.Rank = r.number()
		case "token":
			if !s.net.Tokens.Load() {
				r.skip(0)
				break
			}
			// The last one's text serves again: one comparison instead of some hundred new bytes for each op.
			if text := r.text(); string(text) != s.token {
				s.token = string(text)
			}
			ask.Token = s.token
		case "passed":
			if !s.net.Passed.Load() {
				r.skip(0)
				break
			}
			if n := r.whole(); n < 0 || n > mostPassed {
				r.bad = true
			} else {
				ask.Hops = int(n)
			}
		case "deep":
			deep = r.number() == 1
		default:
			r.skip(0)
		}
	}
	return ask, deep
}

// unpack reads MessagePack values off the front. short tells that there is not enough of them yet, bad that
// something else stands there than what was asked for.
type unpack struct {
	b          []byte
	at         int
	short, bad bool
}

func (r *unpack) take(n int) []byte {
	if n < 0 || n > BufferSize { // Danger: a length that would have us wait for more than a message can hold
		r.bad = true
	}
	if r.bad || r.short {
		return nil
	}
	if len(r.b)-r.at < n {
		r.short = true
		return nil
	}
	r.at += n
	return r.b[r.at-n : r.at]
}

func (r *unpack) byte() byte {
	if b := r.take(1); b != nil {
		return b[0]
	}
	return 0
}

// uint reads a big-endian number of so many bytes.
func (r *unpack) uint(size int) (x uint64) {
	for _, b := range r.take(size) {
		x = x<<8 | uint64(b)
	}
	return x
}

func (r *unpack) array() int   { return r.size(0x90, 0x0f, 0xdc) }
func (r *unpack) mapping() int { return r.size(0x80, 0x0f, 0xde) }

// size reads the head of an array or map: its short form, or wide for 16 bits and the next for 32.
func (r *unpack) size(fixed, mask, wide byte) int {
	switch tag := r.byte(); {
	case r.short || r.bad:
	case tag&^mask == fixed:
		return int(tag & mask)
	case tag == wide:
		return int(r.uint(2))
	case tag == wide+1:
		return int(r.uint(4))
	default:
		r.bad = true
	}
	return 0
}

// text reads a str, or a bin, which older speakers send for it.
func (r *unpack) text() []byte {
	if r.at < len(r.b) && r.b[r.at]&0xe0 == 0xa0 {
		return r.take(int(r.byte() & 0x1f))
	}
	switch tag := r.byte(); {
	case r.short || r.bad:
	case tag == 0xd9 || tag == 0xc4:
		return r.take(int(r.uint(1)))
	case tag == 0xda || tag == 0xc5:
		return r.take(int(r.uint(2)))
	case tag == 0xdb || tag == 0xc6:
		return r.take(int(r.uint(4)))
	default:
		r.bad = true
	}
	return nil
}

func (r *unpack) blob() []byte { return r.text() }

// number reads any of the integers and floats, or text of one, which is how stubs write their fields.
func (r *unpack) number() float64 {
	switch tag := r.byte(); {
	case r.short || r.bad:
	case tag == 0xca:
		return r.finite(float64(math.Float32frombits(uint32(r.uint(4)))))
	case tag == 0xcb:
		return r.finite(math.Float64frombits(r.uint(8)))
	case tag&0xe0 == 0xa0 || tag >= 0xd9 && tag <= 0xdb:
		r.at--
		text := r.text()
		x, err := strconv.ParseFloat(string(text), 64)
		if err != nil && !r.short {
			r.bad = true
		}
		return r.finite(x)
	default:
		r.at--
		return float64(r.whole())
	}
	return 0
}

func (r *unpack) finite(x float64) float64 {
	if math.IsNaN(x) || math.IsInf(x, 0) {
		r.bad = true
	}
	return x
}

// whole reads an integer, or a float or text without a fraction.
func (r *unpack) whole() int64 {
	switch tag := r.byte(); {
	case r.short || r.bad:
	case tag < 0x80 || tag >= 0xe0:
		return int64(int8(tag))
	case tag >= 0xcc && tag <= 0xcf:
		x := r.uint(1 << (tag - 0xcc))
		if x > math.MaxInt64 {
			r.bad = true
		}
		return int64(x)
	case tag >= 0xd0 && tag <= 0xd3:
		size := 1 << (tag - 0xd0)
		return int64(r.uint(size)<<(64-8*size)) >> (64 - 8*size)
	case tag == 0xca || tag == 0xcb || tag&0xe0 == 0xa0 || tag >= 0xd9 && tag <= 0xdb:
		r.at--
		x := r.number()
		if x != math.Trunc(x) || math.Abs(x) > 1<<53 {
			r.bad = true
		}
		return int64(x)
	default:
		r.bad = true
	}
	return 0
}

func (r *unpack) milliseconds() time.Duration {
	ms := r.number()
	if ms < 0 || ms > 1e12 {
		r.bad = true
		return 0
	}
	return time.Duration(ms * float64(time.Millisecond))
}

// skip passes over one value of any form.
func (r *unpack) skip(depth int) {
	if depth > 16 { // Danger: a message nested so deep that reading it uses up the stack
		r.bad = true
	}
	if r.at >= len(r.b) {
		r.short = true
	}
	if r.short || r.bad {
		return
	}
	tag := r.b[r.at]
	switch {
	case tag&0xe0 == 0xa0, tag >= 0xd9 && tag <= 0xdb, tag >= 0xc4 && tag <= 0xc6:
		r.text()
	case tag&0xf0 == 0x90, tag == 0xdc, tag == 0xdd:
		for i := r.array(); i > 0 && !r.short && !r.bad; i-- {
			r.skip(depth + 1)
		}
	case tag&0xf0 == 0x80, tag == 0xde, tag == 0xdf:
		for i := r.mapping(); i > 0 && !r.short && !r.bad; i-- {
			r.skip(depth + 1)
			r.skip(depth + 1)
		}
	case tag >= 0xc7 && tag <= 0xc9: // ext, with its length and type before the bytes
		r.at++
		size := int(r.uint(1 << (tag - 0xc7)))
		r.take(1)
		r.take(size)
	case tag >= 0xd4 && tag <= 0xd8: // ext of a fixed length
		r.at++
		r.take(1 + 1<<(tag-0xd4))
	case tag == 0xc0, tag == 0xc2, tag == 0xc3:
		r.at++
	case tag == 0xca:
		r.take(5)
	case tag == 0xcb:
		r.take(9)
	case tag == 0xcf: // past what whole takes
		r.take(9)
	default:
		r.whole()
	}
}

package transport

import (
	"encoding/binary"
	"math"
	"strconv"
	"time"

	"lanewheel/internal/frontend"
)

// Client stubs speak MessagePack-RPC: an op is a call whose method is the op's type. Nothing outside this
// file knows MessagePack.

// Request and With are the seam's; here they are written and read.
type (
	Request          = frontend.Request
	ResponseMetadata = frontend.ResponseMetadata
)

// ServerConn is a client stub's connection. The fields are its callbacks, called on the owner loop.
type ServerConn struct {
	*Conn
	OnRequest       func(n uint32, ask Request)
	OnCancel        func(n uint32)
	OnHealthCheck   func(n uint32, deep bool)
	OnProtocolError func(code string)
	OnClose         func(code string)
	// OnProven hears of the proof that a handshake came to; on a plain connection it never comes.
	OnAuthenticated func(proof any)

	lastToken string // the last one read, which the next is likely to be; the reader's
}

// ServerConn makes an accepted connection one of a client stub.
func (l *Conn) ServerConn() *ServerConn {
	conn := &ServerConn{Conn: l}
	l.parse = conn.parseMessage
	l.onUnreadable = func(code string) { conn.OnProtocolError(code) }
	l.onClose = func(code string) { conn.OnClose(code) }
	if l.tls != nil {
		l.tls.onAuthenticated = func(proof any) { conn.OnAuthenticated(proof) }
	}
	return conn
}

// Succeed gives the result of a run; Refuse and Failed are errors; Checked answers a health check.
func (s *ServerConn) Succeed(messageID uint32, result []byte, metadata ResponseMetadata) {
	b := append(appendResponseHead(s.outputBuffer(), messageID), 0xc0, 0x92)
	b = appendBytes(b, result)
	s.setOutput(appendMetadata(b, metadata))
}

func (s *ServerConn) Reject(messageID uint32, metadata ResponseMetadata) {
	s.sendError(messageID, "Busy", metadata)
}
func (s *ServerConn) Fail(messageID uint32, metadata ResponseMetadata) {
	s.sendError(messageID, "Failed", metadata)
}

// Deny is the error of an op that its caller may not ask for; with.Why says why in one word.
func (s *ServerConn) Deny(messageID uint32, metadata ResponseMetadata) {
	s.sendError(messageID, "Denied", metadata)
}

func (s *ServerConn) sendError(messageID uint32, name string, metadata ResponseMetadata) {
	b := append(appendResponseHead(s.outputBuffer(), messageID), 0x92)
	b = appendString(b, name)
	s.setOutput(append(appendMetadata(b, metadata), 0xc0))
}

func (s *ServerConn) AnswerHealthCheck(messageID uint32, healthy bool, metadata ResponseMetadata) {
	b := append(appendResponseHead(s.outputBuffer(), messageID), 0xc0, 0x92, 0xc2)
	if healthy {
		b[len(b)-1] = 0xc3
	}
	s.setOutput(appendMetadata(b, metadata))
}

// GoAway asks the stub to send nothing new here and to close when all is answered.
func (s *ServerConn) GoAway() {
	b := append(s.outputBuffer(), 0x93, 0x02)
	s.setOutput(append(appendString(b, "goaway"), 0x90))
}

func appendResponseHead(b []byte, messageID uint32) []byte {
	return binary.BigEndian.AppendUint32(append(b, 0x94, 0x01, 0xce), messageID)
}

// appendMetadata writes the fields, a map of strings to strings.
func appendMetadata(b []byte, metadata ResponseMetadata) []byte {
	head := len(b)
	b = append(b, 0x80)
	if metadata.LoadReport >= 0 {
		b[head]++
		b = appendString(appendString(b, "say"), strconv.FormatFloat(metadata.LoadReport, 'f', -1, 64))
	}
	if metadata.RetryAfter > 0 {
		b[head]++
		ms := (metadata.RetryAfter + time.Millisecond - 1) / time.Millisecond
		b = appendString(appendString(b, "after"), strconv.FormatInt(int64(ms), 10))
	}
	if metadata.NoFailover {
		b[head]++
		b = appendString(appendString(b, "last"), "1")
	}
	if metadata.Reason != "" {
		b[head]++
		b = appendString(appendString(b, "why"), metadata.Reason)
	}
	return b
}

func appendString(b []byte, s string) []byte {
	if len(s) < 32 {
		return append(append(b, 0xa0|byte(len(s))), s...)
	}
	return append(append(b, 0xd9, byte(len(s))), s...)
}

func appendBytes(b, body []byte) []byte {
	if len(body) < 256 {
		return append(append(b, 0xc4, byte(len(body))), body...)
	}
	b = binary.BigEndian.AppendUint16(append(b, 0xc5), uint16(len(body)))
	return append(b, body...)
}

// parseMessage reads one message: [0, n, method, params] or [2, method, params].
func (s *ServerConn) parseMessage(b []byte) (int, func(), string) {
	d := decoder{input: b}
	parts := d.readArrayLength()
	kind := d.readInteger()
	var call func()
	switch {
	case d.malformed:
	case parts == 4 && kind == 0:
		messageID, method := d.readInteger(), string(d.readString())
		switch params := d.readArrayLength(); {
		case d.malformed || messageID < 0 || messageID > math.MaxUint32:
			d.malformed = true
		case params == 2:
			call = s.parseRequest(&d, uint32(messageID), method)
		case params == 1 && method == "check":
			_, deep := s.parseFields(&d)
			call = func() { s.OnHealthCheck(uint32(messageID), deep) }
		default:
			d.malformed = true
		}
	case parts == 3 && kind == 2:
		method := string(d.readString())
		if method == "interrupt" && d.readArrayLength() == 1 {
			messageID := d.readInteger()
			if messageID >= 0 && messageID <= math.MaxUint32 {
				call = func() { s.OnCancel(uint32(messageID)) }
			}
		} else if method == "interrupt" {
			d.malformed = true
		} else {
			d.skip(0) // a notification that we do not know asks for nothing
		}
	default:
		d.malformed = true
	}
	switch {
	case d.truncated:
		return 0, nil, ""
	case d.malformed:
		return 0, nil, "bad-message"
	}
	return d.offset, call, ""
}

// maxHops is how many processes an op may say to have come by: two are usual, so what says more goes in a circle.
const maxHops = 8

// maxBodyBytes is the longest body that an op may have.
const maxBodyBytes = 2 << 10

func (s *ServerConn) parseRequest(d *decoder, messageID uint32, method string) func() {
	request, _ := s.parseFields(d)
	request.Class, request.NewIDPerAttempt = method, true
	body := d.readBytes()
	if len(body) > maxBodyBytes || !d.truncated && !d.malformed && len(request.ID) != 16 {
		d.malformed = true
	}
	if d.truncated || d.malformed {
		return nil
	}
	request.Body = append(s.net.Get(), body...)
	return func() {
		s.OnRequest(messageID, request)
		s.net.Put(request.Body)
	}
}

// parseFields reads the map beside a body; deep is a health check's.
func (s *ServerConn) parseFields(d *decoder) (request Request, deep bool) {
	for i := d.readMapLength(); i > 0 && !d.malformed && !d.truncated; i-- {
		switch name := d.readString(); string(name) {
		case "id":
			request.ID = string(d.readString())
		case "tenant":
			request.Tenant = string(d.readString())
		case "key":
			request.Resource = string(d.readString())
		case "at":
			request.SentUnixMilli = d.readInteger()
		case "from":
			request.Caller = int(d.readInteger())
		case "wait":
			request.Timeout, request.HasTimeout = d.readMilliseconds(), true
		case "cost":
			request.WorkHint = d.readMilliseconds()
		case "kb":
			request.MemoryKB = d.readNumber()
		case "rank":
			request.Rank = d.readNumber()
		case "token":
			if !s.net.ReadTokens.Load() {
				d.skip(0)
				break
			}
			// The last one's text serves again: one comparison instead of some hundred new bytes for each op.
			if text := d.readString(); string(text) != s.lastToken {
				s.lastToken = string(text)
			}
			request.Token = s.lastToken
		case "passed":
			if !s.net.ReadHops.Load() {
				d.skip(0)
				break
			}
			if hops := d.readInteger(); hops < 0 || hops > maxHops {
				d.malformed = true
			} else {
				request.Hops = int(hops)
			}
		case "deep":
			deep = d.readNumber() == 1
		default:
			d.skip(0)
		}
	}
	return request, deep
}

// decoder reads MessagePack values off the front. short tells that there is not enough of them yet, bad that
// something else stands there than what was asked for.
type decoder struct {
	input                []byte
	offset               int
	truncated, malformed bool
}

func (r *decoder) next(n int) []byte {
	if n < 0 || n > BufferSize { // Danger: a length that would have us wait for more than a message can hold
		r.malformed = true
	}
	if r.malformed || r.truncated {
		return nil
	}
	if len(r.input)-r.offset < n {
		r.truncated = true
		return nil
	}
	r.offset += n
	return r.input[r.offset-n : r.offset]
}

func (r *decoder) readByte() byte {
	if b := r.next(1); b != nil {
		return b[0]
	}
	return 0
}

// readUint reads a big-endian number of so many bytes.
func (r *decoder) readUint(size int) (x uint64) {
	for _, b := range r.next(size) {
		x = x<<8 | uint64(b)
	}
	return x
}

func (r *decoder) readArrayLength() int { return r.readLength(0x90, 0x0f, 0xdc) }
func (r *decoder) readMapLength() int   { return r.readLength(0x80, 0x0f, 0xde) }

// readLength reads the head of an array or map: its short form, or wide for 16 bits and the next for 32.
func (r *decoder) readLength(fixed, mask, tag16 byte) int {
	switch tag := r.readByte(); {
	case r.truncated || r.malformed:
	case tag&^mask == fixed:
		return int(tag & mask)
	case tag == tag16:
		return int(r.readUint(2))
	case tag == tag16+1:
		return int(r.readUint(4))
	default:
		r.malformed = true
	}
	return 0
}

// readString reads a str, or a bin, which older speakers send for it.
func (r *decoder) readString() []byte {
	if r.offset < len(r.input) && r.input[r.offset]&0xe0 == 0xa0 {
		return r.next(int(r.readByte() & 0x1f))
	}
	switch tag := r.readByte(); {
	case r.truncated || r.malformed:
	case tag == 0xd9 || tag == 0xc4:
		return r.next(int(r.readUint(1)))
	case tag == 0xda || tag == 0xc5:
		return r.next(int(r.readUint(2)))
	case tag == 0xdb || tag == 0xc6:
		return r.next(int(r.readUint(4)))
	default:
		r.malformed = true
	}
	return nil
}

func (r *decoder) readBytes() []byte { return r.readString() }

// readNumber reads any of the integers and floats, or text of one, which is how stubs write their fields.
func (r *decoder) readNumber() float64 {
	switch tag := r.readByte(); {
	case r.truncated || r.malformed:
	case tag == 0xca:
		return r.requireFinite(float64(math.Float32frombits(uint32(r.readUint(4)))))
	case tag == 0xcb:
		return r.requireFinite(math.Float64frombits(r.readUint(8)))
	case tag&0xe0 == 0xa0 || tag >= 0xd9 && tag <= 0xdb:
		r.offset--
		text := r.readString()
		x, err := strconv.ParseFloat(string(text), 64)
		if err != nil && !r.truncated {
			r.malformed = true
		}
		return r.requireFinite(x)
	default:
		r.offset--
		return float64(r.readInteger())
	}
	return 0
}

func (r *decoder) requireFinite(x float64) float64 {
	if math.IsNaN(x) || math.IsInf(x, 0) {
		r.malformed = true
	}
	return x
}

// readInteger reads an integer, or a float or text without a fraction.
func (r *decoder) readInteger() int64 {
	switch tag := r.readByte(); {
	case r.truncated || r.malformed:
	case tag < 0x80 || tag >= 0xe0:
		return int64(int8(tag))
	case tag >= 0xcc && tag <= 0xcf:
		x := r.readUint(1 << (tag - 0xcc))
		if x > math.MaxInt64 {
			r.malformed = true
		}
		return int64(x)
	case tag >= 0xd0 && tag <= 0xd3:
		size := 1 << (tag - 0xd0)
		return int64(r.readUint(size)<<(64-8*size)) >> (64 - 8*size)
	case tag == 0xca || tag == 0xcb || tag&0xe0 == 0xa0 || tag >= 0xd9 && tag <= 0xdb:
		r.offset--
		x := r.readNumber()
		if x != math.Trunc(x) || math.Abs(x) > 1<<53 {
			r.malformed = true
		}
		return int64(x)
	default:
		r.malformed = true
	}
	return 0
}

func (r *decoder) readMilliseconds() time.Duration {
	ms := r.readNumber()
	if ms < 0 || ms > 1e12 {
		r.malformed = true
		return 0
	}
	return time.Duration(ms * float64(time.Millisecond))
}

// skip passes over one value of any form.
func (r *decoder) skip(depth int) {
	if depth > 16 { // Danger: a message nested so deep that reading it uses up the stack
		r.malformed = true
	}
	if r.offset >= len(r.input) {
		r.truncated = true
	}
	if r.truncated || r.malformed {
		return
	}
	tag := r.input[r.offset]
	switch {
	case tag&0xe0 == 0xa0, tag >= 0xd9 && tag <= 0xdb, tag >= 0xc4 && tag <= 0xc6:
		r.readString()
	case tag&0xf0 == 0x90, tag == 0xdc, tag == 0xdd:
		for i := r.readArrayLength(); i > 0 && !r.truncated && !r.malformed; i-- {
			r.skip(depth + 1)
		}
	case tag&0xf0 == 0x80, tag == 0xde, tag == 0xdf:
		for i := r.readMapLength(); i > 0 && !r.truncated && !r.malformed; i-- {
			r.skip(depth + 1)
			r.skip(depth + 1)
		}
	case tag >= 0xc7 && tag <= 0xc9: // ext, with its length and type before the bytes
		r.offset++
		size := int(r.readUint(1 << (tag - 0xc7)))
		r.next(1)
		r.next(size)
	case tag >= 0xd4 && tag <= 0xd8: // ext of a fixed length
		r.offset++
		r.next(1 + 1<<(tag-0xd4))
	case tag == 0xc0, tag == 0xc2, tag == 0xc3:
		r.offset++
	case tag == 0xca:
		r.next(5)
	case tag == 0xcb:
		r.next(9)
	case tag == 0xcf: // past what whole takes
		r.next(9)
	default:
		r.readInteger()
	}
}

package transport

import (
	"bytes"
	"encoding/base64"
	"strconv"
	"time"
	"unicode/utf16"
	"unicode/utf8"

	"lanewheel/admission"
)

// The runtime speaks JSON, one flat object a line. Bodies are in base64.

// Event is one line of the runtime. Bytes stay valid only during the callback that they are given to.
type Event struct {
	Kind, RequestID, Status, CorrelationID string
	Sequence                               uint64
	Elapsed                                time.Duration
	Body                                   []byte
	Gauges                                 []float64
}

// RuntimeConn is the link to the runtime. The fields are its callbacks, called on the owner loop.
type RuntimeConn struct {
	*Conn
	OnEvent func(Event)
	OnClose func(code string)
}

// DialRuntime opens a link; ready is called once it stands or with what refused it.
func (n *Net) DialRuntime(addr string, ready func(refused error)) *RuntimeConn {
	runtime := &RuntimeConn{Conn: &Conn{net: n, peer: "runtime", openedAt: time.Now()}}
	runtime.parse = runtime.parseLine
	runtime.onClose = func(code string) { runtime.OnClose(code) }
	n.dial(runtime.Conn, addr, ready)
	return runtime
}

// The commands.

func (r *RuntimeConn) Sync(lastSequence uint64) {
	r.setOutput(r.newCommand("sync").sequence(lastSequence).end())
}

func (r *RuntimeConn) Start(id admission.RequestID, class admission.Class, body []byte) {
	r.setOutput(r.newCommand("start").requestID(id).text("route", string(class)).bytes(body).end())
}

func (r *RuntimeConn) Stop(id admission.RequestID) {
	r.setOutput(r.newCommand("stop").requestID(id).end())
}

func (r *RuntimeConn) SendCallReply(id admission.RequestID, reply []byte) {
	r.setOutput(r.newCommand("give").requestID(id).bytes(reply).end())
}

func (r *RuntimeConn) SkipCall(id admission.RequestID, sequence uint64) {
	r.setOutput(r.newCommand("omit").requestID(id).sequence(sequence).end())
}
func (r *RuntimeConn) RequestGauges(correlationID string) {
	r.setOutput(r.newCommand("gauges").text("mark", correlationID).end())
}
func (r *RuntimeConn) RequestSelfTest(correlationID string) {
	r.setOutput(r.newCommand("selftest").text("mark", correlationID).end())
}

// commandLine is a command that is being written.
type commandLine []byte

func (r *RuntimeConn) newCommand(kind string) commandLine {
	return append(append(append(commandLine(r.outputBuffer()), `{"t":"`...), kind...), '"')
}

func (j commandLine) sequence(n uint64) commandLine {
	return strconv.AppendUint(append(j, `,"no":`...), n, 10)
}
func (j commandLine) requestID(id admission.RequestID) commandLine {
	return j.text("rid", string(id))
}

func (j commandLine) text(name, s string) commandLine {
	j = append(append(append(j, ',', '"'), name...), `":`...)
	return appendQuoted(j, s)
}

func (j commandLine) bytes(body []byte) commandLine {
	return append(base64.StdEncoding.AppendEncode(append(j, `,"b64":"`...), body), '"')
}

func (j commandLine) end() []byte { return append(j, '}', '\n') }

// appendQuoted writes a string as JSON has it.
func appendQuoted(b []byte, s string) []byte {
	b = append(b, '"')
	for _, c := range s {
		switch {
		case c == '"' || c == '\\':
			b = append(b, '\\', byte(c))
		case c < 0x20:
			b = append(b, `\u00`...)
			b = append(b, "0123456789abcdef"[c>>4], "0123456789abcdef"[c&15])
		default:
			b = utf8.AppendRune(b, c)
		}
	}
	return append(b, '"')
}

// parseLine reads one line.
func (r *RuntimeConn) parseLine(b []byte) (int, func(), string) {
	end := bytes.IndexByte(b, '\n')
	if end < 0 {
		return 0, nil, ""
	}
	line := bytes.TrimSpace(b[:end])
	if len(line) == 0 {
		return end + 1, nil, ""
	}
	event, body, ok := r.parseEvent(line)
	if !ok {
		return 0, nil, "bad-line"
	}
	return end + 1, func() {
		r.OnEvent(event)
		if body != nil {
			r.net.Put(body)
		}
	}, ""
}

// parseEvent picks what we know out of the object; unknown names are passed over, whatever they hold.
func (r *RuntimeConn) parseEvent(line []byte) (event Event, buf []byte, ok bool) {
	j := jsonReader{input: line}
	j.expect('{')
	for first := true; !j.malformed && !j.accept('}'); first = false {
		if !first {
			j.expect(',')
		}
		name := j.readString()
		j.expect(':')
		switch string(name) {
		case "t":
			event.Kind = string(j.readString())
		case "rid":
			event.RequestID = string(j.readString())
		case "status":
			event.Status = string(j.readString())
		case "mark":
			event.CorrelationID = string(j.readString())
		case "no":
			event.Sequence = uint64(max(0, j.readNumber()))
		case "time_ms":
			event.Elapsed = time.Duration(j.readNumber() * float64(time.Millisecond))
		case "v":
			j.expect('[')
			for !j.malformed && !j.accept(']') {
				if len(event.Gauges) > 0 {
					j.expect(',')
				}
				event.Gauges = append(event.Gauges, j.readNumber())
			}
		case "b64":
			text := j.readString()
			if j.malformed || buf != nil || base64.StdEncoding.DecodedLen(len(text)) > BufferSize {
				j.malformed = true
				break
			}
			var err error
			buf = r.net.Get()
			event.Body, err = base64.StdEncoding.AppendDecode(buf, text)
			j.malformed = err != nil
		default:
			j.skip(0)
		}
	}
	if j.malformed || j.offset != len(j.input) {
		if buf != nil {
			r.net.Put(buf)
		}
		return Event{}, nil, false
	}
	return event, buf, true
}

// jsonReader reads JSON values off the front of a whole line.
type jsonReader struct {
	input     []byte
	offset    int
	malformed bool
}

func (j *jsonReader) peek() byte {
	for j.offset < len(j.input) && (j.input[j.offset] == ' ' || j.input[j.offset] == '\t' || j.input[j.offset] == '\r') {
		j.offset++
	}
	if j.malformed || j.offset >= len(j.input) {
		j.malformed = true
		return 0
	}
	return j.input[j.offset]
}

func (j *jsonReader) expect(c byte) {
	if j.peek() == c && !j.malformed {
		j.offset++
		return
	}
	j.malformed = true
}

// accept passes over c if it comes next.
func (j *jsonReader) accept(c byte) bool {
	if j.peek() != c || j.malformed {
		return false
	}
	j.offset++
	return true
}

func (j *jsonReader) readString() []byte {
	j.expect('"')
	from, plain := j.offset, true
	for ; !j.malformed; j.offset++ {
		switch {
		case j.offset >= len(j.input) || j.input[j.offset] < 0x20:
			j.malformed = true
		case j.input[j.offset] == '\\':
			plain = false
			j.offset++
		case j.input[j.offset] == '"':
			j.offset++
			if plain {
				return j.input[from : j.offset-1]
			}
			return j.unescape(j.input[from : j.offset-1])
		}
	}
	return nil
}

func (j *jsonReader) unescape(s []byte) []byte {
	out := make([]byte, 0, len(s))
	for i := 0; i < len(s); i++ {
		if s[i] != '\\' {
			out = append(out, s[i])
			continue
		}
		i++
		if i >= len(s) {
			j.malformed = true
			return nil
		}
		switch at := bytes.IndexByte([]byte(`"\/bfnrt`), s[i]); {
		case at >= 0:
			out = append(out, "\"\\/\b\f\n\r\t"[at])
		case s[i] == 'u':
			c := j.readHex(s, i+1)
			i += 4
			if utf16.IsSurrogate(c) && i+6 < len(s) && s[i+1] == '\\' && s[i+2] == 'u' {
				c = utf16.DecodeRune(c, j.readHex(s, i+3))
				i += 6
			}
			out = utf8.AppendRune(out, c)
		default:
			j.malformed = true
		}
	}
	return out
}

func (j *jsonReader) readHex(s []byte, at int) rune {
	if at+4 > len(s) {
		j.malformed = true
		return 0
	}
	x, err := strconv.ParseUint(string(s[at:at+4]), 16, 16)
	j.malformed = j.malformed || err != nil
	return rune(x)
}

func (j *jsonReader) readNumber() float64 {
	j.peek()
	from := j.offset
	for j.offset < len(j.input) && bytes.IndexByte([]byte("+-.0123456789eE"), j.input[j.offset]) >= 0 {
		j.offset++
	}
	if j.malformed {
		return 0
	}
	x, err := strconv.ParseFloat(string(j.input[from:j.offset]), 64)
	j.malformed = err != nil
	return x
}

func (j *jsonReader) skip(depth int) {
	switch c := j.peek(); {
	case j.malformed || depth > 16: // Danger: a line nested so deep that reading it uses up the stack
		j.malformed = true
	case c == '"':
		j.readString()
	case c == '{' || c == '[':
		j.offset++
		for first := true; !j.malformed && !j.accept(c+2); first = false { // the closing one stands two after
			if !first {
				j.expect(',')
			}
			if c == '{' {
				j.readString()
				j.expect(':')
			}
			j.skip(depth + 1)
		}
	case c == 't' || c == 'f' || c == 'n':
		for _, word := range []string{"true", "false", "null"} {
			if bytes.HasPrefix(j.input[j.offset:], []byte(word)) {
				j.offset += len(word)
				return
			}
		}
		j.malformed = true
	default:
		j.readNumber()
	}
}

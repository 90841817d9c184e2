package wire

import (
	"bytes"
	"encoding/base64"
	"strconv"
	"time"
	"unicode/utf16"
	"unicode/utf8"

	"lanewheel/choice"
)

// The runtime speaks JSON, one flat object a line. Bodies are in base64.

// Notice is one line of the runtime. Bytes stay valid only during the callback that they are given to.
type Notice struct {
	Kind, ID, Status, Mark string
	No                     uint64
	Took                   time.Duration
	Bytes                  []byte
	Gauges                 []float64
}

// Runtime is the link to the runtime. The fields are its callbacks, called on the owner loop.
type Runtime struct {
	*Link
	OnNotice func(Notice)
	OnEnd    func(code string)
}

// DialRuntime opens a link; ready is called once it stands or with what refused it.
func (n *Net) DialRuntime(addr string, ready func(refused error)) *Runtime {
	r := &Runtime{Link: &Link{net: n, party: "runtime", began: time.Now()}}
	r.parse = r.message
	r.ended = func(code string) { r.OnEnd(code) }
	n.dial(r.Link, addr, ready)
	return r
}

// The commands.

func (r *Runtime) Sync(last uint64) { r.put(r.open("sync").no(last).close()) }

func (r *Runtime) Start(id choice.RequestID, route choice.Class, body []byte) {
	r.put(r.open("start").rid(id).word("route", string(route)).b64(body).close())
}

func (r *Runtime) Stop(id choice.RequestID) { r.put(r.open("stop").rid(id).close()) }

func (r *Runtime) Give(id choice.RequestID, reply []byte) {
	r.put(r.open("give").rid(id).b64(reply).close())
}

func (r *Runtime) Omit(id choice.RequestID, wants uint64) {
	r.put(r.open("omit").rid(id).no(wants).close())
}
func (r *Runtime) Gauges(mark string)   { r.put(r.open("gauges").word("mark", mark).close()) }
func (r *Runtime) Selftest(mark string) { r.put(r.open("selftest").word("mark", mark).close()) }

// jsonLine is a command that is being written.
type jsonLine []byte

func (r *Runtime) open(kind string) jsonLine {
	return append(append(append(jsonLine(r.room()), `{"t":"`...), kind...), '"')
}

func (j jsonLine) no(n uint64) jsonLine { return strconv.AppendUint(append(j, `,"no":`...), n, 10) }
func (j jsonLine) rid(id choice.RequestID) jsonLine {
	return j.word("rid", string(id))
}

func (j jsonLine) word(name, s string) jsonLine {
	j = append(append(append(j, ',', '"'), name...), `":`...)
	return appendQuoted(j, s)
}

func (j jsonLine) b64(body []byte) jsonLine {
	return append(base64.StdEncoding.AppendEncode(append(j, `,"b64":"`...), body), '"')
}

func (j jsonLine) close() []byte { return append(j, '}', '\n') }

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

// message reads one line.
func (r *Runtime) message(b []byte) (int, func(), string) {
	end := bytes.IndexByte(b, '\n')
	if end < 0 {
		return 0, nil, ""
	}
	line := bytes.TrimSpace(b[:end])
	if len(line) == 0 {
		return end + 1, nil, ""
	}
	notice, buf, whole := r.notice(line)
	if !whole {
		return 0, nil, "bad-line"
	}
	return end + 1, func() {
		r.OnNotice(notice)
		if buf != nil {
			r.net.Give(buf)
		}
	}, ""
}

// notice picks what we know out of the object; unknown names are passed over, whatever they hold.
func (r *Runtime) notice(line []byte) (notice Notice, buf []byte, whole bool) {
	j := reader{b: line}
	j.expect('{')
	for first := true; !j.bad && !j.comes('}'); first = false {
		if !first {
			j.expect(',')
		}
		name := j.text()
		j.expect(':')
		switch string(name) {
		case "t":
			notice.Kind = string(j.text())
		case "rid":
			notice.ID = string(j.text())
		case "status":
			notice.Status = string(j.text())
		case "mark":
			notice.Mark = string(j.text())
		case "no":
			notice.No = uint64(max(0, j.number()))
		case "time_ms":
			notice.Took = time.Duration(j.number() * float64(time.Millisecond))
		case "v":
			j.expect('[')
			for !j.bad && !j.comes(']') {
				if len(notice.Gauges) > 0 {
					j.expect(',')
				}
				notice.Gauges = append(notice.Gauges, j.number())
			}
		case "b64":
			text := j.text()
			if j.bad || buf != nil || base64.StdEncoding.DecodedLen(len(text)) > BufferSize {
				j.bad = true
				break
			}
			var err error
			buf = r.net.Take()
			notice.Bytes, err = base64.StdEncoding.AppendDecode(buf, text)
			j.bad = err != nil
		default:
			j.skip(0)
		}
	}
	if j.bad || j.at != len(j.b) {
		if buf != nil {
			r.net.Give(buf)
		}
		return Notice{}, nil, false
	}
	return notice, buf, true
}

// reader reads JSON values off the front of a whole line.
type reader struct {
	b   []byte
	at  int
	bad bool
}

func (j *reader) next() byte {
	for j.at < len(j.b) && (j.b[j.at] == ' ' || j.b[j.at] == '\t' || j.b[j.at] == '\r') {
		j.at++
	}
	if j.bad || j.at >= len(j.b) {
		j.bad = true
		return 0
	}
	return j.b[j.at]
}

func (j *reader) expect(c byte) {
	if j.next() == c && !j.bad {
		j.at++
		return
	}
	j.bad = true
}

// comes passes over c if it comes next.
func (j *reader) comes(c byte) bool {
	if j.next() != c || j.bad {
		return false
	}
	j.at++
	return true
}

func (j *reader) text() []byte {
	j.expect('"')
	from, plain := j.at, true
	for ; !j.bad; j.at++ {
		switch {
		case j.at >= len(j.b) || j.b[j.at] < 0x20:
			j.bad = true
		case j.b[j.at] == '\\':
			plain = false
			j.at++
		case j.b[j.at] == '"':
			j.at++
			if plain {
				return j.b[from : j.at-1]
			}
			return j.unescape(j.b[from : j.at-1])
		}
	}
	return nil
}

func (j *reader) unescape(s []byte) []byte {
	out := make([]byte, 0, len(s))
	for i := 0; i < len(s); i++ {
		if s[i] != '\\' {
			out = append(out, s[i])
			continue
		}
		i++
		if i >= len(s) {
			j.bad = true
			return nil
		}
		switch at := bytes.IndexByte([]byte(`"\/bfnrt`), s[i]); {
		case at >= 0:
			out = append(out, "\"\\/\b\f\n\r\t"[at])
		case s[i] == 'u':
			c := j.hex(s, i+1)
			i += 4
			if utf16.IsSurrogate(c) && i+6 < len(s) && s[i+1] == '\\' && s[i+2] == 'u' {
				c = utf16.DecodeRune(c, j.hex(s, i+3))
				i += 6
			}
			out = utf8.AppendRune(out, c)
		default:
			j.bad = true
		}
	}
	return out
}

func (j *reader) hex(s []byte, at int) rune {
	if at+4 > len(s) {
		j.bad = true
		return 0
	}
	x, err := strconv.ParseUint(string(s[at:at+4]), 16, 16)
	j.bad = j.bad || err != nil
	return rune(x)
}

func (j *reader) number() float64 {
	j.next()
	from := j.at
	for j.at < len(j.b) && bytes.IndexByte([]byte("+-.0123456789eE"), j.b[j.at]) >= 0 {
		j.at++
	}
	if j.bad {
		return 0
	}
	x, err := strconv.ParseFloat(string(j.b[from:j.at]), 64)
	j.bad = err != nil
	return x
}

func (j *reader) skip(depth int) {
	switch c := j.next(); {
	case j.bad || depth > 16: // Danger: a line nested so deep that reading it uses up the stack
		j.bad = true
	case c == '"':
		j.text()
	case c == '{' || c == '[':
		j.at++
		for first := true; !j.bad && !j.comes(c+2); first = false { // the closing one stands two after
			if !first {
				j.expect(',')
			}
			if c == '{' {
				j.text()
				j.expect(':')
			}
			j.skip(depth + 1)
		}
	case c == 't' || c == 'f' || c == 'n':
		for _, word := range []string{"true", "false", "null"} {
			if bytes.HasPrefix(j.b[j.at:], []byte(word)) {
				j.at += len(word)
				return
			}
		}
		j.bad = true
	default:
		j.number()
	}
}

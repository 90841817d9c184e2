package transport

import (
	"encoding/binary"
	"math"
	"strconv"
	"time"
)

// ClientConn is a connection on which we are a client stub of an instance: ops go out, answers come in. The callbacks are called on the
// owner loop.
type ClientConn struct {
	*Conn
	OnResponse func(n uint32, a Response)
	OnGoAway   func()
	OnClose    func(code string)
}

const peerMember = "member"

// Response is one answer. Result stays valid only during the call that it is given to.
type Response struct {
	Error    string // empty: acked; Busy: it never ran; Denied; another: it may have run
	Metadata ResponseMetadata
	Result   []byte
}

// DialMember opens a connection to an instance; ready is called with nil once it stands.
func (n *Net) DialMember(addr string, ready func(refused error)) *ClientConn {
	conn := &Conn{net: n, peer: peerMember, openedAt: time.Now()}
	client := &ClientConn{Conn: conn}
	conn.parse = client.parseMessage
	conn.onClose = func(code string) { client.OnClose(code) }
	n.dial(conn, addr, ready)
	return client
}

// Send sends an op.
func (c *ClientConn) Send(messageID uint32, request Request) {
	b := append(c.outputBuffer(), 0x94, 0x00, 0xce)
	b = binary.BigEndian.AppendUint32(b, messageID)
	b = appendString(b, request.Class)
	b = append(b, 0x92)
	fieldCount := len(b)
	b = append(b, 0x80)
	field := func(name, value string) {
		b[fieldCount]++
		b = appendString(appendString(b, name), value)
	}
	numberField := func(name string, x float64) { field(name, strconv.FormatFloat(x, 'f', -1, 64)) }
	field("id", request.ID)
	field("at", strconv.FormatInt(request.SentUnixMilli, 10))
	field("from", strconv.Itoa(request.Caller))
	if request.HasTimeout {
		numberField("wait", float64(request.Timeout)/float64(time.Millisecond))
	}
	if request.Tenant != "" {
		field("tenant", request.Tenant)
	}
	if request.Resource != "" {
		field("key", request.Resource)
	}
	numberField("cost", float64(request.WorkHint)/float64(time.Millisecond))
	numberField("kb", request.MemoryKB)
	numberField("rank", request.Rank)
	if request.Token != "" {
		field("token", request.Token)
	}
	if request.Hops > 0 {
		field("passed", strconv.Itoa(request.Hops))
	}
	c.setOutput(appendBytes(b, request.Body))
}

// Cancel says that nobody waits for an op any more.
func (c *ClientConn) Cancel(messageID uint32) {
	b := appendString(append(c.outputBuffer(), 0x93, 0x02), "interrupt")
	c.setOutput(binary.BigEndian.AppendUint32(append(b, 0x91, 0xce), messageID))
}

// parseMessage reads one message: [1, n, error, result] or [2, method, params].
func (c *ClientConn) parseMessage(b []byte) (int, func(), string) {
	d := decoder{input: b}
	parts := d.readArrayLength()
	kind := d.readInteger()
	var call func()
	switch {
	case d.malformed:
	case parts == 4 && kind == 1:
		call = c.parseResponse(&d)
	case parts == 3 && kind == 2:
		method := string(d.readString())
		d.skip(0)
		if method == "goaway" {
			call = func() { c.OnGoAway() }
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

// readNil passes over a nil and tells whether one stood there.
func (r *decoder) readNil() bool {
	if r.offset < len(r.input) && r.input[r.offset] == 0xc0 {
		r.offset++
		return true
	}
	return false
}

func (c *ClientConn) parseResponse(d *decoder) func() {
	messageID := d.readInteger()
	response := Response{Metadata: ResponseMetadata{LoadReport: -1}}
	var body []byte
	switch {
	case d.malformed || messageID < 0 || messageID > math.MaxUint32:
		d.malformed = true
	case !d.readNil(): // [name, fields], and a nil behind it
		if d.readArrayLength() != 2 {
			d.malformed = d.malformed || !d.truncated
			break
		}
		response.Error = string(d.readString())
		response.Metadata = d.readMetadata()
		if response.Error == "" || !d.truncated && !d.readNil() {
			d.malformed = d.malformed || !d.truncated
		}
	default: // [result, fields]; the result of a check is a bool
		if d.readArrayLength() != 2 {
			d.malformed = d.malformed || !d.truncated
			break
		}
		if d.offset < len(d.input) && d.input[d.offset]&^1 == 0xc2 {
			d.offset++
		} else {
			body = d.readBytes()
		}
		response.Metadata = d.readMetadata()
	}
	if d.truncated || d.malformed {
		return nil
	}
	response.Result = append(c.net.Get(), body...)
	return func() {
		c.OnResponse(uint32(messageID), response)
		c.net.Put(response.Result)
	}
}

// readMetadata reads the fields of an answer.
func (r *decoder) readMetadata() ResponseMetadata {
	metadata := ResponseMetadata{LoadReport: -1}
	for i := r.readMapLength(); i > 0 && !r.malformed && !r.truncated; i-- {
		switch name := r.readString(); string(name) {
		case "say":
			metadata.LoadReport = max(0, r.readNumber())
		case "after":
			metadata.RetryAfter = r.readMilliseconds()
		case "last":
			metadata.NoFailover = r.readNumber() == 1
		case "why":
			metadata.Reason = string(r.readString())
		default:
			r.skip(0)
		}
	}
	return metadata
}

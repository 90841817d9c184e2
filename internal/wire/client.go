package wire

import (
	"encoding/binary"
	"math"
	"strconv"
	"time"
)

// Client is a connection on which we are a client stub of an instance: ops go out, answers come in. The callbacks are called on the
// owner loop.
type Client struct {
	*Link
	OnAnswer func(n uint32, a Outcome)
	OnGoAway func()
	OnEnd    func(code string)
}

const partyMember = "member"

// Outcome is one answer. Result stays valid only during the call that it is given to.
type Outcome struct {
	Error  string // empty: acked; Busy: it never ran; Denied; another: it may have run
	With   With
	Result []byte
}

// Client opens a connection to an instance; ready is called with nil once it stands.
func (n *Net) Client(addr string, ready func(refused error)) *Client {
	l := &Link{net: n, party: partyMember, began: time.Now()}
	c := &Client{Link: l}
	l.parse = c.message
	l.ended = func(code string) { c.OnEnd(code) }
	n.dial(l, addr, ready)
	return c
}

// Ask sends an op.
func (c *Client) Ask(n uint32, a Ask) {
	b := append(c.room(), 0x94, 0x00, 0xce)
	b = binary.BigEndian.AppendUint32(b, n)
	b = appendStr(b, a.Class)
	b = append(b, 0x92)
	at := len(b)
	b = append(b, 0x80)
	put := func(name, value string) {
		b[at]++
		b = appendStr(appendStr(b, name), value)
	}
	number := func(name string, x float64) { put(name, strconv.FormatFloat(x, 'f', -1, 64)) }
	put("id", a.ID)
	put("at", strconv.FormatInt(a.SentUnixMilli, 10))
	put("from", strconv.Itoa(a.Caller))
	if a.HasTimeout {
		number("wait", float64(a.Timeout)/float64(time.Millisecond))
	}
	if a.Tenant != "" {
		put("tenant", a.Tenant)
	}
	if a.Resource != "" {
		put("key", a.Resource)
	}
	number("cost", float64(a.WorkHint)/float64(time.Millisecond))
	number("kb", a.MemoryKB)
	number("rank", a.Rank)
	if a.Token != "" {
		put("token", a.Token)
	}
	if a.Hops > 0 {
		put("passed", strconv.Itoa(a.Hops))
	}
	c.put(appendBin(b, a.Body))
}

// Interrupt says that nobody waits for an op any more.
func (c *Client) Interrupt(n uint32) {
	b := appendStr(append(c.room(), 0x93, 0x02), "interrupt")
	c.put(binary.BigEndian.AppendUint32(append(b, 0x91, 0xce), n))
}

// message reads one message: [1, n, error, result] or [2, method, params].
func (c *Client) message(b []byte) (int, func(), string) {
	r := unpack{b: b}
	parts := r.array()
	kind := r.whole()
	var call func()
	switch {
	case r.bad:
	case parts == 4 && kind == 1:
		call = c.answer(&r)
	case parts == 3 && kind == 2:
		method := string(r.text())
		r.skip(0)
		if method == "goaway" {
			call = func() { c.OnGoAway() }
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

// null passes over a nil and tells whether one stood there.
func (r *unpack) null() bool {
	if r.at < len(r.b) && r.b[r.at] == 0xc0 {
		r.at++
		return true
	}
	return false
}

func (c *Client) answer(r *unpack) func() {
	n := r.whole()
	a := Outcome{With: With{LoadReport: -1}}
	var body []byte
	switch {
	case r.bad || n < 0 || n > math.MaxUint32:
		r.bad = true
	case !r.null(): // [name, fields], and a nil behind it
		if r.array() != 2 {
			r.bad = r.bad || !r.short
			break
		}
		a.Error = string(r.text())
		a.With = r.with()
		if a.Error == "" || !r.short && !r.null() {
			r.bad = r.bad || !r.short
		}
	default: // [result, fields]; the result of a check is a bool
		if r.array() != 2 {
			r.bad = r.bad || !r.short
			break
		}
		if r.at < len(r.b) && r.b[r.at]&^1 == 0xc2 {
			r.at++
		} else {
			body = r.blob()
		}
		a.With = r.with()
	}
	if r.short || r.bad {
		return nil
	}
	a.Result = append(c.net.Take(), body...)
	return func() {
		c.OnAnswer(uint32(n), a)
		c.net.Give(a.Result)
	}
}

// with reads the fields of an answer.
func (r *unpack) with() With {
	w := With{LoadReport: -1}
	for i := r.mapping(); i > 0 && !r.bad && !r.short; i-- {
		switch name := r.text(); string(name) {
		case "say":
			w.LoadReport = max(0, r.number())
		case "after":
			w.RetryAfter = r.milliseconds()
		case "last":
			w.NoFailover = r.number() == 1
		case "why":
			w.Reason = string(r.text())
		default:
			r.skip(0)
		}
	}
	return w
}

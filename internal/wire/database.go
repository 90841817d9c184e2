package wire

import (
	"bytes"
	"strconv"
	"strings"
	"time"

	"lanewheel/choice"
)

// The database speaks HTTP/1.1, one call at a time on each connection.

// Reply is what came back: the status and what its fields prove. Body stays valid only during the callback.
type Reply struct {
	Status       int
	NeverStarted bool
	Body         []byte
}

// Database is one connection. OnReply and OnEnd are its callbacks, called on the owner loop.
type Database struct {
	*Link
	OnReply func(Reply)
	OnEnd   func(code string)
	close   bool // the reply said that the connection ends with it
}

// DialDatabase opens a connection; ready is called once it stands or with what refused it.
func (n *Net) DialDatabase(addr string, ready func(refused error)) *Database {
	d := &Database{Link: &Link{net: n, party: "database", began: time.Now()}}
	d.parse = d.message
	d.ended = func(code string) { d.OnEnd(code) }
	n.dial(d.Link, addr, ready)
	return d
}

// Call sends one call.
func (d *Database) Call(host string, id choice.OpID, limit time.Duration, body []byte) {
	b := append(d.room(), "POST /v1/exec HTTP/1.1\r\nHost: "...)
	b = append(append(b, host...), "\r\nRequest-Ref: "...)
	b = append(append(b, id...), "\r\nStatement-Timeout-Ms: "...)
	b = strconv.AppendInt(b, max(1, limit.Milliseconds()), 10)
	b = append(b, "\r\nContent-Length: "...)
	b = strconv.AppendInt(b, int64(len(body)), 10)
	b = append(b, "\r\n\r\n"...)
	d.put(append(b, body...))
}

// Spent tells that the connection takes no further call.
func (d *Database) Spent() bool { return d.close || d.gone || d.why != "" }

// message reads one reply. Its length is told, or it comes in chunks.
func (d *Database) message(b []byte) (int, func(), string) {
	end := bytes.Index(b, []byte("\r\n\r\n"))
	if end < 0 {
		return 0, nil, ""
	}
	lines := strings.Split(string(b[:end]), "\r\n")
	version, rest, _ := strings.Cut(lines[0], " ")
	code, _, _ := strings.Cut(rest, " ")
	status, err := strconv.Atoi(code)
	if err != nil || status < 100 || status > 999 || !strings.HasPrefix(version, "HTTP/1.") {
		return 0, nil, "bad-reply"
	}
	reply := Reply{Status: status}
	size, chunked, ends := 0, false, version == "HTTP/1.0"
	for _, line := range lines[1:] {
		name, value, _ := strings.Cut(line, ":")
		value = strings.TrimSpace(value)
		switch strings.ToLower(name) {
		case "content-length":
			if size, err = strconv.Atoi(value); err != nil || size < 0 {
				return 0, nil, "bad-reply"
			}
		case "transfer-encoding":
			chunked = strings.EqualFold(value, "chunked")
		case "connection":
			ends = ends || strings.EqualFold(value, "close")
		case "never-started":
			reply.NeverStarted = value == "1"
		}
	}
	at := end + 4
	if status < 200 { // an interim reply: the real one follows
		return at, nil, ""
	}
	if size > BufferSize {
		return 0, nil, "too-long"
	}
	body := d.net.Take()
	if chunked {
		body, at = chunks(body, b, at)
	} else if at+size <= len(b) {
		body, at = append(body, b[at:at+size]...), at+size
	} else {
		at = 0
	}
	if at <= 0 {
		d.net.Give(body)
		if at < 0 {
			return 0, nil, "bad-reply"
		}
		return 0, nil, ""
	}
	reply.Body = body
	return at, func() {
		d.close = d.close || ends
		d.OnReply(reply)
		d.net.Give(body)
	}, ""
}

// chunks reads a chunked body to its end: 0 if it is not there yet, under 0 if it can't be read.
func chunks(body, b []byte, at int) ([]byte, int) {
	for {
		end := bytes.Index(b[at:], []byte("\r\n"))
		if end < 0 {
			return body, 0
		}
		head, _, _ := strings.Cut(string(b[at:at+end]), ";")
		size, err := strconv.ParseUint(strings.TrimSpace(head), 16, 16)
		if err != nil || int(size)+len(body) > BufferSize {
			return body, -1
		}
		at += end + 2
		if size == 0 { // fields may follow, and an empty line does
			for {
				end := bytes.Index(b[at:], []byte("\r\n"))
				if end < 0 {
					return body, 0
				}
				if at += end + 2; end == 0 {
					return body, at
				}
			}
		}
		if at+int(size)+2 > len(b) {
			return body, 0
		}
		body, at = append(body, b[at:at+int(size)]...), at+int(size)+2
	}
}

package transport

import (
	"bytes"
	"strconv"
	"strings"
	"time"

	"lanewheel/admission"
)

// The database speaks HTTP/1.1. Each connection carries one call and is closed with its reply.

// Reply is what came back: the status and what its fields prove. Body stays valid only during the callback.
type Reply struct {
	Status       int
	NeverStarted bool
	Body         []byte
}

// DatabaseConn is one connection. OnReply and OnEnd are its callbacks, called on the owner loop.
type DatabaseConn struct {
	*Conn
	OnReply func(Reply)
	OnClose func(code string)
}

// DialDatabase opens a connection; ready is called once it stands or with what refused it.
func (n *Net) DialDatabase(addr string, ready func(refused error)) *DatabaseConn {
	database := &DatabaseConn{Conn: &Conn{net: n, peer: "database", openedAt: time.Now(), resetOnClose: true}}
	database.parse = database.parseReply
	database.onClose = func(code string) { database.OnClose(code) }
	n.dial(database.Conn, addr, ready)
	return database
}

// Call sends one call.
func (d *DatabaseConn) Call(host string, id admission.RequestID, timeout time.Duration, body []byte) {
	b := append(d.outputBuffer(), "POST /v1/exec HTTP/1.1\r\nHost: "...)
	b = append(append(b, host...), "\r\nRequest-Ref: "...)
	b = append(append(b, id...), "\r\nStatement-Timeout-Ms: "...)
	b = strconv.AppendInt(b, max(1, timeout.Milliseconds()), 10)
	b = append(b, "\r\nContent-Length: "...)
	b = strconv.AppendInt(b, int64(len(body)), 10)
	b = append(b, "\r\nConnection: close\r\n\r\n"...)
	d.setOutput(append(b, body...))
}

// parseReply reads the one reply. Its length is told, or it comes in chunks. Danger: a reply that can be read in more than
// one way. What is told twice or against itself, or has no length, is none.
func (d *DatabaseConn) parseReply(b []byte) (int, func(), string) {
	const prefix = "HTTP/1."
	if n := min(len(b), len(prefix)); string(b[:n]) != prefix[:n] { // noise, and no need to wait for its end
		return 0, nil, "bad-reply"
	}
	end := bytes.Index(b, []byte("\r\n\r\n"))
	if end < 0 {
		return 0, nil, ""
	}
	lines := strings.Split(string(b[:end]), "\r\n")
	code, _, _ := strings.Cut(lines[0][min(len(lines[0]), len("HTTP/1.1 ")):], " ")
	status, err := strconv.Atoi(code)
	if err != nil || len(code) != 3 || status < 100 || lines[0][len("HTTP/1.1")] != ' ' {
		return 0, nil, "bad-reply"
	}
	reply := Reply{Status: status}
	size, chunked := -1, false
	for _, line := range lines[1:] {
		name, value, found := strings.Cut(line, ":")
		value = strings.Trim(value, " \t")
		if !found || name == "" || strings.ContainsFunc(name, func(c rune) bool { return c <= ' ' || c >= 0x7f }) ||
			strings.ContainsFunc(value, func(c rune) bool { return c < ' ' && c != '\t' || c == 0x7f }) {
			return 0, nil, "bad-reply"
		}
		switch strings.ToLower(name) {
		case "content-length":
			n, err := strconv.ParseUint(value, 10, 62)
			if err != nil || size >= 0 && size != int(n) {
				return 0, nil, "bad-reply"
			}
			size = int(n)
		case "transfer-encoding":
			if chunked || !strings.EqualFold(value, "chunked") {
				return 0, nil, "bad-reply"
			}
			chunked = true
		case "never-started":
			reply.NeverStarted = value == "1" && (status == 503 || status == 409)
		}
	}
	offset := end + 4
	switch {
	case status < 200: // an interim reply: the real one follows
		return offset, nil, ""
	case chunked && size >= 0, !chunked && size < 0 && status == 200:
		return 0, nil, "bad-reply"
	case size > BufferSize-offset:
		return 0, nil, "too-long"
	}
	size = max(size, 0)
	body := d.net.Get()
	if chunked {
		body, offset = readChunks(body, b, offset)
	} else if offset+size <= len(b) {
		body, offset = append(body, b[offset:offset+size]...), offset+size
	} else {
		offset = 0
	}
	if offset <= 0 {
		d.net.Put(body)
		if offset < 0 {
			return 0, nil, "bad-reply"
		}
		return 0, nil, ""
	}
	reply.Body = body
	d.ignoresInput = true // whatever comes behind it belongs to nothing
	return offset, func() {
		d.OnReply(reply)
		d.net.Put(body)
	}, ""
}

// readChunks reads a chunked body to its end: 0 if it is not there yet, under 0 if it can't be read.
func readChunks(body, input []byte, offset int) ([]byte, int) {
	for {
		end := bytes.Index(input[offset:], []byte("\r\n"))
		if end < 0 {
			return body, 0
		}
		head, _, _ := strings.Cut(string(input[offset:offset+end]), ";")
		size, err := strconv.ParseUint(strings.TrimSpace(head), 16, 16)
		if err != nil || int(size)+len(body) > BufferSize {
			return body, -1
		}
		offset += end + 2
		if size == 0 { // fields may follow, and an empty line does
			for {
				end := bytes.Index(input[offset:], []byte("\r\n"))
				if end < 0 {
					return body, 0
				}
				if offset += end + 2; end == 0 {
					return body, offset
				}
			}
		}
		if offset+int(size)+2 > len(input) {
			return body, 0
		}
		body, offset = append(body, input[offset:offset+int(size)]...), offset+int(size)+2
	}
}

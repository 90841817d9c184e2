package fake

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strings"
	"time"
)

// Client is a client stub's connection.
type Client struct {
	Conn   net.Conn
	reader *bufio.Reader
}

// NewClient speaks on a connection that stands.
func NewClient(conn net.Conn) *Client { return &Client{conn, bufio.NewReader(conn)} }

// Dial connects to an instance, which may have to come up first.
func Dial(addr string) *Client {
	var conn net.Conn
	WaitFor("a listening socket", func() (connected bool) {
		var err error
		conn, err = net.Dial("tcp", addr)
		return err == nil
	})
	return NewClient(conn)
}

func (s *Client) Close() { s.Conn.Close() }

// Encode writes the few kinds of value that a stub sends.
func Encode(b []byte, v any) []byte {
	switch v := v.(type) {
	case nil:
		return append(b, 0xc0)
	case int:
		return binary.BigEndian.AppendUint32(append(b, 0xce), uint32(v))
	case string:
		if len(v) > 255 {
			return append(binary.BigEndian.AppendUint16(append(b, 0xda), uint16(len(v))), v...)
		}
		return append(append(b, 0xd9, byte(len(v))), v...)
	case []byte:
		return append(binary.BigEndian.AppendUint16(append(b, 0xc5), uint16(len(v))), v...)
	case []any:
		b = append(b, 0x90|byte(len(v)))
		for _, x := range v {
			b = Encode(b, x)
		}
	case map[string]string:
		b = append(b, 0x80|byte(len(v)))
		for name, x := range v {
			b = Encode(Encode(b, name), x)
		}
	}
	return b
}

// decode reads one value of those that an instance writes.
func decode(r *bufio.Reader) (any, error) {
	tag, err := r.ReadByte()
	if err != nil {
		return nil, err
	}
	readBytes := func(size int) (b []byte) {
		if b = make([]byte, size); err == nil {
			_, err = io.ReadFull(r, b)
		}
		return b
	}
	switch {
	case tag < 0x80:
		return int(tag), nil
	case tag&0xf0 == 0x90:
		list := []any{}
		for range tag & 15 {
			x, err := decode(r)
			if err != nil {
				return nil, err
			}
			list = append(list, x)
		}
		return list, nil
	case tag&0xf0 == 0x80:
		fields := map[string]any{}
		for range tag & 15 {
			name, err := decode(r)
			if err != nil {
				return nil, err
			}
			if fields[fmt.Sprint(name)], err = decode(r); err != nil {
				return nil, err
			}
		}
		return fields, nil
	case tag&0xe0 == 0xa0:
		return string(readBytes(int(tag & 31))), err
	case tag == 0xc0:
		return nil, nil
	case tag == 0xc2, tag == 0xc3:
		return tag == 0xc3, nil
	case tag == 0xce:
		return int(binary.BigEndian.Uint32(readBytes(4))), err
	case tag == 0xc4:
		return readBytes(int(readBytes(1)[0])), err
	case tag == 0xc5:
		return readBytes(int(binary.BigEndian.Uint16(readBytes(2)))), err
	}
	return nil, fmt.Errorf("tag %x", tag)
}

// Send writes messages together.
func (s *Client) Send(messages ...[]any) {
	var b []byte
	for _, m := range messages {
		b = Encode(b, m)
	}
	Must(s.Conn.Write(b))
}

// NewRequest is the message of an op that came now and waits 2 s; more are fields that replace these.
func NewRequest(number int, class, id string, body []byte, extra ...string) []any {
	fields := map[string]string{"id": id, "at": fmt.Sprint(time.Now().UnixMilli()), "from": "4", "wait": "2000",
		"cost": "20", "kb": "10", "rank": "0.5"}
	for i := 0; i+1 < len(extra); i += 2 {
		fields[extra[i]] = extra[i+1]
	}
	return []any{0, number, class, []any{fields, body}}
}

// RequestID makes an op's id of a number.
func RequestID(n int) string { return fmt.Sprintf("%016x", n) }

// Next gives the next message; an error is the connection's end.
func (s *Client) Next() (any, error) {
	_ = s.Conn.SetReadDeadline(time.Now().Add(WaitTimeout))
	return decode(s.reader)
}

// NextText gives the next message as text, or how the connection ended.
func (s *Client) NextText() string {
	v, err := s.Next()
	if err == io.EOF {
		return "closed"
	} else if err != nil {
		return err.Error()
	}
	return fmt.Sprintf("%q", v)
}

// Response is what an op was answered with: Error is empty for one that was acked. N is 0 for what is no answer.
type Response struct {
	Number int
	Error  string
	Fields map[string]any
	Result []byte
}

// NextResponse gives the next answer.
func (s *Client) NextResponse() (response Response, err error) {
	v, err := s.Next()
	if err != nil {
		return response, err
	}
	parts, _ := v.([]any)
	if len(parts) != 4 {
		return response, nil
	}
	response.Number, _ = parts[1].(int)
	if outcome, failed := parts[2].([]any); failed && len(outcome) == 2 {
		response.Error = fmt.Sprint(outcome[0])
		response.Fields, _ = outcome[1].(map[string]any)
	} else if outcome, succeeded := parts[3].([]any); succeeded && len(outcome) == 2 {
		response.Result, _ = outcome[0].([]byte)
		response.Fields, _ = outcome[1].(map[string]any)
	}
	return response, nil
}

// CheckHealth asks for health.
func (s *Client) CheckHealth() bool {
	s.Send([]any{0, 1, "check", []any{map[string]string{"deep": "1"}}})
	return strings.Contains(s.NextText(), "true")
}

package standin

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strings"
	"time"
)

// Stub is a client stub's connection.
type Stub struct {
	Conn net.Conn
	in   *bufio.Reader
}

// NewStub speaks on a connection that stands.
func NewStub(conn net.Conn) *Stub { return &Stub{conn, bufio.NewReader(conn)} }

// Dial connects to an instance, which may have to come up first.
func Dial(addr string) *Stub {
	var conn net.Conn
	Until("a listening socket", func() (stands bool) {
		var err error
		conn, err = net.Dial("tcp", addr)
		return err == nil
	})
	return NewStub(conn)
}

func (s *Stub) Close() { s.Conn.Close() }

// Pack writes the few kinds of value that a stub sends.
func Pack(b []byte, v any) []byte {
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
			b = Pack(b, x)
		}
	case map[string]string:
		b = append(b, 0x80|byte(len(v)))
		for name, x := range v {
			b = Pack(Pack(b, name), x)
		}
	}
	return b
}

// unpack reads one value of those that an instance writes.
func unpack(r *bufio.Reader) (any, error) {
	tag, err := r.ReadByte()
	if err != nil {
		return nil, err
	}
	bytesOf := func(size int) (b []byte) {
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
			x, err := unpack(r)
			if err != nil {
				return nil, err
			}
			list = append(list, x)
		}
		return list, nil
	case tag&0xf0 == 0x80:
		fields := map[string]any{}
		for range tag & 15 {
			name, err := unpack(r)
			if err != nil {
				return nil, err
			}
			if fields[fmt.Sprint(name)], err = unpack(r); err != nil {
				return nil, err
			}
		}
		return fields, nil
	case tag&0xe0 == 0xa0:
		return string(bytesOf(int(tag & 31))), err
	case tag == 0xc0:
		return nil, nil
	case tag == 0xc2, tag == 0xc3:
		return tag == 0xc3, nil
	case tag == 0xce:
		return int(binary.BigEndian.Uint32(bytesOf(4))), err
	case tag == 0xc4:
		return bytesOf(int(bytesOf(1)[0])), err
	case tag == 0xc5:
		return bytesOf(int(binary.BigEndian.Uint16(bytesOf(2)))), err
	}
	return nil, fmt.Errorf("tag %x", tag)
}

// Send writes messages together.
func (s *Stub) Send(messages ...[]any) {
	var b []byte
	for _, m := range messages {
		b = Pack(b, m)
	}
	Must(s.Conn.Write(b))
}

// Op is the message of an op that came now and waits 2 s; more are fields that replace these.
func Op(n int, kind, id string, body []byte, more ...string) []any {
	fields := map[string]string{"id": id, "at": fmt.Sprint(time.Now().UnixMilli()), "from": "4", "wait": "2000",
		"cost": "20", "kb": "10", "rank": "0.5"}
	for i := 0; i+1 < len(more); i += 2 {
		fields[more[i]] = more[i+1]
	}
	return []any{0, n, kind, []any{fields, body}}
}

// ID makes an op's id of a number.
func ID(n int) string { return fmt.Sprintf("%016x", n) }

// Next gives the next message; an error is the connection's end.
func (s *Stub) Next() (any, error) {
	_ = s.Conn.SetReadDeadline(time.Now().Add(Patience))
	return unpack(s.in)
}

// Hear gives the next message as text, or how the connection ended.
func (s *Stub) Hear() string {
	v, err := s.Next()
	if err == io.EOF {
		return "closed"
	} else if err != nil {
		return err.Error()
	}
	return fmt.Sprintf("%q", v)
}

// Answer is what an op was answered with: Error is empty for one that was acked. N is 0 for what is no answer.
type Answer struct {
	N      int
	Error  string
	Fields map[string]any
	Result []byte
}

// Answer gives the next answer.
func (s *Stub) Answer() (a Answer, err error) {
	v, err := s.Next()
	if err != nil {
		return a, err
	}
	parts, _ := v.([]any)
	if len(parts) != 4 {
		return a, nil
	}
	a.N, _ = parts[1].(int)
	if what, failed := parts[2].([]any); failed && len(what) == 2 {
		a.Error = fmt.Sprint(what[0])
		a.Fields, _ = what[1].(map[string]any)
	} else if what, acked := parts[3].([]any); acked && len(what) == 2 {
		a.Result, _ = what[0].([]byte)
		a.Fields, _ = what[1].(map[string]any)
	}
	return a, nil
}

// Check asks for health.
func (s *Stub) Check() bool {
	s.Send([]any{0, 1, "check", []any{map[string]string{"deep": "1"}}})
	return strings.Contains(s.Hear(), "true")
}

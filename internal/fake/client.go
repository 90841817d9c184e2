package fake

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"time"
)

// Client is a client's connection. One goroutine at a time may use it, or one that sends and one that reads.
type Client struct {
	Conn   net.Conn
	reader *bufio.Reader
}

// NewClient speaks on a connection that stands.
func NewClient(conn net.Conn) *Client { return &Client{Conn: conn, reader: bufio.NewReader(conn)} }

// Dial connects to an instance, which may have to come up first.
func Dial(addr string) *Client {
	var conn net.Conn
	var dialer net.Dialer
	WaitFor("a listening socket", func() bool {
		var err error
		conn, err = dialer.DialContext(context.Background(), "tcp", addr)
		return err == nil
	})
	return NewClient(conn)
}

// Close ends the connection, if it stands.
func (c *Client) Close() { _ = c.Conn.Close() }

// Send writes messages together.
func (c *Client) Send(messages ...[]any) {
	var b []byte
	for _, message := range messages {
		b = Encode(b, message)
	}
	Must(c.Conn.Write(b))
}

// NewRequest is the message of a request that is sent now and waits 2 s for its response; extra are names and values of
// fields, beside these or in their place.
func NewRequest(number int, class, id string, body []byte, extra ...string) []any {
	fields := map[string]string{
		"id":   id,
		"at":   fmt.Sprint(time.Now().UnixMilli()),
		"from": "4",
		"wait": "2000",
		"cost": "20",
		"kb":   "10",
		"rank": "0.5",
	}
	for i := 0; i+1 < len(extra); i += 2 {
		fields[extra[i]] = extra[i+1]
	}
	return []any{0, number, class, []any{fields, body}}
}

// RequestID makes a request's id of a number.
func RequestID(n int) string { return fmt.Sprintf("%016x", n) }

// Next waits for the next message; an error is the connection's end.
func (c *Client) Next() (any, error) {
	_ = c.Conn.SetReadDeadline(time.Now().Add(WaitTimeout)) // if it failed, so does the read
	return decode(c.reader)
}

// NextText waits for the next message, and gives it as text, or how the connection ended.
func (c *Client) NextText() string {
	message, err := c.Next()
	switch {
	case errors.Is(err, io.EOF):
		return "closed"
	case err != nil:
		return err.Error()
	}
	return fmt.Sprintf("%q", message)
}

// Response is the response to a request.
type Response struct {
	Number int            // of the request; 0: the message is no response
	Error  string         // the code; empty: the request succeeded
	Fields map[string]any // beside the error or result
	Result []byte
}

// NextResponse waits for the next message.
func (c *Client) NextResponse() (response Response, err error) {
	message, err := c.Next()
	if err != nil {
		return response, err
	}
	parts, _ := message.([]any)
	if len(parts) != 4 {
		return response, nil
	}
	response.Number, _ = parts[1].(int)
	if failure, failed := parts[2].([]any); failed && len(failure) == 2 {
		response.Error = fmt.Sprint(failure[0])
		response.Fields, _ = failure[1].(map[string]any)
	} else if success, succeeded := parts[3].([]any); succeeded && len(success) == 2 {
		response.Result, _ = success[0].([]byte)
		response.Fields, _ = success[1].(map[string]any)
	}
	return response, nil
}

// CheckHealth asks whether the instance is healthy, with a test of its runtime.
func (c *Client) CheckHealth() bool {
	c.Send([]any{0, 1, "check", []any{map[string]string{"deep": "1"}}})
	return strings.Contains(c.NextText(), "true")
}

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

// Client is a client's connection to an instance. At any time one goroutine may send and one may read.
type Client struct {
	Conn   net.Conn
	reader *bufio.Reader
}

// NewClient returns a Client that uses an established connection.
func NewClient(conn net.Conn) *Client { return &Client{Conn: conn, reader: bufio.NewReader(conn)} }

// Dial connects to an instance. It retries for up to WaitTimeout because the instance may still be starting.
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

// Close closes the connection if it is open.
func (c *Client) Close() { _ = c.Conn.Close() }

// Send writes the messages in a single write.
func (c *Client) Send(messages ...[]any) {
	var b []byte
	for _, message := range messages {
		b = Encode(b, message)
	}
	Must(c.Conn.Write(b))
}

// NewRequest returns a request message whose sending time is now and whose sender waits 2 s for the response. extra
// holds alternating names and values of fields that are added to the default fields or replace them.
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

// RequestID returns the request id for a number: 16 hexadecimal digits.
func RequestID(n int) string { return fmt.Sprintf("%016x", n) }

// Next waits up to WaitTimeout for the next message. It returns an error if the connection ended or no message came.
func (c *Client) Next() (any, error) {
	_ = c.Conn.SetReadDeadline(time.Now().Add(WaitTimeout)) // if this fails, the read fails too
	return decode(c.reader)
}

// NextText waits for the next message and returns it as text. It returns "closed" if the peer closed the connection,
// and the text of the error if reading failed in another way.
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
	Number int            // number of the request; 0 if the message is not a response
	Error  string         // error code; empty if the request succeeded
	Fields map[string]any // fields that accompany the error or the result
	Result []byte
}

// NextResponse waits for the next message and returns it as a Response. If the message is not a response, it returns
// the zero Response.
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

// CheckHealth sends a deep health check, which also tests the runtime, and reports whether the instance is healthy.
func (c *Client) CheckHealth() bool {
	c.Send([]any{0, 1, "check", []any{map[string]string{"deep": "1"}}})
	return strings.Contains(c.NextText(), "true")
}

// Package database calls the database, or another upstream service, over HTTP/1.1. Each connection carries one
// call and is closed after the reply.
package database

import (
	"strconv"
	"time"

	"lanewheel/admission"
	"lanewheel/internal/transport"
)

// The parts of the header section of a call, in order.
const (
	requestLine           = "POST /v1/exec HTTP/1.1\r\n"
	headerHost            = "Host: "
	headerRequestID       = "\r\nRequest-Ref: "
	headerTimeoutMillis   = "\r\nStatement-Timeout-Ms: "
	headerContentLength   = "\r\nContent-Length: "
	headerConnectionClose = "\r\nConnection: close\r\n\r\n"
)

// Conn is the connection of one call. The fields are its callbacks, which are called on the owner loop. The
// methods must be called on the owner loop.
type Conn struct {
	*transport.Conn
	OnReply func(Reply)
	OnClose func(code string)
}

// Dial starts opening a connection. It must be called on the owner loop; ready is called as described at
// transport.Conn.Dial. The caller must set the callbacks before it returns to the owner loop.
func Dial(net *transport.Net, addr string, ready func(err error)) *Conn {
	conn := &Conn{Conn: net.NewDialed(transport.DialOptions{Peer: transport.PeerDatabase, ResetOnClose: true})}
	conn.SetHandler(conn.handler())
	conn.Dial(addr, ready)
	return conn
}

func (c *Conn) handler() transport.Handler {
	return transport.Handler{
		Parse:   c.parseReply,
		OnClose: func(code string) { c.OnClose(code) },
	}
}

// Call sends the call. The timeout is rounded down to whole milliseconds, but at least one is sent.
func (c *Conn) Call(host string, id admission.RequestID, timeout time.Duration, body []byte) {
	b := append(c.OutputBuffer(), requestLine+headerHost...)
	b = append(b, host...)
	b = append(b, headerRequestID...)
	b = append(b, id...)
	b = append(b, headerTimeoutMillis...)
	b = strconv.AppendInt(b, max(1, timeout.Milliseconds()), 10)
	b = append(b, headerContentLength...)
	b = strconv.AppendInt(b, int64(len(body)), 10)
	b = append(b, headerConnectionClose...)
	c.SetOutput(append(b, body...))
}

package fake

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// maxWaitingCalls is the capacity of Database.Calls and of Database.ConnectionsEnded.
const maxWaitingCalls = 100

// Database is a fake database that receives the calls of an instance over HTTP.
type Database struct {
	Listener         net.Listener
	Calls            chan *Call
	ConnectionsEnded chan struct{} // receives one value for each connection that the peer has closed
}

// Call is a call that waits for its reply.
type Call struct {
	Conn net.Conn
	Text string // description of the call, which scripted tests print
}

// NewDatabase starts a database on a free port of the loopback address.
func NewDatabase() *Database {
	d := &Database{
		Listener:         listen(),
		Calls:            make(chan *Call, maxWaitingCalls),
		ConnectionsEnded: make(chan struct{}, maxWaitingCalls),
	}
	go d.acceptLoop()
	return d
}

// Addr returns the address that accepts calls.
func (d *Database) Addr() string { return d.Listener.Addr().String() }

func (d *Database) acceptLoop() {
	for {
		conn, err := d.Listener.Accept()
		if err != nil {
			return
		}
		go d.serve(conn)
	}
}

func (d *Database) serve(conn net.Conn) {
	for reader := bufio.NewReader(conn); ; {
		request, err := http.ReadRequest(reader)
		if err != nil {
			d.ConnectionsEnded <- struct{}{}
			return
		}
		d.Calls <- &Call{Conn: conn, Text: callText(request)}
	}
}

func callText(request *http.Request) string {
	body := Must(io.ReadAll(request.Body))
	id := strings.TrimLeft(request.Header.Get("Request-Ref"), "0")
	hasTimeout := request.Header.Get("Statement-Timeout-Ms") != ""
	return fmt.Sprintf("%s %s for %s timed %v body %q", request.Method, request.URL, id, hasTimeout, body)
}

// NextCall waits for the next call, and panics if none arrives within WaitTimeout.
func (d *Database) NextCall() *Call {
	select {
	case call := <-d.Calls:
		return call
	case <-time.After(WaitTimeout):
		panic("no call arrived at the database")
	}
}

// Reply answers the call; fields holds complete header lines. It ignores errors because the caller may have
// disconnected.
func (c *Call) Reply(status, fields, body string) {
	_, _ = fmt.Fprintf(c.Conn, "HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", status, fields, len(body), body)
}

// AutoReply makes the database answer every call automatically and immediately.
func (d *Database) AutoReply() { d.AutoReplyAfter(0) }

// AutoReplyAfter makes the database answer every call automatically, with the given delay after the call arrived.
func (d *Database) AutoReplyAfter(delay time.Duration) {
	go func() {
		for range d.ConnectionsEnded {
		}
	}()
	go func() {
		for call := range d.Calls {
			time.AfterFunc(delay, func() { call.Reply("200 OK", "", "rows") })
		}
	}()
}

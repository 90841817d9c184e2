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

// maxWaitingCalls is how many calls, or ends of connections, may wait to be looked at.
const maxWaitingCalls = 100

// Database takes calls, each on a connection of its own.
type Database struct {
	Listener         net.Listener
	Calls            chan *Call
	ConnectionsEnded chan struct{} // one for each connection that its peer has ended
}

// Call is one call that waits for its reply.
type Call struct {
	Conn net.Conn
	Text string // the call, as a script prints it
}

// NewDatabase makes a database on a free port.
func NewDatabase() *Database {
	d := &Database{
		Listener:         listen(),
		Calls:            make(chan *Call, maxWaitingCalls),
		ConnectionsEnded: make(chan struct{}, maxWaitingCalls),
	}
	go d.acceptLoop()
	return d
}

// Addr is where calls go to.
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

// NextCall waits for the next call.
func (d *Database) NextCall() *Call {
	select {
	case call := <-d.Calls:
		return call
	case <-time.After(WaitTimeout):
		panic("no call at the database")
	}
}

// Reply answers a call; fields are whole header lines. Nothing is told if the caller has gone.
func (c *Call) Reply(status, fields, body string) {
	_, _ = fmt.Fprintf(c.Conn, "HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", status, fields, len(body), body)
}

// AutoReply has the database answer every call by itself, at once.
func (d *Database) AutoReply() { d.AutoReplyAfter(0) }

// AutoReplyAfter has the database answer every call by itself, the given time after it came.
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

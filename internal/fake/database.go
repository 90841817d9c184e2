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

// Database takes the calls, each on a connection of its own.
type Database struct {
	Listener         net.Listener
	Calls            chan *Call
	ConnectionsEnded chan struct{} // one for each connection that ended
}

// Call is one call that waits for its reply.
type Call struct {
	Conn net.Conn
	Text string
}

func NewDatabase() *Database {
	d := &Database{Must(net.Listen("tcp", "127.0.0.1:0")), make(chan *Call, 100), make(chan struct{}, 100)}
	go func() {
		for {
			conn, err := d.Listener.Accept()
			if err != nil {
				return
			}
			go d.serve(conn)
		}
	}()
	return d
}

func (d *Database) Addr() string { return d.Listener.Addr().String() }

func (d *Database) serve(conn net.Conn) {
	for in := bufio.NewReader(conn); ; {
		request, err := http.ReadRequest(in)
		if err != nil {
			d.ConnectionsEnded <- struct{}{}
			return
		}
		body := Must(io.ReadAll(request.Body))
		timed := request.Header.Get("Statement-Timeout-Ms") != ""
		d.Calls <- &Call{conn, fmt.Sprintf("%s %s for %s timed %v body %q", request.Method, request.URL,
			strings.TrimLeft(request.Header.Get("Request-Ref"), "0"), timed, body)}
	}
}

// NextCall gives the next call.
func (d *Database) NextCall() *Call {
	select {
	case call := <-d.Calls:
		return call
	case <-time.After(WaitTimeout):
		panic("no call at the database")
	}
}

// Reply answers a call; fields are whole header lines.
func (c *Call) Reply(status, fields, body string) {
	fmt.Fprintf(c.Conn, "HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", status, fields, len(body), body)
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

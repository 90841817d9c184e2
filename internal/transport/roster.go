package transport

import (
	"net"
	"time"
)

// Registry reports to the list of service instances: one datagram a report, and no answer comes.
type Registry struct {
	conn net.Conn
	name string
}

// NewRegistry opens the socket that reports go out of.
func NewRegistry(addr, name string) (*Registry, error) {
	conn, err := net.Dial("udp", addr)
	if err != nil {
		return nil, err
	}
	return &Registry{conn, name}, nil
}

// Report sends one. A roster that is down shows as an error here, and the next report is due soon.
func (r *Registry) Report(available bool) {
	state := "off"
	if available {
		state = "on"
	}
	_ = r.conn.SetWriteDeadline(time.Now().Add(time.Millisecond)) // a full socket must not hold up the loop
	_, _ = r.conn.Write([]byte("HERE " + r.name + " " + state))
}

// Close gives its descriptor back.
func (r *Registry) Close() { _ = r.conn.Close() }

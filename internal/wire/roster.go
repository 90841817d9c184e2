package wire

import (
	"net"
	"time"
)

// Roster reports to the list of service instances: one datagram a report, and no answer comes.
type Roster struct {
	conn net.Conn
	name string
}

// NewRoster opens the socket that reports go out of.
func NewRoster(addr, name string) (*Roster, error) {
	conn, err := net.Dial("udp", addr)
	if err != nil {
		return nil, err
	}
	return &Roster{conn, name}, nil
}

// Report sends one. A roster that is down shows as an error here, and the next report is due soon.
func (r *Roster) Report(on bool) {
	state := "off"
	if on {
		state = "on"
	}
	_ = r.conn.SetWriteDeadline(time.Now().Add(time.Millisecond)) // a full socket must not hold up the loop
	_, _ = r.conn.Write([]byte("HERE " + r.name + " " + state))
}

// Close gives its descriptor back.
func (r *Roster) Close() { _ = r.conn.Close() }

// Package discovery reports to the registry of service instances. Each report is one datagram without a response.
package discovery

import (
	"context"
	"fmt"
	"net"
	"time"
)

// The parts of a report, whose format is "HERE <name> <state>".
const (
	reportPrefix     = "HERE "
	stateAvailable   = " on"
	stateUnavailable = " off"
)

// maxWriteWait is the maximum time spent on sending a report, so that a full socket buffer does not block the
// event loop.
const maxWriteWait = time.Millisecond

// Registry sends the reports of an instance or a proxy to the registry. It is owned by the event loop of that
// process.
type Registry struct {
	conn net.Conn
	name string
}

// NewRegistry opens the socket for the reports of the named instance. It sends nothing, so it does not return an
// error if the registry is down.
func NewRegistry(addr, name string) (*Registry, error) {
	conn, err := (&net.Dialer{}).DialContext(context.Background(), "udp", addr) // sends nothing and does not block
	if err != nil {
		return nil, fmt.Errorf("open socket for registry reports: %w", err)
	}
	return &Registry{conn: conn, name: name}, nil
}

// Report reports whether the instance accepts requests. If the registry is down, sending may fail. The error is
// ignored because the next report follows soon.
func (r *Registry) Report(available bool) {
	state := stateUnavailable
	if available {
		state = stateAvailable
	}
	_ = r.conn.SetWriteDeadline(time.Now().Add(maxWriteWait))
	_, _ = r.conn.Write([]byte(reportPrefix + r.name + state))
}

// Close closes the socket.
func (r *Registry) Close() {
	_ = r.conn.Close() // a datagram socket has no buffered data to lose
}

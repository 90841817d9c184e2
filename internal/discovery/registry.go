// Package discovery reports to the registry of service instances: one datagram a report, and no answer comes.
package discovery

import (
	"context"
	"fmt"
	"net"
	"time"
)

// The words of a report, which is "HERE <name> <state>".
const (
	reportPrefix     = "HERE "
	stateAvailable   = " on"
	stateUnavailable = " off"
)

// maxWriteWait bounds a report, as a full socket must not hold up the event loop.
const maxWriteWait = time.Millisecond

// Registry is where an instance or a proxy reports to. It is owned by the event loop of whoever reports.
type Registry struct {
	conn net.Conn
	name string
}

// NewRegistry opens the socket that the reports of the named instance go out of. Nothing is sent yet, so a registry
// that is down is no error.
func NewRegistry(addr, name string) (*Registry, error) {
	conn, err := (&net.Dialer{}).DialContext(context.Background(), "udp", addr) // it sends nothing, and does not wait
	if err != nil {
		return nil, fmt.Errorf("socket for reports to the registry: %w", err)
	}
	return &Registry{conn: conn, name: name}, nil
}

// Report tells whether the instance takes requests. A registry that is down shows as an error here, which is dropped:
// the next report is due soon.
func (r *Registry) Report(available bool) {
	state := stateUnavailable
	if available {
		state = stateAvailable
	}
	_ = r.conn.SetWriteDeadline(time.Now().Add(maxWriteWait))
	_, _ = r.conn.Write([]byte(reportPrefix + r.name + state))
}

// Close gives the socket's descriptor back.
func (r *Registry) Close() {
	_ = r.conn.Close() // a datagram socket has nothing that could be lost
}

package fake

import (
	"context"
	"net"
	"time"
)

// maxReportBytes is more than any report has.
const maxReportBytes = 100

// Registry takes the reports.
type Registry struct{ conn net.PacketConn }

// NewRegistry makes a registry on a free port.
func NewRegistry() *Registry {
	return &Registry{conn: Must((&net.ListenConfig{}).ListenPacket(context.Background(), "udp", "127.0.0.1:0"))}
}

// Addr is where reports go to.
func (r *Registry) Addr() string { return r.conn.LocalAddr().String() }

// Close has the registry go away.
func (r *Registry) Close() { _ = r.conn.Close() }

// NextReport waits for the next datagram.
func (r *Registry) NextReport() string {
	buffer := make([]byte, maxReportBytes)
	_ = r.conn.SetReadDeadline(time.Now().Add(WaitTimeout)) // if it failed, so does the read
	n, _, err := r.conn.ReadFrom(buffer)
	return string(buffer[:Must(n, err)])
}

package fake

import (
	"context"
	"net"
	"time"
)

// maxReportBytes is the size of the read buffer; every report is shorter.
const maxReportBytes = 100

// Registry is a fake registry that receives the reports of instances as UDP datagrams.
type Registry struct{ conn net.PacketConn }

// NewRegistry starts a registry on a free port of the loopback address.
func NewRegistry() *Registry {
	return &Registry{conn: Must((&net.ListenConfig{}).ListenPacket(context.Background(), "udp", "127.0.0.1:0"))}
}

// Addr returns the address that receives reports.
func (r *Registry) Addr() string { return r.conn.LocalAddr().String() }

// Close closes the registry's socket.
func (r *Registry) Close() { _ = r.conn.Close() }

// NextReport waits for the next datagram and returns it, and panics if none arrives within WaitTimeout.
func (r *Registry) NextReport() string {
	buffer := make([]byte, maxReportBytes)
	_ = r.conn.SetReadDeadline(time.Now().Add(WaitTimeout)) // if this fails, the read fails too
	n, _, err := r.conn.ReadFrom(buffer)
	return string(buffer[:Must(n, err)])
}

package coordinator

import (
	"net"
	"testing"
	"time"

	"github.com/hashicorp/raft"
)

// loopbackLayer is a raft.StreamLayer on a free port of the loopback interface.
type loopbackLayer struct {
	net.Listener
}

func newLoopbackLayer(t *testing.T) *loopbackLayer {
	t.Helper()
	var config net.ListenConfig
	listener, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return &loopbackLayer{listener}
}

// Dial implements raft.StreamLayer.
func (*loopbackLayer) Dial(address raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	dialer := net.Dialer{Timeout: timeout}
	return dialer.Dial("tcp", string(address))
}

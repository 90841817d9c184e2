package allocator

import (
	"net"
	"testing"
	"time"

	"lanewheel/internal/concurrencylease"
	"lanewheel/internal/fleet/gossip"
)

// An allocator reports that it is ready while the service accepts connections.
func TestProbe(t *testing.T) {
	var config net.ListenConfig
	listener, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := New(concurrencylease.DefaultConfig(), listener.Addr().String())
	server.allocator = concurrencylease.NewAllocator(server.config, 1, 0)
	done := make(chan struct{})
	go func() {
		server.Serve()
		close(done)
	}()
	waitForReady(t, server, true)
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	waitForReady(t, server, false)
	server.Post(server.Quit)
	<-done
}

// waitForReady waits until the server reports the wanted readiness.
func waitForReady(t *testing.T, server *Server, want bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		ready := make(chan bool, 1)
		server.Status(func(status gossip.ProcessStatus) { ready <- status.Ready })
		if <-ready == want {
			return
		}
	}
	t.Fatalf("ready did not become %v before the deadline", want)
}

package coordinator

import (
	"sync"

	"github.com/hashicorp/raft"
)

// drainingTransport is raft's network transport. After its method drain returns, no heartbeat is handled any more.
//
// Raft handles heartbeats on the transport's goroutines, and its shutdown does not wait for them. A heartbeat that
// passed raft's own check before the shutdown could then write its term to a closed store. Raft treats that as a fatal
// error and panics.
type drainingTransport struct {
	*raft.NetworkTransport

	mu      sync.RWMutex // read-locked while a heartbeat is handled
	drained bool         // guarded by mu
}

// SetHeartbeatHandler sets the handler of heartbeats. The handler is not called after drain.
func (t *drainingTransport) SetHeartbeatHandler(handle func(raft.RPC)) {
	t.NetworkTransport.SetHeartbeatHandler(func(rpc raft.RPC) {
		t.mu.RLock()
		defer t.mu.RUnlock()
		if t.drained {
			return // the sender gets no response, as after raft's own shutdown
		}
		handle(rpc)
	})
}

// drain waits for the heartbeats that are being handled. All later heartbeats are ignored.
func (t *drainingTransport) drain() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.drained = true
}

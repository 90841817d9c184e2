package coordinator

import (
	"sync"

	"github.com/hashicorp/raft"
)

// drainingTransport is raft's network transport, of which no heartbeat is being handled any more once drain returns.
//
// Raft handles heartbeats on the transport's goroutines, and its shutdown does not wait for them. One that passed
// raft's own check before the shutdown would write the term to a store that is closed by then, which raft takes for a
// fatal error: it panics.
type drainingTransport struct {
	*raft.NetworkTransport

	mu      sync.RWMutex // held for reading while a heartbeat is handled
	drained bool         // guarded by mu
}

// SetHeartbeatHandler sets what handles heartbeats until drain.
func (t *drainingTransport) SetHeartbeatHandler(handle func(raft.RPC)) {
	t.NetworkTransport.SetHeartbeatHandler(func(rpc raft.RPC) {
		t.mu.RLock()
		defer t.mu.RUnlock()
		if t.drained {
			return // as raft does behind its shutdown: the sender gets no response
		}
		handle(rpc)
	})
}

// drain waits for the heartbeats that are being handled and ignores all that come later.
func (t *drainingTransport) drain() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.drained = true
}

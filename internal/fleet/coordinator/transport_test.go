package coordinator

import (
	"testing"
	"time"

	"github.com/hashicorp/raft"

	"lanewheel/internal/fake"
)

// The store is closed after drain returns. A heartbeat that was being handled must have finished by then, and no later
// one may be handled.
func TestDrainWaitsForHeartbeats(t *testing.T) {
	layers := [2]*loopbackLayer{newLoopbackLayer(t), newLoopbackLayer(t)}
	sender := raft.NewNetworkTransport(layers[0], 1, time.Second, nil)
	defer func() { _ = sender.Close() }()
	receiver := &drainingTransport{NetworkTransport: raft.NewNetworkTransport(layers[1], 1, time.Second, nil)}
	defer func() { _ = receiver.Close() }()

	handling, finish := make(chan struct{}), make(chan struct{})
	receiver.SetHeartbeatHandler(func(rpc raft.RPC) {
		handling <- struct{}{}
		<-finish
		rpc.Respond(&raft.AppendEntriesResponse{}, nil)
	})
	heartbeat := func() error {
		request := raft.AppendEntriesRequest{RPCHeader: raft.RPCHeader{Addr: []byte("leader")}, Term: 1}
		var response raft.AppendEntriesResponse
		return sender.AppendEntries("receiver", receiver.LocalAddr(), &request, &response)
	}
	first := make(chan error, 1)
	go func() { first <- heartbeat() }()
	<-handling

	drained := make(chan struct{})
	go func() {
		receiver.drain()
		close(drained)
	}()
	fake.WaitFor("drain to wait for the lock", func() bool {
		if receiver.mu.TryRLock() {
			receiver.mu.RUnlock()
			return false
		}
		return true
	})
	select {
	case <-drained:
		t.Fatal("drain returned while a heartbeat was being handled")
	default:
	}
	close(finish)
	<-drained
	if err := <-first; err != nil {
		t.Errorf("heartbeat handled during drain: %v", err)
	}

	if err := heartbeat(); err == nil {
		t.Error("a heartbeat after drain got a response")
	}
	select {
	case <-handling:
		t.Error("a heartbeat after drain was handled")
	default:
	}
}

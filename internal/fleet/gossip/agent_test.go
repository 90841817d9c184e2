package gossip

import (
	"net"
	"testing"
	"time"

	"github.com/hashicorp/memberlist"

	"lanewheel/internal/eventloop"
	"lanewheel/internal/membership"
)

// memberlist's goroutines check nodes against the maximum number of members while the event loop replaces the
// configuration. With -race, this test fails if the maximum is not shared safely.
func TestSetConfigDuringNotifyAlive(t *testing.T) {
	agent := goldenAgent()
	agent.Loop = eventloop.New(1 << 10)
	agent.memberlistConfig = &memberlist.Config{}
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		agent.Run(func() {})
	}()
	events := delegate{agent}
	node := &memberlist.Node{
		Name: membership.ID{Name: "red", BootID: 1}.String(),
		Addr: net.IPv4(10, 0, 0, 9),
		Port: 7946,
		Meta: encodeDescriptor(membership.Descriptor{Capacity: 1}),
	}
	smallLimit := agent.config
	smallLimit.Membership = membership.DefaultConfig()
	smallLimit.Membership.MaxMembers = 1
	smallLimit.MaxMessageRate = 100
	largeLimit := smallLimit
	largeLimit.Membership.MaxMembers = 100
	callsDone := make(chan struct{})
	go func() { // memberlist's concurrent calls; either result is correct while the configuration is changing
		defer close(callsDone)
		for range 10_000 {
			_ = events.NotifyAlive(node)
			events.MergeRemoteState(nil, false)
		}
	}()
	for range 100 {
		agent.SetConfig(smallLimit)
		agent.SetConfig(largeLimit)
	}
	<-callsDone
	for _, step := range []struct {
		config   Config
		accepted bool
	}{{smallLimit, false}, {largeLimit, true}} {
		applied := make(chan struct{})
		agent.SetConfig(step.config)
		agent.Post(func() { close(applied) })
		select {
		case <-applied:
		case <-time.After(10 * time.Second):
			t.Fatal("configuration was not applied within 10 s")
		}
		if err := events.NotifyAlive(node); (err == nil) != step.accepted {
			t.Errorf("NotifyAlive with a maximum of %d members returned %v", step.config.Membership.MaxMembers, err)
		}
	}
	agent.Post(agent.Quit)
	<-stopped
}

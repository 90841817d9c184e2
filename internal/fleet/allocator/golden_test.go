package allocator

import (
	"reflect"
	"testing"
	"time"

	"lanewheel/internal/concurrencylease"
	"lanewheel/internal/fleet/gossip"
	"lanewheel/internal/membership"
)

// An allocator reports its status to the fleet under the metric names that other releases read.
func TestStatusGolden(t *testing.T) {
	config := concurrencylease.DefaultConfig()
	config.Capacity = 16
	server := New(config, "127.0.0.1:1")
	server.allocator = concurrencylease.NewAllocator(config, 1, -time.Hour)
	server.serviceUp, server.draining = true, true
	done := make(chan struct{})
	go func() {
		server.Run(func() {})
		close(done)
	}()
	server.Post(func() {
		holder := membership.ID{Name: "n1", BootID: 1}
		server.allocator.HandleRequest(server.Now(), concurrencylease.Request{Holder: holder, Sequence: 1, WantedCalls: 3})
	})
	status := make(chan gossip.ProcessStatus, 1)
	server.Status(func(reported gossip.ProcessStatus) { status <- reported })
	want := gossip.ProcessStatus{Ready: true, Draining: true, Metrics: []membership.Metric{
		{Name: "cap", Value: 16}, {Name: "granted", Value: 3}, {Name: "holders", Value: 1},
	}}
	if got := <-status; !reflect.DeepEqual(got, want) {
		t.Errorf("status is %+v, want %+v", got, want)
	}
	load := make(chan float64, 1)
	server.Load(func(reported float64, _ gossip.RequestStats) { load <- reported })
	if got := <-load; got != 3 {
		t.Errorf("load is %v, want 3", got)
	}
	server.Post(server.Quit)
	<-done
}

package allocator

import (
	"reflect"
	"testing"
	"time"

	"lanewheel/internal/concurrencylease"
	"lanewheel/internal/fleet/gossip"
	"lanewheel/internal/membership"
)

// What a desk says of itself in the fleet, by the names that others read.
func TestReportGolden(t *testing.T) {
	told := concurrencylease.DefaultConfig()
	told.Capacity = 16
	d := New(told, "127.0.0.1:1")
	d.allocator = concurrencylease.NewAllocator(told, 1, -time.Hour)
	d.serviceUp, d.draining = true, true
	done := make(chan struct{})
	go func() {
		d.Run(func() {})
		close(done)
	}()
	d.Post(func() {
		d.allocator.HandleRequest(d.Now(), concurrencylease.Request{Holder: membership.ID{Name: "n1", BootID: 1}, Sequence: 1, WantedCalls: 3})
	})
	got := make(chan gossip.ProcessStatus, 1)
	d.Status(func(r gossip.ProcessStatus) { got <- r })
	want := gossip.ProcessStatus{Ready: true, Draining: true, Metrics: []membership.Metric{{Name: "cap", Value: 16}, {Name: "granted",
		Value: 3}, {Name: "holders", Value: 1}}}
	if r := <-got; !reflect.DeepEqual(r, want) {
		t.Errorf("%+v, wanted %+v", r, want)
	}
	load := make(chan float64, 1)
	d.Load(func(x float64, f gossip.RequestStats) { load <- x })
	if x := <-load; x != 3 {
		t.Error(x)
	}
	d.Post(d.Quit)
	<-done
}

package membership

import (
	"fmt"
	"testing"
	"time"
)

const s = time.Second

// tableHarness drives a table through hours in milliseconds and prints each change.
type tableHarness struct {
	*Table
	now              time.Duration
	quiet            bool
	reachableSenders []string // members that are heard, and answer, all the time
}

func newHarness(changes ...func(*Config)) *tableHarness {
	config := DefaultConfig()
	for _, change := range changes {
		change(&config)
	}
	self := Descriptor{Name: "me", Incarnation: 100, BootID: 1, GossipAddr: "me:1"}
	return &tableHarness{Table: NewTable(self, config, 0)}
}

func (x *tableHarness) advance(d time.Duration) {
	for end := x.now + d; x.now < end; {
		x.now += 100 * time.Millisecond
		for _, sender := range x.reachableSenders {
			x.ObserveSender(sender)
			x.ObserveAck(x.now)
		}
		x.Tick(x.now)
		x.printChanges()
	}
}

// stall has the process stand still.
func (x *tableHarness) stall(d time.Duration) {
	x.now += d
	x.Tick(x.now)
	x.printChanges()
}

func (x *tableHarness) printChanges() {
	for _, c := range x.TakeChanges() {
		if !x.quiet {
			fmt.Printf("%v %s %d: %v -> %v, %s\n", x.now, c.Name, c.Incarnation, c.From, c.To, c.Reason)
		}
	}
}

// alive hands in a member's descriptor.
func (x *tableHarness) alive(name Name, bootID BootID, incarnation Incarnation) AliveResult {
	result := x.HandleAlive(Descriptor{
		Name:        name,
		BootID:      bootID,
		Incarnation: incarnation,
		GossipAddr:  string(name) + ":1",
		WarmUp:      5 * s,
	}, x.now)
	x.printChanges()
	return result
}

// heartbeat hands in a heartbeat of a member that has been ready for long, written just now.
func (x *tableHarness) heartbeat(name Name, bootID BootID, sequence uint64, metrics ...Metric) bool {
	return x.publish(Heartbeat{
		ID:       ID{name, bootID},
		Sequence: sequence,
		Ready:    true,
		ReadyFor: 10 * s,
		Metrics:  metrics,
	}, 0)
}

// publish hands in any heartbeat.
func (x *tableHarness) publish(heartbeat Heartbeat, age time.Duration) bool {
	accepted := x.HandleHeartbeat(heartbeat, age, x.now)
	x.printChanges()
	return accepted
}

// bringUp adds members that have been ready for long.
func (x *tableHarness) bringUp(names ...Name) {
	for _, n := range names {
		x.alive(n, 7, 1)
		x.heartbeat(n, 7, 1)
	}
}

// advanceWithHeartbeats has members publish again and again while time goes on.
func (x *tableHarness) advanceWithHeartbeats(d time.Duration, names ...Name) {
	for end := x.now + d; x.now < end; {
		x.advance(s)
		for _, n := range names {
			m, _ := x.View().Get(n)
			x.heartbeat(n, m.BootID, m.Sequence+1)
		}
	}
}

func BenchmarkHandleHeartbeat(b *testing.B) {
	x := newHarness()
	x.quiet = true
	for i := range 300 {
		x.bringUp(Name(fmt.Sprint("n", i)))
	}
	b.ReportAllocs()
	for i := range b.N {
		x.heartbeat(Name(fmt.Sprint("n", i%300)), 7, uint64(i+2), Metric{Name: "load", Value: 1, TTL: s})
	}
}

func BenchmarkTick(b *testing.B) {
	x := newHarness()
	x.quiet = true
	for i := range 300 {
		x.bringUp(Name(fmt.Sprint("n", i)))
	}
	b.ReportAllocs()
	for range b.N {
		x.now += 100 * time.Millisecond
		x.Tick(x.now)
	}
}

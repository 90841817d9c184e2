package membership

import (
	"fmt"
	"testing"
	"time"
)

const s = time.Second

// tableHarness drives a table in simulated time and prints each change of a member, unless quiet is set.
type tableHarness struct {
	*Table
	now              time.Duration
	quiet            bool
	reachableSenders []string // members that send messages and answer probes all the time
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

// stall simulates a stall of this process.
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

// alive passes a member's descriptor to the table.
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

// heartbeat passes a heartbeat with an age of 0 to the table. The member has been ready for longer than its warm-up.
func (x *tableHarness) heartbeat(name Name, bootID BootID, sequence uint64, metrics ...Metric) bool {
	return x.publish(Heartbeat{
		ID:       ID{name, bootID},
		Sequence: sequence,
		Ready:    true,
		ReadyFor: 10 * s,
		Metrics:  metrics,
	}, 0)
}

// publish passes any heartbeat to the table.
func (x *tableHarness) publish(heartbeat Heartbeat, age time.Duration) bool {
	accepted := x.HandleHeartbeat(heartbeat, age, x.now)
	x.printChanges()
	return accepted
}

// bringUp adds members that have been ready for longer than their warm-up.
func (x *tableHarness) bringUp(names ...Name) {
	for _, n := range names {
		x.alive(n, 7, 1)
		x.heartbeat(n, 7, 1)
	}
}

// advanceWithHeartbeats advances the time by d, while the named members publish a heartbeat each second.
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

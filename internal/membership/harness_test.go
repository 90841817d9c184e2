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
	reachableSenders []string // who is heard, and answers, all the time
}

func newHarness(change ...func(*Config)) *tableHarness {
	config := DefaultConfig()
	for _, c := range change {
		c(&config)
	}
	return &tableHarness{Table: NewTable(Descriptor{Name: "me", Incarnation: 100, BootID: 1, GossipAddr: "me:1"}, config, 0)}
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

// stall is to stand still.
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

func (x *tableHarness) alive(name Name, life BootID, inc Incarnation) AliveResult {
	v := x.HandleAlive(Descriptor{Name: name, BootID: life, Incarnation: inc, GossipAddr: string(name) + ":1", WarmUp: 5 * s}, x.now)
	x.printChanges()
	return v
}

func (x *tableHarness) heartbeat(name Name, life BootID, sequence uint64, age time.Duration, metrics ...Metric) bool {
	accepted := x.HandleHeartbeat(Heartbeat{ID: ID{name, life}, Sequence: sequence, Ready: true, ReadyFor: 10 * s, Metrics: metrics}, age, x.now)
	x.printChanges()
	return accepted
}

// bringUp brings members in, ready long since.
func (x *tableHarness) bringUp(names ...Name) {
	for _, n := range names {
		x.alive(n, 7, 1)
		x.heartbeat(n, 7, 1, 0)
	}
}

// advanceWithHeartbeats has members publish again and again while time goes on.
func (x *tableHarness) advanceWithHeartbeats(d time.Duration, names ...Name) {
	for end := x.now + d; x.now < end; {
		x.advance(s)
		for _, n := range names {
			m, _ := x.View().Get(n)
			x.heartbeat(n, m.BootID, m.Sequence+1, 0)
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
		x.heartbeat(Name(fmt.Sprint("n", i%300)), 7, uint64(i+2), 0, Metric{Name: "load", Value: 1, TTL: s})
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

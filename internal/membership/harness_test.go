package membership

import (
	"fmt"
	"testing"
	"time"
)

// s is a second, as a short unit for durations.
const s = time.Second

// tableHarness runs a table in simulated time and prints each state change, unless it is quiet.
type tableHarness struct {
	*Table
	now              time.Duration
	quiet            bool
	reachableSenders []string // members that send messages and acks at every step
}

func newHarness(changes ...func(*Config)) *tableHarness {
	config := DefaultConfig()
	for _, change := range changes {
		change(&config)
	}
	self := Descriptor{Name: "me", Incarnation: 100, BootID: 1, GossipAddr: "me:1"}
	return &tableHarness{Table: NewTable(self, config, 0)}
}

// advance advances the time by d, with a tick every 100 ms.
func (h *tableHarness) advance(d time.Duration) {
	for end := h.now + d; h.now < end; {
		h.now += 100 * time.Millisecond
		for _, sender := range h.reachableSenders {
			h.ObserveSender(sender)
			h.ObserveAck(h.now)
		}
		h.Tick(h.now)
		h.printChanges()
	}
}

// stall advances the time by d in a single tick, as after a stall of the process.
func (h *tableHarness) stall(d time.Duration) {
	h.now += d
	h.Tick(h.now)
	h.printChanges()
}

func (h *tableHarness) printChanges() {
	for _, c := range h.TakeChanges() {
		if !h.quiet {
			fmt.Printf("%v %s %d: %v -> %v, %s\n", h.now, c.Name, c.Incarnation, c.From, c.To, c.Reason)
		}
	}
}

// alive passes a member's descriptor to the table.
func (h *tableHarness) alive(name Name, bootID BootID, incarnation Incarnation) AliveResult {
	result := h.HandleAlive(Descriptor{
		Name:        name,
		BootID:      bootID,
		Incarnation: incarnation,
		GossipAddr:  string(name) + ":1",
		WarmUp:      5 * s,
	}, h.now)
	h.printChanges()
	return result
}

// heartbeat passes a heartbeat to the table, written just now by a member that has been ready for 10 s.
func (h *tableHarness) heartbeat(name Name, bootID BootID, sequence uint64, metrics ...Metric) bool {
	return h.publish(Heartbeat{
		ID:       ID{name, bootID},
		Sequence: sequence,
		Ready:    true,
		ReadyFor: 10 * s,
		Metrics:  metrics,
	}, 0)
}

// publish passes a heartbeat to the table.
func (h *tableHarness) publish(heartbeat Heartbeat, age time.Duration) bool {
	accepted := h.HandleHeartbeat(heartbeat, age, h.now)
	h.printChanges()
	return accepted
}

// bringUp adds members that have been ready for 10 s, twice their warm-up time.
func (h *tableHarness) bringUp(names ...Name) {
	for _, n := range names {
		h.alive(n, 7, 1)
		h.heartbeat(n, 7, 1)
	}
}

// advanceWithHeartbeats advances the time by d, with a heartbeat of each named member every second.
func (h *tableHarness) advanceWithHeartbeats(d time.Duration, names ...Name) {
	for end := h.now + d; h.now < end; {
		h.advance(s)
		for _, n := range names {
			m, _ := h.View().Get(n)
			h.heartbeat(n, m.BootID, m.Sequence+1)
		}
	}
}

func BenchmarkHandleHeartbeat(b *testing.B) {
	h := newHarness()
	h.quiet = true
	for i := range 300 {
		h.bringUp(Name(fmt.Sprint("n", i)))
	}
	b.ReportAllocs()
	for i := range b.N {
		h.heartbeat(Name(fmt.Sprint("n", i%300)), 7, uint64(i+2), Metric{Name: "load", Value: 1, TTL: s})
	}
}

func BenchmarkTick(b *testing.B) {
	h := newHarness()
	h.quiet = true
	for i := range 300 {
		h.bringUp(Name(fmt.Sprint("n", i)))
	}
	b.ReportAllocs()
	for range b.N {
		h.now += 100 * time.Millisecond
		h.Tick(h.now)
	}
}

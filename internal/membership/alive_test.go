package membership

import (
	"fmt"
	"time"
)

// A member restarts within a second under the same name and address while messages of its previous process are still in
// transit. The new process must never be taken for the previous one.
func Example_restart() {
	h := newHarness()
	h.bringUp("a")
	h.alive("a", 8, 2)
	fmt.Println(h.alive("a", 7, 1) == AliveOutdated, h.heartbeat("a", 7, 50))
	h.HandleUnreachable(ID{"a", 7}, h.now) // a report about the previous process does not affect the new one
	h.heartbeat("a", 8, 1)
	h.advanceWithHeartbeats(3*s, "a")
	// of two processes with the same incarnation, the one with the higher boot ID wins in any order of arrival
	fmt.Println(h.alive("a", 5, 2) == AliveOutdated)
	h.alive("a", 9, 2)
	// Output:
	// 0s a 1: joining -> joining, claimed
	// 0s a 1: joining -> up, ready
	// 0s a 1: up -> fenced, superseded
	// 0s a 2: joining -> joining, claimed
	// true false
	// 0s a 2: joining -> up, ready
	// true
	// 3s a 2: up -> fenced, superseded
	// 3s a 2: joining -> joining, claimed
}

// Another process has the name of this one. Its predecessor has a higher incarnation, because the clock went back
// between the two starts: shortly after its start, this process raises its own incarnation above that one. A successor
// that appears later fences this process, even if only a fence notice from another member reports it.
func Example_nameConflict() {
	h := newHarness()
	fmt.Println(h.alive("me", 9, 5000) == AliveIncarnationRaised, h.Self().Incarnation)
	fmt.Println(h.alive("me", 9, 5000) == AliveOutdated, h.alive("me", 1, 5001) == AliveOwn)
	h.advance(20 * s)
	fmt.Println(h.HandleFenceNotice(4000, 3, h.now) == AliveOutdated, h.View().LocalHealth)
	fmt.Println(h.HandleFenceNotice(6000, 3, h.now) == AliveFenced, h.View().LocalHealth)
	// Output:
	// true 5001
	// true true
	// true young
	// true fenced
}

// Two processes that start under one name at the same moment raise their incarnations in turn until exactly one of them
// is fenced.
func Example_simultaneousStarts() {
	now := time.Duration(0)
	a := NewTable(Descriptor{Name: "n", Incarnation: 10, BootID: 1}, DefaultConfig(), 0)
	b := NewTable(Descriptor{Name: "n", Incarnation: 10, BootID: 2}, DefaultConfig(), 0)
	for range 8 {
		now += s
		a.HandleAlive(b.Self(), now)
		b.HandleAlive(a.Self(), now)
		a.Tick(now)
		b.Tick(now)
	}
	aFenced, bFenced := a.View().LocalHealth == LocalFenced, b.View().LocalHealth == LocalFenced
	fmt.Println(a.Self().Incarnation != b.Self().Incarnation, aFenced != bFenced,
		a.incarnationRaises+b.incarnationRaises <= 2*3)
	// Output: true true true
}

// A crash loop under one name is suppressed as flapping, although each start is a new process.
func Example_crashLoop() {
	h := newHarness()
	h.quiet = true
	h.bringUp("a", "b")
	for bootID := BootID(20); bootID < 24; bootID++ {
		h.alive("a", bootID, Incarnation(bootID))
		h.heartbeat("a", bootID, 1)
	}
	m, _ := h.View().Get("a")
	fmt.Println(m.State, m.Reason, uint64(m.BootID))
	// Output: suspect flapping 23
}

// The table is limited to MaxMembers: present members stay, gone ones are evicted for new ones, and further names are
// rejected. A heartbeat with more than MaxMetrics metrics is rejected as well.
func Example_memberLimit() {
	h := newHarness(func(config *Config) { config.MaxMembers, config.MaxMetrics = 3, 1 })
	h.quiet = true
	h.bringUp("a", "b", "c")
	fmt.Println(h.alive("d", 7, 1) == AliveTableFull, h.heartbeat("a", 7, 2, Metric{Name: "x"}, Metric{Name: "y"}))
	h.HandleLeft(ID{"b", 7}, h.now)
	fmt.Println(h.alive("d", 7, 1) == AliveAccepted, h.View().Len(), h.Stats.RejectedFull, h.Stats.InvalidHeartbeats)
	// Output:
	// true false
	// true 3 1 1
}

// No internal list is limited to fewer than 1,024 entries: the table holds a fleet of 1,024 other members, each of
// which has replaced a predecessor.
func Example_fleetOf1024() {
	h := newHarness()
	h.quiet = true
	for i := range 1024 {
		n := Name(fmt.Sprint("n", i))
		h.alive(n, 6, 1)
		h.bringUp(n)
	}
	available := 0
	for m := range h.View().All() {
		if m.State.Available() && m.BootID == 7 {
			available++
		}
	}
	fmt.Println(available, h.Stats.RejectedFull)
	// Output:
	// 1024 0
}

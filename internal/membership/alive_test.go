package membership

import (
	"fmt"
	"time"
)

// A member restarts within a second with the same name and address, while messages of the old process are still in
// transit. The new process is never mistaken for the old one.
func Example_restart() {
	x := newHarness()
	x.bringUp("a")
	x.alive("a", 8, 2)
	fmt.Println(x.alive("a", 7, 1) == AliveOutdated, x.heartbeat("a", 7, 50))
	x.HandleUnreachable(ID{"a", 7}, x.now) // does not apply to the new process
	x.heartbeat("a", 8, 1)
	x.advanceWithHeartbeats(3*s, "a")
	// two processes with the same incarnation: every member makes the same decision, in whatever order they arrive
	fmt.Println(x.alive("a", 5, 2) == AliveOutdated)
	x.alive("a", 9, 2)
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

// Another process has the name of this one. A predecessor whose incarnation is higher, because the clock was set back
// in between, is superseded by a raised incarnation shortly after the start. A later successor fences this process,
// also if only a notice of another member reports it.
func Example_nameConflict() {
	x := newHarness()
	fmt.Println(x.alive("me", 9, 5000) == AliveIncarnationRaised, x.Self().Incarnation)
	fmt.Println(x.alive("me", 9, 5000) == AliveOutdated, x.alive("me", 1, 5001) == AliveOwn)
	x.advance(20 * s)
	fmt.Println(x.HandleFenceNotice(4000, 3, x.now) == AliveOutdated, x.View().LocalHealth)
	fmt.Println(x.HandleFenceNotice(6000, 3, x.now) == AliveFenced, x.View().LocalHealth)
	// Output:
	// true 5001
	// true true
	// true young
	// true fenced
}

// Two processes that start with the same name at the same time raise their incarnations in turn, until exactly one of
// them is fenced.
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
	x := newHarness()
	x.quiet = true
	x.bringUp("a", "b")
	for bootID := BootID(20); bootID < 24; bootID++ {
		x.alive("a", bootID, Incarnation(bootID))
		x.heartbeat("a", bootID, 1)
	}
	m, _ := x.View().Get("a")
	fmt.Println(m.State, m.Reason, uint64(m.BootID))
	// Output: suspect flapping 23
}

// When the table is full, present members are kept, gone members are evicted for new ones, and further new members
// are rejected. A heartbeat with too many metrics is rejected as well.
func Example_maxMembers() {
	x := newHarness(func(config *Config) { config.MaxMembers, config.MaxMetrics = 3, 1 })
	x.quiet = true
	x.bringUp("a", "b", "c")
	fmt.Println(x.alive("d", 7, 1) == AliveTableFull, x.heartbeat("a", 7, 2, Metric{Name: "x"}, Metric{Name: "y"}))
	x.HandleLeft(ID{"b", 7}, x.now)
	fmt.Println(x.alive("d", 7, 1) == AliveAccepted, x.View().Len(), x.Stats.RejectedFull, x.Stats.InvalidHeartbeats)
	// Output:
	// true false
	// true 3 1 1
}

// No internal limit is below 1,024 members: a fleet of that many others, each with a predecessor, fits into the
// table.
func Example_largeFleet() {
	x := newHarness()
	x.quiet = true
	for i := range 1024 {
		n := Name(fmt.Sprint("n", i))
		x.alive(n, 6, 1)
		x.bringUp(n)
	}
	available := 0
	for m := range x.View().All() {
		if m.State.Available() && m.BootID == 7 {
			available++
		}
	}
	fmt.Println(available, x.Stats.RejectedFull)
	// Output:
	// 1024 0
}

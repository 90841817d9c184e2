package membership

import (
	"fmt"
	"time"
)

// Restarted within a second under its name and address, while its old messages still travel: the new process is never
// taken for the old one.
func Example_restart() {
	x := newHarness()
	x.bringUp("a")
	x.alive("a", 8, 2)
	fmt.Println(x.alive("a", 7, 1) == AliveOutdated, x.heartbeat("a", 7, 50))
	x.HandleUnreachable(ID{"a", 7}, x.now) // the end of the old process is not the new one's
	x.heartbeat("a", 8, 1)
	x.advanceWithHeartbeats(3*s, "a")
	// two of one incarnation: all who see both decide alike, in whatever order
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

// Our own name: a predecessor whose incarnation is higher, as the clock went back between, is overtaken shortly after
// our start; a successor that shows up later fences us, and so does one that another member notifies us of.
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

// Two that start under one name at one moment raise in turn, and one of them is over in the end.
func Example_twins() {
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

// A crash loop under one name is held back as well, though each start is a process of its own.
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

// Names without end: members that are here stay, those that are gone make room, the others are refused.
func Example_bounds() {
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

// No list has a cap under 1,024: a fleet of so many others, each with a predecessor, is held as it stands.
func Example_many() {
	x := newHarness()
	x.quiet = true
	for i := range 1024 {
		n := Name(fmt.Sprint("n", i))
		x.alive(n, 6, 1)
		x.bringUp(n)
	}
	here := 0
	for m := range x.View().All() {
		if m.State.Available() && m.BootID == 7 {
			here++
		}
	}
	fmt.Println(here, x.Stats.RejectedFull)
	// Output:
	// 1024 0
}

package membership

import (
	"fmt"
	"time"
)

// Restarted within a second under its name and address, while its old messages still travel: the new process is never
// taken for the old one.
func Example_restart() {
	h := newHarness()
	h.bringUp("a")
	h.alive("a", 8, 2)
	fmt.Println(h.alive("a", 7, 1) == AliveOutdated, h.heartbeat("a", 7, 50))
	h.HandleUnreachable(ID{"a", 7}, h.now) // the end of the old process is not the new one's
	h.heartbeat("a", 8, 1)
	h.advanceWithHeartbeats(3*s, "a")
	// two of one incarnation: all who see both decide alike, in whatever order
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

// Our own name: a predecessor whose incarnation is higher, as the clock went back between, is overtaken shortly after
// our start; a successor that shows up later fences us, and so does one that another member notifies us of.
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

// Names without end: members that are here stay, those that are gone make room, the others are refused.
func Example_bounds() {
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

// No list has a cap under 1,024: a fleet of so many others, each with a predecessor, is held as it stands.
func Example_many() {
	h := newHarness()
	h.quiet = true
	for i := range 1024 {
		n := Name(fmt.Sprint("n", i))
		h.alive(n, 6, 1)
		h.bringUp(n)
	}
	here := 0
	for m := range h.View().All() {
		if m.State.Available() && m.BootID == 7 {
			here++
		}
	}
	fmt.Println(here, h.Stats.RejectedFull)
	// Output:
	// 1024 0
}

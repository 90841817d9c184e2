package membership

import (
	"fmt"
	"time"
)

// Restarted within a second under its name and address, while its old messages still travel: the new life is never the old one.
func Example_restart() {
	x := newHarness()
	x.bringUp("a")
	x.alive("a", 8, 2)
	fmt.Println(x.alive("a", 7, 1) == AliveOutdated, x.heartbeat("a", 7, 50, 0))
	x.HandleUnreachable(ID{"a", 7}, false, x.now) // the old life's end is not the new one's
	x.heartbeat("a", 8, 1, 0)
	x.advanceWithHeartbeats(3*s, "a")
	// two of one number: all who hear both decide alike, in whatever order
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

// Our own name: a predecessor whose number is higher, as the clock went back between, is overtaken while we are young; a
// successor that shows up later is not fought, and neither is one that others tell of.
func Example_rival() {
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
	fmt.Println(a.Self().Incarnation != b.Self().Incarnation, (a.View().LocalHealth == LocalFenced) != (b.View().LocalHealth == LocalFenced), a.incarnationRaises+b.incarnationRaises <= 2*3)
	// Output: true true true
}

// A crash loop under one name is held back as well, though each start is a life of its own.
func Example_crashLoop() {
	x := newHarness()
	x.quiet = true
	x.bringUp("a", "b")
	for life := BootID(20); life < 24; life++ {
		x.alive("a", life, Incarnation(life))
		x.heartbeat("a", life, 1, 0)
	}
	m, _ := x.View().Get("a")
	fmt.Println(m.State, m.Reason, m.BootID)
	// Output: suspect flapping 23
}

// Names without end: who is here stays, the gone make room, the others wait outside.
func Example_bounds() {
	x := newHarness(func(t *Config) { t.MaxMembers = 3; t.MaxMetrics = 1 })
	x.quiet = true
	x.bringUp("a", "b", "c")
	fmt.Println(x.alive("d", 7, 1) == AliveTableFull, x.heartbeat("a", 7, 2, 0, Metric{Name: "x"}, Metric{Name: "y"}))
	x.HandleUnreachable(ID{"b", 7}, true, x.now)
	fmt.Println(x.alive("d", 7, 1) == AliveAccepted, x.View().Len(), x.Stats.RejectedFull, x.Stats.InvalidHeartbeats)
	// Output:
	// true false
	// true 3 1 1
}

// No list has a cap under 1,024: a fleet of so many others, each with a life before it, is held as it stands.
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

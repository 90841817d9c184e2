package membership

import (
	"fmt"
	"math"
	"time"
)

// A stall of 8 s while a member is lost does not cause the member to be declared gone: its deadline excludes the
// stall. Messages that arrived during the stall count as old.
func Example_stall() {
	x := newHarness()
	x.bringUp("a", "b")
	x.HandleUnreachable(ID{"a", 7}, x.now)
	x.advance(s / 2)
	x.stall(8 * s)
	fmt.Println(x.View().LocalHealth)
	x.heartbeat("b", 7, 2, Metric{Name: "load", Value: 1, TTL: 5 * s})
	m, _ := x.View().Get("b")
	_, age, ok := m.Metric("load", x.now)
	fmt.Println(age, ok)
	x.advance(s)
	x.alive("a", 7, 1) // it was alive during the stall
	x.advanceWithHeartbeats(5*s, "a", "b")
	fmt.Println(x.Stats.Stalls, x.View().Count(StateUp))
	// Output:
	// 0s a 1: joining -> joining, claimed
	// 0s a 1: joining -> up, ready
	// 0s b 1: joining -> joining, claimed
	// 0s b 1: joining -> up, ready
	// woken
	// 8s false
	// 1 2
}

// A process that no longer hears any member is itself cut off: it declares no member gone, reports HearsNobody, so
// that it spreads no suspicions, and publishes the fraction that it hears. When it hears all members again, it is
// healthy and they are up. A reduced number of senders that lasts becomes the new baseline.
func Example_cutOff() {
	x := newHarness()
	x.bringUp("a", "b", "c")
	x.reachableSenders = []string{"a", "b", "c"}
	x.advanceWithHeartbeats(20*s, "a", "b", "c")
	fmt.Println(x.View().LocalHealth, x.HearsNobody())
	x.reachableSenders = nil
	x.advance(3 * s)
	for _, n := range []Name{"a", "b", "c"} {
		x.HandleUnreachable(ID{n, 7}, x.now)
	}
	x.advance(30 * s)
	fmt.Println(x.View().LocalHealth, x.HearsNobody(), x.View().HeardFraction)
	x.reachableSenders = []string{"a", "b", "c"}
	for _, n := range []Name{"a", "b", "c"} {
		x.alive(n, 7, 1)
	}
	x.advanceWithHeartbeats(6*s, "a", "b", "c")
	fmt.Println(x.View().LocalHealth, x.View().Count(StateUp))
	x.reachableSenders = []string{"a"}
	x.quiet = true
	x.advanceWithHeartbeats(80*s, "a", "b", "c")
	fmt.Println(x.View().LocalHealth)
	// Output:
	// 0s a 1: joining -> joining, claimed
	// 0s a 1: joining -> up, ready
	// 0s b 1: joining -> joining, claimed
	// 0s b 1: joining -> up, ready
	// 0s c 1: joining -> joining, claimed
	// 0s c 1: joining -> up, ready
	// sound false
	// cut-off true 0
	// sound 3
	// sound
}

// A third of the fleet fails. This process still hears most members, so it is healthy and declares the failed ones
// gone.
func Example_partOfFleetGone() {
	x := newHarness()
	x.quiet = true
	x.bringUp("a", "b", "c", "d", "e", "f")
	x.reachableSenders = []string{"a", "b", "c", "d", "e", "f"}
	x.advanceWithHeartbeats(20*s, "a", "b", "c", "d", "e", "f")
	x.reachableSenders = x.reachableSenders[:4]
	x.HandleUnreachable(ID{"e", 7}, x.now)
	x.HandleUnreachable(ID{"f", 7}, x.now)
	x.advanceWithHeartbeats(8*s, "a", "b", "c", "d")
	fmt.Println(x.View().LocalHealth, x.View().Count(StateGone))
	// it hears the other members, but none answers its probes
	for range 80 {
		x.now += s / 10
		for _, sender := range x.reachableSenders {
			x.ObserveSender(sender)
		}
		x.Tick(x.now)
	}
	fmt.Println(x.View().LocalHealth)
	// Output:
	// sound 2
	// unheard
}

// If a member stops publishing while the failure detector still reaches it, its metrics expire and it becomes suspect
// as silent.
func Example_silent() {
	x := newHarness()
	x.alive("a", 7, 1)
	x.heartbeat("a", 7, 1,
		Metric{Name: "load", Value: 0.5, TTL: time.Hour}, Metric{Name: "odd", Value: math.NaN(), TTL: s})
	for range 4 {
		m, _ := x.View().Get("a")
		v, age, ok := m.Metric("load", x.now)
		fmt.Println(x.now, v, age, ok, len(m.Metrics))
		x.advance(3 * s)
	}
	x.heartbeat("a", 7, 2)
	fmt.Println(x.heartbeat("a", 7, 1)) // an earlier heartbeat that took a longer path
	// Output:
	// 0s a 1: joining -> joining, claimed
	// 0s a 1: joining -> up, ready
	// 0s 0.5 0s true 1
	// 3s 0.5 3s true 1
	// 6s 0.5 6s false 1
	// 9s 0.5 9s false 1
	// 9.1s a 1: up -> suspect, mute
	// 12s a 1: suspect -> up, returned
	// false
}

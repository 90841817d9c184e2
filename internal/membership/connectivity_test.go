package membership

import (
	"fmt"
	"math"
	"time"
)

// After a stall of 8 s while a member is unreachable, no member is declared gone: the deadlines exclude the stall.
// Heartbeats that are handled just after the stall count as older by its duration.
func Example_stall() {
	h := newHarness()
	h.bringUp("a", "b")
	h.HandleUnreachable(ID{"a", 7}, h.now)
	h.advance(s / 2)
	h.stall(8 * s)
	fmt.Println(h.View().LocalHealth)
	h.heartbeat("b", 7, 2, Metric{Name: "load", Value: 1, TTL: 5 * s})
	m, _ := h.View().Get("b")
	_, age, ok := m.Metric("load", h.now)
	fmt.Println(age, ok)
	h.advance(s)
	h.alive("a", 7, 1) // it was alive during the stall
	h.advanceWithHeartbeats(5*s, "a", "b")
	fmt.Println(h.Stats.Stalls, h.View().Count(StateUp))
	// Output:
	// 0s a 1: joining -> joining, claimed
	// 0s a 1: joining -> up, ready
	// 0s b 1: joining -> joining, claimed
	// 0s b 1: joining -> up, ready
	// woken
	// 8s false
	// 1 2
}

// A process that no longer hears any member is isolated: it declares none gone and sends no reports about others. Its
// view contains the fraction of the usual senders that it hears. When it hears them again, it is healthy and all
// members are up. If it hears fewer members for long enough, their number becomes the baseline.
func Example_isolated() {
	h := newHarness()
	h.bringUp("a", "b", "c")
	h.reachableSenders = []string{"a", "b", "c"}
	h.advanceWithHeartbeats(20*s, "a", "b", "c")
	fmt.Println(h.View().LocalHealth, h.HearsNobody())
	h.reachableSenders = nil
	h.advance(3 * s)
	for _, n := range []Name{"a", "b", "c"} {
		h.HandleUnreachable(ID{n, 7}, h.now)
	}
	h.advance(30 * s)
	fmt.Println(h.View().LocalHealth, h.HearsNobody(), h.View().HeardFraction)
	h.reachableSenders = []string{"a", "b", "c"}
	for _, n := range []Name{"a", "b", "c"} {
		h.alive(n, 7, 1)
	}
	h.advanceWithHeartbeats(6*s, "a", "b", "c")
	fmt.Println(h.View().LocalHealth, h.View().Count(StateUp))
	h.reachableSenders = []string{"a"}
	h.quiet = true
	h.advanceWithHeartbeats(80*s, "a", "b", "c")
	fmt.Println(h.View().LocalHealth)
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

// Two of six other members fail. This process still hears most members, so it is healthy and declares the two gone.
// Later it hears members, but none answers its probes, so it is unanswered.
func Example_membersGone() {
	h := newHarness()
	h.quiet = true
	h.bringUp("a", "b", "c", "d", "e", "f")
	h.reachableSenders = []string{"a", "b", "c", "d", "e", "f"}
	h.advanceWithHeartbeats(20*s, "a", "b", "c", "d", "e", "f")
	h.reachableSenders = h.reachableSenders[:4]
	h.HandleUnreachable(ID{"e", 7}, h.now)
	h.HandleUnreachable(ID{"f", 7}, h.now)
	h.advanceWithHeartbeats(8*s, "a", "b", "c", "d")
	fmt.Println(h.View().LocalHealth, h.View().Count(StateGone))
	// it hears other members, but none answers its probes
	for range 80 {
		h.now += s / 10
		for _, sender := range h.reachableSenders {
			h.ObserveSender(sender)
		}
		h.Tick(h.now)
	}
	fmt.Println(h.View().LocalHealth)
	// Output:
	// sound 2
	// unheard
}

// When a member stops publishing heartbeats while its gossip continues, its metrics expire and it becomes suspect. A
// metric whose value is NaN is dropped.
func Example_silent() {
	h := newHarness()
	h.alive("a", 7, 1)
	h.heartbeat("a", 7, 1,
		Metric{Name: "load", Value: 0.5, TTL: time.Hour}, Metric{Name: "odd", Value: math.NaN(), TTL: s})
	for range 4 {
		m, _ := h.View().Get("a")
		v, age, ok := m.Metric("load", h.now)
		fmt.Println(h.now, v, age, ok, len(m.Metrics))
		h.advance(3 * s)
	}
	h.heartbeat("a", 7, 2)
	fmt.Println(h.heartbeat("a", 7, 1)) // an earlier heartbeat that arrives late
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

package membership

import (
	"fmt"
	"time"
)

// The life cycle of a member: its descriptor is received, it becomes ready, is warmed up, drains and leaves. The
// warm-up is measured from the time at which the member became ready, not from the time at which its heartbeat was
// received.
func Example() {
	x := newHarness()
	x.alive("a", 7, 1)
	x.HandleHeartbeat(Heartbeat{ID: ID{"a", 7}, Sequence: 1, Ready: true, ReadyFor: 3 * s}, s, x.now)
	x.printChanges()
	x.advanceWithHeartbeats(2*s, "a")
	x.HandleHeartbeat(Heartbeat{ID: ID{"a", 7}, Sequence: 9, Ready: true, Draining: true}, 0, x.now)
	x.printChanges()
	x.HandleLeft(ID{"a", 7}, x.now)
	x.printChanges()
	// Output:
	// 0s a 1: joining -> joining, claimed
	// 0s a 1: joining -> warming, ready
	// 1s a 1: warming -> up, warmed
	// 2s a 1: up -> leaving, said
	// 2s a 1: leaving -> gone, left
}

// A member that fails is reported unreachable, becomes suspect and is declared gone. A false report of the failure
// detector that is refuted in time changes nothing.
func Example_unreachable() {
	x := newHarness()
	x.bringUp("a", "b")
	x.HandleUnreachable(ID{"a", 7}, x.now)
	x.HandleUnreachable(ID{"b", 7}, x.now)
	x.advance(s / 2)
	x.alive("b", 7, 1)
	x.advanceWithHeartbeats(8*s, "b")
	fmt.Println(x.Stats.RefutedSuspicions)
	// Output:
	// 0s a 1: joining -> joining, claimed
	// 0s a 1: joining -> up, ready
	// 0s b 1: joining -> joining, claimed
	// 0s b 1: joining -> up, ready
	// 3s a 1: up -> suspect, unreached
	// 6s a 1: suspect -> gone, given-up
	// 1
}

// A member that has just published does not become suspect before its next heartbeat is due. A heartbeat that it
// wrote well after the failure detector's report refutes the report, also if this process missed the refutation that
// all other members have received.
func Example_missedRefutation() {
	x := newHarness()
	x.bringUp("a", "b")
	x.advanceWithHeartbeats(4*s, "a", "b")
	x.HandleUnreachable(ID{"a", 7}, x.now)
	x.advanceWithHeartbeats(4*s, "a", "b")
	fmt.Println(x.Stats.RefutedSuspicions)
	x.HandleUnreachable(ID{"a", 7}, x.now)
	x.advanceWithHeartbeats(4*s, "b") // it becomes suspect before its next heartbeat
	x.advanceWithHeartbeats(2*s, "a", "b")
	// Output:
	// 0s a 1: joining -> joining, claimed
	// 0s a 1: joining -> up, ready
	// 0s b 1: joining -> joining, claimed
	// 0s b 1: joining -> up, ready
	// 1
	// 11s a 1: up -> suspect, unreached
	// 13s a 1: suspect -> up, returned
}

// A flapping member stays suspect for longer the more it flaps. After a long time without flapping, it is treated
// like any other member again.
func Example_flapping() {
	x := newHarness(func(config *Config) { config.GoneAfter = time.Minute })
	x.quiet = true
	x.bringUp("a", "b", "c")
	for _, flaps := range []int{3, 4, 6, 8, 20} {
		for range flaps {
			x.advanceWithHeartbeats(2*s, "b", "c")
			x.HandleUnreachable(ID{"a", 7}, x.now)
			x.advanceWithHeartbeats(2*s, "b", "c")
			x.alive("a", 7, 1)
		}
		began := x.now
		for m, _ := x.View().Get("a"); m.State != StateUp; m, _ = x.View().Get("a") {
			x.advanceWithHeartbeats(s, "a", "b", "c")
		}
		fmt.Println(flaps, x.now-began)
		x.advanceWithHeartbeats(10*time.Minute, "a", "b", "c")
	}
	// many members that return together have not flapped: the network was partitioned
	for range 5 {
		for _, n := range []Name{"a", "b", "c"} {
			x.HandleUnreachable(ID{n, 7}, x.now)
		}
		x.advance(2 * s)
		for _, n := range []Name{"a", "b", "c"} {
			x.alive(n, 7, 1)
		}
	}
	fmt.Println(x.View().Count(StateUp))
	// Output:
	// 3 0s
	// 4 55s
	// 6 1m9s
	// 8 1m17s
	// 20 1m31s
	// 3
}

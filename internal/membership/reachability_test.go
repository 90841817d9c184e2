package membership

import (
	"fmt"
	"time"
)

// A member's life: its descriptor, ready, warmed up by how long it has been ready and not by when we heard, draining,
// left.
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

// A death is reported, suspected, declared. A false report of the detector that is refuted in time changes nothing.
func Example_death() {
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

// A member that published a moment ago is not in doubt before its next heartbeat is due; a heartbeat that it wrote well
// after the detector's report refutes that, also where all others have heard long ago that it is there.
func Example_missedRefutation() {
	x := newHarness()
	x.bringUp("a", "b")
	x.advanceWithHeartbeats(4*s, "a", "b")
	x.HandleUnreachable(ID{"a", 7}, x.now)
	x.advanceWithHeartbeats(4*s, "a", "b")
	fmt.Println(x.Stats.RefutedSuspicions)
	x.HandleUnreachable(ID{"a", 7}, x.now)
	x.advanceWithHeartbeats(4*s, "b") // in doubt before it speaks again
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

// A member that flaps is taken back later each time, and in the end like any other.
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
	// many that come back together have not flapped: the network between was cut
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

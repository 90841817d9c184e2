package membership

import (
	"fmt"
	"time"
)

// The life cycle of a member: its descriptor is received, it becomes ready, is warmed up, drains and leaves. The
// warm-up time starts when it becomes ready and not when its first heartbeat arrives.
func Example() {
	h := newHarness()
	h.alive("a", 7, 1)
	h.HandleHeartbeat(Heartbeat{ID: ID{"a", 7}, Sequence: 1, Ready: true, ReadyFor: 3 * s}, s, h.now)
	h.printChanges()
	h.advanceWithHeartbeats(2*s, "a")
	h.HandleHeartbeat(Heartbeat{ID: ID{"a", 7}, Sequence: 9, Ready: true, Draining: true}, 0, h.now)
	h.printChanges()
	h.HandleLeft(ID{"a", 7}, h.now)
	h.printChanges()
	// Output:
	// 0s a 1: joining -> joining, claimed
	// 0s a 1: joining -> warming, ready
	// 1s a 1: warming -> up, warmed
	// 2s a 1: up -> leaving, said
	// 2s a 1: leaving -> gone, left
}

// A failed member is reported unreachable, becomes suspect and is declared gone. A false report of the detector that is
// refuted in time changes no state.
func Example_declaredGone() {
	h := newHarness()
	h.bringUp("a", "b")
	h.HandleUnreachable(ID{"a", 7}, h.now)
	h.HandleUnreachable(ID{"b", 7}, h.now)
	h.advance(s / 2)
	h.alive("b", 7, 1)
	h.advanceWithHeartbeats(8*s, "b")
	fmt.Println(h.Stats.RefutedSuspicions)
	// Output:
	// 0s a 1: joining -> joining, claimed
	// 0s a 1: joining -> up, ready
	// 0s b 1: joining -> joining, claimed
	// 0s b 1: joining -> up, ready
	// 3s a 1: up -> suspect, unreached
	// 6s a 1: suspect -> gone, given-up
	// 1
}

// A member that has just published is not suspect before its next heartbeat is overdue. A heartbeat that it wrote well
// after the detector's report refutes the report, even if this process missed the refutation that all others received.
func Example_missedRefutation() {
	h := newHarness()
	h.bringUp("a", "b")
	h.advanceWithHeartbeats(4*s, "a", "b")
	h.HandleUnreachable(ID{"a", 7}, h.now)
	h.advanceWithHeartbeats(4*s, "a", "b")
	fmt.Println(h.Stats.RefutedSuspicions)
	h.HandleUnreachable(ID{"a", 7}, h.now)
	h.advanceWithHeartbeats(4*s, "b") // it becomes suspect before its next heartbeat
	h.advanceWithHeartbeats(2*s, "a", "b")
	// Output:
	// 0s a 1: joining -> joining, claimed
	// 0s a 1: joining -> up, ready
	// 0s b 1: joining -> joining, claimed
	// 0s b 1: joining -> up, ready
	// 1
	// 11s a 1: up -> suspect, unreached
	// 13s a 1: suspect -> up, returned
}

// The more often a member flaps, the longer it stays suspect, but in the end its state is up again like that of any
// other member.
func Example_flapping() {
	h := newHarness(func(config *Config) { config.GoneAfter = time.Minute })
	h.quiet = true
	h.bringUp("a", "b", "c")
	for _, flaps := range []int{3, 4, 6, 8, 20} {
		for range flaps {
			h.advanceWithHeartbeats(2*s, "b", "c")
			h.HandleUnreachable(ID{"a", 7}, h.now)
			h.advanceWithHeartbeats(2*s, "b", "c")
			h.alive("a", 7, 1)
		}
		began := h.now
		for m, _ := h.View().Get("a"); m.State != StateUp; m, _ = h.View().Get("a") {
			h.advanceWithHeartbeats(s, "a", "b", "c")
		}
		fmt.Println(flaps, h.now-began)
		h.advanceWithHeartbeats(10*time.Minute, "a", "b", "c")
	}
	// many members that return together have not flapped: the network was cut
	for range 5 {
		for _, n := range []Name{"a", "b", "c"} {
			h.HandleUnreachable(ID{n, 7}, h.now)
		}
		h.advance(2 * s)
		for _, n := range []Name{"a", "b", "c"} {
			h.alive(n, 7, 1)
		}
	}
	fmt.Println(h.View().Count(StateUp))
	// Output:
	// 3 0s
	// 4 55s
	// 6 1m9s
	// 8 1m17s
	// 20 1m31s
	// 3
}

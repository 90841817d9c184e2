package membership

import (
	"fmt"
)

// Whom to call: a seed that nobody here has, and whoever was lost without having left; seldom where many miss the same, later each
// time, never who is here or has left.
func Example_reach() {
	x := newHarness(func(t *Config) { t.Seeds = []string{"a:1", "me:1", "z:1"} })
	x.quiet = true
	half := func() float64 { return 0.4 }
	fmt.Println(x.NextJoinAddr(x.now, half))
	x.bringUp("a", "b", "c", "d", "e", "f")
	fmt.Println(x.NextJoinAddr(x.now, half))
	for range 3 {
		x.RecordJoin("z:1", false, x.now, half)
		from := x.now
		for _, any := x.NextJoinAddr(x.now, half); !any; _, any = x.NextJoinAddr(x.now, half) {
			x.advance(s / 2)
		}
		fmt.Println("again after", x.now-from)
	}
	x.RecordJoin("z:1", false, x.now, half)
	x.HandleUnreachable(ID{"b", 7}, true, x.now)
	x.HandleUnreachable(ID{"c", 7}, false, x.now)
	fmt.Println(x.NextJoinAddr(x.now, half))
	fmt.Println(x.NextJoinAddr(x.now, func() float64 { return 0.99 }))
	// Output:
	// a:1 true
	// z:1 true
	// again after 500ms
	// again after 1s
	// again after 2s
	// c:1 true
	//  false
}

// Who called the life before ours is called at once and without a throw of chance, once; not who is known already, and a few of them at the most.
func Example_called() {
	x := newHarness(func(t *Config) { t.Seeds = []string{"me:1"} })
	x.quiet = true
	never := func() float64 { return 0.99 }
	x.bringUp("a", "b")
	x.AddPredecessorCaller("a:1")
	fmt.Println(x.NextJoinAddr(x.now, never))
	for _, addr := range []string{"c:1", "c:1", "d:1", "e:1", "f:1", "g:1"} {
		x.AddPredecessorCaller(addr)
	}
	for range 5 {
		addr, any := x.NextJoinAddr(x.now, never)
		fmt.Println(addr, any)
		x.RecordJoin(addr, addr != "d:1", x.now, never)
	}
	// Output:
	//  false
	// c:1 true
	// d:1 true
	// e:1 true
	// f:1 true
	//  false
}

// Two views that differ though both stand are laid beside each other; while either still changes, they are not.
func Example_differing() {
	x := newHarness()
	x.quiet = true
	x.bringUp("a", "b")
	always := func() float64 { return 0 }
	x.advance(4 * s)
	fmt.Println(x.NextJoinAddr(x.now, always))
	x.HandleHeartbeat(Heartbeat{ID: ID{"b", 7}, Sequence: 2, Ready: true, ReadyFor: s, ViewDigest: x.ViewDigest()}, 0, x.now)
	fmt.Println(x.NextJoinAddr(x.now, always))
	x.HandleHeartbeat(Heartbeat{ID: ID{"a", 7}, Sequence: 2, Ready: true, ReadyFor: s, ViewDigest: x.ViewDigest() ^ Fingerprint(ID{"c", 7})}, 0, x.now)
	fmt.Println(x.NextJoinAddr(x.now, always))
	x.alive("d", 7, 1)
	x.HandleHeartbeat(Heartbeat{ID: ID{"a", 7}, Sequence: 3, Ready: true, ReadyFor: s, ViewDigest: 1}, -0, x.now+divergenceDelay)
	fmt.Println(x.NextJoinAddr(x.now+divergenceDelay/2, always))
	fmt.Println(x.NextJoinAddr(x.now+2*divergenceDelay, always))
	// Output:
	//  false
	//  false
	// a:1 true
	//  false
	// a:1 true
}

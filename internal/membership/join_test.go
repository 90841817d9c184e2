package membership

import "fmt"

// NextJoinAddr returns a seed address without a reachable member, and a member that was lost without having left. It
// does so with a low probability in a larger fleet and after a growing backoff, and never returns a present member or
// one that has left.
func Example_nextJoinAddr() {
	x := newHarness(func(config *Config) { config.Seeds = []string{"a:1", "me:1", "z:1"} })
	x.quiet = true
	half := func() float64 { return 0.4 }
	fmt.Println(x.NextJoinAddr(x.now, half))
	x.bringUp("a", "b", "c", "d", "e", "f")
	fmt.Println(x.NextJoinAddr(x.now, half))
	for range 3 {
		x.RecordJoin("z:1", false, x.now, half)
		from := x.now
		for _, due := x.NextJoinAddr(x.now, half); !due; _, due = x.NextJoinAddr(x.now, half) {
			x.advance(s / 2)
		}
		fmt.Println("again after", x.now-from)
	}
	x.RecordJoin("z:1", false, x.now, half)
	x.HandleLeft(ID{"b", 7}, x.now)
	x.HandleUnreachable(ID{"c", 7}, x.now)
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

// A member that called this process's predecessor is joined immediately, whatever the random number, and only once.
// Known members are not joined, and the number of recorded callers is limited.
func Example_predecessorCallers() {
	x := newHarness(func(config *Config) { config.Seeds = []string{"me:1"} })
	x.quiet = true
	never := func() float64 { return 0.99 }
	x.bringUp("a", "b")
	x.AddPredecessorCaller("a:1")
	fmt.Println(x.NextJoinAddr(x.now, never))
	for _, addr := range []string{"c:1", "c:1", "d:1", "e:1", "f:1", "g:1"} {
		x.AddPredecessorCaller(addr)
	}
	for range 5 {
		addr, due := x.NextJoinAddr(x.now, never)
		fmt.Println(addr, due)
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

// A member whose view differs from this process's view is joined once both views have settled, not while one of them
// still changes.
func Example_divergentViews() {
	x := newHarness()
	x.quiet = true
	x.bringUp("a", "b")
	always := func() float64 { return 0 }
	x.advance(4 * s)
	fmt.Println(x.NextJoinAddr(x.now, always))
	publish := func(name Name, sequence, viewDigest uint64) {
		x.publish(Heartbeat{
			ID:         ID{name, 7},
			Sequence:   sequence,
			Ready:      true,
			ReadyFor:   s,
			ViewDigest: viewDigest,
		}, 0)
	}
	publish("b", 2, x.ViewDigest())
	fmt.Println(x.NextJoinAddr(x.now, always))
	publish("a", 2, x.ViewDigest()^Fingerprint(ID{"c", 7}))
	fmt.Println(x.NextJoinAddr(x.now, always))
	x.alive("d", 7, 1)
	changedAt := x.now
	x.now += divergenceDelay
	publish("a", 3, 1)
	fmt.Println(x.NextJoinAddr(changedAt+divergenceDelay/2, always))
	fmt.Println(x.NextJoinAddr(changedAt+2*divergenceDelay, always))
	// Output:
	//  false
	//  false
	// a:1 true
	//  false
	// a:1 true
}

package membership

import "fmt"

// The address to join is a seed without a known member, or a member that became unreachable without leaving. Attempts
// are rare when many members miss the same address, and the delay grows after each failure. Reachable members and
// members that have left are not joined.
func Example_nextJoinAddr() {
	h := newHarness(func(config *Config) { config.Seeds = []string{"a:1", "me:1", "z:1"} })
	h.quiet = true
	lowRandom := func() float64 { return 0.4 }
	fmt.Println(h.NextJoinAddr(h.now, lowRandom))
	h.bringUp("a", "b", "c", "d", "e", "f")
	fmt.Println(h.NextJoinAddr(h.now, lowRandom))
	for range 3 {
		h.RecordJoin("z:1", false, h.now, lowRandom)
		from := h.now
		for _, due := h.NextJoinAddr(h.now, lowRandom); !due; _, due = h.NextJoinAddr(h.now, lowRandom) {
			h.advance(s / 2)
		}
		fmt.Println("again after", h.now-from)
	}
	h.RecordJoin("z:1", false, h.now, lowRandom)
	h.HandleLeft(ID{"b", 7}, h.now)
	h.HandleUnreachable(ID{"c", 7}, h.now)
	fmt.Println(h.NextJoinAddr(h.now, lowRandom))
	fmt.Println(h.NextJoinAddr(h.now, func() float64 { return 0.99 }))
	// Output:
	// a:1 true
	// z:1 true
	// again after 500ms
	// again after 1s
	// again after 2s
	// c:1 true
	//  false
}

// A member that probed the predecessor of this process is joined at once, whatever the random number, and once only.
// Members that are already known are not joined, and at most four callers are recorded.
func Example_predecessorCallers() {
	h := newHarness(func(config *Config) { config.Seeds = []string{"me:1"} })
	h.quiet = true
	highRandom := func() float64 { return 0.99 }
	h.bringUp("a", "b")
	h.AddPredecessorCaller("a:1")
	fmt.Println(h.NextJoinAddr(h.now, highRandom))
	for _, addr := range []string{"c:1", "c:1", "d:1", "e:1", "f:1", "g:1"} {
		h.AddPredecessorCaller(addr)
	}
	for range 5 {
		addr, due := h.NextJoinAddr(h.now, highRandom)
		fmt.Println(addr, due)
		h.RecordJoin(addr, addr != "d:1", h.now, highRandom)
	}
	// Output:
	//  false
	// c:1 true
	// d:1 true
	// e:1 true
	// f:1 true
	//  false
}

// A member whose view differs from the local one is joined when both views have settled, and not while either changes.
func Example_divergentViews() {
	h := newHarness()
	h.quiet = true
	h.bringUp("a", "b")
	zeroRandom := func() float64 { return 0 }
	h.advance(4 * s)
	fmt.Println(h.NextJoinAddr(h.now, zeroRandom))
	publish := func(name Name, sequence, viewDigest uint64) {
		h.publish(Heartbeat{
			ID:         ID{name, 7},
			Sequence:   sequence,
			Ready:      true,
			ReadyFor:   s,
			ViewDigest: viewDigest,
		}, 0)
	}
	publish("b", 2, h.ViewDigest())
	fmt.Println(h.NextJoinAddr(h.now, zeroRandom))
	publish("a", 2, h.ViewDigest()^Fingerprint(ID{"c", 7}))
	fmt.Println(h.NextJoinAddr(h.now, zeroRandom))
	h.alive("d", 7, 1)
	changedAt := h.now
	h.now += divergenceDelay
	publish("a", 3, 1)
	fmt.Println(h.NextJoinAddr(changedAt+divergenceDelay/2, zeroRandom))
	fmt.Println(h.NextJoinAddr(changedAt+2*divergenceDelay, zeroRandom))
	// Output:
	//  false
	//  false
	// a:1 true
	//  false
	// a:1 true
}

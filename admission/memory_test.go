package admission

// Requests that do not fit in memory are rejected, and a run starts only when its memory is available.
func Example_memory() {
	s := newFixture(Settings{})
	big := newRequest("big", 200*ms, 0.1)
	big.MemoryKB = 200
	s.submit(big)
	big.ID = "second"
	s.submit(big) // its run needs 4 x 200 KB, as much as the run of big; the limit is 1100 KB
	big.ID, big.MemoryKB = "third", 900
	s.submit(big)
	s.finish(Succeeded, 200*ms, "big")
	// Output:
	// 0ms start big
	// 0ms reject third
	// 0ms start second
}

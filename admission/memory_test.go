package admission

// Nothing falls over: what memory cannot hold is nacked, and a run waits for its memory.
func Example_memory() {
	s := open(Settings{})
	big := newRequest("big", 200*ms, 0.1)
	big.MemoryKB = 200
	s.read(big)
	big.ID = "second"
	s.read(big) // would need 4 x 200 more
	big.ID, big.MemoryKB = "third", 900
	s.read(big)
	s.end(Succeeded, 200*ms, "big")
	// Output:
	// 0ms run big
	// 0ms nack third
	// 0ms run second
}

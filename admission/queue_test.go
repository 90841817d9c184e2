package admission

// The key: protected first, then urgent, then least remaining work.
func Example_startOrder() {
	s := open(Settings{})
	s.warm(200 * ms)
	s.read(newRequest("a1", 200*ms, 0.1), newRequest("a2", 200*ms, 0.1)) // fill both cores
	s.read(newRequest("urgent", 200*ms, 0.1))
	s.now += 620 * ms // its slack runs out
	s.read(newRequest("long", 220*ms, 0.1), newRequest("short", 100*ms, 0.1), newRequest("protected", 210*ms, 0.9))
	s.end(Succeeded, 620*ms, "a1", "a2")
	s.end(Succeeded, 200*ms, "protected", "urgent")
	// Output:
	// 3200ms run a1
	// 3200ms run a2
	// 3820ms run protected
	// 3820ms run urgent
	// 3820ms run short
	// 3820ms run long
}

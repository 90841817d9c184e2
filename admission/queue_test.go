package admission

// The start order is protected requests first, then urgent ones, then those with the least work.
func Example_startOrder() {
	s := newFixture(Settings{})
	s.warmUp(200 * ms)
	s.submit(newRequest("a1", 200*ms, 0.1), newRequest("a2", 200*ms, 0.1)) // fill both cores
	s.submit(newRequest("urgent", 200*ms, 0.1))
	s.now += 620 * ms // uses up most of its slack
	s.submit(
		newRequest("long", 220*ms, 0.1),
		newRequest("short", 100*ms, 0.1),
		newRequest("protected", 210*ms, 0.9),
	)
	s.finish(Succeeded, 620*ms, "a1", "a2")
	s.finish(Succeeded, 200*ms, "protected", "urgent")
	// Output:
	// 3200ms start a1
	// 3200ms start a2
	// 3820ms start protected
	// 3820ms start urgent
	// 3820ms start short
	// 3820ms start long
}

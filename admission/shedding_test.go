package admission

// A hopeless request is rejected only while no core is free.
func Example_hopeless() {
	s := newFixture(Settings{})
	s.warmUp(200 * ms)
	late := newRequest("late", 200*ms, 0.1)
	late.HasDeadline, late.Deadline = true, s.now+100*ms
	s.submit(late) // runs because a core is free
	late.ID = "late again"
	s.submit(newRequest("b", 100*ms, 0.9))
	s.submit(late)
	// Output:
	// 3200ms start late
	// 3200ms start b
	// 3200ms reject late again
}

// A run past its latency objective is stopped if another request waits and no core is free.
func Example_stopHopelessRuns() {
	s := newFixture(Settings{Halt: HaltDrop})
	s.warmUp(400 * ms)
	s.submit(newRequest("a", 400*ms, 0.1), newRequest("b", 400*ms, 0.1))
	s.now += 1010 * ms
	s.controller.health.lastProgress = s.now
	s.submit(newRequest("c", 100*ms, 0.1))
	s.finish(Stopped, 1010*ms, "a", "b")
	// Output:
	// 6400ms start a
	// 6400ms start b
	// 7410ms reject a
	// 7410ms stop a
	// 7410ms reject b
	// 7410ms stop b
	// 7410ms start c
}

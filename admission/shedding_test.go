package admission

// A hopeless op is nacked only while no core is free.
func Example_hopeless() {
	s := open(Settings{})
	s.warm(200 * ms)
	late := newRequest("late", 200*ms, 0.1)
	late.HasDeadline, late.Deadline = true, s.now+100*ms
	s.read(late) // a core is free: it runs
	late.ID = "late again"
	s.read(newRequest("b", 100*ms, 0.9))
	s.read(late)
	// Output:
	// 3200ms run late
	// 3200ms run b
	// 3200ms nack late again
}

// A run past its target latency is stopped while another waits and no core is free.
func Example_stopHopelessRuns() {
	s := open(Settings{Halt: HaltDrop})
	s.warm(400 * ms)
	s.read(newRequest("a", 400*ms, 0.1), newRequest("b", 400*ms, 0.1))
	s.now += 1010 * ms
	s.desk.health.lastProgress = s.now
	s.read(newRequest("c", 100*ms, 0.1))
	s.end(Stopped, 1010*ms, "a", "b")
	// Output:
	// 6400ms run a
	// 6400ms run b
	// 7410ms nack a
	// 7410ms stop a
	// 7410ms nack b
	// 7410ms stop b
	// 7410ms run c
}

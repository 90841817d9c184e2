package gossip

import "lanewheel/internal/membership"

// ProcessStatus is what the process behind the part says of itself for a bulletin.
type ProcessStatus struct {
	Ready    bool
	Draining bool
	Metrics  []membership.Metric
}

// Process is whom the part speaks for. Its methods may be called on any goroutine.
type Process interface {
	// Report has then called with how the process stands.
	Status(then func(ProcessStatus))
	// Load has then called with what it has in hand, or under 0 for how long it has had nothing (spread.Idle), and what
	// it has done since its start.
	Load(then func(load float64, done RequestStats))
	// Drain has it leave, by a permit that the fleet has agreed on.
	Drain(number uint64)
	// Fenced tells that a later life has the name.
	Fenced()
}

// RequestStats is what a process has done since its start.
type RequestStats struct {
	Finished        float64 // ops that ended
	WithinObjective float64 // of them, in their target latency
	TotalSeconds    float64 // s that all of them took, from reading to answer
}

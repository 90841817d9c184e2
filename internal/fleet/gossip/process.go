package gossip

import "lanewheel/internal/membership"

// ProcessStatus is what a process reports of itself for a heartbeat.
type ProcessStatus struct {
	Ready    bool
	Draining bool
	Metrics  []membership.Metric // a TTL of 0 is replaced by the table's
}

// RequestStats is what a process has done since its start.
type RequestStats struct {
	Finished        float64 // requests that were answered
	WithinObjective float64 // of them, within their latency objective
	TotalSeconds    float64 // that all of them took, from reading to answer
}

// Process is the process that an agent speaks for. Its methods may be called on any goroutine, and may call back on
// any.
type Process interface {
	// Status calls back with the present status.
	Status(callback func(ProcessStatus))
	// Load calls back with the work in hand and the totals. A load below 0 says how long there has been none
	// (balancer.Idle).
	Load(callback func(load float64, stats RequestStats))
	// Drain has the process drain, by a permit of the coordinators.
	Drain(permit uint64)
	// Fenced is called once a later process has the name, where the configuration has it leave.
	Fenced()
}

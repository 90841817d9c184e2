package gossip

import "lanewheel/internal/membership"

// ProcessStatus is the status of a process that its heartbeats carry.
type ProcessStatus struct {
	Ready    bool
	Draining bool
	Metrics  []membership.Metric // a TTL of 0 is replaced by the table's metric TTL
}

// RequestStats contains the totals of the requests that a process has served since its start.
type RequestStats struct {
	Finished        float64 // answered requests
	WithinObjective float64 // answered requests that met their latency objective
	TotalSeconds    float64 // sum of the times of the answered requests, each from reading to answer
}

// Process is the process that an agent represents in the fleet. Its methods may be called on any goroutine, and may
// call their callbacks on any goroutine.
type Process interface {
	// Status calls callback with the current status.
	Status(callback func(ProcessStatus))
	// Load calls callback with the work in progress and the request totals. A load below 0 means that the process is
	// idle and encodes for how long (balancer.IdleLoad).
	Load(callback func(load float64, stats RequestStats))
	// Drain starts to drain the process. permitID is the ID of the process's permit, which has begun.
	Drain(permitID uint64)
	// OnFenced is called when a later process has taken this process's name, if Config.DrainWhenFenced is set.
	OnFenced()
}

package server

import (
	"time"

	"lanewheel/internal/frontend"
)

// Load is front.Core: how the instance stands.
func (in *Server) Load() frontend.Load {
	cores, _ := in.config.Settings["cores"].(float64)
	return frontend.Load{Ready: in.controller != nil && in.runtime.synced, Draining: in.draining, Healthy: in.healthy(), Cores: cores,
		Queued: len(in.requests) - in.running - in.spilledOver, Running: in.running, FreeCapacity: in.maxRequests - len(in.requests), LoadReport: in.loadReport, IdleFor: in.idleFor()}
}

// Stats is what has become of ops since the start.
type Stats struct {
	Answered        uint64        // acked, nacked or failed
	WithinObjective uint64        // acked in their target latency
	TotalLatency    time.Duration // that all of them took, from reading to answer
}

// Stats gives what has become of ops.
func (in *Server) Stats() Stats { return in.stats }

// recordOutcome notes that an op is answered, if it still is owed that.
func (in *Server) recordOutcome(active *activeRequest, succeeded bool) {
	if active.responder == nil || active.arrivedAt == 0 { // nobody waits
		return
	}
	latency := in.Loop.Now() - active.arrivedAt
	in.stats.Answered++
	in.stats.TotalLatency += latency
	if objective := in.latencyObjectives[active.class]; succeeded && (objective == 0 || latency <= objective) {
		in.stats.WithinObjective++
	}
}

// idleFor is how long nothing has been in hand.
func (in *Server) idleFor() time.Duration {
	if len(in.requests) > 0 {
		return 0
	}
	return in.Loop.Now() - in.emptySince
}

package server

import (
	"time"

	"lanewheel/internal/frontend"
)

// Stats counts the outcomes of the requests that were submitted to the controller, since the start of the server.
type Stats struct {
	Answered        uint64        // succeeded, rejected or failed
	WithinObjective uint64        // succeeded within their latency objective
	TotalLatency    time.Duration // sum over all answered requests, from reading the request to its response
}

// Stats returns the counts so far.
func (s *Server) Stats() Stats { return s.stats }

// recordOutcome counts a request that is about to be answered, unless it was canceled or its arrival time is 0.
func (s *Server) recordOutcome(active *activeRequest, succeeded bool) {
	if active.responder == nil || active.arrivedAt == 0 {
		return
	}
	latency := s.Now() - active.arrivedAt
	s.stats.Answered++
	s.stats.TotalLatency += latency
	objective := s.settings.classes[active.class].latencyObjective
	if succeeded && (objective == 0 || latency <= objective) {
		s.stats.WithinObjective++
	}
}

// Load implements frontend.Server.
func (s *Server) Load() frontend.Load {
	return frontend.Load{
		Ready:        s.controller != nil && s.runtime.synced,
		Draining:     s.draining,
		Healthy:      s.healthy(),
		Cores:        s.settings.cores,
		Queued:       s.requests.queued(),
		Running:      s.requests.running,
		FreeCapacity: s.requests.capacity - len(s.requests.byID),
		LoadReport:   s.loadReport,
		IdleFor:      s.requests.idleFor(s.Now()),
	}
}

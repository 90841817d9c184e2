package server

import (
	"lanewheel/internal/transport"
)

// health is how checks are answered, and the reports to the roster.
type health struct {
	healthy, fromState bool
	registry           *transport.Registry
}

// healthy tells whether a check is answered good: never before the runtime has come up.
func (in *Server) healthy() bool { return in.controller != nil && in.health.healthy }

// CheckHealth is stubs.Core: a deep one goes by work unless the module has said to answer from its state.
func (in *Server) CheckHealth(deep bool, then func(healthy bool)) {
	if !deep || in.health.fromState || !in.healthy() || !in.runtime.synced {
		then(in.healthy() && (in.runtime.synced || !deep || in.health.fromState))
		return
	}
	in.runSelfTest(func(healthy bool) { then(healthy && in.healthy()) })
}

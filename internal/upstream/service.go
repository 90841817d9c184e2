package upstream

import (
	"log/slog"
	"time"

	"lanewheel/internal/balancer"
	"lanewheel/internal/concurrencylease"
	"lanewheel/internal/membership"
)

// endpoint is one below.
type endpoint struct {
	client          *Client
	name            balancer.EndpointName
	address         string
	allocatorBootID membership.BootID
	holder          *concurrencylease.Holder // nil: no grants are given there, Calls holds
	openCalls       int                      // calls that may be running there
	loggedLimit     int                      // as last logged
}

// freeCapacity is how many more calls a service may be given.
func (s *endpoint) freeCapacity(now time.Duration) int {
	if s.holder == nil {
		return s.client.config.MaxCalls - s.openCalls
	}
	return s.holder.Limit(now) - s.openCalls
}

func (s *endpoint) maxCallDuration() time.Duration {
	if s.holder != nil {
		return s.holder.MaxCallDuration
	}
	return s.client.config.MaxCallDuration
}

func (s *endpoint) logLimit(now time.Duration) {
	previous, current := s.loggedLimit, s.holder.Limit(now)
	if s.loggedLimit = current; previous == 0 != (current == 0) {
		slog.Info("calls-granted", "service", string(s.name), "limit", current, "open", s.openCalls)
	}
}

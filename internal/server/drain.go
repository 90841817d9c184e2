package server

import (
	"log/slog"
	"slices"
	"time"

	"lanewheel/internal/clients"
	"lanewheel/internal/frontend"
)

// Drain starts draining: the process will be killed one TerminationGrace from now. The controller decides how requests
// are served until then, and Serve returns before the kill. Further calls do nothing.
func (s *Server) Drain() {
	if s.draining {
		return
	}
	s.draining = true
	grace := s.config.TerminationGrace
	killAt := s.Now() + grace
	slog.Info("draining", "grace", grace, "requests", len(s.requests.byID))
	s.report()
	schedule := clients.DrainScheduleFor(grace)
	for _, f := range s.frontends { // must have drained while responses can still be sent on their connections
		f.Drain(max(0, grace-schedule.FrontendsDrained))
	}
	if s.controller == nil { // no request was ever admitted, so there is no run to wait for
		killAt = min(killAt, s.Now()+schedule.GoAway)
	} else {
		s.decisionPending = true
		s.controller.Drain(killAt)
	}
	s.ScheduleAt(max(s.Now(), killAt-schedule.GoAway), func() { s.drainClients(schedule, killAt) })
}

// drainClients closes the client connections and ends the event loop once all connections are closed.
func (s *Server) drainClients(schedule clients.DrainSchedule, killAt time.Duration) {
	if s.authenticator != nil { // no request may wait for authentication after the controller's last responses
		s.authenticator.Stop()
	}
	s.clients.Drain(schedule, killAt, s.frontendsDrained, func(connections int) {
		slog.Info("stopped", "connections", connections, "requests", len(s.requests.byID))
		s.Quit()
	})
}

// frontendsDrained reports whether all front ends added by AddFrontend have drained.
func (s *Server) frontendsDrained() bool {
	return !slices.ContainsFunc(s.frontends, func(f frontend.Frontend) bool { return !f.Drained() })
}

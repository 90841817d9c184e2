package server

import (
	"log/slog"
	"slices"
	"time"

	"lanewheel/internal/clients"
	"lanewheel/internal/frontend"
)

// Drain is the notice that the process is killed a TerminationGrace from now. The server serves on as the controller
// decides; Serve returns before the kill. A second notice does nothing.
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
	for _, f := range s.frontends { // they close while their connections still may be answered
		f.Drain(max(0, grace-schedule.FrontendsDrained))
	}
	if s.controller == nil { // nothing was ever admitted, so there is nothing to wait for
		killAt = min(killAt, s.Now()+schedule.GoAway)
	} else {
		s.decisionPending = true
		s.controller.Drain(killAt)
	}
	s.ScheduleAt(max(s.Now(), killAt-schedule.GoAway), func() { s.drainClients(schedule, killAt) })
}

// drainClients closes the client connections, and ends the event loop when all is closed.
func (s *Server) drainClients(schedule clients.DrainSchedule, killAt time.Duration) {
	if s.authenticator != nil { // no request waits to be authenticated past the controller's last responses
		s.authenticator.Stop()
	}
	s.clients.Drain(schedule, killAt, s.frontendsDrained, func(connections int) {
		slog.Info("stopped", "connections", connections, "requests", len(s.requests.byID))
		s.Quit()
	})
}

// frontendsDrained tells whether the further front ends have closed.
func (s *Server) frontendsDrained() bool {
	return !slices.ContainsFunc(s.frontends, func(f frontend.Frontend) bool { return !f.Drained() })
}

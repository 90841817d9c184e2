package server

import (
	"log/slog"
	"slices"

	"lanewheel/internal/clients"
	"lanewheel/internal/frontend"
)

// Drain is the notice to drain: the instance is killed Stop from now. It serves on as the module decides.
func (in *Server) Drain() {
	if in.draining {
		return
	}
	in.draining = true
	killAt := in.Now() + in.config.TerminationGrace
	slog.Info("leaving", "kill_ms", in.config.TerminationGrace.Milliseconds(), "held", len(in.requests))
	in.report()
	schedule := clients.DrainScheduleFor(in.config.TerminationGrace)
	for _, f := range in.frontends { // they close while connections still may be answered
		f.Drain(max(0, in.config.TerminationGrace-schedule.FrontendsDrained))
	}
	if in.controller == nil { // nothing was ever taken in, so there is nothing to wait for
		killAt = min(killAt, in.Now()+schedule.GoAway)
	} else {
		in.decisionPending = true
		in.controller.Drain(killAt)
	}
	in.ScheduleAt(max(in.Now(), killAt-schedule.GoAway), func() {
		if in.authenticator != nil { // no op waits at the door past the module's last answers
			in.authenticator.Stop()
		}
		in.clients.Drain(schedule, killAt, in.frontendsDrained, func(connections int) {
			slog.Info("stopped", "connections", connections, "ops", len(in.requests))
			in.Quit()
		})
	})
}

// frontendsDrained tells whether the fronts beside the stubs' are done.
func (in *Server) frontendsDrained() bool {
	return !slices.ContainsFunc(in.frontends, func(f frontend.Frontend) bool { return !f.Drained() })
}

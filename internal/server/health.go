package server

import (
	"log/slog"
	"time"

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

// runSelfTest has the runtime do the work of a check. One that does not return in a second is bad.
func (in *Server) runSelfTest(done func(healthy bool)) {
	link := &in.runtime
	if link.selfTests == nil {
		link.selfTests = map[string]func(bool){}
	}
	correlationID := in.nextCorrelationID("test")
	timeout := in.ScheduleAt(in.Now()+time.Second, func() { link.selfTests[correlationID](false) })
	link.selfTests[correlationID] = func(healthy bool) {
		delete(link.selfTests, correlationID)
		timeout.Stop()
		done(healthy)
	}
	link.conn.RequestSelfTest(correlationID)
}

// reportPeriodically tells the roster again and again that we are here, whatever else there is to do. Danger: the list forgets
// who is not heard for some seconds, and a datagram may be lost; so often, many in a row would have to be.
func (in *Server) reportPeriodically() {
	in.report()
	in.ScheduleAt(in.Now()+250*time.Millisecond, in.reportPeriodically)
}

func (in *Server) report() {
	if in.config.RegistryAddr == "" { // there is none
		return
	}
	if in.health.registry == nil {
		registry, err := transport.NewRegistry(in.config.RegistryAddr, in.config.Name)
		if err != nil {
			slog.Warn("no-roster", "err", err)
			return
		}
		in.health.registry = registry
	}
	in.health.registry.Report(!in.draining && (in.health.healthy || !in.config.ReportReadiness))
}

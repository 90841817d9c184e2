package server

import (
	"log/slog"
	"time"

	"lanewheel/internal/transport"
)

// reportInterval is how often the instance reports to the registry, which forgets an instance after some seconds of
// silence; many datagrams in a row may be lost.
const reportInterval = 250 * time.Millisecond

// registryReporter reports to the registry. Owned by the event loop.
type registryReporter struct {
	registry *transport.Registry // nil until the first report, and after its address has changed
}

// report sends one report to the registry at an address. An address that can't be used is tried again by the next
// report.
func (r *registryReporter) report(addr, name string, available bool) {
	if r.registry == nil {
		registry, err := transport.NewRegistry(addr, name)
		if err != nil {
			slog.Warn("registry unavailable", "addr", addr, "err", err)
			return
		}
		r.registry = registry
	}
	r.registry.Report(available)
}

// reset closes the connection to the registry. It tells whether there was one.
func (r *registryReporter) reset() bool {
	if r.registry == nil {
		return false
	}
	r.registry.Close()
	r.registry = nil
	return true
}

// reportPeriodically reports to the registry again and again, whatever else there is to do.
func (s *Server) reportPeriodically() {
	s.report()
	s.ScheduleAt(s.Now()+reportInterval, s.reportPeriodically)
}

func (s *Server) report() {
	if s.config.RegistryAddr == "" {
		return
	}
	available := !s.draining && (s.health.Healthy || !s.config.ReportReadiness)
	s.registry.report(s.config.RegistryAddr, s.config.Name, available)
}

package server

import (
	"log/slog"
	"time"

	"lanewheel/internal/discovery"
)

// reportInterval is the time between reports to the registry. The registry removes an instance after some seconds
// without a report, so many datagrams in a row may be lost.
const reportInterval = 250 * time.Millisecond

// registryReporter reports to the registry. Owned by the event loop.
type registryReporter struct {
	registry *discovery.Registry // nil until the first report, and after its address has changed
}

// report sends one report to the registry at addr. If the socket cannot be opened, it logs a warning, and the next
// report tries again.
func (r *registryReporter) report(addr, name string, available bool) {
	if r.registry == nil {
		registry, err := discovery.NewRegistry(addr, name)
		if err != nil {
			slog.Warn("registry unavailable", "addr", addr, "err", err)
			return
		}
		r.registry = registry
	}
	r.registry.Report(available)
}

// reset closes the socket to the registry and reports whether there was one.
func (r *registryReporter) reset() bool {
	if r.registry == nil {
		return false
	}
	r.registry.Close()
	r.registry = nil
	return true
}

// reportPeriodically reports to the registry now and every reportInterval from now on.
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

package server

import (
	"log/slog"
	"time"

	"lanewheel/internal/transport"
)

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

package proxy

import (
	"log/slog"
	"time"

	"lanewheel/internal/discovery"
)

// registryInterval is how often a proxy reports to the registry, as an instance does.
const registryInterval = 250 * time.Millisecond

// reportToRegistry reports whether requests may be sent here, and goes on doing so.
func (p *Proxy) reportToRegistry() {
	if p.registry == nil && p.platform.RegistryAddr != "" {
		p.connectRegistry()
	}
	if p.registry != nil {
		p.registry.Report(!p.draining && p.endpointCount() > 0)
	}
	p.ScheduleAt(p.Now()+registryInterval, p.reportToRegistry)
}

func (p *Proxy) connectRegistry() {
	registry, err := discovery.NewRegistry(p.platform.RegistryAddr, p.platform.Name)
	if err != nil {
		slog.Warn("registry unavailable", "addr", p.platform.RegistryAddr, "err", err)
		return
	}
	p.registry = registry
}

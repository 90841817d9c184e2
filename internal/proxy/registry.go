package proxy

import (
	"log/slog"
	"time"

	"lanewheel/internal/discovery"
)

// registryInterval is the interval between reports to the registry. Instances report at the same interval.
const registryInterval = 250 * time.Millisecond

// reportToRegistry reports to the registry whether the proxy accepts requests and schedules its next run. It first
// connects to the registry if that has not succeeded yet.
func (p *Proxy) reportToRegistry() {
	if p.registry == nil && p.platform.RegistryAddr != "" {
		p.connectRegistry()
	}
	if p.registry != nil {
		p.registry.Report(!p.draining && p.endpointCount() > 0)
	}
	p.ScheduleAt(p.Now()+registryInterval, p.reportToRegistry)
}

// connectRegistry connects to the registry. If it fails, it logs the error, and the next call of reportToRegistry
// retries.
func (p *Proxy) connectRegistry() {
	registry, err := discovery.NewRegistry(p.platform.RegistryAddr, p.platform.Name)
	if err != nil {
		slog.Warn("registry unavailable", "addr", p.platform.RegistryAddr, "err", err)
		return
	}
	p.registry = registry
}

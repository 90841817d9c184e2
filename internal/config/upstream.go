package config

import (
	"time"

	"lanewheel/internal/balancer"
	"lanewheel/internal/upstream"
)

// Upstream configures the upstream services that an instance calls.
type Upstream struct {
	Enabled bool
	Config  upstream.Config
}

func (r *reader) readUpstream(fleet *Fleet) Upstream {
	parsed := Upstream{Config: upstream.Config{
		Balancer:        balancer.DefaultConfig(),
		MaxCalls:        8,
		MaxCallDuration: 5 * time.Second,
	}}
	s := r.section("upstream")
	parsed.Enabled = s.exists()
	config := &parsed.Config
	config.Balancer.LocalZone = fleet.Zone
	config.Addresses = s.listValue("addresses")
	for _, address := range config.Addresses {
		s.checkAddress("addresses", address)
	}
	if parsed.Enabled && !fleet.Enabled && len(config.Addresses) == 0 {
		s.report("addresses", "", "must be a comma-separated list of addresses, unless a section [fleet] provides "+
			"the members with the role upstream")
	}
	s.intValue("max-concurrency", &config.MaxCalls, 0, 100_000)
	s.durationValue("call-timeout", &config.MaxCallDuration, 10*time.Millisecond, time.Hour)
	s.readBalancer(&config.Balancer)
	s.reportUnknownNames()
	return parsed
}

package config

import (
	"net"
	"time"

	"lanewheel/internal/balancer"
	"lanewheel/internal/concurrencylease"
	"lanewheel/internal/forward"
	"lanewheel/internal/spillover"
	"lanewheel/internal/upstream"
)

// Upstream is the services that an instance's calls go to.
type Upstream struct {
	Enabled bool
	Config  upstream.Config
}

func (r *reader) readUpstream(fleet *Fleet) Upstream {
	parsed := Upstream{Config: upstream.Config{Balancer: balancer.DefaultConfig(), MaxCalls: 8, MaxCallDuration: 5 * time.Second}}
	s := r.section("below")
	parsed.Enabled = s.exists()
	parsed.Config.Balancer.LocalZone = fleet.Zone
	parsed.Config.Addresses = s.listValue("services")
	for _, address := range parsed.Config.Addresses {
		s.checkAddress("services", address)
	}
	if parsed.Enabled && !fleet.Enabled && len(parsed.Config.Addresses) == 0 {
		s.report("services", "", "wants addresses, or a section [fleet] by which members with the role below are known")
	}
	s.intValue("calls", &parsed.Config.MaxCalls, 0, 100_000)
	s.durationValue("longest", &parsed.Config.MaxCallDuration, 10*time.Millisecond, time.Hour)
	s.readBalancer(&parsed.Config.Balancer)
	s.reportUnknownNames()
	return parsed
}

// Allocator is the desk beside a service below.
type Allocator struct {
	Enabled  bool
	LockFile string // a file that one desk alone may hold; empty for none
	Config   concurrencylease.Config
}

func (r *reader) readAllocator(fleet *Fleet) Allocator {
	parsed := Allocator{Config: concurrencylease.DefaultConfig()}
	s := r.section("grants")
	parsed.Enabled = s.exists()
	switch {
	case parsed.Enabled && !fleet.Enabled:
		s.report("", "", "wants a section [fleet], by which the holders are known")
	case parsed.Enabled && (fleet.Name == "" || fleet.ServiceAddress == ""):
		s.report("", "", "wants fleet.name, and in fleet.serves where the service is")
	}
	s.pathValue("lock", &parsed.LockFile)
	config := &parsed.Config
	if parsed.Enabled {
		config.Capacity = 0
		s.intValue("cap", &config.Capacity, 1, 1_000_000)
		if config.Capacity == 0 {
			s.report("cap", "", "wants the calls at a time that the service takes")
		}
	}
	s.intValue("alone", &config.UnleasedCalls, 0, 1000)
	s.intValue("processes", &config.MaxProcesses, 1, 100_000)
	s.durationValue("holds", &config.LeaseDuration, 200*time.Millisecond, time.Minute)
	s.durationValue("longest", &config.MaxCallDuration, 10*time.Millisecond, time.Hour)
	s.floatValue("drift", &config.MaxClockDrift, 0, 0.2)
	s.intValue("holders", &config.MaxHolders, 1, 10_000)
	if parsed.Enabled && config.Capacity > 0 && config.LeasableCalls() == 0 {
		s.report("alone", "", "leaves nothing to be granted: cap is no more than alone times processes")
	}
	s.reportUnknownNames()
	return parsed
}

// Spillover is whether ops that are turned away go to another instance.
type Spillover struct {
	Enabled bool
	Config  spillover.Config
}

func (r *reader) readSpillover(fleet *Fleet) Spillover {
	parsed := Spillover{Config: spillover.Config{Config: forward.Config{Balancer: balancer.DefaultConfig(), ConnectionsPerEndpoint: 1, IdleTimeout: 10 * time.Second}, Spillover: balancer.DefaultSpilloverConfig()}}
	s := r.section("handover")
	parsed.Enabled = s.exists()
	if parsed.Enabled && !fleet.Enabled {
		s.report("", "", "wants a section [fleet], by which it knows the members")
	}
	parsed.Config.Balancer.LocalZone = fleet.Zone
	if host, _, err := net.SplitHostPort(fleet.ListenAddress); err == nil {
		parsed.Config.LocalAddress = host
	}
	config := &parsed.Config.Spillover
	s.floatValue("share", &config.BudgetRatio, 0, 1)
	s.floatValue("saved", &config.BudgetBurst, 1, 1000)
	s.floatValue("full", &config.SaturatedLoad, 0.1, 1000)
	s.floatValue("most-full", &config.MaxSaturatedFraction, 0, 1)
	s.durationValue("fresh", &config.ReportMaxAge, 10*time.Millisecond, time.Minute)
	s.intValue("connections", &parsed.Config.ConnectionsPerEndpoint, 1, 16)
	s.durationValue("unused", &parsed.Config.IdleTimeout, time.Second, time.Hour)
	s.reportUnknownNames()
	return parsed
}

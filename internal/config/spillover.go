package config

import (
	"time"

	"lanewheel/internal/balancer"
	"lanewheel/internal/forward"
	"lanewheel/internal/spillover"
)

// Spillover configures whether requests that this instance rejects are forwarded to another instance.
type Spillover struct {
	Enabled bool
	Config  spillover.Config
}

func (r *reader) readSpillover(fleet *Fleet) Spillover {
	parsed := Spillover{Config: spillover.Config{
		Config: forward.Config{
			Balancer:               balancer.DefaultConfig(),
			ConnectionsPerEndpoint: 1,
			IdleTimeout:            10 * time.Second,
		},
		Spillover: balancer.DefaultSpilloverConfig(),
	}}
	s := r.section("spillover")
	parsed.Enabled = s.exists()
	s.requireFleet(fleet, "the members")
	parsed.Config.Balancer.LocalZone = fleet.Zone
	parsed.Config.LocalAddress = hostOf(fleet.ListenAddress)
	config := &parsed.Config.Spillover
	s.floatValue("budget", &config.BudgetRatio, 0, 1)
	s.floatValue("burst", &config.BudgetBurst, 1, 1000)
	s.floatValue("saturated-load", &config.SaturatedLoad, 0.1, 1000)
	s.floatValue("max-saturated-fraction", &config.MaxSaturatedFraction, 0, 1)
	s.durationValue("load-max-age", &config.ReportMaxAge, 10*time.Millisecond, time.Minute)
	s.intValue("connections-per-member", &parsed.Config.ConnectionsPerEndpoint, 1, 16)
	s.durationValue("idle-timeout", &parsed.Config.IdleTimeout, time.Second, time.Hour)
	s.reportUnknownNames()
	return parsed
}

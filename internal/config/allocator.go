package config

import (
	"time"

	"lanewheel/internal/concurrencylease"
)

// Allocator is the process beside an upstream service that leases its concurrency.
type Allocator struct {
	Enabled  bool
	LockFile string // that one allocator alone may hold; empty for none
	Config   concurrencylease.Config
}

func (r *reader) readAllocator(fleet *Fleet) Allocator {
	parsed := Allocator{Config: concurrencylease.DefaultConfig()}
	s := r.section("allocator")
	parsed.Enabled = s.exists()
	s.requireFleet(fleet, "the holders are known")
	if parsed.Enabled && fleet.Enabled && (fleet.Name == "" || fleet.ServiceAddress == "") {
		s.report("", "", "wants fleet.name, and in fleet.service-address where the service is")
	}
	s.pathValue("lock-file", &parsed.LockFile)
	config := &parsed.Config
	if parsed.Enabled {
		config.Capacity = 0 // it has no default
		s.intValue("max-concurrency", &config.Capacity, 1, 1_000_000)
		if config.Capacity == 0 {
			s.report("max-concurrency", "", "wants the calls at a time that the service takes")
		}
	}
	s.intValue("unleased-per-process", &config.UnleasedCalls, 0, 1000)
	s.intValue("max-processes", &config.MaxProcesses, 1, 100_000)
	s.durationValue("lease-duration", &config.LeaseDuration, 200*time.Millisecond, time.Minute)
	s.durationValue("call-timeout", &config.MaxCallDuration, 10*time.Millisecond, time.Hour)
	s.floatValue("max-clock-drift", &config.MaxClockDrift, 0, 0.2)
	s.intValue("max-holders", &config.MaxHolders, 1, 10_000)
	if parsed.Enabled && config.Capacity > 0 && config.LeasableCalls() == 0 {
		s.report("unleased-per-process", "",
			"leaves nothing to be leased: max-concurrency is no more than unleased-per-process times max-processes")
	}
	s.reportUnknownNames()
	return parsed
}

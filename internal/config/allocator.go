package config

import (
	"time"

	"lanewheel/internal/concurrencylease"
)

// Allocator configures the process that runs beside an upstream service and grants leases on the service's concurrency.
type Allocator struct {
	Enabled  bool
	LockFile string // locked by the process, so that only one allocator runs; empty for none
	Config   concurrencylease.Config
}

func (r *reader) readAllocator(fleet *Fleet) Allocator {
	parsed := Allocator{Config: concurrencylease.DefaultConfig()}
	s := r.section("allocator")
	parsed.Enabled = s.exists()
	s.requireFleet(fleet, "the lease holders")
	if parsed.Enabled && fleet.Enabled && (fleet.Name == "" || fleet.ServiceAddress == "") {
		s.report("", "", "must be used with fleet.name and fleet.service-address, the address of the service")
	}
	s.pathValue("lock-file", &parsed.LockFile)
	config := &parsed.Config
	if parsed.Enabled {
		config.Capacity = 0 // the setting has no default
		s.intValue("max-concurrency", &config.Capacity, 1, 1_000_000)
		if config.Capacity == 0 {
			s.report("max-concurrency", "", "must be the number of concurrent calls that the service accepts")
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
			"must leave calls to lease: unleased-per-process times max-processes must be less than max-concurrency")
	}
	s.reportUnknownNames()
	return parsed
}

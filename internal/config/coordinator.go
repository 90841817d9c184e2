package config

import (
	"time"

	"lanewheel/internal/coordination"
	"lanewheel/internal/coordination/canary"
	coordinatorconfig "lanewheel/internal/fleet/coordinator/config"
)

// Coordinator configures a process that holds the replicated state of the fleet.
type Coordinator struct {
	Enabled bool
	Config  coordinatorconfig.Config
}

func (r *reader) readCoordinator(fleet *Fleet) Coordinator {
	parsed := Coordinator{Config: coordinatorconfig.Config{
		HeartbeatTimeout:   time.Second,
		SnapshotThreshold:  8192,
		Coordination:       coordination.DefaultConfig(),
		Canary:             canary.DefaultConfig(),
		AnalysisWindow:     time.Second,
		SampleSize:         32,
		RestartTimeout:     30 * time.Second,
		RestartOutputLimit: 4096,
	}}
	s := r.section("coordinator")
	parsed.Enabled = s.exists()
	s.requireFleet(fleet, "the members")
	if parsed.Enabled && fleet.Enabled && fleet.Name == "" {
		s.report("", "", "must be used with fleet.name, because a coordinator keeps its name across restarts")
	}
	config := &parsed.Config
	config.Name = fleet.Name
	s.readCoordinatorAddresses(config)
	s.requiredPath("data-dir", &config.DataDir)
	s.durationValue("leader-timeout", &config.HeartbeatTimeout, 100*time.Millisecond, time.Minute)
	s.stringValue("restart-command", &config.RestartCommand)
	s.durationValue("restart-timeout", &config.RestartTimeout, 100*time.Millisecond, time.Hour)
	s.intValue("restart-output-bytes", &config.RestartOutputLimit, 0, 1<<20)
	snapshotEntries := int(config.SnapshotThreshold)
	s.intValue("snapshot-entries", &snapshotEntries, 64, 1<<30)
	config.SnapshotThreshold = uint64(snapshotEntries)
	s.intValue("history-entries", &config.Coordination.MaxHistory, 10, 1_000_000)
	s.intValue("max-waiting-permits", &config.Coordination.MaxQueuedPermits, 1, 100_000)
	s.intValue("max-passed-over", &config.Coordination.MaxOvertakes, 0, 100_000)
	s.durationValue("stuck-after", &config.Coordination.StalledAfter, time.Second, 24*time.Hour)
	s.readAnalysis(config)
	s.reportUnknownNames()
	return parsed
}

// readCoordinatorAddresses reads the addresses of this coordinator and those of all coordinators.
func (s *section) readCoordinatorAddresses(config *coordinatorconfig.Config) {
	s.requiredString("listen", &config.ListenAddr)
	s.checkAddress("listen", config.ListenAddr)
	s.stringValue("advertise", &config.AdvertiseAddr)
	s.checkAddress("advertise", config.AdvertiseAddr)
	if config.AdvertiseAddr == "" {
		config.AdvertiseAddr = config.ListenAddr
	}
	config.LocalIP = hostOf(config.ListenAddr)
	config.Coordinators = s.listValue("coordinators")
	for _, address := range config.Coordinators {
		s.checkAddress("coordinators", address)
	}
	if s.exists() && len(config.Coordinators) == 0 {
		s.report("coordinators", "", "must be a comma-separated list of the addresses of all coordinators")
	}
}

// readAnalysis reads the settings of the canary analysis of the waves of a rollout.
func (s *section) readAnalysis(config *coordinatorconfig.Config) {
	s.floatValue("error-probability", &config.Canary.ErrorRate, 0.0001, 0.2)
	s.floatValue("late-regression", &config.Canary.DetectableLateIncrease, 0.001, 1)
	s.floatValue("latency-regression", &config.Canary.DetectableSlowdown, 0.001, 10)
	s.intValue("min-windows", &config.Canary.MinWindows, 2, 10_000)
	s.floatValue("min-window-requests", &config.Canary.MinRequests, 1, 1_000_000)
	s.intValue("max-crashes", &config.Canary.CrashLimit, 0, 1000)
	s.durationValue("window", &config.AnalysisWindow, 200*time.Millisecond, time.Hour)
	s.intValue("sampled-members", &config.SampleSize, 1, 1000)
}

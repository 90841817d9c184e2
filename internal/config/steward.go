package config

import (
	"net"
	"strconv"
	"strings"
	"time"

	"lanewheel/internal/coordination"
	"lanewheel/internal/coordination/canary"
	"lanewheel/internal/fleet/coordinator/config"
)

// Coordinator is a process that holds what the fleet has agreed.
type Coordinator struct {
	Enabled bool
	Config  coordinatorconfig.Config
}

func (r *reader) readCoordinator(fleet *Fleet) Coordinator {
	parsed := Coordinator{Config: coordinatorconfig.Config{HeartbeatTimeout: time.Second, Coordination: coordination.DefaultConfig(), Canary: canary.DefaultConfig(), AnalysisWindow: time.Second, SampleSize: 32, RestartTimeout: 30 * time.Second, RestartOutputLimit: 4096, SnapshotThreshold: 8192}}
	s := r.section("steward")
	parsed.Enabled = s.exists()
	config := &parsed.Config
	switch {
	case parsed.Enabled && !fleet.Enabled:
		s.report("", "", "wants a section [fleet], by which the members are known")
	case parsed.Enabled && fleet.Name == "":
		s.report("", "", "wants fleet.name: a steward keeps its name over restarts")
	}
	config.Name = fleet.Name
	s.requiredString("listen", &config.ListenAddr)
	s.checkAddress("listen", config.ListenAddr)
	s.stringValue("at", &config.AdvertiseAddr)
	s.checkAddress("at", config.AdvertiseAddr)
	if config.AdvertiseAddr == "" {
		config.AdvertiseAddr = config.ListenAddr
	}
	if host, _, err := net.SplitHostPort(config.ListenAddr); err == nil {
		config.LocalIP = host
	}
	config.Coordinators = r.readCoordinatorAddresses(s)
	s.requiredPath("folder", &config.DataDir)
	s.durationValue("beat", &config.HeartbeatTimeout, 100*time.Millisecond, time.Minute)
	s.stringValue("restart", &config.RestartCommand)
	s.durationValue("restart-within", &config.RestartTimeout, 100*time.Millisecond, time.Hour)
	s.intValue("restart-output", &config.RestartOutputLimit, 0, 1<<20)
	snapshot := int(config.SnapshotThreshold)
	s.intValue("snapshot-every", &snapshot, 64, 1<<30)
	config.SnapshotThreshold = uint64(snapshot)
	s.intValue("history", &config.Coordination.MaxHistory, 10, 1_000_000)
	s.intValue("waiting", &config.Coordination.MaxQueuedPermits, 1, 100_000)
	s.intValue("passed-over", &config.Coordination.MaxOvertakes, 0, 100_000)
	s.durationValue("stuck-after", &config.Coordination.StalledAfter, time.Second, 24*time.Hour)
	s.floatValue("wrong", &config.Canary.ErrorRate, 0.0001, 0.2)
	s.floatValue("late", &config.Canary.DetectableLateIncrease, 0.001, 1)
	s.floatValue("slow", &config.Canary.DetectableSlowdown, 0.001, 10)
	s.intValue("windows", &config.Canary.MinWindows, 2, 10_000)
	s.floatValue("window-ops", &config.Canary.MinRequests, 1, 1_000_000)
	s.intValue("crashes", &config.Canary.CrashLimit, 0, 1000)
	s.durationValue("window", &config.AnalysisWindow, 200*time.Millisecond, time.Hour)
	s.intValue("asked", &config.SampleSize, 1, 1000)
	s.reportUnknownNames()
	return parsed
}

// readCoordinatorAddresses reads the addresses of the stewards.
func (r *reader) readCoordinatorAddresses(s *section) []string {
	addresses := s.listValue("stewards")
	for _, address := range addresses {
		s.checkAddress("stewards", address)
	}
	if s.exists() && len(addresses) == 0 {
		s.report("stewards", "", "wants the addresses of the stewards, one of which leads")
	}
	return addresses
}

// Budgets and Release are what an operator hands to the stewards as a file.

// ParseBudgets reads a file of sections [budget NAME].
func ParseBudgets(path string, text []byte) ([]coordination.DisruptionBudget, error) {
	r := newReader(path, text)
	var budgets []coordination.DisruptionBudget
	for _, s := range r.sectionsOfKind("budget") {
		budget := coordination.DisruptionBudget{Name: s.label(), MaxUnavailable: -1, Selector: s.readMemberSelector()}
		maxUnavailable := -1
		s.intValue("most", &maxUnavailable, 0, 100_000)
		budget.MaxUnavailable = maxUnavailable
		fraction := -1.0
		s.floatValue("share", &fraction, 0, 1)
		if budget.MaxUnavailableFraction = fraction; (fraction < 0) == (maxUnavailable < 0) {
			s.report("most", "", "wants one of most and share")
		}
		s.floatValue("least-capacity", &budget.MinAvailableCapacity, 0, 1e9)
		s.reportUnknownNames()
		budgets = append(budgets, budget)
	}
	if len(budgets) == 0 && len(r.diagnostics) == 0 {
		r.report("", "", "", "wants sections [budget NAME]")
	}
	r.reportUnknownSections("budget")
	return budgets, r.diagnostics.Err()
}

func (s *section) readMemberSelector() (selector coordination.Selector) {
	s.stringValue("zone", &selector.Zone)
	s.stringValue("release", &selector.Release)
	s.enumValue("role", &selector.Role, "instance", "relay", "steward", "below")
	s.stringValue("below", &selector.Upstream)
	return selector
}

// ParseRollout reads a file with a section [release].
func ParseRollout(path string, text []byte) (coordination.RolloutPlan, error) {
	r := newReader(path, text)
	plan := coordination.RolloutPlan{Pause: time.Minute, AnalysisRequired: true, RollbackWavesAtOnce: 2, MaxAttempts: 3}
	s := r.section("release")
	if !s.exists() {
		s.report("", "", "is missing")
	}
	s.requiredString("name", &plan.Name)
	s.requiredString("to", &plan.TargetRelease)
	s.stringValue("of-zone", &plan.Selector.Zone)
	s.stringValue("of-release", &plan.Selector.Release)
	plan.Selector.Role = "instance"
	s.enumValue("of-role", &plan.Selector.Role, "instance", "relay", "steward", "below")
	for _, spec := range s.listValue("waves") {
		wave := coordination.Wave{}
		zone, isZone := strings.CutPrefix(spec, "zone ")
		share, isShare := strings.CutSuffix(spec, "%")
		n, err := strconv.Atoi(share)
		switch {
		case isZone:
			wave.Zone = strings.TrimSpace(zone)
		case err != nil || n < 1 || isShare && n > 100:
			s.report("waves", spec, "wants a number, a share as 10%, or zone NAME")
		case isShare:
			wave.Fraction = float64(n) / 100
		default:
			wave.Count = n
		}
		plan.Waves = append(plan.Waves, wave)
	}
	s.durationValue("pause", &plan.Pause, 0, 24*time.Hour)
	s.boolValue("judged", &plan.AnalysisRequired)
	s.floatValue("back-faster", &plan.RollbackWavesAtOnce, 1, 1000)
	s.intValue("tries", &plan.MaxAttempts, 1, 100)
	s.reportUnknownNames()
	r.reportUnknownSections()
	return plan, r.diagnostics.Err()
}

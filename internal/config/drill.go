package config

import (
	"os"
	"strings"
	"time"
)

// Drill is a script for a game-day drill: the processes, the load, the faults and the goals.
type Drill struct {
	Path     string
	KeepLogs bool // keep the logs of the processes even if the drill passes; not a setting of the script

	// The processes.
	Instances       int
	Proxies         int
	Allocators      int // each beside its own upstream service
	Coordinators    int
	SeedMembers     int // the number of processes that the others are configured with as seeds
	Zones           []string
	Releases        []string
	MaxMemoryMB     float64       // the maximum memory of a process
	StartupDuration time.Duration // the time over which the starts of the processes are spread
	SettleTimeout   time.Duration // the time after the end of a fault within which the fleet must recover

	// The load.
	Clients              int
	RandomSeed           uint64
	LoadDuration         time.Duration // counted from when all processes are up
	RequestRate          float64       // per second, from all clients together
	MeanRunTime          time.Duration
	UpstreamCallDuration time.Duration // the duration of a call at an upstream service

	// Settings that are copied into the sections of the processes' files.
	FleetSettings       []Setting
	ProxySettings       []Setting
	UpstreamSettings    []Setting
	AllocatorSettings   []Setting
	CoordinatorSettings []Setting
	SpilloverSettings   []Setting
	SpilloverEnabled    bool

	// The goals, and the faulty release.
	Balance            DrillBalance
	BadRelease         DrillBadRelease
	FinalRelease       string // the release that all instances must run at the end
	LimitedRelease     string // the release that at most MaxLimitedFraction of the instances may ever have run
	MaxLimitedFraction float64

	Faults []DrillFault
}

// Setting is the name and the value of a setting in a section of an operator's file.
type Setting struct{ Name, Value string }

// DrillBalance is the goal for the distribution of the load over the instances. It does not apply during a fault or
// within RecoveryTime after it.
type DrillBalance struct {
	Enabled bool
	// MaxImbalance is the maximum ratio of the load of the most loaded instance of each second to the load that the
	// most loaded instance would have by chance under a perfect balancer. Both loads are summed over all seconds that
	// count.
	MaxImbalance float64
	MaxIdleGaps  float64 // the longest time that an instance may wait for a request, in expected gaps between requests
	RecoveryTime time.Duration
}

// DrillBadRelease describes the faults of a release.
type DrillBadRelease struct {
	Release       string
	RunTimeFactor float64 // the factor by which run times are multiplied
	FailRuns      bool
	CrashAfter    time.Duration // the time from the start of a process until it crashes; 0 if it does not crash
	NeverReady    bool          // the runtime never becomes ready
}

// LoadDrill reads a script from a file. overrides replace or add values of settings, each as section.name=value.
// LoadDrill logs a warning about earlier names. The error is a diagnostic.List with all errors.
func LoadDrill(path string, overrides ...string) (Drill, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Drill{}, readError(path, err)
	}
	return ParseDrill(path, text, overrides...)
}

// ParseDrill parses the text of a script. overrides replace or add values of settings, each as section.name=value.
// path is the name of the file in diagnostics. ParseDrill logs a warning about earlier names. The error is a
// diagnostic.List with all errors.
func ParseDrill(path string, text []byte, overrides ...string) (Drill, error) {
	r := newReader(path, text, &drillRenames)
	for _, override := range overrides {
		name, value, complete := strings.Cut(override, "=")
		dot := strings.LastIndexByte(name, '.')
		if !complete || dot < 0 || r.ini == nil {
			r.report("", "", override, "must be an override of the form section.name=value, and the file must be readable")
			continue
		}
		r.override(name[:dot], name[dot+1:], value)
	}
	drill := r.readScript()
	drill.Path = path
	r.readProcessSettings(&drill)
	drill.BadRelease = r.readBadRelease()
	r.readRolloutGoal(&drill)
	drill.Balance = r.readBalanceGoal()
	for _, s := range r.sectionsOfKind("fault") {
		drill.Faults = append(drill.Faults, s.readDrillFault(&drill))
	}
	r.reportUnknownSections("fault")
	r.renamed.Warn()
	return drill, r.diagnostics.Err()
}

// readScript reads [drill].
func (r *reader) readScript() Drill {
	drill := Drill{
		Instances:            20,
		SeedMembers:          1,
		Clients:              8,
		RandomSeed:           1,
		LoadDuration:         30 * time.Second,
		StartupDuration:      time.Second,
		SettleTimeout:        20 * time.Second,
		RequestRate:          100,
		MeanRunTime:          5 * time.Millisecond,
		UpstreamCallDuration: 5 * time.Millisecond,
		MaxMemoryMB:          64,
		Zones:                []string{"a"},
		Releases:             []string{"1"},
	}
	s := r.section("drill")
	if !s.exists() {
		s.report("", "", "is missing")
	}
	s.intValue("processes", &drill.Instances, 2, 1000)
	s.intValue("proxies", &drill.Proxies, 0, 1000)
	s.intValue("allocators", &drill.Allocators, 0, 100)
	s.intValue("coordinators", &drill.Coordinators, 0, 9)
	s.durationValue("upstream-call-duration", &drill.UpstreamCallDuration, 0, time.Minute)
	s.intValue("seed-members", &drill.SeedMembers, 1, drill.Instances)
	s.intValue("clients", &drill.Clients, 1, 1000)
	seed := int(drill.RandomSeed)
	s.intValue("seed", &seed, 0, 1<<53)
	drill.RandomSeed = uint64(seed)
	s.durationValue("duration", &drill.LoadDuration, time.Second, 24*time.Hour)
	s.durationValue("startup", &drill.StartupDuration, 0, time.Hour)
	s.durationValue("settle", &drill.SettleTimeout, 100*time.Millisecond, time.Hour)
	s.floatValue("rate", &drill.RequestRate, 0.1, 100_000)
	s.durationValue("mean-run-time", &drill.MeanRunTime, 0, time.Minute)
	s.floatValue("max-memory-mb", &drill.MaxMemoryMB, 16, 4096)
	if zones := s.listValue("zones"); len(zones) > 0 {
		drill.Zones = zones
	}
	if releases := s.listValue("releases"); len(releases) > 0 {
		drill.Releases = releases
	}
	s.reportUnknownNames()
	return drill
}

// readProcessSettings reads the settings that are copied into the files of the processes, under their current names.
// The processes check the values.
func (r *reader) readProcessSettings(drill *Drill) {
	for _, copied := range []struct {
		section string
		target  *[]Setting
	}{
		{"fleet", &drill.FleetSettings},
		{"proxy", &drill.ProxySettings},
		{"upstream", &drill.UpstreamSettings},
		{"allocator", &drill.AllocatorSettings},
		{"coordinator", &drill.CoordinatorSettings},
		{"spillover", &drill.SpilloverSettings},
	} {
		s := r.section(copied.section)
		if !s.exists() {
			continue
		}
		for _, written := range s.source.KeyStrings() {
			name := r.renames.name(s.name, written)
			value, _, _ := s.lookupWords(name)
			*copied.target = append(*copied.target, Setting{Name: name, Value: value})
		}
	}
	drill.SpilloverEnabled = r.section("spillover").exists()
}

func (r *reader) readBadRelease() DrillBadRelease {
	var bad DrillBadRelease
	s := r.section("bad-release")
	s.stringValue("release", &bad.Release)
	s.floatValue("run-time-factor", &bad.RunTimeFactor, 0.01, 1000)
	s.boolValue("fail-runs", &bad.FailRuns)
	s.durationValue("crash-after", &bad.CrashAfter, 0, time.Hour)
	s.boolValue("never-ready", &bad.NeverReady)
	s.reportUnknownNames()
	return bad
}

// readRolloutGoal reads [rollout].
func (r *reader) readRolloutGoal(drill *Drill) {
	s := r.section("rollout")
	s.stringValue("final-release", &drill.FinalRelease)
	s.stringValue("limited-release", &drill.LimitedRelease)
	drill.MaxLimitedFraction = 1
	s.floatValue("max-limited-fraction", &drill.MaxLimitedFraction, 0, 1)
	s.reportUnknownNames()
}

// readBalanceGoal reads [balance].
func (r *reader) readBalanceGoal() DrillBalance {
	s := r.section("balance")
	balance := DrillBalance{
		Enabled:      s.exists(),
		MaxImbalance: 1.25,
		MaxIdleGaps:  5,
		RecoveryTime: 3 * time.Second,
	}
	s.floatValue("max-imbalance", &balance.MaxImbalance, 0.1, 1000)
	s.floatValue("max-idle-gaps", &balance.MaxIdleGaps, 0.1, 1000)
	s.durationValue("recovery-time", &balance.RecoveryTime, 0, time.Hour)
	s.reportUnknownNames()
	return balance
}

package config

import (
	"os"
	"strconv"
	"strings"
	"time"

	"lanewheel/internal/diagnostic"
)

// Drill is a script for a rehearsal: so many processes, a load, and what is done to them.
type Drill struct {
	Path                 string
	KeepLogs             bool // what the processes logged, also if all held
	Instances            int  // instances
	Proxies              int
	Allocators           int // each beside a service of its own
	Coordinators         int
	SeedMembers          int // how many of them the others are told of
	Clients              int
	RandomSeed           uint64
	LoadDuration         time.Duration // of load, from when all are up
	StartupDuration      time.Duration // over which the processes are started
	SettleTimeout        time.Duration // after a fault is over, until all has to be as it should
	RequestRate          float64       // ops a second, all together
	MeanRunTime          time.Duration // of a run
	MaxMemoryMB          float64       // that one process may hold
	Zones                []string
	Releases             []string
	ProxySettings        [][2]string // names and values for each relay's section [relay]
	FleetSettings        [][2]string // names and values for each process's section [fleet]
	UpstreamSettings     [][2]string // for each instance's section [below]
	AllocatorSettings    [][2]string // for each desk's section [grants]
	SpilloverSettings    [][2]string // for each instance's section [handover]; nil: nothing is handed over
	SpilloverEnabled     bool
	UpstreamCallDuration time.Duration // that a call takes at a service
	Balance              DrillBalance
	CoordinatorSettings  [][2]string // names and values for each steward's section [steward]
	BadRelease           DrillBadRelease
	FinalRelease         string // the release that all instances are to be on at the end
	LimitedRelease       string // and one that no more than EverMost of them may ever have been on
	MaxLimitedFraction   float64
	Faults               []DrillFault
}

// DrillBalance is how evenly load has to be spread, while nothing is done and Back after it.
type DrillBalance struct {
	Enabled      bool
	MaxImbalance float64       // the most loaded of a second, of what pure chance gives the most loaded under a perfect balancer
	MaxIdleGaps  float64       // the longest that one waits for an op, in expected gaps
	RecoveryTime time.Duration // after something was done or undone
}

// DrillBadRelease is what is wrong with a release.
type DrillBadRelease struct {
	Release       string
	RunTimeFactor float64       // its runs take so many times as long
	FailRuns      bool          // its runs fail
	CrashAfter    time.Duration // it ends by itself so long after its start; 0: it does not
	NeverReady    bool          // its runtime never comes up
}

// DrillFault is one thing that is done, to links or to processes.
type DrillFault struct {
	Name              string
	Action            string
	Earliest, Latest  time.Duration // it begins between these, by chance
	Duration          time.Duration // until it is undone; 0 for what can't be
	Targets, From, To DrillSelector
	Bidirectional     bool // the way back as well
	Fraction          float64
	Factor            float64 // so many times as long, or as much
	Command           string  // for the stewards
	Delay, Jitter     time.Duration
	BytesPerSecond    int // bytes a second
	KeyNumbers        []int
	SeedMembers       int
	ForbidEviction    bool // nobody who is there may be given up over it
	AllowUnanswered   bool // ops may be without an answer while it lasts
}

// DrillSelector names processes, relays behind the instances, desks behind both. Kind is all, relays, instances, desks, rest (none of the other end), zone, release, process, first, draw.
type DrillSelector struct {
	Kind     string
	Name     string
	Count    int
	Fraction float64
}

// What can be done to links, and to processes.
var (
	linkFaults    = []string{"refuse", "swallow", "delay", "lose", "duplicate", "reorder", "narrow", "stall", "half-close", "garble"}
	processFaults = []string{"kill", "wipe", "pause", "restart", "replace", "leave", "late-runtime", "slow-runs", "fail-runs", "lose-runs", "burst", "agree", "keys", "seeds", "flood"}
)

// LoadDrill reads a script; set holds values in place of its own, each as section.name=value. The error is a fault.List with all that is wrong.
func LoadDrill(path string, overrides ...string) (Drill, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Drill{}, diagnostic.List{{File: path, Want: "can't be read: " + err.Error()}}
	}
	return ParseDrill(path, text, overrides...)
}

// ParseDrill reads a script's text; path is what its faults name.
func ParseDrill(path string, text []byte, overrides ...string) (Drill, error) {
	r := newReader(path, text)
	for _, override := range overrides {
		name, value, complete := strings.Cut(override, "=")
		dot := strings.LastIndexByte(name, '.')
		if !complete || dot < 0 || r.ini == nil {
			r.report("", "", override, "wants section.name=value")
			continue
		}
		r.ini.Section(name[:dot]).Key(name[dot+1:]).SetValue(value)
	}
	drill := Drill{Path: path, Instances: 20, SeedMembers: 1, Clients: 8, RandomSeed: 1, LoadDuration: 30 * time.Second, StartupDuration: time.Second, SettleTimeout: 20 * time.Second,
		RequestRate: 100, MeanRunTime: 5 * time.Millisecond, MaxMemoryMB: 64, Zones: []string{"a"}, Releases: []string{"1"}}
	s := r.section("drill")
	if !s.exists() {
		s.report("", "", "is missing")
	}
	s.intValue("processes", &drill.Instances, 2, 1000)
	s.intValue("relays", &drill.Proxies, 0, 1000)
	s.intValue("desks", &drill.Allocators, 0, 100)
	s.intValue("stewards", &drill.Coordinators, 0, 9)
	drill.UpstreamCallDuration = 5 * time.Millisecond
	s.durationValue("calls-take", &drill.UpstreamCallDuration, 0, time.Minute)
	s.intValue("seed-processes", &drill.SeedMembers, 1, drill.Instances)
	s.intValue("stubs", &drill.Clients, 1, 1000)
	seed := 1
	s.intValue("seed", &seed, 0, 1<<53)
	drill.RandomSeed = uint64(seed)
	s.durationValue("for", &drill.LoadDuration, time.Second, 24*time.Hour)
	s.durationValue("start", &drill.StartupDuration, 0, time.Hour)
	s.durationValue("settle", &drill.SettleTimeout, 100*time.Millisecond, time.Hour)
	s.floatValue("rate", &drill.RequestRate, 0.1, 100_000)
	s.durationValue("mean", &drill.MeanRunTime, 0, time.Minute)
	s.floatValue("memory-mb", &drill.MaxMemoryMB, 16, 4096)
	if all := s.listValue("zones"); len(all) > 0 {
		drill.Zones = all
	}
	if all := s.listValue("releases"); len(all) > 0 {
		drill.Releases = all
	}
	s.reportUnknownNames()
	for name, pairs := range map[string]*[][2]string{"members": &drill.FleetSettings, "relaying": &drill.ProxySettings, "calling": &drill.UpstreamSettings, "granting": &drill.AllocatorSettings, "stewarding": &drill.CoordinatorSettings, "handing": &drill.SpilloverSettings} {
		settings := r.section(name)
		if !settings.exists() {
			continue
		}
		drill.SpilloverEnabled = drill.SpilloverEnabled || name == "handing"
		for _, key := range settings.source.KeyStrings() {
			v, _ := settings.lookup(key)
			*pairs = append(*pairs, [2]string{key, v})
		}
	}
	badRelease := r.section("bad-release")
	badRelease.stringValue("release", &drill.BadRelease.Release)
	badRelease.floatValue("slow", &drill.BadRelease.RunTimeFactor, 0.01, 1000)
	badRelease.boolValue("fails", &drill.BadRelease.FailRuns)
	badRelease.durationValue("crashes-after", &drill.BadRelease.CrashAfter, 0, time.Hour)
	badRelease.boolValue("never-up", &drill.BadRelease.NeverReady)
	badRelease.reportUnknownNames()
	agreed := r.section("agreed")
	agreed.stringValue("ends-on", &drill.FinalRelease)
	agreed.stringValue("ever-on", &drill.LimitedRelease)
	drill.MaxLimitedFraction = 1
	agreed.floatValue("ever-on-most", &drill.MaxLimitedFraction, 0, 1)
	agreed.reportUnknownNames()
	balance := r.section("even")
	drill.Balance = DrillBalance{Enabled: balance.exists(), MaxImbalance: 1.25, MaxIdleGaps: 5, RecoveryTime: 3 * time.Second}
	balance.floatValue("most", &drill.Balance.MaxImbalance, 0.1, 1000)
	balance.floatValue("idle", &drill.Balance.MaxIdleGaps, 0.1, 1000)
	balance.durationValue("back", &drill.Balance.RecoveryTime, 0, time.Hour)
	balance.reportUnknownNames()
	for _, f := range r.sectionsOfKind("fault") {
		drill.Faults = append(drill.Faults, f.readDrillFault(&drill))
	}
	r.reportUnknownSections("fault")
	return drill, r.diagnostics.Err()
}

func (s *section) readDrillFault(d *Drill) DrillFault {
	parsed := DrillFault{Name: s.label(), Fraction: 1, Factor: 4}
	s.enumValue("do", &parsed.Action, append(append([]string{}, linkFaults...), processFaults...)...)
	if parsed.Action == "" {
		s.report("do", "", "wants what is done, as swallow or kill")
	}
	window, _ := s.lookup("at")
	first, last, isRange := strings.Cut(window, "..")
	if !isRange {
		last = first
	}
	var err error
	if parsed.Earliest, err = time.ParseDuration(strings.TrimSpace(first)); err == nil {
		parsed.Latest, err = time.ParseDuration(strings.TrimSpace(last))
	}
	if err != nil || parsed.Earliest < 0 || parsed.Latest < parsed.Earliest {
		s.report("at", window, "wants a time, or two with .. between, from when all are up")
	}
	s.durationValue("for", &parsed.Duration, 0, 24*time.Hour)
	parsed.Targets, parsed.From, parsed.To = s.readSelector("on", d), s.readSelector("from", d), s.readSelector("to", d)
	isLinkFault := false
	for _, name := range linkFaults {
		isLinkFault = isLinkFault || name == parsed.Action
	}
	switch {
	case isLinkFault && (parsed.From.Kind == "" || parsed.To.Kind == ""):
		s.report("from", "", "wants both, from and to, as the fault is one of links")
	case !isLinkFault && parsed.Targets.Kind == "" && parsed.Action != "" && parsed.Action != "agree":
		s.report("on", "", "wants processes, as zone a, draw 5 or draw 33%")
	}
	s.boolValue("both", &parsed.Bidirectional)
	s.floatValue("share", &parsed.Fraction, 0, 1)
	s.floatValue("factor", &parsed.Factor, 0.01, 1000)
	s.stringValue("command", &parsed.Command)
	if parsed.Action == "agree" && parsed.Command == "" {
		s.report("command", "", "wants a command for the stewards, as release FILE, halt, resume, back, budgets FILE, drain NAME, drain zone NAME")
	}
	s.durationValue("delay", &parsed.Delay, 0, time.Minute)
	s.durationValue("jitter", &parsed.Jitter, 0, time.Minute)
	s.intValue("rate", &parsed.BytesPerSecond, 1, 1<<30)
	for _, k := range s.listValue("keys") {
		n, err := strconv.Atoi(k)
		if err != nil || n < 1 || n > 8 {
			s.report("keys", k, "wants numbers from 1 to 8, the one to write with first")
		}
		parsed.KeyNumbers = append(parsed.KeyNumbers, n)
	}
	s.intValue("seeds", &parsed.SeedMembers, 1, d.Instances)
	s.boolValue("none-gone", &parsed.ForbidEviction)
	s.boolValue("refuses", &parsed.AllowUnanswered)
	s.reportUnknownNames()
	return parsed
}

// readSelector reads who is meant.
func (s *section) readSelector(name string, d *Drill) (selector DrillSelector) {
	text, found := s.lookup(name)
	if !found {
		return selector
	}
	kind, rest, _ := strings.Cut(text, " ")
	rest = strings.TrimSpace(rest)
	selector.Kind, selector.Name = kind, rest
	valid := false
	switch kind {
	case "all", "rest", "relays", "instances", "desks", "stewards":
		valid = rest == ""
	case "zone":
		for _, zone := range d.Zones {
			valid = valid || zone == rest
		}
	case "release":
		for _, release := range d.Releases {
			valid = valid || release == rest
		}
	case "process", "first", "draw":
		number, isPercentage := strings.CutSuffix(rest, "%")
		n, err := strconv.Atoi(number)
		selector.Count, selector.Fraction = n, float64(n)/100
		if !isPercentage {
			selector.Fraction = 0
		}
		valid = err == nil && n >= 0 && (isPercentage && kind == "draw" && n <= 100 || !isPercentage && n <= d.Instances+d.Proxies+d.Allocators+d.Coordinators)
	}
	if !valid {
		s.report(name, text, "wants all, rest, relays, instances, desks, stewards, zone NAME, release NAME, process N, first N, draw N or draw N%")
	}
	return selector
}

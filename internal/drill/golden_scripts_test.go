package drill

import (
	"fmt"
	"hash/fnv"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"lanewheel/internal/config"
	"lanewheel/internal/goldentest"
)

// parsedScript builds a text with all non-zero values of a script and the names of their keys.
type parsedScript struct{ strings.Builder }

// section writes a section; values alternates names and values.
func (s *parsedScript) section(name string, values ...any) {
	zero := []string{"", "0", "0s", "[]", "false", "{  0 0}"}
	s.WriteString("[" + name + "]")
	for i := 0; i < len(values); i += 2 {
		if value := fmt.Sprint(values[i+1]); !slices.Contains(zero, value) {
			fmt.Fprintf(&s.Builder, " %v=%s", values[i], value)
		}
	}
	s.WriteString("\n")
}

func (s *parsedScript) script(d *config.Drill) {
	s.section("drill",
		"processes", d.Instances,
		"relays", d.Proxies,
		"desks", d.Allocators,
		"stewards", d.Coordinators,
		"seed-processes", d.SeedMembers,
		"stubs", d.Clients,
		"seed", d.RandomSeed,
		"for", d.LoadDuration,
		"start", d.StartupDuration,
		"settle", d.SettleTimeout,
		"rate", d.RequestRate,
		"mean", d.MeanRunTime,
		"memory-mb", d.MaxMemoryMB,
		"calls-take", d.UpstreamCallDuration,
		"zones", d.Zones,
		"releases", d.Releases)
	s.section("relaying", "pairs", d.ProxySettings)
	s.section("members", "pairs", d.FleetSettings)
	s.section("calling", "pairs", d.UpstreamSettings)
	s.section("granting", "pairs", d.AllocatorSettings)
	s.section("stewarding", "pairs", d.CoordinatorSettings)
	s.section("handing", "given", d.SpilloverEnabled, "pairs", d.SpilloverSettings)
	s.section("even",
		"given", d.Balance.Enabled,
		"most", d.Balance.MaxImbalance,
		"idle", d.Balance.MaxIdleGaps,
		"back", d.Balance.RecoveryTime)
	s.section("bad-release",
		"release", d.BadRelease.Release,
		"slow", d.BadRelease.RunTimeFactor,
		"fails", d.BadRelease.FailRuns,
		"crashes-after", d.BadRelease.CrashAfter,
		"never-up", d.BadRelease.NeverReady)
	s.section("agreed",
		"ends-on", d.FinalRelease,
		"ever-on", d.LimitedRelease,
		"ever-on-most", d.MaxLimitedFraction)
	for _, fault := range d.Faults {
		s.fault(fault)
	}
}

func (s *parsedScript) fault(f config.DrillFault) {
	s.section("fault "+f.Name,
		"do", f.Action,
		"at", f.Earliest.String()+".."+f.Latest.String(),
		"for", f.Duration,
		"on", selectorText(f.Targets),
		"from", selectorText(f.From),
		"to", selectorText(f.To),
		"both", f.Bidirectional,
		"share", f.Fraction,
		"factor", f.Factor,
		"command", f.Command,
		"delay", f.Delay,
		"jitter", f.Jitter,
		"rate", f.BytesPerSecond,
		"keys", f.KeyNumbers,
		"seeds", f.SeedMembers,
		"none-gone", f.ForbidEviction,
		"refuses", f.AllowUnanswered)
}

func selectorText(s config.DrillSelector) string {
	return fmt.Sprintf("{%s %s %d %g}", s.Kind, s.Name, s.Count, s.Fraction)
}

// TestGoldenScripts checks the parsed scripts of drills/ and of a script that sets everything, and the times and
// targets of the events that are drawn from their seeds.
func TestGoldenScripts(t *testing.T) {
	paths, err := filepath.Glob("../../drills/*.ini")
	if err != nil || len(paths) == 0 {
		t.Fatal(err, paths)
	}
	var text parsedScript
	for _, path := range append(paths, "testdata/everything.ini") {
		script, err := config.LoadDrill(path)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&text.Builder, "# %s\n", filepath.Base(path))
		text.script(&script)
		for _, event := range Timeline(&script) {
			targets := fnv.New32a()
			_, _ = fmt.Fprint(targets, event.Targets, event.From, event.To)
			fmt.Fprintf(&text.Builder, "%v %s #%08x\n", event.At, event, targets.Sum32())
		}
	}
	goldentest.CheckText(t, "testdata/scripts.txt", []byte(text.String()))
}

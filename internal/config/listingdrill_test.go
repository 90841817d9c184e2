package config

import (
	"fmt"

	"lanewheel/internal/coordination"
)

func listDrill(l *listing, d *Drill) {
	l.add("drill.processes", d.Instances)
	l.add("drill.relays", d.Proxies)
	l.add("drill.desks", d.Allocators)
	l.add("drill.stewards", d.Coordinators)
	l.add("drill.calls-take", d.UpstreamCallDuration)
	l.add("drill.seed-processes", d.SeedMembers)
	l.add("drill.stubs", d.Clients)
	l.add("drill.seed", d.RandomSeed)
	l.add("drill.for", d.LoadDuration)
	l.add("drill.start", d.StartupDuration)
	l.add("drill.settle", d.SettleTimeout)
	l.add("drill.rate", d.RequestRate)
	l.add("drill.mean", d.MeanRunTime)
	l.add("drill.memory-mb", d.MaxMemoryMB)
	l.add("drill.zones", d.Zones)
	l.add("drill.releases", d.Releases)
	listCopied(l, d)
	listGoals(l, d)
	for i := range d.Faults {
		listFault(l, &d.Faults[i])
	}
}

// listCopied lists the settings that are copied into the files of processes.
func listCopied(l *listing, d *Drill) {
	for _, copied := range []struct {
		name     string
		renames  map[string]string
		settings []Setting
	}{
		{"members", fleetRenames, d.FleetSettings},
		{"relaying", proxyRenames, d.ProxySettings},
		{"calling", upstreamRenames, d.UpstreamSettings},
		{"granting", allocatorRenames, d.AllocatorSettings},
		{"stewarding", coordinatorRenames, d.CoordinatorSettings},
		{"handing", spilloverRenames, d.SpilloverSettings},
	} {
		earlier := invert(copied.renames)
		for _, setting := range copied.settings {
			name := setting.Name
			if earlier[name] != "" {
				name = earlier[name]
			}
			l.add(copied.name+"."+name, setting.Value)
		}
	}
}

func listGoals(l *listing, d *Drill) {
	l.add("handing", d.SpilloverEnabled)
	l.add("bad-release.release", d.BadRelease.Release)
	l.add("bad-release.slow", d.BadRelease.RunTimeFactor)
	l.add("bad-release.fails", d.BadRelease.FailRuns)
	l.add("bad-release.crashes-after", d.BadRelease.CrashAfter)
	l.add("bad-release.never-up", d.BadRelease.NeverReady)
	l.add("agreed.ends-on", d.FinalRelease)
	l.add("agreed.ever-on", d.LimitedRelease)
	l.add("agreed.ever-on-most", d.MaxLimitedFraction)
	l.add("even", d.Balance.Enabled)
	l.add("even.most", d.Balance.MaxImbalance)
	l.add("even.idle", d.Balance.MaxIdleGaps)
	l.add("even.back", d.Balance.RecoveryTime)
}

func selectorText(g DrillSelector) string {
	return fmt.Sprintf("%v %q count %d share %v", g.Kind, g.Name, g.Count, g.Fraction)
}

func listFault(l *listing, f *DrillFault) {
	name := "fault " + f.Name
	l.add(name+".do", f.Action)
	l.add(name+".at", fmt.Sprint(f.Earliest, " ", f.Latest))
	l.add(name+".for", f.Duration)
	l.add(name+".on", selectorText(f.Targets))
	l.add(name+".from", selectorText(f.From))
	l.add(name+".to", selectorText(f.To))
	l.add(name+".both", f.Bidirectional)
	l.add(name+".share", f.Fraction)
	l.add(name+".factor", f.Factor)
	l.add(name+".command", f.Command)
	l.add(name+".delay", f.Delay)
	l.add(name+".jitter", f.Jitter)
	l.add(name+".rate", f.BytesPerSecond)
	l.add(name+".keys", f.KeyNumbers)
	l.add(name+".seeds", f.SeedMembers)
	l.add(name+".none-gone", f.ForbidEviction)
	l.add(name+".refuses", f.AllowUnanswered)
}

func listSelector(l *listing, prefix string, g coordination.Selector) {
	l.add(prefix+"zone", g.Zone)
	l.add(prefix+"release", g.Release)
	l.add(prefix+"role", g.Role)
	l.add(prefix+"below", g.Upstream)
}

func listBudgets(l *listing, all []coordination.DisruptionBudget) {
	for _, b := range all {
		name := "budget " + b.Name + "."
		listSelector(l, name, b.Selector)
		l.add(name+"most", b.MaxUnavailable)
		l.add(name+"share", b.MaxUnavailableFraction)
		l.add(name+"least-capacity", b.MinAvailableCapacity)
	}
}

func listRollout(l *listing, p *coordination.RolloutPlan) {
	l.add("release.name", p.Name)
	l.add("release.to", p.TargetRelease)
	listSelector(l, "release.of-", p.Selector)
	for i, w := range p.Waves {
		l.add(fmt.Sprint("release.waves ", i), fmt.Sprintf("count %d share %v zone %q", w.Count, w.Fraction, w.Zone))
	}
	l.add("release.pause", p.Pause)
	l.add("release.judged", p.AnalysisRequired)
	l.add("release.back-faster", p.RollbackWavesAtOnce)
	l.add("release.tries", p.MaxAttempts)
}

package config

import (
	"bytes"
	"errors"
	"log/slog"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"lanewheel/internal/diagnostic"
	"lanewheel/internal/setuptest"
)

// parseGolden parses a file and returns the earlier terms that it uses. The prefix of its name determines its kind.
func parseGolden(path string, text []byte) (RenamedSettings, error) {
	switch name := filepath.Base(path); {
	case strings.HasPrefix(name, "drill-"):
		_, err := ParseDrill(path, text)
		return newReader(path, text, &drillRenames).renamed, err
	case strings.HasPrefix(name, "agreed-budgets"):
		_, err := ParseBudgets(path, text)
		return newReader(path, text, &planRenames).renamed, err
	case strings.HasPrefix(name, "agreed-plan"):
		_, err := ParseRollout(path, text)
		return newReader(path, text, &planRenames).renamed, err
	}
	operator, err := Parse(path, text)
	return operator.Renamed, err
}

// TestRenamedFiles reads the version of each golden file that uses the current terms. The result must be the same, and
// there must be no warning.
func TestRenamedFiles(t *testing.T) {
	warnings := captureWarnings(t)
	files := setuptest.Must(filepath.Glob("testdata/golden/*.ini"))
	for _, path := range files {
		t.Run(filepath.Base(path), func(t *testing.T) {
			text := setuptest.Must(os.ReadFile(filepath.Join("testdata/renamed", filepath.Base(path))))
			var l listing
			listGolden(t, &l, path, text)
			compareGolden(t, strings.TrimSuffix(path, ".ini")+".golden", l.String())
			if renamed, err := parseGolden(path, text); err != nil || len(renamed) > 0 {
				t.Errorf("earlier terms %q, error %v", renamed, err)
			}
		})
	}
	if warnings.Len() > 0 {
		t.Errorf("unexpected warnings\n%s", warnings)
	}
}

// TestRenamedEveryTerm checks that the golden files with all settings contain every setting and section that has an
// earlier name.
func TestRenamedEveryTerm(t *testing.T) {
	for _, kind := range []struct {
		files   []string
		renames *renames
	}{
		{[]string{"every.ini"}, &operatorRenames},
		{[]string{"drill-every.ini"}, &drillRenames},
		{[]string{"agreed-budgets-every.ini", "agreed-plan-every.ini"}, &planRenames},
	} {
		seen := map[string]bool{}
		for _, name := range kind.files {
			r := newReader(name, setuptest.Must(os.ReadFile("testdata/golden/"+name)), kind.renames)
			for key := range r.lines {
				section, name, _ := strings.Cut(key, ".")
				kind, _, _ := strings.Cut(section, " ")
				seen[kind+"."+name] = true
			}
		}
		for earlier, current := range kind.renames.sections {
			if !seen[current+"."] {
				t.Errorf("no file contains [%s], which is now [%s]", earlier, current)
			}
		}
		for section, names := range kind.renames.names {
			if kind.renames == &drillRenames && operatorRenames.names[section] != nil {
				continue // checked with operatorRenames, because the section is copied into an operator's file
			}
			for earlier, current := range names {
				if !seen[section+"."+current] {
					t.Errorf("no file contains %s.%s, which is now %s", section, earlier, current)
				}
			}
		}
	}
}

// TestRenamesUnambiguous checks that no term is both an earlier and a current one in the same section or setting, and
// that no two earlier terms there have the same current term.
func TestRenamesUnambiguous(t *testing.T) {
	check := func(place string, table map[string]string) {
		current := slices.Collect(maps.Values(table))
		slices.Sort(current)
		if len(slices.Compact(slices.Clone(current))) != len(current) {
			t.Errorf("%s: two earlier terms have the same current term", place)
		}
		for _, term := range current {
			if _, earlier := table[term]; earlier {
				t.Errorf("%s: %s is both an earlier and a current term", place, term)
			}
		}
	}
	for file, table := range map[string]*renames{
		"operator's file": &operatorRenames,
		"drill":           &drillRenames,
		"plan":            &planRenames,
	} {
		check(file, table.sections)
		for section, names := range table.names {
			check(file+" ["+section+"]", names)
		}
		for name, words := range table.values {
			check(file+" "+name, words)
		}
	}
}

// TestRenamedDiagnostics checks the diagnostics of a file with earlier terms. They use the names as written in the file
// and suggest current terms only.
func TestRenamedDiagnostics(t *testing.T) {
	for _, test := range []struct {
		name, text string
		want       []string
	}{
		{"misspelt name", "[relay]\nwya = informed\n" + fleetSection, []string{
			"x:2: relay.wya: is not a setting of this section; must be one of choice-count, connections-per-member, " +
				"drain-grace, ejected-fraction, idle-timeout, load-half-life, load-max-age, max-ejected-fraction, " +
				"max-in-flight, outcome-half-life, policy, probes-per-request, retry-after, retry-budget, retry-burst, " +
				"subset-size, zone-affinity",
		}},
		{"misspelt section", "[stewrad]\n" + fleetSection, []string{
			"x:1: stewrad: is not a known section; must be one of allocator, amqp, caller NAME, callers, coordinator, fleet, " +
				"log, proxy, queue NAME, role NAME, spillover, tls, tokens, upstream",
		}},
		{"invalid value", "[relay]\nway = best\n[queue a]\nfloor = x\n[amqp]\nbrokers = amqp://h\n" + fleetSection, []string{
			`x:2: relay.way: is "best", must be one of greedy, informed, least-open, random, round-robin, two-own, two-told`,
			`x:4: queue a.floor: is "x", must be a whole number from 0 to 1000`,
		}},
		{"invalid word", "[fleet]\nlisten = 127.0.0.1:1\nkeys = k\nfenced = go\nroles = relay, king\n", []string{
			`x:4: fleet.fenced: is "go", must be one of drain, serve`,
			`x:5: fleet.roles: is "king", must be one of instance, proxy, coordinator, upstream`,
		}},
		{"missing name", "[steward]\nlisten = 127.0.0.1:1\nstewards = 127.0.0.1:1\n[fleet]\nname = n\n" +
			"listen = 127.0.0.1:2\nkeys = k\n", []string{"x:1: steward.data-dir: must be a path"}},
		{"repeated name", "[proxy]\nway = informed\npolicy = informed\n" + fleetSection, []string{
			"x:3: proxy.policy: must appear only once, but already appears on line 2",
		}},
		{"repeated name, the earlier one last", "[proxy]\npolicy = informed\nway = informed\n" + fleetSection, []string{
			"x:3: proxy.way: must appear only once, but already appears on line 2",
		}},
		{"repeated section", "[relay]\nway = informed\n[proxy]\nchoice-count = 2\n" + fleetSection, []string{
			"x:3: proxy: must appear only once, but already appears on line 1",
		}},
		{"repeated section and name", "[relay]\nway = informed\n[proxy]\npolicy = random\n" + fleetSection, []string{
			"x:3: proxy: must appear only once, but already appears on line 1",
			"x:4: proxy.policy: must appear only once, but already appears on line 2",
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, err := Parse("x", []byte(test.text))
			checkDiagnostics(t, err, test.want)
		})
	}
}

const fleetSection = "[fleet]\nlisten = 127.0.0.1:7946\nkeys = k\n"

func checkDiagnostics(t *testing.T, err error, want []string) {
	t.Helper()
	var diagnostics diagnostic.List
	if !errors.As(err, &diagnostics) {
		t.Fatalf("error %v is not a list of diagnostics", err)
	}
	var got []string
	for _, d := range diagnostics {
		got = append(got, d.Error())
	}
	if !slices.Equal(got, want) {
		t.Errorf("got\n%s\nwant\n%s", strings.Join(got, "\n"), strings.Join(want, "\n"))
	}
}

// TestRenamedDrillDiagnostics checks the diagnostics of drill scripts, budgets and rollout plans with earlier terms.
func TestRenamedDrillDiagnostics(t *testing.T) {
	_, err := ParseDrill("x", []byte("[drill]\nrelays = 2\nproxies = 2\nrelyas = 1\n"+
		"[fault a]\ndo = kil\nat = 1s\non = desk\n"))
	checkDiagnostics(t, err, []string{
		"x:3: drill.proxies: must appear only once, but already appears on line 2",
		"x:4: drill.relyas: is not a setting of this section; must be one of allocators, clients, coordinators, duration, " +
			"max-memory-mb, mean-run-time, processes, proxies, rate, releases, seed, seed-members, settle, startup, " +
			"upstream-call-duration, zones",
		`x:6: fault a.do: is "kil", must be one of blackhole, burst, coordinator-command, delay, duplicate, fail-runs, ` +
			"flood, garble, half-close, keys, kill, late-runtime, leave, lose, lose-runs, pause, refuse, reorder, replace, " +
			"restart, seeds, slow-runs, stall, throttle, wipe",
		"x:6: fault a.do: must be an action, for example blackhole or kill",
		`x:8: fault a.on: is "desk", must be all, others, proxies, instances, allocators, coordinators, zone NAME, ` +
			"release NAME, process N, first N, draw N or draw N%; NAME must be in drill.zones or drill.releases, " +
			"N from 0 to the number of processes, and N% from 0% to 100%",
	})
	_, err = ParseDrill("x", []byte("[relay]\n[drill]\n"))
	checkDiagnostics(t, err, []string{
		"x:1: relay: is not a known section; must be one of allocator, bad-release, balance, coordinator, drill, " +
			"fault NAME, fleet, proxy, rollout, spillover, upstream",
	})
	_, err = ParseBudgets("x", []byte("[budget a]\nmost = 1\nmax-unavailable = 1\nrole = king\n"))
	checkDiagnostics(t, err, []string{
		"x:3: budget a.max-unavailable: must appear only once, but already appears on line 2",
		`x:4: budget a.role: is "king", must be one of coordinator, instance, proxy, upstream`,
	})
	_, err = ParseRollout("x", []byte("[release]\nname = n\nto = 2\ntarget-release = 2\n"))
	checkDiagnostics(t, err, []string{"x:4: release.target-release: must appear only once, but already appears on line 3"})
}

// TestRenamedOverrides checks that overrides work with earlier and with current names, whichever the script uses.
func TestRenamedOverrides(t *testing.T) {
	for _, script := range []string{
		"[drill]\nrelays = 2\n[relaying]\nway = informed\nsubset = 3\n",
		"[drill]\nproxies = 2\n[proxy]\npolicy = informed\nsubset-size = 3\n",
	} {
		for _, overrides := range [][]string{
			{"drill.relays=4", "relaying.way=random", "even.most=9", "members.fenced=leave"},
			{"drill.proxies=4", "proxy.policy=random", "balance.max-imbalance=9", "fleet.when-fenced=drain"},
		} {
			drill, err := ParseDrill("x", []byte(script), overrides...)
			if err != nil {
				t.Fatal(err)
			}
			wantProxy := []Setting{{"policy", "random"}, {"subset-size", "3"}}
			wantFleet := []Setting{{"when-fenced", "drain"}}
			if drill.Proxies != 4 || drill.Balance.MaxImbalance != 9 || !drill.Balance.Enabled ||
				!slices.Equal(drill.ProxySettings, wantProxy) || !slices.Equal(drill.FleetSettings, wantFleet) {
				t.Errorf("overrides %q of script %q: %+v", overrides, script, drill)
			}
		}
	}
}

// captureWarnings redirects the log to the returned buffer until the test ends. As in a new process, all earlier terms
// count as not warned about.
func captureWarnings(t *testing.T) *bytes.Buffer {
	t.Helper()
	var text bytes.Buffer
	before := slog.Default()
	slog.SetDefault(slog.New(slog.NewTextHandler(&text, &slog.HandlerOptions{
		ReplaceAttr: func(_ []string, a slog.Attr) slog.Attr {
			if a.Key == slog.TimeKey {
				return slog.Attr{}
			}
			return a
		},
	})))
	warnedRenames.uses = map[string]bool{}
	t.Cleanup(func() {
		slog.SetDefault(before)
		warnedRenames.uses = map[string]bool{}
	})
	return &text
}

// TestRenamedWarning checks that a process logs one warning about all earlier terms in a file, with the current terms,
// and later warns only about terms that it has not warned about yet.
func TestRenamedWarning(t *testing.T) {
	warnings := captureWarnings(t)
	path := filepath.Join(t.TempDir(), "op.ini")
	write := func(text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write("[relay]\nway = informed\nchoice-count = 2\n[role crew]\ntypes = *\npermissions = read\n" +
		"[fleet]\nlisten = 127.0.0.1:7946\nkey-file = k\nroles = relay, instance\n")
	for range 2 {
		if _, err := Load(path); err != nil {
			t.Fatal(err)
		}
	}
	want := `level=WARN msg="renamed settings" use="[relay] is now [proxy]; relay.way is now proxy.policy; ` +
		`role crew.types is now role crew.classes; fleet.roles = relay, instance is now proxy, instance"` + "\n"
	if warnings.String() != want {
		t.Errorf("logged\n%swant\n%s", warnings, want)
	}
	warnings.Reset()
	write("[relay]\nway = informed\nchoices = 2\n[fleet]\nlisten = 127.0.0.1:7946\nkey-file = k\n")
	if _, err := Load(path); err != nil {
		t.Fatal(err)
	}
	want = `level=WARN msg="renamed settings" use="relay.choices is now proxy.choice-count"` + "\n"
	if warnings.String() != want {
		t.Errorf("logged\n%swant\n%s", warnings, want)
	}
}

// TestRenamedPlansWarning checks the warnings about earlier terms in drill scripts, budgets and rollout plans.
func TestRenamedPlansWarning(t *testing.T) {
	warnings := captureWarnings(t)
	if _, err := ParseDrill("x", []byte("[drill]\nfor = 3s\n[fault a]\naction = kill\nat = 1s\non = desks\n"),
		"even.most=9"); err != nil {
		t.Fatal(err)
	}
	if _, err := ParseBudgets("x", []byte("[budget a]\nmost = 1\nrole = below\nbelow = depot\n")); err != nil {
		t.Fatal(err)
	}
	if _, err := ParseRollout("x", []byte("[release]\nname = n\nto = 2\n")); err != nil {
		t.Fatal(err)
	}
	want := `level=WARN msg="renamed settings" use="drill.for is now drill.duration; fault a.on is now fault a.targets; ` +
		`even.most is now balance.max-imbalance; fault a.on = desks is now allocators"
level=WARN msg="renamed settings" use="budget a.most is now budget a.max-unavailable; ` +
		`budget a.below is now budget a.upstream; budget a.role = below is now upstream"
level=WARN msg="renamed settings" use="release.to is now release.target-release"
`
	if warnings.String() != want {
		t.Errorf("logged\n%swant\n%s", warnings, want)
	}
}

// TestStartupFingerprint checks that the settings that a reload cannot change are printed under their current names.
func TestStartupFingerprint(t *testing.T) {
	const text = "[amqp]\nbrokers = amqp://h\nin-hand = 9\n[queue a]\nmost = 7\n"
	operator := setuptest.Must(Parse("etc/op.ini", []byte(text)))
	got := operator.AMQP.StartupFingerprint()
	for _, want := range []string{"brokers = amqp://h, ", "max-in-flight = 9, ", "dedup-ttl = 10m0s, ",
		"queue a.max-in-flight = 7, ", "queue a.class = type, "} {
		if !strings.Contains(got, want) {
			t.Errorf("%q is missing in %s", want, got)
		}
	}
	without := setuptest.Must(Parse("etc/op.ini", nil))
	if got := without.AMQP.StartupFingerprint(); got != "off" {
		t.Errorf("without the section: %s", got)
	}
}

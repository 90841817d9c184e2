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

// parseGolden reads a file as its kind, which its name tells, and gives the earlier terms that it uses.
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

// TestRenamedFiles reads each of the golden files in the terms that hold now: what is read is the same, and there is
// nothing to warn of.
func TestRenamedFiles(t *testing.T) {
	warnings := captureWarnings(t)
	files := setuptest.Must(filepath.Glob("testdata/golden/*.ini"))
	for _, path := range files {
		t.Run(filepath.Base(path), func(t *testing.T) {
			text := setuptest.Must(os.ReadFile(filepath.Join("testdata/renamed", filepath.Base(path))))
			var l listing
			listGolden(t, &l, path, text)
			compare(t, strings.TrimSuffix(path, ".ini")+".golden", l.String())
			if renamed, err := parseGolden(path, text); err != nil || len(renamed) > 0 {
				t.Errorf("earlier terms %q, error %v", renamed, err)
			}
		})
	}
	if warnings.Len() > 0 {
		t.Errorf("warned of\n%s", warnings)
	}
}

// TestRenamedEveryTerm checks that the files that say everything there is use every earlier term, and in the terms that
// hold now none.
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
		for earlier, now := range kind.renames.sections {
			if !seen[now+"."] {
				t.Errorf("[%s], now [%s], stands in no file", earlier, now)
			}
		}
		for section, names := range kind.renames.names {
			if kind.renames == &drillRenames && operatorRenames.names[section] != nil {
				continue // copied into an operator's file
			}
			for earlier, now := range names {
				if !seen[section+"."+now] {
					t.Errorf("%s.%s, now %s, stands in no file", section, earlier, now)
				}
			}
		}
	}
}

// TestRenamesUnambiguous checks that no term is an earlier and a present one in the same place, and that no two earlier
// ones are the same now.
func TestRenamesUnambiguous(t *testing.T) {
	check := func(place string, table map[string]string) {
		now := slices.Collect(maps.Values(table))
		slices.Sort(now)
		if len(slices.Compact(slices.Clone(now))) != len(now) {
			t.Errorf("%s: two earlier terms are the same now", place)
		}
		for _, term := range now {
			if _, earlier := table[term]; earlier {
				t.Errorf("%s: %s is an earlier term, too", place, term)
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

// TestRenamedDiagnostics checks what is said of a file with earlier terms: by what stands in it, and with suggestions
// in the present ones alone.
func TestRenamedDiagnostics(t *testing.T) {
	for _, test := range []struct {
		name, text string
		want       []string
	}{
		{"misspelt name", "[relay]\nwya = informed\n" + fleetSection, []string{
			"x:2: relay.wya: is no name of this section; wants choice-count, connections-per-member, drain-grace, " +
				"ejected-fraction, idle-timeout, load-half-life, load-max-age, max-ejected-fraction, max-in-flight, " +
				"outcome-half-life, policy, probes-per-request, retry-after, retry-budget, retry-burst, subset-size, " +
				"zone-affinity",
		}},
		{"misspelt section", "[stewrad]\n" + fleetSection, []string{
			"x:1: stewrad: is no section; wants allocator, amqp, caller NAME, callers, coordinator, fleet, log, proxy, " +
				"queue NAME, role NAME, spillover, tls, tokens, upstream",
		}},
		{"a wrong value", "[relay]\nway = best\n[queue a]\nfloor = x\n[amqp]\nbrokers = amqp://h\n" + fleetSection, []string{
			`x:2: relay.way: is "best", wants one of greedy, informed, least-open, random, round-robin, two-own, two-told`,
			`x:4: queue a.floor: is "x", wants a whole number from 0 to 1000`,
		}},
		{"a wrong word", "[fleet]\nlisten = 127.0.0.1:1\nkeys = k\nfenced = go\nroles = relay, king\n", []string{
			`x:4: fleet.fenced: is "go", wants one of drain, serve`,
			`x:5: fleet.roles: is "king", wants some of instance, proxy, coordinator, upstream`,
		}},
		{"a missing name", "[steward]\nlisten = 127.0.0.1:1\nstewards = 127.0.0.1:1\n[fleet]\nname = n\n" +
			"listen = 127.0.0.1:2\nkeys = k\n", []string{"x:1: steward.data-dir: wants a path"}},
		{"name twice", "[proxy]\nway = informed\npolicy = informed\n" + fleetSection, []string{
			"x:3: proxy.policy: stands in line 2 already",
		}},
		{"name twice, the earlier one last", "[proxy]\npolicy = informed\nway = informed\n" + fleetSection, []string{
			"x:3: proxy.way: stands in line 2 already",
		}},
		{"section twice", "[relay]\nway = informed\n[proxy]\nchoice-count = 2\n" + fleetSection, []string{
			"x:3: proxy: stands in line 1 already",
		}},
		{"names over both sections", "[relay]\nway = informed\n[proxy]\npolicy = random\n" + fleetSection, []string{
			"x:3: proxy: stands in line 1 already",
			"x:4: proxy.policy: stands in line 2 already",
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
		t.Fatalf("error %v", err)
	}
	var got []string
	for _, d := range diagnostics {
		got = append(got, d.Error())
	}
	if !slices.Equal(got, want) {
		t.Errorf("got\n%s\nwant\n%s", strings.Join(got, "\n"), strings.Join(want, "\n"))
	}
}

// TestRenamedDrillDiagnostics does the same for scripts and plans.
func TestRenamedDrillDiagnostics(t *testing.T) {
	_, err := ParseDrill("x", []byte("[drill]\nrelays = 2\nproxies = 2\nrelyas = 1\n"+
		"[fault a]\ndo = kil\nat = 1s\non = desk\n"))
	checkDiagnostics(t, err, []string{
		"x:3: drill.proxies: stands in line 2 already",
		"x:4: drill.relyas: is no name of this section; wants allocators, clients, coordinators, duration, max-memory-mb, " +
			"mean-run-time, processes, proxies, rate, releases, seed, seed-members, settle, startup, " +
			"upstream-call-duration, zones",
		`x:6: fault a.do: is "kil", wants one of blackhole, burst, coordinator-command, delay, duplicate, fail-runs, ` +
			"flood, garble, half-close, keys, kill, late-runtime, leave, lose, lose-runs, pause, refuse, reorder, replace, " +
			"restart, seeds, slow-runs, stall, throttle, wipe",
		"x:6: fault a.do: wants what is done, as blackhole or kill",
		`x:8: fault a.on: is "desk", wants all, others, proxies, instances, allocators, coordinators, zone NAME, ` +
			"release NAME, process N, first N, draw N or draw N%",
	})
	_, err = ParseDrill("x", []byte("[relay]\n[drill]\n"))
	checkDiagnostics(t, err, []string{
		"x:1: relay: is no section; wants allocator, bad-release, balance, coordinator, drill, fault NAME, fleet, proxy, " +
			"rollout, spillover, upstream",
	})
	_, err = ParseBudgets("x", []byte("[budget a]\nmost = 1\nmax-unavailable = 1\nrole = king\n"))
	checkDiagnostics(t, err, []string{
		"x:3: budget a.max-unavailable: stands in line 2 already",
		`x:4: budget a.role: is "king", wants one of coordinator, instance, proxy, upstream`,
	})
	_, err = ParseRollout("x", []byte("[release]\nname = n\nto = 2\ntarget-release = 2\n"))
	checkDiagnostics(t, err, []string{"x:4: release.target-release: stands in line 3 already"})
}

// TestRenamedOverrides checks values in place of a script's by either name, whichever of them the script has.
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
				t.Errorf("%q over %q: %+v", overrides, script, drill)
			}
		}
	}
}

// captureWarnings has the log written to the buffer until the test ends, as in a process that has warned of nothing.
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

// TestRenamedWarning checks that a process warns once of all earlier terms that a file uses, by the one that each has
// now; later of those alone that are new to it.
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

// TestRenamedPlansWarning checks the warnings of scripts, budgets and rollouts.
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

// TestStartupFingerprint checks that what a reload can't change is told by the names that a file has.
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

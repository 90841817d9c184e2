package drill

import (
	"bufio"
	"bytes"
	"flag"
	"fmt"
	"hash/fnv"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/parquet-go/parquet-go"

	"lanewheel/internal/config"
	"lanewheel/internal/membership"
)

var update = flag.Bool("update", false, "write the golden files of testdata anew")

// golden compares what is written today with the file of testdata that an earlier version wrote.
func golden(t *testing.T, name string, got []byte) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *update {
		if err := os.WriteFile(path, got, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		if bytes.IndexByte(got, 0) >= 0 {
			got = fmt.Appendf(nil, "%d bytes", len(got))
		}
		t.Fatalf("%s: written otherwise than before; now:\n%s", path, got)
	}
}

// recorded is a record with a row of each kind, put together as at the end of a run.
func recorded() Record {
	began := time.Unix(1_700_000_000, 0)
	at := func(ms int) time.Time { return began.Add(time.Duration(ms) * time.Millisecond) }
	w := &cluster{processes: []*process{{name: "p000"}, {name: "p001"}}}
	h := &requestLog{requests: []*issuedRequest{
		{id: "0000000000000001", class: "view", sentAt: at(100), answeredAt: at(105), outcome: "acked", responses: 1, executions: []execution{{1, at(103)}}},
		{id: "0000000000000002", class: "pay", process: 1, sentAt: at(200), answeredAt: at(202), outcome: "Busy", responses: 1},
		{id: "0000000000000003", class: "list", sentAt: at(300), answeredAt: at(340), outcome: "Failed", responses: 1, executions: []execution{{0, at(310)}}},
		{id: "0000000000000004", class: "view", sentAt: at(400), answeredAt: at(450), outcome: "broken"},
		{id: "0000000000000005", class: "view", sentAt: at(500), answeredAt: at(500)},
	}}
	halves := &config.DrillFault{Name: "halves", Action: "swallow", Command: "halt"}
	agree := &config.DrillFault{Name: "stop", Action: "agree", Command: "halt"}
	events := []Event{{At: 1500 * time.Millisecond, Fault: halves, From: []int{0}, To: []int{1}}, {At: 2 * time.Second, Fault: agree, Targets: []int{}},
		{At: 3500 * time.Millisecond, Fault: halves, Undo: true, From: []int{0}, To: []int{1}}}
	l := newNetwork(1)
	l.counters[[2]int{0, 1}] = &linkCounters{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12}
	links := l.rows(func(i int) string { return w.processes[i].name })
	return buildRecord(w, h, events, []Row{{1600, "differs", "", "", "", 2}}, links, []violation{{2500 * time.Millisecond, "no op lost", "no answer"}},
		[]metric{{"calm seconds", 3}}, began)
}

// A record keeps its columns, and the words in them: kinds, outcomes, rules and the names of figures.
func TestGoldenRecord(t *testing.T) {
	want := Record{
		{100, "op", "p000", "0000000000000001", "acked", 5},
		{103, "run", "p001", "0000000000000001", "", 0},
		{200, "op", "p001", "0000000000000002", "Busy", 2},
		{300, "op", "p000", "0000000000000003", "Failed", 40},
		{310, "run", "p000", "0000000000000003", "", 0},
		{400, "op", "p000", "0000000000000004", "broken", 50},
		{500, "op", "p000", "0000000000000005", "", 0},
		{1500, "done", "", "  1.50s halves: swallow 0 -> 1", "swallow", 1.5},
		{2000, "done", "", "  2.00s stop: halt", "agree", 2},
		{3500, "undone", "", "  3.50s halves: over: swallow 0 -> 1", "swallow", 3.5},
		{1600, "differs", "", "", "", 2},
		{2500, "violation", "", "  2.50s no op lost: no answer", "no op lost", 0},
		{0, "figure", "", "calm seconds", "", 3},
		{0, "link", "p000", "p001", "1 datagrams of 2 bytes, 3 streams of 4; lost 5, delayed 6, twice 7, late 8, garbled 9, refused 10, cut 11, halved 12", 6},
	}
	if got := recorded(); !reflect.DeepEqual(got, want) {
		t.Fatalf("the rows of a run are others than before:\n%v", got)
	}
	path := filepath.Join(t.TempDir(), "record.parquet")
	if err := want.Save(path); err != nil {
		t.Fatal(err)
	}
	written, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	golden(t, "record.parquet", written)
	read, err := LoadRecord("testdata/record.parquet")
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(read, want) {
		t.Fatalf("read otherwise than before:\n%v", read)
	}
	var table, difference bytes.Buffer
	read.WriteTable(&table)
	golden(t, "table.txt", table.Bytes())
	Compare(&difference, read, read[:3])
	golden(t, "difference.txt", difference.Bytes())
}

// The columns of a record, by name and type.
func TestGoldenSchema(t *testing.T) {
	b, err := os.ReadFile("testdata/record.parquet")
	if err != nil {
		t.Fatal(err)
	}
	f, err := parquet.OpenFile(bytes.NewReader(b), int64(len(b)))
	if err != nil {
		t.Fatal(err)
	}
	var columns []string
	for _, c := range f.Schema().Columns() {
		leaf, _ := f.Schema().Lookup(c...)
		columns = append(columns, strings.Join(c, ".")+" "+leaf.Node.Type().String())
	}
	want := []string{"at_ms INT(64,true)", "kind STRING", "process STRING", "name STRING", "outcome STRING", "value DOUBLE"}
	if !reflect.DeepEqual(columns, want) {
		t.Fatalf("%q", columns)
	}
}

// status is what a process says of itself on its status socket, as much of it as a drill reads.
const status = `{"name":"p000","life":"000000000000001f","standing":"whole","reach":1,"digest":"%016x","states":{"up":1},` +
	`"members":[{"name":"p001","state":"suspect","why":"silent"}],` +
	`"counts":{"suspect-gone":3,"up-suspect":5,"bytes-in":1000,"bytes-out":200,"packets-out":7},"cpu_ms":40}` + "\n"

// What is read of a process's status, and the names of the figures and rules that come of that and of the load.
func TestGoldenFigures(t *testing.T) {
	folder := t.TempDir()
	l, err := net.Listen("unix", filepath.Join(folder, "w"))
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	questions := make(chan string, 64)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			line, _ := bufio.NewReader(c).ReadString('\n')
			questions <- line
			fmt.Fprintf(c, status, membership.Fingerprint(membership.ID{Name: "p000", BootID: 0x1f}))
			c.Close()
		}
	}()
	d := &config.Drill{Instances: 2, LoadDuration: 20 * time.Second, SpilloverEnabled: true, Balance: config.DrillBalance{Enabled: true, MaxImbalance: 0.01, MaxIdleGaps: 0.01, RecoveryTime: time.Second},
		FinalRelease: "2", LimitedRelease: "3", MaxLimitedFraction: 0.1, Releases: []string{"1"}, Zones: []string{"a"}}
	p := &process{name: "p000", dir: folder, cmd: &exec.Cmd{}, release: "1"}
	w := &cluster{script: d, processes: []*process{p, {name: "p001", index: 1, release: "2"}}, print: func(string) {}}
	v := &membershipCheck{cluster: w, convergence: map[string]time.Duration{}}
	v.poll(0)
	if got := <-questions; got != "brief\n" {
		t.Fatalf("asked %q", got)
	}
	id := membership.ID{Name: "p000", BootID: 0x1f}
	if !v.converged || v.usage[id] != [3]uint64{1200, 40, 7} || v.evictions[id] != 3 || v.suspicions[id] != 5 {
		t.Fatal(v.converged, v.divergentDetail, v.usage, v.evictions, v.suspicions)
	}
	figures, all := []metric{}, []violation{}
	r := newIdleUsage(v)
	r.before[id.String()] = [3]uint64{0, 0, 0}
	r.startedAt = time.Now().Add(-time.Second)
	r.finish(v, 3*time.Second)
	for _, f := range r.metrics {
		figures = append(figures, metric{f.Name, 0}) // measured by the clock
	}
	halves := &config.DrillFault{Name: "halves", Action: "kill", Duration: 2 * time.Second, ForbidEviction: true}
	events := []Event{{At: 9 * time.Second, Fault: halves, Targets: []int{0}}, {At: 11 * time.Second, Fault: halves, Undo: true, Targets: []int{0}}}
	v.beforeEvent(&events[0], 9*time.Second)
	v.poll(10 * time.Second)
	v.evictionsBefore[id], v.suspicionsBefore[id] = 1, 1
	all = append(all, v.afterFault(&events[0], 10*time.Second)...)
	v.beforeEvent(&events[1], 11*time.Second)
	v.poll(13 * time.Second)
	v.converged = false
	all = append(all, v.afterFault(nil, 13*time.Second)...)
	figures = append(figures, v.metrics...)
	w.disruptions = &disruptionLog{maxOut: map[string]int{"all": 2}, everOn: map[string]map[string]bool{"3": {"p000": true}}}
	f, x := w.checkRollout()
	figures, all = append(figures, f...), append(all, x...)
	began := time.Unix(1_700_000_000, 0)
	h := &requestLog{}
	for i := range 200 {
		at := began.Add(time.Duration(i) * 100 * time.Millisecond)
		h.requests = append(h.requests, &issuedRequest{id: fmt.Sprint(i), class: "view", sentAt: at, answeredAt: at, outcome: "acked", responses: 1, executions: []execution{{i % 3 % 2, at}}})
	}
	f, x = checkBalance(w, h, nil, began, began.Add(20*time.Second))
	figures, all = append(figures, f...), append(all, x...)
	var text bytes.Buffer
	for _, f := range figures {
		fmt.Fprintf(&text, "%s = %.4g\n", f.Name, f.Value)
	}
	for _, v := range all {
		fmt.Fprintf(&text, "%v %s: %s\n", v.At, v.Rule, v.Detail)
	}
	golden(t, "figures.txt", text.Bytes())
}

// The lines by which a coordinator's hook has a member started.
func TestGoldenHook(t *testing.T) {
	w := &cluster{dir: t.TempDir(), script: &config.Drill{}}
	if err := w.listenForHooks(); err != nil {
		t.Fatal(err)
	}
	defer w.hookListener.Close()
	if err := RunHook(w.hookPath(), "p009", "2", &bytes.Buffer{}); err == nil || err.Error() != `no process "p009"` {
		t.Fatal(err)
	}
	l, err := net.Listen("unix", filepath.Join(t.TempDir(), "hook"))
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	heard := make(chan string, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		line, _ := bufio.NewReader(c).ReadString('\n')
		heard <- line
		fmt.Fprintln(c, "started")
	}()
	var out bytes.Buffer
	if err := RunHook(l.Addr().String(), "p001", "2", &out); err != nil {
		t.Fatal(err)
	}
	if got := <-heard; got != "p001 2\n" || out.String() != "started\n" {
		t.Fatalf("%q %q", got, out.String())
	}
}

// parsed writes out all of a script that is not zero, by the names of its keys.
func parsed(d *config.Drill) string {
	var b strings.Builder
	put := func(section string, values ...any) {
		fmt.Fprintf(&b, "[%s]", section)
		for i := 0; i < len(values); i += 2 {
			if v := fmt.Sprint(values[i+1]); v != "" && v != "0" && v != "0s" && v != "[]" && v != "false" && v != "{  0 0}" {
				fmt.Fprintf(&b, " %v=%s", values[i], v)
			}
		}
		fmt.Fprintln(&b)
	}
	put("drill", "processes", d.Instances, "relays", d.Proxies, "desks", d.Allocators, "stewards", d.Coordinators, "seed-processes", d.SeedMembers, "stubs", d.Clients,
		"seed", d.RandomSeed, "for", d.LoadDuration, "start", d.StartupDuration, "settle", d.SettleTimeout, "rate", d.RequestRate, "mean", d.MeanRunTime, "memory-mb", d.MaxMemoryMB, "calls-take", d.UpstreamCallDuration,
		"zones", d.Zones, "releases", d.Releases)
	put("relaying", "pairs", d.ProxySettings)
	put("members", "pairs", d.FleetSettings)
	put("calling", "pairs", d.UpstreamSettings)
	put("granting", "pairs", d.AllocatorSettings)
	put("stewarding", "pairs", d.CoordinatorSettings)
	put("handing", "given", d.SpilloverEnabled, "pairs", d.SpilloverSettings)
	put("even", "given", d.Balance.Enabled, "most", d.Balance.MaxImbalance, "idle", d.Balance.MaxIdleGaps, "back", d.Balance.RecoveryTime)
	put("bad-release", "release", d.BadRelease.Release, "slow", d.BadRelease.RunTimeFactor, "fails", d.BadRelease.FailRuns, "crashes-after", d.BadRelease.CrashAfter, "never-up", d.BadRelease.NeverReady)
	put("agreed", "ends-on", d.FinalRelease, "ever-on", d.LimitedRelease, "ever-on-most", d.MaxLimitedFraction)
	group := func(g config.DrillSelector) string {
		return fmt.Sprintf("{%s %s %d %g}", g.Kind, g.Name, g.Count, g.Fraction)
	}
	for _, f := range d.Faults {
		put("fault "+f.Name, "do", f.Action, "at", f.Earliest.String()+".."+f.Latest.String(), "for", f.Duration, "on", group(f.Targets), "from", group(f.From), "to", group(f.To),
			"both", f.Bidirectional, "share", f.Fraction, "factor", f.Factor, "command", f.Command, "delay", f.Delay, "jitter", f.Jitter, "rate", f.BytesPerSecond, "keys", f.KeyNumbers,
			"seeds", f.SeedMembers, "none-gone", f.ForbidEviction, "refuses", f.AllowUnanswered)
	}
	return b.String()
}

// The scripts of drills/ and one that sets everything, as they are read, and what is drawn from their seeds: when, and to whom.
func TestGoldenScripts(t *testing.T) {
	paths, err := filepath.Glob("../../drills/*.ini")
	if err != nil || len(paths) == 0 {
		t.Fatal(err, paths)
	}
	var text bytes.Buffer
	for _, path := range append(paths, "testdata/everything.ini") {
		d, err := config.LoadDrill(path)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&text, "# %s\n%s", filepath.Base(path), parsed(&d))
		for _, e := range Timeline(&d) {
			who := fnv.New32a()
			fmt.Fprint(who, e.Targets, e.From, e.To)
			fmt.Fprintf(&text, "%v %s #%08x\n", e.At, e, who.Sum32())
		}
	}
	golden(t, "scripts.txt", text.Bytes())
}

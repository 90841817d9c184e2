package fleetcommands

import (
	"bufio"
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/parquet-go/parquet-go"

	"lanewheel/admission"
	"lanewheel/internal/balancer"
	"lanewheel/internal/cli"
	"lanewheel/internal/config"
	"lanewheel/internal/coordination"
	"lanewheel/internal/fleet/coordinator/client"
	"lanewheel/internal/fleet/gossip"
	"lanewheel/internal/membership"
	"lanewheel/internal/proxy"
	"lanewheel/internal/server"
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
	if want := stored(t, name); !bytes.Equal(got, want) {
		if bytes.IndexByte(got, 0) >= 0 {
			got = fmt.Appendf(nil, "%d bytes", len(got))
		}
		t.Fatalf("%s: written otherwise than before; now:\n%s", path, got)
	}
}

func stored(t *testing.T, name string) []byte {
	t.Helper()
	b, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// agreed is what a coordinator answers, with every field set.
func agreed() (client.Status, []coordination.HistoryEntry) {
	// Of and Judged of a plan are not in a release's JSON: the release's own fields of these names stand there.
	plan := coordination.RolloutPlan{Name: "r2", TargetRelease: "2", Waves: []coordination.Wave{{Count: 2, Fraction: 0.1, Zone: "north"}}, Pause: 3 * time.Second, RollbackWavesAtOnce: 2, MaxAttempts: 3}
	permit := coordination.Permit{ID: 7, Member: "p001", Incarnation: 12, RequestedBy: "ann", Purpose: "drain", Stage: coordination.PermitGranted, RequestedAt: time.Second, StageSince: 2 * time.Second,
		BeginTimeout: 30 * time.Second, Overtakes: 4, WaitReason: "budget all", Outcome: "dropped"}
	budget := coordination.DisruptionBudget{Name: "all", Selector: coordination.Selector{Zone: "north", Release: "1", Role: "instance", Upstream: "db"}, MaxUnavailable: 3, MaxUnavailableFraction: 0.5, MinAvailableCapacity: 6}
	member := coordination.Member{Observation: coordination.Observation{Name: "p001", Incarnation: 12, Zone: "north", Release: "1", Roles: membership.RoleServer, Upstream: "db", Capacity: 2, State: coordination.MemberGone},
		StateSince: 5 * time.Second, PermitID: 7, PreviousRelease: "0", FailedAttempts: 1}
	s := client.Status{ID: "s1", Leader: "s2", IsLeader: true, Term: 3, AppliedIndex: 44, Coordinators: map[string]string{"s1": "127.0.0.1:7960"}, FleetTime: "1m0s",
		Halt: &coordination.Halt{At: time.Second, By: "bob", Reason: "noise"}, Budgets: []coordination.BudgetUsage{{Budget: budget, Members: 12, Unavailable: 1, UnavailableLimit: 3, AvailableCapacity: 22}},
		Rollout: &coordination.Rollout{RolloutPlan: plan, RequestedBy: "ann", Phase: coordination.RolloutUpdating, Wave: 1, PhaseSince: 9 * time.Second, Analyzed: true,
			WaveMembers: [][]coordination.Name{{"p001", "p002"}}, WaitReason: "a permit", Reason: "slower"},
		Permits: []coordination.Permit{permit}, Unavailable: []coordination.Member{member}, MemberCount: 15}
	return s, []coordination.HistoryEntry{{Sequence: 9, At: 61500 * time.Millisecond, RequestedBy: "ann", Kind: coordination.KindStartRollout, Summary: "r2 to 2",
		Reply: coordination.Reply{OK: true, Reason: "begun", PermitID: 8, PermitIDs: []coordination.PermitID{8, 9}}}}
}

// coordinator is one that answers each question by answer; what it was asked comes on the channel.
func coordinator(t *testing.T, answer []byte) (file string, questions chan string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	folder := t.TempDir()
	keys := []membership.Key{membership.Key(bytes.Repeat([]byte("k"), 32))}
	questions = make(chan string, 16)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if kind, err := client.ServerHandshake(c, keys); err == nil && kind == client.ClientConnection {
				line, _ := bufio.NewReader(c).ReadString('\n')
				questions <- line
				_, _ = c.Write(answer)
			}
			c.Close()
		}
	}()
	file = filepath.Join(folder, "operator.ini")
	text := fmt.Sprintf("[fleet]\nname = s1\nlisten = 127.0.0.1:7946\nkeys = keys\n[steward]\nlisten = 127.0.0.1:7960\nfolder = log\nstewards = %s\n", l.Addr())
	for path, text := range map[string]string{file: text, filepath.Join(folder, "keys"): "a2tra2tra2tra2tra2tra2tra2tra2tra2tra2tra2s=\n"} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return file, questions
}

// What a coordinator answers is read as ever, and "--json" prints it as ever.
func TestGoldenAnswers(t *testing.T) {
	status, history := agreed()
	for name, want := range map[string]client.Response{"status": {Status: &status}, "history": {History: history}} {
		t.Run(name, func(t *testing.T) {
			b, err := json.Marshal(want)
			if err != nil {
				t.Fatal(err)
			}
			golden(t, name+"-answer.json", append(b, '\n'))
			var got client.Response
			if err := json.Unmarshal(stored(t, name+"-answer.json"), &got); err != nil {
				t.Fatal(err)
			}
			if !reflect.DeepEqual(got, want) {
				t.Fatalf("read otherwise than before: %+v", got)
			}
			file, questions := coordinator(t, stored(t, name+"-answer.json"))
			var out bytes.Buffer
			if err := runCoordinatorCommand(cli.CoordinatorCommand{File: file, Action: name, JSON: true}, &out); err != nil {
				t.Fatal(err)
			}
			<-questions
			golden(t, name+"-printed.json", out.Bytes())
			if name == "history" {
				return
			}
			out.Reset()
			if err := runCoordinatorCommand(cli.CoordinatorCommand{File: file, Action: name}, &out); err != nil {
				t.Fatal(err)
			}
			golden(t, name+"-printed.txt", out.Bytes())
		})
	}
}

// What each command asks the coordinators, as it goes over the wire; the key is drawn anew each time.
func TestGoldenQuestions(t *testing.T) {
	folder := t.TempDir()
	budgets, plan := filepath.Join(folder, "budgets.ini"), filepath.Join(folder, "plan.ini")
	for path, text := range map[string]string{
		budgets: "[budget all]\nrole = instance\nzone = north\nrelease = 1\nbelow = db\nmost = 3\n[budget share]\nshare = 0.5\nleast-capacity = 6\n",
		plan:    "[release]\nname = r2\nto = 2\nof-zone = north\nof-release = 1\nof-role = relay\nwaves = 1, 25%, zone north\npause = 2s\njudged = yes\nback-faster = 3\ntries = 4\n",
	} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	file, questions := coordinator(t, []byte(`{"Reply":{"OK":true,"Why":"","Number":7}}`+"\n"))
	var text strings.Builder
	for _, a := range []cli.CoordinatorCommand{
		{Action: "drain", Name: "p001"}, {Action: "drain", Zone: "north"}, {Action: "drain", Upstream: "db"}, {Action: "undrain", Name: "p001"}, {Action: "undrain", Zone: "north"},
		{Action: "forget", Name: "p001"}, {Action: "halt", Reason: "noise"}, {Action: "resume"}, {Action: "back", Reason: "slower"}, {Action: "budgets", Path: budgets},
		{Action: "release", Path: plan}, {Action: "leave", Name: "s2"},
	} {
		a.File, a.RequestedBy = file, "ann"
		var out bytes.Buffer
		if err := runCoordinatorCommand(a, &out); err != nil {
			t.Fatal(err)
		}
		q := regexp.MustCompile(`"Key":"[0-9a-f]{16}"`).ReplaceAllString(<-questions, `"Key":"16 hex digits"`)
		fmt.Fprintf(&text, "%s: %s%s", a.Action, q, out.String())
	}
	golden(t, "questions.txt", []byte(text.String()))
}

// The history as Parquet: columns, and every value of a row.
func TestGoldenHistory(t *testing.T) {
	_, history := agreed()
	history = append(history, coordination.HistoryEntry{Sequence: 10, At: time.Second, RequestedBy: "bob", Kind: coordination.KindHalt, Summary: "all", Reply: coordination.Reply{Reason: "halted already"}})
	path := filepath.Join(t.TempDir(), "history.parquet")
	if err := exportHistory(history, path); err != nil {
		t.Fatal(err)
	}
	b, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	golden(t, "history.parquet", b)
	rows, err := parquet.ReadFile[historyRow]("testdata/history.parquet")
	if err != nil {
		t.Fatal(err)
	}
	want := []historyRow{{9, 61500, "ann", "release", "r2 to 2", true, "begun", 8}, {10, 1000, "bob", "halt", "all", false, "halted already", 0}}
	if !reflect.DeepEqual(rows, want) {
		t.Fatalf("%+v", rows)
	}
	b = stored(t, "history.parquet")
	f, err := parquet.OpenFile(bytes.NewReader(b), int64(len(b)))
	if err != nil {
		t.Fatal(err)
	}
	var columns []string
	for _, c := range f.Schema().Columns() {
		leaf, _ := f.Schema().Lookup(c...)
		columns = append(columns, strings.Join(c, ".")+" "+leaf.Node.Type().String())
	}
	if got := strings.Join(columns, ", "); got != "nth INT(64,true), at_ms INT(64,true), by STRING, do STRING, what STRING, agreed BOOLEAN, why STRING, number INT(64,true)" {
		t.Fatal(got)
	}
}

// A process's status is read from its socket as ever, and "members --json" prints it as ever.
func TestGoldenMembers(t *testing.T) {
	want := gossip.Snapshot{Name: "p000", BootID: "000000000000001f", Incarnation: 12, Zone: "north", Release: "1", LocalHealth: "whole", HeardFraction: 0.75, ViewVersion: 5,
		ViewDigest: "00000000000000ff", States: map[string]int{"up": 1}, Counters: map[string]uint64{"packets-out": 7}, CPUMillis: 40,
		Members: []gossip.MemberSnapshot{{Name: "p001", BootID: "0000000000000020", Incarnation: 13, State: "suspect", Reason: "silent", InStateMillis: 1500, SinceHeartbeatMillis: 2500,
			GossipAddr: "127.0.0.1:7946", Roles: "instance", Zone: "south", Release: "2", Capacity: 2.5, Metrics: map[string]float64{"held": 3}, StaleMetrics: []string{"signal"}}}}
	b, err := json.Marshal(want)
	if err != nil {
		t.Fatal(err)
	}
	golden(t, "members-answer.json", append(b, '\n'))
	socket := filepath.Join(t.TempDir(), "w")
	l, err := net.Listen("unix", socket)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	answer := stored(t, "members-answer.json")
	asked := make(chan string, 4)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			line, _ := bufio.NewReader(c).ReadString('\n')
			asked <- line
			_, _ = c.Write(answer)
			c.Close()
		}
	}()
	got, err := gossip.ReadSnapshot(socket, gossip.SnapshotFull)
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Fatalf("%v, read otherwise than before: %+v", err, got)
	}
	if line := <-asked; line != "view\n" {
		t.Fatalf("asked %q", line)
	}
	var out bytes.Buffer
	if err := showMembers(config.Fleet{StatusSocket: socket}, nil, true, &out); err != nil {
		t.Fatal(err)
	}
	golden(t, "members-printed.json", out.Bytes())
	out.Reset()
	if err := showMembers(config.Fleet{StatusSocket: socket}, []string{socket}, false, &out); err != nil {
		t.Fatal(err)
	}
	golden(t, "members-printed.txt", out.Bytes())
}

// The keys of the facts that an instance and a proxy have gossiped of themselves.
func TestGoldenFacts(t *testing.T) {
	config := server.Config{Name: "n", ListenAddr: "127.0.0.1:0", RuntimeAddr: "127.0.0.1:1", TerminationGrace: time.Second, MaxDescriptors: 128, MemoryMB: 32, Cores: 1, Settings: admission.Settings{}}
	in, err := server.New(config)
	if err != nil {
		t.Fatal(err)
	}
	r, err := proxy.Listen(config, proxy.Config{}, nil)
	if err != nil {
		t.Fatal(err)
	}
	go in.Serve()
	go r.Serve()
	t.Cleanup(func() { in.Post(in.Quit); r.Post(r.Quit) })
	var text strings.Builder
	for _, p := range []gossip.Process{&serverProcess{in}, &proxyProcess{r}} {
		report := make(chan gossip.ProcessStatus, 1)
		p.Status(func(r gossip.ProcessStatus) { report <- r })
		for _, f := range (<-report).Metrics {
			fmt.Fprint(&text, f.Name, " ")
		}
		load := make(chan float64, 1)
		p.Load(func(l float64, _ gossip.RequestStats) { load <- l })
		if got := <-load; got > 0 || got < -1 {
			t.Fatal(got)
		}
	}
	if got := text.String(); got != "health signal held running cores passing " {
		t.Fatal(got)
	}
	if got := balancer.IdleLoad(time.Second); got != -0.5 {
		t.Fatal(got)
	}
}

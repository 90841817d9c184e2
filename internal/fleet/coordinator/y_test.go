package coordinator

import (
	"archive/tar"
	"bytes"
	"compress/gzip"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/raft"

	"lanewheel/internal/coordination"
	"lanewheel/internal/coordination/canary"
	"lanewheel/internal/fake"
	"lanewheel/internal/membership"
)

var update = flag.Bool("update", false, "write the golden folder anew; only where the stored form is meant to change")

const (
	goldenFolder = "testdata/folder.tar.gz"
	goldenState  = "testdata/state.json"
	goldenAt     = "127.0.0.1:7373" // where the others would dial it: it stands in the folder
)

func goldenTold(folder string) Config {
	return Config{Name: "s0", ListenAddr: "127.0.0.1:0", AdvertiseAddr: goldenAt, DataDir: folder, Bootstrap: true,
		HeartbeatTimeout: 300 * time.Millisecond, ClusterKeys: []membership.Key{clusterKey}, Coordination: coordination.DefaultConfig(),
		Canary: canary.DefaultConfig(), AnalysisWindow: time.Second, SampleSize: 8, RestartTimeout: time.Second, RestartOutputLimit: 64, SnapshotThreshold: 1000}
}

// goldenCommands are of every kind, and come out well unless said; at is when the first is given, from is the number of
// its first permit. They leave n0 out by a permit, n3 with one that has been granted, and a release on its way back.
func goldenCommands(term uint64, at time.Duration, from coordination.PermitID, inc membership.Incarnation, old,
	next string) (all []coordination.Command) {
	seen := func(name coordination.Name, zone, release string, plus membership.Incarnation, why coordination.MemberState) coordination.Observation {
		return coordination.Observation{Name: name, Incarnation: inc + plus, Zone: zone, Release: release, Roles: membership.RoleServer,
			Capacity: 1.5, State: why}
	}
	group := coordination.Selector{Zone: "b", Role: "instance"}
	all = []coordination.Command{
		{Kind: coordination.KindObserve, Observations: []coordination.Observation{seen("n0", "a", old, 0, coordination.MemberUp), seen("n1", "a", old, 0, coordination.MemberUp),
			seen("n2", "b", old, 0, coordination.MemberUp), seen("n3", "b", old, 0, coordination.MemberUp),
			seen("n4", "c", old, 0, coordination.MemberUp), seen("n5", "c", old, 0, coordination.MemberUp),
			{Name: "d0", Incarnation: inc, Zone: "a", Release: old, Roles: membership.RoleUpstream, Upstream: "d0", Capacity: 1,
				State: coordination.MemberUp},
			{Name: "r0", Incarnation: inc, Zone: "a", Release: old, Roles: membership.RoleProxy | membership.RoleCoordinator,
				Capacity: 2, State: coordination.MemberSuspect}}},
		{Kind: coordination.KindSetBudgets, Budgets: []coordination.DisruptionBudget{{Name: "all", MaxUnavailable: 3, MinAvailableCapacity: 4}, {Name: "share-b", Selector: group,
			MaxUnavailable: -1, MaxUnavailableFraction: 0.5},
			{Name: "below", Selector: coordination.Selector{Upstream: "d0", Release: old}, MaxUnavailable: 1}}},
		// The permit from; then the same command once more.
		{Kind: coordination.KindRequestPermit, Member: "n0", IdempotencyKey: fmt.Sprint("key-", term), BeginTimeout: 20 * time.Second, Reason: "by hand"},
		{Kind: coordination.KindRequestPermit, Member: "n0", IdempotencyKey: fmt.Sprint("key-", term), BeginTimeout: 20 * time.Second, Reason: "by hand"},
		{Kind: coordination.KindBeginPermit, Member: "n0", Incarnation: inc, PermitID: from},
		{Kind: coordination.KindDrain, Selector: group, BeginTimeout: 25 * time.Second}, // from+1 granted, from+2 waits
		{Kind: coordination.KindCancelDrain, Selector: coordination.Selector{Zone: "b"}},
		{Kind: coordination.KindRequestPermit, Member: "n4"}, // from+3
		{Kind: coordination.KindCancelPermit, PermitID: from + 3},
		{Kind: coordination.KindCancelPermit, PermitID: 999}, // refused
		{Kind: coordination.KindObserve, Observations: []coordination.Observation{seen("n5", "c", old, 0, coordination.MemberGone)}},
		{Kind: coordination.KindForgetMember, Member: "n5", Reason: "it burnt"},
		{Kind: coordination.KindHalt, Reason: "for the night"},
		{Kind: coordination.KindResume},
		{Kind: coordination.KindObserve, Observations: []coordination.Observation{seen("n0", "a", old, 0, coordination.MemberLeaving)}},
		{Kind: coordination.KindObserve, Observations: []coordination.Observation{seen("n0", "a", old, 1, coordination.MemberUp)}}, // from is over
		// A release, a wave of it judged, and its way back.
		{Kind: coordination.KindStartRollout, Plan: &coordination.RolloutPlan{Name: "r" + next, TargetRelease: next, Selector: coordination.Selector{Role: "instance"},
			Waves: []coordination.Wave{{Count: 1}, {Fraction: 0.5}, {Zone: "c"}}, Pause: time.Second, AnalysisRequired: true, RollbackWavesAtOnce: 2,
			MaxAttempts: 3}}, // from+4: n0
		{Kind: coordination.KindBeginPermit, Member: "n0", Incarnation: inc + 1, PermitID: from + 4},
		{Kind: coordination.KindObserve, Observations: []coordination.Observation{seen("n0", "a", next, 2, coordination.MemberWarmingUp)}},
		{Kind: coordination.KindObserve, Observations: []coordination.Observation{seen("n0", "a", next, 2, coordination.MemberUp)}},
		{Kind: coordination.KindCanaryVerdict, RolloutName: "r" + next, Wave: 0, Healthy: true, Reason: "+0.1%"},
		{Kind: coordination.KindTick},
		{Kind: coordination.KindTick},
		{Kind: coordination.KindRollBack, Reason: "second thoughts"}, // from+5: n0 goes back
		{Kind: coordination.KindRequestPermit, Member: "n3", BeginTimeout: 40 * time.Second},
		{Kind: coordination.KindBeginPermit, Member: "n0", Incarnation: inc + 2, PermitID: from + 7},
		{Kind: coordination.KindTick},
	}
	for i := range all {
		c := &all[i]
		c.Term, c.LeaderTime = term, at+time.Duration(i)*500*time.Millisecond
		if c.Kind != coordination.KindObserve && c.Kind != coordination.KindTick {
			c.RequestedBy = fmt.Sprint("operator-", term)
		}
	}
	return all
}

// goldenLog is the two halves: before the snapshot and behind it.
func goldenLog() (before, behind []coordination.Command) {
	before = goldenCommands(2, 3*time.Second, 1, 1_700_000_000_001, "1", "2")
	behind = goldenCommands(3, time.Second, 10, 1_700_000_000_101, "1", "3")
	last := behind[len(behind)-1]
	behind = append(behind, coordination.Command{Term: last.Term, LeaderTime: last.LeaderTime + time.Second, RequestedBy: "operator-3",
		Kind: coordination.KindRequestPermit, Member: "n1"}) // 19 waits
	return before, behind
}

func pack(folder, path string) error {
	var b bytes.Buffer
	z, err := gzip.NewWriterLevel(&b, gzip.BestCompression)
	if err != nil {
		return err
	}
	w := tar.NewWriter(z)
	if err := w.AddFS(os.DirFS(folder)); err != nil {
		return err
	}
	return errors.Join(w.Close(), z.Close(), os.WriteFile(path, b.Bytes(), 0o644))
}

func unpack(t *testing.T, path, folder string) {
	t.Helper()
	f, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	z, err := gzip.NewReader(f)
	if err != nil {
		t.Fatal(err)
	}
	r := tar.NewReader(z)
	for {
		h, err := r.Next()
		if err == io.EOF {
			return
		}
		if err != nil {
			t.Fatal(err)
		}
		to := filepath.Join(folder, filepath.FromSlash(h.Name))
		if h.Typeflag == tar.TypeDir {
			if err := os.MkdirAll(to, 0o700); err != nil {
				t.Fatal(err)
			}
			continue
		}
		b, err := io.ReadAll(r)
		if err != nil {
			t.Fatal(err)
		}
		if err := errors.Join(os.MkdirAll(filepath.Dir(to), 0o700), os.WriteFile(to, b, 0o600)); err != nil {
			t.Fatal(err)
		}
	}
}

func (n *replica) settled() bool { return n.raft.Barrier(time.Second).Error() == nil }

// A folder that an earlier program wrote: its identity, its log with every kind of command, a snapshot amid them. It
// opens, holds what was agreed, and goes on.
func TestFolderGolden(t *testing.T) {
	before, behind := goldenLog()
	if *update {
		folder := t.TempDir()
		s := fake.Must(New(goldenTold(folder)))
		fake.WaitFor("it leads", func() bool { return s.IsLeader() && s.replica.settled() })
		for _, c := range before {
			t.Log(c.Kind, c.Member, c.PermitID, fake.Must(s.replica.apply(c)))
		}
		if err := s.replica.raft.Snapshot().Error(); err != nil {
			t.Fatal(err)
		}
		for _, c := range behind {
			t.Log(c.Kind, c.Member, c.PermitID, fake.Must(s.replica.apply(c)))
		}
		s.streamLayer.Close()
		s.replica.close()
		if err := pack(folder, goldenFolder); err != nil {
			t.Fatal(err)
		}
	}

	folder := t.TempDir()
	unpack(t, goldenFolder, folder)
	var names []string
	if err := fs.WalkDir(os.DirFS(folder), ".", func(path string, d fs.DirEntry, err error) error {
		if !d.IsDir() {
			names = append(names, path)
		}
		return err
	}); err != nil {
		t.Fatal(err)
	}
	snapshots, _ := filepath.Glob(filepath.Join(folder, "snapshots", "*"))
	if len(snapshots) != 1 {
		t.Fatal(snapshots)
	}
	snap := "snapshots/" + filepath.Base(snapshots[0])
	if want := []string{"00000000000000000001-0000000000000000.wal", "life", "lock", snap + "/meta.json",
		snap + "/state.bin", "wal-meta.db"}; !slices.Equal(names, want) {
		t.Errorf("the folder holds %q, wanted %q", names, want)
	}
	life := string(fake.Must(os.ReadFile(filepath.Join(folder, "life"))))

	// The snapshot is what the commands before it come to, as the code has it now.
	model := coordination.NewState(coordination.DefaultConfig())
	for _, c := range before {
		model.Apply(c)
	}
	stored := fake.Must(os.ReadFile(filepath.Join(folder, snap, "state.bin")))
	if now := fake.Must(json.Marshal(model)); !bytes.Equal(stored, now) {
		t.Errorf("the snapshot is\n%s\nnow written as\n%s", stored, now)
	}

	s := fake.Must(New(goldenTold(folder)))
	defer func() {
		s.streamLayer.Close()
		s.replica.close()
	}()
	if s.replica.id != raft.ServerID("s0."+life) {
		t.Errorf("it is %s, wanted s0.%s", s.replica.id, life)
	}
	fake.WaitFor("it leads", func() bool { return s.IsLeader() && s.replica.settled() })

	// The log holds the commands byte for byte as they are written now.
	commands := append(slices.Clone(before), behind...)
	first, last := fake.Must(s.replica.wal.FirstIndex()), fake.Must(s.replica.wal.LastIndex())
	kinds := map[coordination.Kind]int{}
	for i, next := first, 0; i <= last; i++ {
		var entry raft.Log
		if err := s.replica.wal.GetLog(i, &entry); err != nil {
			t.Fatal(err)
		}
		if entry.Type != raft.LogCommand {
			continue
		}
		if next >= len(commands) {
			t.Fatalf("the log has more than %d commands", next)
		}
		var c coordination.Command
		if err := json.Unmarshal(entry.Data, &c); err != nil || !reflect.DeepEqual(c, commands[next]) {
			t.Errorf("entry %d reads as\n%+v\nwanted\n%+v (%v)", i, c, commands[next], err)
		}
		if now := fake.Must(json.Marshal(commands[next])); !bytes.Equal(entry.Data, now) {
			t.Errorf("entry %d is\n%s\nnow written as\n%s", i, entry.Data, now)
		}
		kinds[c.Kind]++
		next++
	}
	for _, do := range []coordination.Kind{"see", "budgets", "ask", "begin", "drop", "forget", "halt", "resume", "release",
		"back", "verdict", "tick", "drain", "undrain"} {
		if kinds[do] < 2 {
			t.Errorf("%d entries of %q, wanted some on either side of the snapshot", kinds[do], do)
		}
	}

	// What it holds, read from the snapshot and the log behind it.
	var state []byte
	s.replica.inspect(func(a *coordination.State) { state = append(fake.Must(json.MarshalIndent(a, "", "  ")), '\n') })
	if *update {
		if err := os.WriteFile(goldenState, state, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	if want := fake.Must(os.ReadFile(goldenState)); !bytes.Equal(state, want) {
		t.Errorf("it holds\n%s\nwanted\n%s", state, want)
	}
	s.replica.inspect(func(a *coordination.State) {
		if err := expected(a); err != nil {
			t.Error(err)
		}
	})

	// It goes on where it was.
	r := fake.Must(s.replica.apply(coordination.Command{Term: 9, LeaderTime: time.Second, Kind: coordination.KindCancelPermit, PermitID: 18,
		RequestedBy: "operator"}))
	if want := (coordination.Reply{OK: true, PermitID: 18}); !reflect.DeepEqual(r, want) {
		t.Errorf("%+v, wanted %+v", r, want)
	}
}

// expected tells what of the golden folder's state is not as it has to be.
func expected(a *coordination.State) error {
	var wrong []string
	is := func(what string, got, want any) {
		if !reflect.DeepEqual(got, want) {
			wrong = append(wrong, fmt.Sprintf("%s: %+v, wanted %+v", what, got, want))
		}
	}
	is("told", a.Config, coordination.Config{MaxHistory: 1000, MaxIdempotencyKeys: 4096, MaxMembers: 10_000, MaxQueuedPermits: 10_000, MaxOvertakes: 50,
		StalledAfter: time.Minute})
	is("times", []time.Duration{a.Now, a.LastLeaderTime}, []time.Duration{27 * time.Second, 15 * time.Second})
	is("term", a.Term, uint64(3))
	is("numbers", []uint64{uint64(a.LastPermitID), a.Sequence, uint64(len(a.History)), uint64(len(a.EndedPermits))}, []uint64{19, 35, 35,
		16})
	is("budgets", a.Budgets, []coordination.DisruptionBudget{{Name: "all", MaxUnavailable: 3, MinAvailableCapacity: 4}, {Name: "share-b",
		Selector: coordination.Selector{Zone: "b", Role: "instance"}, MaxUnavailable: -1, MaxUnavailableFraction: 0.5},
		{Name: "below", Selector: coordination.Selector{Upstream: "d0", Release: "1"}, MaxUnavailable: 1}})
	is("members", len(a.Members), 7)
	is("n0", *a.Members["n0"], coordination.Member{Observation: coordination.Observation{Name: "n0", Incarnation: 1_700_000_000_103, Zone: "a",
		Release: "3", Roles: membership.RoleServer, Capacity: 1.5},
		StateSince: 22500 * time.Millisecond, PermitID: 17, PreviousRelease: "1"})
	is("d0", *a.Members["d0"], coordination.Member{Observation: coordination.Observation{Name: "d0", Incarnation: 1_700_000_000_101, Zone: "a",
		Release: "1", Roles: membership.RoleUpstream, Upstream: "d0", Capacity: 1},
		StateSince: 13 * time.Second, PreviousRelease: "1"})
	is("r0", *a.Members["r0"], coordination.Member{Observation: coordination.Observation{Name: "r0", Incarnation: 1_700_000_000_101, Zone: "a",
		Release: "1", Roles: membership.RoleProxy | membership.RoleCoordinator, Capacity: 2,
		State: coordination.MemberSuspect}, StateSince: 13 * time.Second, PreviousRelease: "1"})
	is("permits", len(a.Permits), 3)
	is("17", *a.Permits[17], coordination.Permit{ID: 17, Member: "n0", Incarnation: 1_700_000_000_103, RequestedBy: "r3", Purpose: "back",
		Stage: coordination.PermitBegun, RequestedAt: 24500 * time.Millisecond,
		StageSince: 25500 * time.Millisecond, BeginTimeout: 30 * time.Second})
	is("18", *a.Permits[18], coordination.Permit{ID: 18, Member: "n3", Incarnation: 1_700_000_000_101, RequestedBy: "operator-3",
		Purpose: "drain", Stage: coordination.PermitGranted, RequestedAt: 25 * time.Second,
		StageSince: 25 * time.Second, BeginTimeout: 40 * time.Second})
	is("19", *a.Permits[19], coordination.Permit{ID: 19, Member: "n1", RequestedBy: "operator-3", Purpose: "drain",
		Stage: coordination.PermitQueued, RequestedAt: 27 * time.Second, StageSince: 27 * time.Second,
		BeginTimeout: 30 * time.Second, WaitReason: "budget all: 3 of 7 out, 3 may be"})
	is("waiting", a.PermitQueue, []coordination.PermitID{19})
	is("keys", a.Replies, map[string]coordination.Reply{"key-2": {OK: true, PermitID: 1}, "key-3": {OK: true, PermitID: 10}})
	is("key ring", a.ReplyOrder, []string{"key-2", "key-3"})
	is("halted", a.Halt, (*coordination.Halt)(nil))
	// It was started behind the snapshot, so Plan's Of and Judged are known; a snapshot does not hold them.
	is("release", *a.Rollout, coordination.Rollout{RolloutPlan: coordination.RolloutPlan{Name: "r3", TargetRelease: "3",
		Selector: coordination.Selector{Role: "instance"}, Waves: []coordination.Wave{{Count: 1}, {Fraction: 0.5}, {Zone: "c"}},
		Pause: time.Second, AnalysisRequired: true, RollbackWavesAtOnce: 2, MaxAttempts: 3}, RequestedBy: "operator-3", Phase: coordination.RolloutRollingBack, Wave: 1,
		PhaseSince:  24500 * time.Millisecond,
		WaveMembers: [][]coordination.Name{{"n0"}, {"n1", "n2"}, {"n4"}, {"n3"}}, WaitReason: "n1: permit 19 is queued", Analyzed: true,
		Reason: "second thoughts"})
	is("first entry", a.History[0], coordination.HistoryEntry{Sequence: 1, At: 500 * time.Millisecond, RequestedBy: "operator-2",
		Kind: coordination.KindSetBudgets, Summary: "3 budgets", Reply: coordination.Reply{OK: true}})
	is("an entry", a.History[7], coordination.HistoryEntry{Sequence: 8, At: 4500 * time.Millisecond, RequestedBy: "operator-2",
		Kind: coordination.KindCancelPermit, Summary: "permit 999 ", Reply: coordination.Reply{Reason: "permit 999 is over"}})
	is("last permit that is over", a.EndedPermits[15], coordination.Permit{ID: 16, Member: "n2", Incarnation: 1_700_000_000_101,
		RequestedBy: "r3", Purpose: "release", Stage: coordination.PermitEnded, RequestedAt: 23500 * time.Millisecond,
		StageSince: 24500 * time.Millisecond, BeginTimeout: 30 * time.Second, Outcome: "the release goes back"})
	if len(wrong) > 0 {
		return errors.New(strings.Join(wrong, "\n"))
	}
	return nil
}

// What an operator's command is given: the words {name} and {release}, and two variables.
func TestRestartGolden(t *testing.T) {
	folder := t.TempDir()
	script, said := filepath.Join(folder, "start"), filepath.Join(folder, "said")
	if err := os.WriteFile(script, []byte("#!/bin/sh\necho \"$1 $2 $LANEWHEEL_NAME $LANEWHEEL_RELEASE\" >"+said+"\n"),
		0o700); err != nil {
		t.Fatal(err)
	}
	s := &Coordinator{config: Config{RestartCommand: script + " at={name} to={release}", RestartTimeout: 10 * time.Second, RestartOutputLimit: 64}}
	if !s.runRestartCommand(coordination.Permit{Member: "n1", ID: 42}, "2") {
		t.Fatal("the command failed")
	}
	if got := string(fake.Must(os.ReadFile(said))); got != "at=n1 to=2 n1 2\n" {
		t.Errorf("%q", got)
	}
}

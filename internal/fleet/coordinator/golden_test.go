package coordinator

import (
	"bytes"
	"encoding/json"
	"flag"
	"io/fs"
	"os"
	"path/filepath"
	"reflect"
	"slices"
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

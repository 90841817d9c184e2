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
	"lanewheel/internal/fake"
)

var update = flag.Bool("update", false, "rewrite the golden files; only for intended changes of the stored format")

const (
	goldenArchive = "testdata/folder.tar.gz"
	goldenState   = "testdata/state.json"
	goldenAddr    = "127.0.0.1:7373" // advertised address, which is stored in the data directory
)

// goldenKinds lists the stored values of all command kinds.
var goldenKinds = []coordination.Kind{
	"see", "budgets", "ask", "begin", "drop", "forget", "halt", "resume", "release", "back", "verdict", "tick", "drain",
	"undrain"}

func goldenConfig(dataDir string) Config {
	config := testConfig("s0", "127.0.0.1:0", dataDir)
	config.AdvertiseAddr = goldenAddr
	config.Bootstrap = true
	config.SnapshotThreshold = 1000
	return config
}

// startGolden starts a coordinator without its loops on a data directory, and waits until it is the leader and has
// applied its whole log.
func startGolden(dataDir string) *Coordinator {
	coordinator := fake.Must(New(goldenConfig(dataDir)))
	fake.WaitFor("the coordinator to lead", func() bool {
		return coordinator.IsLeader() && coordinator.replica.raft.Barrier(time.Second).Error() == nil
	})
	return coordinator
}

func stopGolden(coordinator *Coordinator) {
	_ = coordinator.streamLayer.Close()
	coordinator.replica.close()
}

// writeGoldenArchive writes the golden data directory with the current code and packs it. The arguments are the
// commands before and after the snapshot.
func writeGoldenArchive(t *testing.T, before, after []coordination.Command) {
	t.Helper()
	dataDir := t.TempDir()
	coordinator := startGolden(dataDir)
	apply := func(commands []coordination.Command) {
		for _, command := range commands {
			reply := fake.Must(coordinator.replica.apply(command))
			t.Log(command.Kind, command.Member, command.PermitID, reply)
		}
	}
	apply(before)
	if err := coordinator.replica.raft.Snapshot().Error(); err != nil {
		t.Fatal(err)
	}
	apply(after)
	stopGolden(coordinator)
	if err := pack(dataDir, goldenArchive); err != nil {
		t.Fatal(err)
	}
}

// A coordinator opens a data directory that an earlier version wrote: its identity, its log with commands of every
// kind, and a snapshot in the middle of them. It restores the agreed state and accepts further commands.
func TestDataDirGolden(t *testing.T) {
	before, after := goldenLog()
	if *update {
		writeGoldenArchive(t, before, after)
	}
	dataDir := t.TempDir()
	unpack(t, goldenArchive, dataDir)
	checkGoldenFiles(t, dataDir, before)
	dataDirID := string(fake.Must(os.ReadFile(filepath.Join(dataDir, "life"))))

	coordinator := startGolden(dataDir)
	defer stopGolden(coordinator)
	replica := coordinator.replica
	if replica.id != raft.ServerID("s0."+dataDirID) {
		t.Errorf("server ID is %s, want s0.%s", replica.id, dataDirID)
	}
	checkGoldenLog(t, replica, slices.Concat(before, after))
	replica.inspect(func(state *coordination.State) {
		stored := append(fake.Must(json.MarshalIndent(state, "", "  ")), '\n')
		if *update {
			if err := os.WriteFile(goldenState, stored, 0o644); err != nil {
				t.Fatal(err)
			}
		}
		if want := fake.Must(os.ReadFile(goldenState)); !bytes.Equal(stored, want) {
			t.Errorf("state is\n%s\nwant\n%s", stored, want)
		}
		checkGoldenState(t, state)
	})

	// The coordinator accepts a command in the restored state.
	reply := fake.Must(replica.apply(coordination.Command{
		Term:        9,
		LeaderTime:  time.Second,
		Kind:        coordination.KindCancelPermit,
		PermitID:    18,
		RequestedBy: "operator",
	}))
	if want := (coordination.Reply{OK: true, PermitID: 18}); !reflect.DeepEqual(reply, want) {
		t.Errorf("reply is %+v, want %+v", reply, want)
	}
}

// checkGoldenFiles checks the names of the files in a data directory. It also checks that the snapshot equals the state
// that the current code computes and encodes from the commands before the snapshot.
func checkGoldenFiles(t *testing.T, dataDir string, before []coordination.Command) {
	t.Helper()
	var names []string
	err := fs.WalkDir(os.DirFS(dataDir), ".", func(path string, entry fs.DirEntry, err error) error {
		if !entry.IsDir() {
			names = append(names, path)
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	snapshots := fake.Must(filepath.Glob(filepath.Join(dataDir, "snapshots", "*")))
	if len(snapshots) != 1 {
		t.Fatal("want one snapshot, found:", snapshots)
	}
	snapshot := "snapshots/" + filepath.Base(snapshots[0])
	want := []string{
		"00000000000000000001-0000000000000000.wal", "life", "lock", snapshot + "/meta.json", snapshot + "/state.bin",
		"wal-meta.db"}
	if !slices.Equal(names, want) {
		t.Errorf("the data directory contains %q, want %q", names, want)
	}
	state := coordination.NewState(coordination.DefaultConfig())
	for _, command := range before {
		state.Apply(command)
	}
	stored := fake.Must(os.ReadFile(filepath.Join(dataDir, snapshot, "state.bin")))
	if encoded := fake.Must(json.Marshal(state)); !bytes.Equal(stored, encoded) {
		t.Errorf("the snapshot is\n%s\nthe current code writes\n%s", stored, encoded)
	}
}

// checkGoldenLog checks that the log contains the commands, byte for byte as the current code encodes them.
func checkGoldenLog(t *testing.T, replica *replica, commands []coordination.Command) {
	t.Helper()
	first, last := fake.Must(replica.wal.FirstIndex()), fake.Must(replica.wal.LastIndex())
	counts := map[coordination.Kind]int{}
	next := 0
	for index := first; index <= last; index++ {
		var entry raft.Log
		if err := replica.wal.GetLog(index, &entry); err != nil {
			t.Fatal(err)
		}
		if entry.Type != raft.LogCommand {
			continue
		}
		if next >= len(commands) {
			t.Fatalf("the log has more than %d commands", next)
		}
		var command coordination.Command
		if err := json.Unmarshal(entry.Data, &command); err != nil || !reflect.DeepEqual(command, commands[next]) {
			t.Errorf("entry %d is decoded as\n%+v\nwant\n%+v (%v)", index, command, commands[next], err)
		}
		if encoded := fake.Must(json.Marshal(commands[next])); !bytes.Equal(entry.Data, encoded) {
			t.Errorf("entry %d is\n%s\nthe current code writes\n%s", index, entry.Data, encoded)
		}
		counts[command.Kind]++
		next++
	}
	for _, kind := range goldenKinds {
		if counts[kind] < 2 {
			t.Errorf("%d entries of kind %q, want at least 2: one on each side of the snapshot", counts[kind], kind)
		}
	}
}

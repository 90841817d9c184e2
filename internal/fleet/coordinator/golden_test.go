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

var update = flag.Bool("update", false, "write the golden folder anew; only where the stored form is meant to change")

const (
	goldenFolder = "testdata/folder.tar.gz"
	goldenState  = "testdata/state.json"
	goldenAddr   = "127.0.0.1:7373" // where the others would dial it: it is stored in the folder
)

// goldenKinds are the stored words of all kinds of command.
var goldenKinds = []coordination.Kind{
	"see", "budgets", "ask", "begin", "drop", "forget", "halt", "resume", "release", "back", "verdict", "tick", "drain",
	"undrain"}

func goldenConfig(folder string) Config {
	config := testConfig("s0", "127.0.0.1:0", folder)
	config.AdvertiseAddr = goldenAddr
	config.Bootstrap = true
	config.SnapshotThreshold = 1000
	return config
}

// startGolden starts a coordinator on a folder, without its loops, and waits until it leads with all of its log
// applied.
func startGolden(folder string) *Coordinator {
	coordinator := fake.Must(New(goldenConfig(folder)))
	fake.WaitFor("it leads", func() bool {
		return coordinator.IsLeader() && coordinator.replica.raft.Barrier(time.Second).Error() == nil
	})
	return coordinator
}

func stopGolden(coordinator *Coordinator) {
	_ = coordinator.streamLayer.Close()
	coordinator.replica.close()
}

// writeGoldenFolder writes the golden folder by what the code does now.
func writeGoldenFolder(t *testing.T, before, after []coordination.Command) {
	t.Helper()
	folder := t.TempDir()
	coordinator := startGolden(folder)
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
	if err := pack(folder, goldenFolder); err != nil {
		t.Fatal(err)
	}
}

// A folder that an earlier version wrote: its identity, its log with every kind of command, a snapshot amid them. It
// opens, holds what was agreed, and goes on.
func TestFolderGolden(t *testing.T) {
	before, after := goldenLog()
	if *update {
		writeGoldenFolder(t, before, after)
	}
	folder := t.TempDir()
	unpack(t, goldenFolder, folder)
	checkGoldenFiles(t, folder, before)
	dataDirID := string(fake.Must(os.ReadFile(filepath.Join(folder, "life"))))

	coordinator := startGolden(folder)
	defer stopGolden(coordinator)
	replica := coordinator.replica
	if replica.id != raft.ServerID("s0."+dataDirID) {
		t.Errorf("it is %s, want s0.%s", replica.id, dataDirID)
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
			t.Errorf("it holds\n%s\nwant\n%s", stored, want)
		}
		checkGoldenState(t, state)
	})

	// It goes on where it was.
	reply := fake.Must(replica.apply(coordination.Command{
		Term:        9,
		LeaderTime:  time.Second,
		Kind:        coordination.KindCancelPermit,
		PermitID:    18,
		RequestedBy: "operator",
	}))
	if want := (coordination.Reply{OK: true, PermitID: 18}); !reflect.DeepEqual(reply, want) {
		t.Errorf("%+v, want %+v", reply, want)
	}
}

// checkGoldenFiles checks the names of the folder's files, and that the snapshot is what the commands before it make,
// as the code has it now.
func checkGoldenFiles(t *testing.T, folder string, before []coordination.Command) {
	t.Helper()
	var names []string
	err := fs.WalkDir(os.DirFS(folder), ".", func(path string, entry fs.DirEntry, err error) error {
		if !entry.IsDir() {
			names = append(names, path)
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	snapshots := fake.Must(filepath.Glob(filepath.Join(folder, "snapshots", "*")))
	if len(snapshots) != 1 {
		t.Fatal(snapshots)
	}
	snapshot := "snapshots/" + filepath.Base(snapshots[0])
	want := []string{
		"00000000000000000001-0000000000000000.wal", "life", "lock", snapshot + "/meta.json", snapshot + "/state.bin",
		"wal-meta.db"}
	if !slices.Equal(names, want) {
		t.Errorf("the folder holds %q, want %q", names, want)
	}
	state := coordination.NewState(coordination.DefaultConfig())
	for _, command := range before {
		state.Apply(command)
	}
	stored := fake.Must(os.ReadFile(filepath.Join(folder, snapshot, "state.bin")))
	if now := fake.Must(json.Marshal(state)); !bytes.Equal(stored, now) {
		t.Errorf("the snapshot is\n%s\nnow written as\n%s", stored, now)
	}
}

// checkGoldenLog checks that the log holds the commands byte for byte as they are written now.
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
			t.Errorf("entry %d reads as\n%+v\nwant\n%+v (%v)", index, command, commands[next], err)
		}
		if now := fake.Must(json.Marshal(commands[next])); !bytes.Equal(entry.Data, now) {
			t.Errorf("entry %d is\n%s\nnow written as\n%s", index, entry.Data, now)
		}
		counts[command.Kind]++
		next++
	}
	for _, kind := range goldenKinds {
		if counts[kind] < 2 {
			t.Errorf("%d entries of %q, want some on either side of the snapshot", counts[kind], kind)
		}
	}
}

package coordinator

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"lanewheel/internal/coordination"
	"lanewheel/internal/fake"
	"lanewheel/internal/fleet/coordinator/client"
)

// must panics if an operation on the files of a test fails.
func must(err error) {
	if err != nil {
		panic(err)
	}
}

// truncateLast removes count bytes from the end of the last file that matches the pattern.
func truncateLast(pattern string, count int64) {
	paths := fake.Must(filepath.Glob(pattern))
	path := paths[len(paths)-1]
	info := fake.Must(os.Stat(path))
	must(os.Truncate(path, max(0, info.Size()-count)))
}

// Without a majority no command is committed, and the agreed state is not lost. After all coordinators stop and restart
// from disk, the agreed state is still there, and a coordinator whose data directory was wiped joins under a new server
// ID. A truncated snapshot is an error and is not used. If that leaves no majority, the coordinator that has the state
// continues alone when ForceNewCluster is set, and the others join it again.
func Example_recoveryFromDisk() {
	f := newTestFleet(3, 3)
	defer f.close()
	f.leader(3, 3)
	f.propose(setBudgetOfOne)
	f.propose(coordination.Command{Kind: coordination.KindRequestPermit, Member: "n0"})
	for range 200 { // enough commands for two snapshots
		f.propose(coordination.Command{Kind: coordination.KindCancelPermit, PermitID: 99})
	}
	for _, coordinator := range f.coordinators {
		_ = coordinator.replica.raft.Snapshot().Error() // fails if there are no new entries
	}
	f.propose(coordination.Command{Kind: coordination.KindHalt, Reason: "for the night"})
	f.kill(1)
	f.kill(2)
	minority := f.client()
	minority.Timeout = 2 * time.Second
	request := coordination.Command{Kind: coordination.KindRequestPermit, Member: "n1"}
	_, err := minority.Do(client.Request{Command: &request})
	fmt.Println("without a majority:", err != nil)
	f.kill(0)
	truncateLast(filepath.Join(f.configs[2].DataDir, "snapshots", "*", "state.bin"), 100)
	must(os.RemoveAll(f.configs[1].DataDir))
	_, err = New(f.configs[2])
	fmt.Println(strings.Contains(fmt.Sprint(err), "move the data directory away"))
	must(os.RemoveAll(f.configs[2].DataDir))
	f.configs[0].ForceNewCluster = true
	for i := range f.configs { // the first one still has Bootstrap set, as at its first start
		f.startCoordinator(i)
	}
	f.leader(3, 3)
	_, err = New(f.configs[0])
	fmt.Println(err != nil) // the data directory and the address are in use
	status := fake.Must(f.client().Do(client.Request{Status: true})).Status
	isHalted := status.Halt != nil && status.Halt.Reason == "for the night"
	fmt.Println(isHalted, len(status.Coordinators), status.Budgets[0].Budget.Name)
	response := fake.Must(f.client().Do(client.Request{History: true}))
	fmt.Println(response.EndedPermits[0].Outcome, len(response.History) > 200)
	// Output:
	// without a majority: true
	// true
	// true
	// true 3 one
	// withdrawn: halted true
}

// A log whose last write was truncated at any byte opens with all complete entries. A data directory whose identity
// file is damaged or missing is an error, and the log in it is not overwritten.
func TestTornLog(t *testing.T) {
	f := newTestFleet(1, 1)
	defer f.close()
	f.leader(1, 1)
	f.propose(setBudgetOfOne)
	for n := range 5 {
		f.propose(coordination.Command{Kind: coordination.KindCancelPermit, PermitID: coordination.PermitID(n)})
	}
	f.kill(0)
	dataDir := f.configs[0].DataDir
	path := fake.Must(filepath.Glob(filepath.Join(dataDir, "*.wal")))[0]
	whole := fake.Must(os.ReadFile(path))
	end := len(whole)
	for end > 0 && whole[end-1] == 0 { // the file is longer than the data and ends with zeros
		end--
	}
	random := rand.New(rand.NewPCG(1, 1))
	for range 12 {
		cut := end - random.IntN(400)
		torn := slices.Concat(whole[:cut], make([]byte, len(whole)-cut))
		must(os.WriteFile(path, torn, 0o600))
		f.startCoordinator(0)
		f.leader(1, 1)
		// A new leader may not have applied its whole log yet, so the budget may appear with a delay, but it
		// must appear.
		fake.WaitFor(fmt.Sprintf("the budget, with the log truncated at %d of %d bytes", cut, end), func() bool {
			budgets := f.coordinators[0].status().Budgets
			return len(budgets) == 1 && budgets[0].Budget.Name == "one"
		})
		f.kill(0)
		must(os.WriteFile(path, whole, 0o600))
	}
	checkDataDirError := func(problem string) {
		t.Helper()
		_, err := New(f.configs[0])
		var dirError *DataDirError
		if !errors.As(err, &dirError) || !strings.Contains(err.Error(), problem) {
			t.Fatal(err)
		}
	}
	idPath := filepath.Join(dataDir, "life")
	must(os.WriteFile(idPath, []byte("?"), 0o600))
	checkDataDirError("is damaged")
	must(os.Remove(idPath))
	checkDataDirError("is missing, but the directory contains a log")
	if current := fake.Must(os.ReadFile(path)); !slices.Equal(current, whole) {
		t.Error("the log was overwritten")
	}
}

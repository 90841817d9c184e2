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

// must is for what a test's own files need.
func must(err error) {
	if err != nil {
		panic(err)
	}
}

// truncateLast cuts bytes off the last of the files that match.
func truncateLast(pattern string, count int64) {
	paths := fake.Must(filepath.Glob(pattern))
	path := paths[len(paths)-1]
	info := fake.Must(os.Stat(path))
	must(os.Truncate(path, max(0, info.Size()-count)))
}

// Without a majority nothing is agreed, and nothing that was is forgotten. All end at once and start again from disk:
// what was agreed holds, and one whose folder was wiped joins as another. A snapshot that was cut short is an error,
// and is not used; where that leaves no majority, the one that has the state goes on alone when it is configured to,
// and the others join it anew.
func Example_recoveryFromDisk() {
	f := newTestFleet(3, 3)
	defer f.close()
	f.leader(3, 3)
	f.propose(setBudgetOfOne)
	f.propose(coordination.Command{Kind: coordination.KindRequestPermit, Member: "n0"})
	for range 200 { // past two snapshots
		f.propose(coordination.Command{Kind: coordination.KindCancelPermit, PermitID: 99})
	}
	for _, coordinator := range f.coordinators {
		_ = coordinator.replica.raft.Snapshot().Error() // one that has nothing new says so
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
	fmt.Println(strings.Contains(fmt.Sprint(err), "move the folder away"))
	must(os.RemoveAll(f.configs[2].DataDir))
	f.configs[0].ForceNewCluster = true
	for i := range f.configs { // the first one by the same configuration as at its first start
		f.startCoordinator(i)
	}
	f.leader(3, 3)
	_, err = New(f.configs[0])
	fmt.Println(err != nil) // two on one folder, or one address
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

// A log whose last write was cut at any byte opens, with all that was whole. A folder that is not ours is an error,
// and nothing in it is overwritten.
func TestTornLog(t *testing.T) {
	f := newTestFleet(1, 1)
	defer f.close()
	f.leader(1, 1)
	f.propose(setBudgetOfOne)
	for n := range 5 {
		f.propose(coordination.Command{Kind: coordination.KindCancelPermit, PermitID: coordination.PermitID(n)})
	}
	f.kill(0)
	folder := f.configs[0].DataDir
	path := fake.Must(filepath.Glob(filepath.Join(folder, "*.wal")))[0]
	whole := fake.Must(os.ReadFile(path))
	end := len(whole)
	for end > 0 && whole[end-1] == 0 { // the file is longer than what is written
		end--
	}
	random := rand.New(rand.NewPCG(1, 1))
	for range 12 {
		cut := end - random.IntN(400)
		torn := slices.Concat(whole[:cut], make([]byte, len(whole)-cut))
		must(os.WriteFile(path, torn, 0o600))
		f.startCoordinator(0)
		f.leader(1, 1)
		// A leader still has its log to apply: what was agreed before shows a moment later, and has to.
		fake.WaitFor(fmt.Sprintf("the budget, cut at %d of %d", cut, end), func() bool {
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
	idPath := filepath.Join(folder, "life")
	must(os.WriteFile(idPath, []byte("?"), 0o600))
	checkDataDirError("is damaged")
	must(os.Remove(idPath))
	checkDataDirError("is missing beside a log")
	if now := fake.Must(os.ReadFile(path)); !slices.Equal(now, whole) {
		t.Error("the log was overwritten")
	}
}

package coordinator

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"lanewheel/internal/coordination"
	"lanewheel/internal/fake"
	"lanewheel/internal/fleet/coordinator/client"
	"lanewheel/internal/membership"
)

// The leading steward ends between agreeing and the answer, as far as the client can tell: it asks again with its key, and there is one permit. Whoever leads
// next goes on with it. A stranger without the key is not even asked what it wants.
func Example_failover() {
	t := newTestFleet(3, 3)
	defer t.close()
	first := t.leader(3, 3)
	t.propose(oneAtATime)
	c := coordination.Command{Kind: coordination.KindRequestPermit, Member: "n0", IdempotencyKey: "k"}
	fmt.Println(t.propose(c))
	t.kill(first)
	fmt.Println(t.propose(c), t.propose(coordination.Command{Kind: coordination.KindRequestPermit, Member: "n1"}).PermitID)
	next := t.leader(3, 3)
	fake.WaitFor("the holder to be nudged", func() bool { t.mu.Lock(); defer t.mu.Unlock(); return t.notices[1] != "" })
	fmt.Println(t.notices[1])
	begun := make(chan bool, 1)
	t.coordinators[next].BeginPermit("n0", 1, 1, func() { begun <- true })
	fmt.Println(<-begun)
	t.coordinators[next].BeginPermit("n1", 1, 2, func() { panic("two out") })
	c.Member, c.IdempotencyKey = "n2", ""
	fmt.Println(t.propose(coordination.Command{Kind: coordination.KindBeginPermit, Member: "n1", Incarnation: 1, PermitID: 2}))
	k := t.client()
	k.Keys = []membership.Key{membership.Key("another key of as many bytes....")}
	_, err := k.Do(client.Request{Status: true})
	fmt.Println(strings.Contains(fmt.Sprint(err), client.ErrUnauthenticated.Error()))
	t.startCoordinator(first)
	t.markUp(0, 2, "1")
	fake.WaitFor("n0's permit to be over, and n1's granted, at all three", func() bool {
		for _, s := range t.coordinators {
			st := s.status()
			if len(st.Permits) != 1 || st.Permits[0].Stage != coordination.PermitGranted {
				return false
			}
		}
		return true
	})
	// Output:
	// {true  1 []}
	// {true  1 []} 2
	// n0 1 false
	// true
	// {false permit 2 is another's 0 []}
	// true
}

// Without a majority nothing is agreed, and nothing that was is forgotten. All end at once and start again from disk: what was agreed holds, and one whose
// folder was wiped is taken in as another. A snapshot cut short is said, and nothing is gone by; where that leaves no majority, the one that has the state
// goes on alone when it is told to, and the others are taken in anew.
func Example_disks() {
	t := newTestFleet(3, 3)
	defer t.close()
	t.leader(3, 3)
	t.propose(oneAtATime)
	t.propose(coordination.Command{Kind: coordination.KindRequestPermit, Member: "n0"})
	for range 200 { // past two snapshots
		t.propose(coordination.Command{Kind: coordination.KindCancelPermit, PermitID: 99})
	}
	for _, s := range t.coordinators {
		_ = s.replica.raft.Snapshot().Error()
	}
	t.propose(coordination.Command{Kind: coordination.KindHalt, Reason: "for the night"})
	t.kill(1)
	t.kill(2)
	k := t.client()
	k.Timeout = 2 * time.Second
	_, err := k.Do(client.Request{Command: &coordination.Command{Kind: coordination.KindRequestPermit, Member: "n1"}})
	fmt.Println("without a majority:", err != nil)
	t.kill(0)
	tear := func(pattern string, cut int64) {
		all := fake.Must(filepath.Glob(pattern))
		path := all[len(all)-1]
		info := fake.Must(os.Stat(path))
		if err := os.Truncate(path, max(0, info.Size()-cut)); err != nil {
			panic(err)
		}
	}
	tear(filepath.Join(t.configs[2].DataDir, "snapshots", "*", "state.bin"), 100)
	if err := os.RemoveAll(t.configs[1].DataDir); err != nil {
		panic(err)
	}
	_, err = New(t.configs[2])
	fmt.Println(strings.Contains(fmt.Sprint(err), "move the folder away"))
	if err := os.RemoveAll(t.configs[2].DataDir); err != nil {
		panic(err)
	}
	t.configs[0].ForceNewCluster = true
	for i := range t.configs { // the first by the same line as at its first start
		t.startCoordinator(i)
	}
	t.leader(3, 3)
	_, err = New(t.configs[0])
	fmt.Println(err != nil) // two on one folder, or one address
	st := fake.Must(t.client().Do(client.Request{Status: true})).Status
	fmt.Println(st.Halt != nil && st.Halt.Reason == "for the night", len(st.Coordinators), st.Budgets[0].Budget.Name)
	h := fake.Must(t.client().Do(client.Request{History: true}))
	fmt.Println(h.EndedPermits[0].Outcome, len(h.History) > 200)
	// Output:
	// without a majority: true
	// true
	// true
	// true 3 one
	// withdrawn: halted true
}

// A log whose last write was cut at any byte opens, with all that was whole; what is not ours is said, and nothing is overwritten.
func TestTorn(t *testing.T) {
	w := newTestFleet(1, 1)
	defer w.close()
	w.leader(1, 1)
	w.propose(oneAtATime)
	for n := range 5 {
		w.propose(coordination.Command{Kind: coordination.KindCancelPermit, PermitID: coordination.PermitID(n)})
	}
	w.kill(0)
	whole := w.configs[0].DataDir
	log := fake.Must(filepath.Glob(filepath.Join(whole, "*.wal")))[0]
	text := fake.Must(os.ReadFile(log))
	end := len(text)
	for end > 0 && text[end-1] == 0 { // the file is longer than what is written
		end--
	}
	chance := rand.New(rand.NewPCG(1, 1))
	for range 12 {
		cut := end - chance.IntN(400)
		torn := append(append([]byte{}, text[:cut]...), make([]byte, len(text)-cut)...)
		if err := os.WriteFile(log, torn, 0o600); err != nil {
			t.Fatal(err)
		}
		w.startCoordinator(0)
		w.leader(1, 1)
		// One that leads still has its log to take in: what was told before shows a moment later, and has to.
		fake.WaitFor(fmt.Sprintf("the budget, cut at %d of %d", cut, end), func() bool {
			st := w.coordinators[0].status()
			return len(st.Budgets) == 1 && st.Budgets[0].Budget.Name == "one"
		})
		w.kill(0)
		if err := os.WriteFile(log, text, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	if err := os.WriteFile(filepath.Join(whole, "life"), []byte("?"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := New(w.configs[0]); err == nil || !strings.Contains(err.Error(), "is damaged") {
		t.Fatal(err)
	}
	if err := os.Remove(filepath.Join(whole, "life")); err != nil {
		t.Fatal(err)
	}
	if _, err := New(w.configs[0]); err == nil || !strings.Contains(err.Error(), "is missing beside a log") {
		t.Fatal(err)
	}
	w.coordinators[0] = nil
}

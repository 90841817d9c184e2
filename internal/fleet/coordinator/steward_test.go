package coordinator

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"lanewheel/internal/coordination"
	"lanewheel/internal/coordination/canary"
	"lanewheel/internal/fake"
	"lanewheel/internal/fleet/coordinator/client"
	"lanewheel/internal/fleet/gossip"
	"lanewheel/internal/membership"
)

// testFleet is so many stewards among a fleet that is as it is said to be.
type testFleet struct {
	dir          string
	configs      []Config
	coordinators []*Coordinator
	done         []chan struct{}
	mu           sync.Mutex
	table        *membership.Table
	now          time.Duration
	notices      map[uint64]string
}

var clusterKey = membership.Key("0123456789abcdef0123456789abcdef")

var fleetCount int

func newTestFleet(n int, instances int) *testFleet {
	fleetCount++
	t := &testFleet{dir: fake.Must(os.MkdirTemp("", "stewards")), notices: map[uint64]string{}}
	t.table = membership.NewTable(membership.Descriptor{Name: "s0", Incarnation: 1, BootID: 1, Roles: membership.RoleCoordinator}, membership.DefaultConfig(), 0)
	for i := range instances {
		t.markUp(i, 1, "1")
	}
	var all []string
	for i := range n {
		l := fake.Must(net.Listen("tcp", fmt.Sprintf("127.73.%d.%d:0", os.Getpid()%250, fleetCount)))
		all = append(all, l.Addr().String())
		l.Close()
		t.configs = append(t.configs, Config{Name: fmt.Sprint("s", i), ListenAddr: all[i], DataDir: filepath.Join(t.dir, fmt.Sprint(i)), Bootstrap: i == 0, HeartbeatTimeout: 300 * time.Millisecond,
			ClusterKeys: []membership.Key{clusterKey}, Coordination: coordination.DefaultConfig(), Canary: canary.DefaultConfig(), AnalysisWindow: time.Second, SampleSize: 8, RestartTimeout: time.Second, RestartOutputLimit: 64, SnapshotThreshold: 64})
	}
	t.coordinators, t.done = make([]*Coordinator, n), make([]chan struct{}, n)
	for i := range n {
		t.configs[i].Coordinators = all
		t.startCoordinator(i)
	}
	return t
}

// markUp has the fleet hold an instance to be up, by a life.
func (t *testFleet) markUp(i int, life membership.BootID, release string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.now += time.Second
	name := membership.Name(fmt.Sprint("n", i))
	t.table.HandleAlive(membership.Descriptor{Name: name, BootID: life, Incarnation: membership.Incarnation(life), Roles: membership.RoleServer, Release: release, Capacity: 1}, t.now)
	t.table.HandleHeartbeat(membership.Heartbeat{ID: membership.ID{Name: name, BootID: life}, Sequence: 1, Ready: true, ReadyFor: time.Hour}, 0, t.now)
}

func (t *testFleet) View() *membership.View {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.View()
}

func (t *testFleet) NotifyPermit(name membership.Name, of membership.Incarnation, number uint64, begun bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.notices[number] = fmt.Sprint(name, " ", of, " ", begun)
}

func (t *testFleet) QueryStats(membership.Name, func(gossip.RequestStats)) {}

func (t *testFleet) startCoordinator(i int) {
	s, err := New(t.configs[i])
	if err != nil {
		panic(err)
	}
	t.coordinators[i], t.done[i] = s, make(chan struct{})
	go func() {
		s.Serve(t)
		close(t.done[i])
	}()
}

// kill ends a steward without a word.
func (t *testFleet) kill(i int) {
	s := t.coordinators[i]
	s.shutdownOnce.Do(func() { close(s.closed) })
	<-t.done[i]
	t.coordinators[i] = nil
}

func (t *testFleet) close() {
	for i, s := range t.coordinators {
		if s != nil {
			t.kill(i)
		}
	}
	os.RemoveAll(t.dir)
}

func (t *testFleet) client() client.Client {
	k := client.Client{Keys: []membership.Key{clusterKey}, Timeout: fake.WaitTimeout}
	for _, told := range t.configs {
		k.Coordinators = append(k.Coordinators, told.ListenAddr)
	}
	return k
}

func (t *testFleet) propose(c coordination.Command) coordination.Reply {
	a := fake.Must(t.client().Do(client.Request{Command: &c}))
	if a.Reply == nil {
		panic(a.Error)
	}
	return *a.Reply
}

// leader waits for one that leads and knows so many to agree, and as many instances.
func (t *testFleet) leader(voters, instances int) (i int) {
	fake.WaitFor("a leader", func() bool {
		for k, s := range t.coordinators {
			if s != nil && s.IsLeader() {
				if st := s.status(); len(st.Coordinators) == voters && st.MemberCount >= instances {
					i = k
					return true
				}
			}
		}
		return false
	})
	return i
}

var oneAtATime = coordination.Command{Kind: coordination.KindSetBudgets, Budgets: []coordination.DisruptionBudget{{Name: "one", MaxUnavailable: 1, Selector: coordination.Selector{Role: "instance"}}}}

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

// What clients that ask at the same time are told, while leaders end, is what one state would have told them one after the other (porcupine).
func TestLinearizable(t *testing.T) {
	w := newTestFleet(3, 3)
	defer w.close()
	w.leader(3, 3)
	w.propose(oneAtATime)
	fake.WaitFor("all to be known", func() bool { return w.coordinators[w.leader(3, 3)].status().MemberCount == 4 })
	type input struct{ c coordination.Command }
	var mu sync.Mutex
	var history []porcupine.Operation
	began := time.Now()
	var all sync.WaitGroup
	for client := range 4 {
		all.Add(1)
		go func() {
			defer all.Done()
			chance := rand.New(rand.NewPCG(7, uint64(client)))
			for n := range 12 {
				c := coordination.Command{IdempotencyKey: fmt.Sprint(client, "-", n), BeginTimeout: time.Hour}
				c.PermitID = coordination.PermitID(1 + chance.IntN(8))
				c.Member, c.Incarnation = coordination.Name(fmt.Sprint("n", chance.IntN(3))), 1
				switch chance.IntN(4) {
				case 0, 1:
					c.Kind = coordination.KindRequestPermit
				case 2:
					c.Kind = coordination.KindCancelPermit
				case 3:
					c.Kind, c.Member = coordination.KindCancelDrain, ""
				}
				from := time.Since(began).Nanoseconds()
				r := w.propose(c)
				mu.Lock()
				history = append(history, porcupine.Operation{ClientId: client, Input: input{c}, Call: from, Output: r, Return: time.Since(began).Nanoseconds()})
				mu.Unlock()
			}
		}()
	}
	for range 2 {
		time.Sleep(300 * time.Millisecond)
		i := w.leader(3, 3)
		w.kill(i)
		w.startCoordinator(i)
	}
	all.Wait()
	// The state that they begin with, as the stewards have it.
	start := coordination.NewState(coordination.DefaultConfig())
	for i := range 3 {
		start.Apply(coordination.Command{Kind: coordination.KindObserve, Observations: []coordination.Observation{{Name: coordination.Name(fmt.Sprint("n", i)), Incarnation: 1, Release: "1", Roles: membership.RoleServer, Capacity: 1}}})
	}
	start.Apply(oneAtATime)
	first := string(fake.Must(json.Marshal(start)))
	model := porcupine.Model{
		Init: func() any { return first },
		Step: func(state, in, out any) (bool, any) {
			s := &coordination.State{}
			if err := json.Unmarshal([]byte(state.(string)), s); err != nil {
				panic(err)
			}
			r := s.Apply(in.(input).c)
			if fmt.Sprint(r) != fmt.Sprint(out) {
				return false, state
			}
			s.History = nil
			return true, string(fake.Must(json.Marshal(s)))
		},
	}
	if !porcupine.CheckOperations(model, history) {
		for _, o := range history {
			t.Log(o.Call, o.Return, o.ClientId, o.Input, o.Output)
		}
		t.Fatal("not linearizable")
	}
}

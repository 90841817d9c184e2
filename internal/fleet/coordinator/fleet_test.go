package coordinator

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"

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

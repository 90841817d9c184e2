package coordinator

import (
	"context"
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

// testFleet is a set of coordinators, named s0, s1 and so on, in a fleet whose members the test controls. It implements
// Fleet for them.
type testFleet struct {
	dir          string
	configs      []Config
	coordinators []*Coordinator // an element is nil while that coordinator is not running
	done         []chan struct{}

	mu      sync.Mutex
	table   *membership.Table // guarded by mu
	now     time.Duration     // guarded by mu
	notices map[uint64]string // guarded by mu: the latest notification for each permit
}

var clusterKey = membership.Key("0123456789abcdef0123456789abcdef")

// fleetCount is the number of fleets created by this process. It gives each fleet its own IP address.
var fleetCount int

// testConfig returns the configuration of a coordinator with a short heartbeat timeout and few log entries between
// snapshots.
func testConfig(name, listenAddr, dataDir string) Config {
	return Config{
		Name:               name,
		ListenAddr:         listenAddr,
		DataDir:            dataDir,
		HeartbeatTimeout:   300 * time.Millisecond,
		ClusterKeys:        []membership.Key{clusterKey},
		Coordination:       coordination.DefaultConfig(),
		Canary:             canary.DefaultConfig(),
		AnalysisWindow:     time.Second,
		SampleSize:         8,
		RestartTimeout:     time.Second,
		RestartOutputLimit: 64,
		SnapshotThreshold:  64,
	}
}

// newTestFleet starts coordinators in a fleet of instances, named n0, n1 and so on, that are up.
func newTestFleet(coordinators, instances int) *testFleet {
	fleetCount++
	f := &testFleet{
		dir:          fake.Must(os.MkdirTemp("", "coordinators")),
		coordinators: make([]*Coordinator, coordinators),
		done:         make([]chan struct{}, coordinators),
		notices:      map[uint64]string{},
	}
	self := membership.Descriptor{Name: "s0", Incarnation: 1, BootID: 1, Roles: membership.RoleCoordinator}
	f.table = membership.NewTable(self, membership.DefaultConfig(), 0)
	for i := range instances {
		f.markUp(i, 1, "1")
	}
	var addrs []string
	for i := range coordinators {
		addr := freeAddr(fmt.Sprintf("127.73.%d.%d", os.Getpid()%250, fleetCount))
		addrs = append(addrs, addr)
		config := testConfig(fmt.Sprint("s", i), addr, filepath.Join(f.dir, fmt.Sprint(i)))
		config.Bootstrap = i == 0
		f.configs = append(f.configs, config)
	}
	for i := range coordinators {
		f.configs[i].Coordinators = addrs
		f.startCoordinator(i)
	}
	return f
}

// listen opens a listener on a free port of a host.
func listen(host string) net.Listener {
	return fake.Must(new(net.ListenConfig).Listen(context.Background(), "tcp", host+":0"))
}

// freeAddr returns an address of a host with a port on which no process listens.
func freeAddr(host string) string {
	listener := listen(host)
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

// markUp reports an incarnation of an instance as up.
func (f *testFleet) markUp(i int, incarnation membership.Incarnation, release string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.now += time.Second
	descriptor := membership.Descriptor{
		Name:        membership.Name(fmt.Sprint("n", i)),
		BootID:      membership.BootID(incarnation),
		Incarnation: incarnation,
		Roles:       membership.RoleServer,
		Release:     release,
		Capacity:    1,
	}
	f.table.HandleAlive(descriptor, f.now)
	id := membership.ID{Name: descriptor.Name, BootID: descriptor.BootID}
	heartbeat := membership.Heartbeat{ID: id, Sequence: 1, Ready: true, ReadyFor: time.Hour}
	f.table.HandleHeartbeat(heartbeat, 0, f.now)
}

func (f *testFleet) View() *membership.View {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table.View()
}

func (f *testFleet) NotifyPermit(
	name membership.Name, incarnation membership.Incarnation, permitID uint64, begun bool,
) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.notices[permitID] = fmt.Sprint(name, " ", incarnation, " ", begun)
}

// notice returns the latest notification that the holder of a permit received.
func (f *testFleet) notice(permitID uint64) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.notices[permitID]
}

func (f *testFleet) QueryStats(membership.Name, func(gossip.RequestStats)) {}

func (f *testFleet) startCoordinator(i int) {
	coordinator := fake.Must(New(f.configs[i]))
	done := make(chan struct{})
	f.coordinators[i] = coordinator
	f.done[i] = done
	go func() {
		coordinator.Serve(f)
		close(done)
	}()
}

// kill stops a coordinator without transferring its leadership.
func (f *testFleet) kill(i int) {
	coordinator := f.coordinators[i]
	coordinator.shutdownOnce.Do(func() { close(coordinator.closed) })
	<-f.done[i]
	f.coordinators[i] = nil
}

func (f *testFleet) close() {
	for i, coordinator := range f.coordinators {
		if coordinator != nil {
			f.kill(i)
		}
	}
	if err := os.RemoveAll(f.dir); err != nil {
		panic(err)
	}
}

func (f *testFleet) client() client.Client {
	c := client.Client{Keys: []membership.Key{clusterKey}, Timeout: fake.WaitTimeout}
	for _, config := range f.configs {
		c.Coordinators = append(c.Coordinators, config.ListenAddr)
	}
	return c
}

func (f *testFleet) propose(command coordination.Command) coordination.Reply {
	response := fake.Must(f.client().Do(client.Request{Command: &command}))
	if response.Reply == nil {
		panic(response.Error)
	}
	return *response.Reply
}

// leader waits for a leader that knows exactly this many voters and at least this many members. It returns the index of
// the leader.
func (f *testFleet) leader(voters, members int) (leader int) {
	fake.WaitFor("a leader", func() bool {
		for i, coordinator := range f.coordinators {
			if coordinator == nil || !coordinator.IsLeader() {
				continue
			}
			status := coordinator.status()
			if len(status.Coordinators) == voters && status.MemberCount >= members {
				leader = i
				return true
			}
		}
		return false
	})
	return leader
}

// setBudgetOfOne is a command that sets a budget of one unavailable instance.
var setBudgetOfOne = coordination.Command{
	Kind: coordination.KindSetBudgets,
	Budgets: []coordination.DisruptionBudget{{
		Name: "one", MaxUnavailable: 1, Selector: coordination.Selector{Role: "instance"}}},
}

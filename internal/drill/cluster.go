package drill

import (
	"encoding/base64"
	"fmt"
	"math"
	"net"
	"os"
	"path/filepath"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"

	"lanewheel/internal/config"
	"lanewheel/internal/fake"
)

// Ports of each process, the same on its own host and on its front.
const (
	gossipPort      = 7946
	coordinatorPort = 7960
	clientPort      = 8443
)

// clusterKeyCount is the number of cluster keys that a script may refer to. They are numbered from 1.
const clusterKeyCount = 8

// callbacks are the functions through which a cluster reports to the drill. They may be called on any goroutine.
type callbacks struct {
	onExecution func(p *process, requestID string) // a process has started to run a request
	onFailure   func(detail string)                // a process misbehaved or a fault could not be applied
	print       func(line string)
}

// cluster holds everything that runs in a drill: the processes, their fakes and the network between them. Its fields
// are set before the first process starts and do not change after that, except loadFactor.
type cluster struct {
	callbacks
	script       *config.Drill
	binary       string
	dir          string
	network      *network
	database     *fake.Database
	registry     *fake.Registry
	processes    []*process
	services     []*fakeService
	disruptions  *disruptionLog // nil without coordinators
	hookListener net.Listener   // nil without coordinators
	keys         []string       // cluster keys; the key with number n is at index n-1
	starts       chan func()    // start functions for the thread that starts processes
	loadFactor   atomic.Uint64  // multiplier of the load, as the bits of a float64
}

// newCluster creates all processes, their fakes and the links between them. It starts no process.
func newCluster(script *config.Drill, binary, dir string, callbacks callbacks) (*cluster, error) {
	c := &cluster{
		callbacks: callbacks,
		script:    script,
		binary:    binary,
		dir:       dir,
		network:   newNetwork(script.RandomSeed, streamPorts(script)...),
		database:  fake.NewDatabase(),
		registry:  fake.NewRegistry(),
		keys:      makeClusterKeys(script.RandomSeed),
		starts:    make(chan func()),
	}
	c.database.AutoReply()
	c.setLoadFactor(1)
	go c.runStarts()
	for index := range layoutOf(script).end {
		if err := c.addProcess(index); err != nil {
			return nil, err
		}
	}
	return c, nil
}

// runStarts starts processes on one thread that lives as long as the cluster: the kernel kills a child when the
// thread that started it ends.
func (c *cluster) runStarts() {
	runtime.LockOSThread()
	for start := range c.starts {
		start()
	}
}

// makeClusterKeys returns the keys that a script refers to by number. The same seed returns the same keys.
func makeClusterKeys(seed uint64) (keys []string) {
	for number := 1; number <= clusterKeyCount; number++ {
		key := fmt.Sprintf("drill key %02d %019d", number, seed)
		keys = append(keys, base64.StdEncoding.EncodeToString([]byte(key)))
	}
	return keys
}

// streamPorts returns the ports on which processes accept streams. The gossip port is the first.
func streamPorts(script *config.Drill) []int {
	if script.Coordinators > 0 {
		return []int{gossipPort, clientPort, coordinatorPort}
	}
	return []int{gossipPort, clientPort}
}

// addProcess creates a process with its fakes and its front. Each drill uses its own loopback networks, derived from
// its process id, so that concurrent drills on one machine do not interfere.
func (c *cluster) addProcess(index int) error {
	const hostsPerNetwork = 250
	octet := 64 + os.Getpid()%64
	suffix := fmt.Sprintf("%d.%d", index/hostsPerNetwork, index%hostsPerNetwork+1)
	name := fmt.Sprintf("p%03d", index)
	p := &process{
		cluster:   c,
		index:     index,
		name:      name,
		host:      fmt.Sprintf("127.%d.%s", octet, suffix),
		frontHost: fmt.Sprintf("127.%d.%s", octet+64, suffix),
		dir:       filepath.Join(c.dir, name),
		release:   releaseOf(c.script, index),
		runtime:   fake.NewRuntime(),
		seedCount: c.script.SeedMembers,
	}
	p.keyNumbers = []int{1}
	if err := c.network.addProcess(index, p.host, p.frontHost); err != nil {
		return err
	}
	switch l := layoutOf(c.script); {
	case index >= l.coordinators:
		p.role = roleCoordinator
	case index >= l.allocators:
		p.role = roleAllocator
		service, err := newFakeService(p.name, c.script)
		if err != nil {
			return err
		}
		p.service = service
		c.services = append(c.services, service)
	case index >= l.proxies:
		p.role = roleProxy
	}
	c.processes = append(c.processes, p)
	go c.serveRuntime(p)
	return nil
}

// setLoadFactor sets the multiplier of the load. It may be called on any goroutine.
func (c *cluster) setLoadFactor(factor float64) { c.loadFactor.Store(math.Float64bits(factor)) }

// currentLoadFactor returns the multiplier of the load. It may be called on any goroutine.
func (c *cluster) currentLoadFactor() float64 { return math.Float64frombits(c.loadFactor.Load()) }

// clientTargets returns the processes that clients connect to: the proxies if there are any, otherwise the instances.
func (c *cluster) clientTargets() []*process {
	l := layoutOf(c.script)
	if c.script.Proxies > 0 {
		return c.processes[l.proxies:l.allocators]
	}
	return c.processes[:l.proxies]
}

// close kills all processes and closes the fakes and the network. It ignores close errors because the drill has ended.
func (c *cluster) close() {
	var stopping sync.WaitGroup
	for _, p := range c.processes {
		_ = p.runtime.Listener.Close()
		stopping.Go(func() { p.stop(syscall.SIGKILL) })
	}
	stopping.Wait()
	for _, service := range c.services {
		_ = service.listener.Close()
	}
	if c.hookListener != nil {
		_ = c.hookListener.Close()
	}
	c.network.close()
	_ = c.database.Listener.Close()
	c.registry.Close()
	close(c.starts)
}

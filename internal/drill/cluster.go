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

// Ports of each process, at its own host and at its front.
const (
	gossipPort      = 7946
	coordinatorPort = 7960
	clientPort      = 8443
)

// clusterKeyCount is the number of cluster keys that a script may name, from 1 on.
const clusterKeyCount = 8

// callbacks are what a cluster tells the drill. They are called on any goroutine.
type callbacks struct {
	onExecution func(p *process, requestID string) // a process has begun to run a request
	onFailure   func(detail string)                // a process did what it should not
	print       func(line string)
}

// cluster is all that runs in a drill. Its fields are set before the first process starts and do not change, but
// for what says otherwise.
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
	disruptions  *disruptionLog // nil: there are no coordinators
	hookListener net.Listener   // nil: there are no coordinators
	keys         []string       // cluster keys, by number less one
	starts       chan func()    // work for the thread that starts processes
	loadFactor   atomic.Uint64  // by which the load is multiplied, as the bits of a float64
}

// newCluster makes all processes, the fakes beside them and the links between them. None is started.
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

// runStarts starts processes on one thread that stays: the kernel ends a child with the thread that started it.
func (c *cluster) runStarts() {
	runtime.LockOSThread()
	for start := range c.starts {
		start()
	}
}

// makeClusterKeys returns the keys that a script names by number, the same for the same seed.
func makeClusterKeys(seed uint64) (keys []string) {
	for number := 1; number <= clusterKeyCount; number++ {
		key := fmt.Sprintf("drill key %02d %019d", number, seed)
		keys = append(keys, base64.StdEncoding.EncodeToString([]byte(key)))
	}
	return keys
}

// streamPorts returns the ports that processes take streams at, the gossip's first.
func streamPorts(script *config.Drill) []int {
	if script.Coordinators > 0 {
		return []int{gossipPort, clientPort, coordinatorPort}
	}
	return []int{gossipPort, clientPort}
}

// addProcess makes a process with its fakes and its front. Drills on one machine must not meet: each has loopback
// networks of its own, by its process id.
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

// setLoadFactor multiplies the load. It may be called on any goroutine.
func (c *cluster) setLoadFactor(factor float64) { c.loadFactor.Store(math.Float64bits(factor)) }

// currentLoadFactor may be called on any goroutine.
func (c *cluster) currentLoadFactor() float64 { return math.Float64frombits(c.loadFactor.Load()) }

// clientTargets returns the processes that clients know: the proxies if there are any, else the instances.
func (c *cluster) clientTargets() []*process {
	l := layoutOf(c.script)
	if c.script.Proxies > 0 {
		return c.processes[l.proxies:l.allocators]
	}
	return c.processes[:l.proxies]
}

// close ends all processes and fakes. Errors of closing are of no interest any more.
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

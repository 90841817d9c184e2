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

// cluster is all that runs.
type cluster struct {
	script    *config.Drill
	binary    string
	dir       string
	links     *network
	database  *fake.Database
	registry  *fake.Registry
	processes []*process

	services     []*fakeService
	disruptions  *disruptionLog
	hookListener net.Listener
	loadFactor   atomic.Uint64 // how many times the usual load there is, as bits
	keys         []string
	starts       chan func() // work for the one thread that starts processes
	onExecution  func(p *process, op string)
	fail         func(what string)
	print        func(line string)
}

const (
	gossipPort = 7946
	clientPort = 8443

	coordinatorPort = 7960
)

func newCluster(script *config.Drill, binary, dir string) (*cluster, error) {
	w := &cluster{script: script, binary: binary, dir: dir, links: newNetwork(script.RandomSeed, streamPorts(script)...), database: fake.NewDatabase(), registry: fake.NewRegistry(), starts: make(chan func())}
	w.database.AutoReply()
	w.loadFactor.Store(math.Float64bits(1))
	go func() { // the kernel ends a child with the thread that started it: this one stays, whatever becomes of the others
		runtime.LockOSThread()
		for start := range w.starts {
			start()
		}
	}()
	for number := range 8 { // the keys of a script go by number; the same for the same seed
		w.keys = append(w.keys, base64.StdEncoding.EncodeToString([]byte(fmt.Sprintf("drill key %02d %019d", number+1, script.RandomSeed))))
	}
	// Danger: two rehearsals on one machine must not meet. Each has loopback networks of its own by its process number.
	octet := 64 + os.Getpid()%64
	for index := range script.Instances + script.Proxies + script.Allocators + script.Coordinators {
		p := &process{cluster: w, index: index, isProxy: index >= script.Instances && index < script.Instances+script.Proxies, name: fmt.Sprintf("p%03d", index), host: fmt.Sprintf("127.%d.%d.%d", octet, index/250, index%250+1), frontHost: fmt.Sprintf("127.%d.%d.%d", octet+64, index/250, index%250+1),
			runtime: fake.NewRuntime(), keyNumbers: []int{1}, seedCount: script.SeedMembers}
		p.dir = filepath.Join(dir, p.name)
		if err := w.links.addProcess(index, p.host, p.frontHost); err != nil {
			return nil, err
		}
		p.release = releaseOf(script, index)
		p.isCoordinator = index >= script.Instances+script.Proxies+script.Allocators
		if index >= script.Instances+script.Proxies && !p.isCoordinator {
			p.service = newFakeService(p.name, script)
			w.services = append(w.services, p.service)
		}
		w.processes = append(w.processes, p)
		go w.serveRuntime(p)
	}
	return w, nil
}

// streamPorts are where streams are taken between processes.
func streamPorts(script *config.Drill) []int {
	if script.Coordinators > 0 {
		return []int{gossipPort, clientPort, coordinatorPort}
	}
	return []int{gossipPort, clientPort}
}

func (w *cluster) close() {
	var stopped sync.WaitGroup
	for _, p := range w.processes {
		p.runtime.Listener.Close()
		stopped.Add(1)
		go func() {
			defer stopped.Done()
			p.stop(syscall.SIGKILL)
		}()
	}
	stopped.Wait()
	for _, fake := range w.services {
		fake.listener.Close()
	}
	if w.hookListener != nil {
		w.hookListener.Close()
	}
	w.links.close()
	w.database.Listener.Close()
	w.registry.Close()
	close(w.starts)
}

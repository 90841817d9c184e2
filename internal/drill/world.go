package drill

import (
	"encoding/base64"
	"fmt"
	"io"
	"math"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"lanewheel/internal/config"
	"lanewheel/internal/fake"
	"lanewheel/internal/fleet/gossip"
	"lanewheel/internal/membership"
)

// process is one process of the rehearsal. What is under mu changes as it is killed and started.
type process struct {
	cluster         *cluster
	index           int
	isProxy         bool
	service         *fakeService // what it stands beside, nil if it is no desk
	isCoordinator   bool
	startedBefore   bool   // it was started before
	release         string // that it is on
	name            string
	host, frontHost string // where it is, and where the others reach it
	dir             string
	runtime         *fake.Runtime
	runtimeDelayed  bool // its runtime does not take links
	runtimeFaults   fake.RuntimeFaults
	mu              sync.Mutex
	cmd             *exec.Cmd
	exit            chan struct{}
	stopExpected    bool // its end is our doing
	paused, exited  bool
	startedAt       time.Time
	id              membership.ID  // of this life, once it has said so
	outages         [][2]time.Time // from when to when it was out by our doing
	drains          [][2]time.Time // when it was told to leave, and when that life was over
	keyNumbers      []int
	seedCount       int
}

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

// serveRuntime is a process's runtime: whichever link comes, it is up and works, as often as the process is started.
func (w *cluster) serveRuntime(p *process) {
	for life := uint64(0); ; life++ {
		runtime := &fake.Runtime{Listener: p.runtime.Listener}
		if !runtime.TryAccept() {
			return
		}
		for p.isRuntimeDelayed() {
			time.Sleep(20 * time.Millisecond)
		}
		runtime.Faults = p.currentRuntimeFaults
		runtime.SendReady("steady")
		if w.disruptions != nil {
			w.disruptions.noteBack(p)
		}
		runtime.AutoRun(2, w.script.MeanRunTime, w.script.RandomSeed+life<<32+uint64(p.index), func(_, _, body string) { w.onExecution(p, body) })
	}
}

func (p *process) currentRuntimeFaults() fake.RuntimeFaults {
	p.mu.Lock()
	defer p.mu.Unlock()
	if bad, is := p.cluster.releaseFaults(p.release); is && p.runtimeFaults == (fake.RuntimeFaults{}) {
		return bad
	}
	return p.runtimeFaults
}

func (p *process) isRuntimeDelayed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.runtimeDelayed || p.cluster.script.BadRelease.NeverReady && p.release == p.cluster.script.BadRelease.Release
}

func (p *process) path(name string) string { return filepath.Join(p.dir, name) }

// writeFiles makes the folder of a process with all that it reads.
func (w *cluster) writeFiles(p *process) error {
	if err := os.MkdirAll(p.dir, 0o700); err != nil {
		return err
	}
	settings := strings.NewReplacer("IDLE", "30", "FRESH", "0", `"memory-kb":1900`, `"memory-kb":190000`, `"dep-share":8,`, `"dep-share":800,`).Replace(fake.Settings)
	platform := fmt.Sprintf(`{"name":%q,"listen":"%s:%d","runtime":%q,"roster":%q,"db":%q,"seed":"%x","stop_ms":1500,`+
		`"limits":{"cores":1,"memory_mb":%g,"sockets":512},"settings":%s}`, p.name, p.host, clientPort, p.runtime.Addr(), w.registry.Addr(), w.database.Addr(),
		w.script.RandomSeed+uint64(p.index), w.script.MaxMemoryMB, settings)
	var seeds []string
	for _, other := range w.processes[:p.seedCount] {
		seeds = append(seeds, fmt.Sprintf("%s:%d", other.frontHost, gossipPort))
	}
	var operatorINI string
	fleetSection := fmt.Sprintf("[fleet]\nlisten = %s:%d\nadvertise = %s:%d\nseeds = %s\nzone = %s\nrelease = %s\nkeys = keys\nwatch = w\n",
		p.host, gossipPort, p.frontHost, gossipPort, strings.Join(seeds, ", "), zoneOf(w.script, p.index), p.release)
	if w.script.Coordinators > 0 {
		fleetSection += "permits = yes\n"
	}
	section := func(name string, pairs [][2]string) {
		operatorINI += "[" + name + "]\n"
		for _, setting := range pairs {
			operatorINI += setting[0] + " = " + setting[1] + "\n"
		}
	}
	switch {
	case p.isProxy:
		section("relay", w.script.ProxySettings)
	case p.isCoordinator:
		section("steward", w.script.CoordinatorSettings)
		var coordinators []string
		for _, other := range w.processes {
			if other.isCoordinator {
				coordinators = append(coordinators, fmt.Sprintf("%s:%d", other.frontHost, coordinatorPort))
			}
		}
		operatorINI += fmt.Sprintf("listen = %s:%d\nat = %s:%d\nstewards = %s\nfolder = log.d\nrestart = %s hook %s {name} {release}\n", p.host, coordinatorPort, p.frontHost, coordinatorPort, strings.Join(coordinators, ", "), w.binary, w.hookPath())
		fleetSection += fmt.Sprintf("name = %s\n", p.name)
	case p.service != nil:
		section("grants", w.script.AllocatorSettings)
		operatorINI += fmt.Sprintf("lock = %s\n", filepath.Join(w.dir, p.name+".lock"))
		fleetSection += fmt.Sprintf("name = %s\nserves = %s\n", p.name, p.service.address())
	default:
		if w.script.Allocators > 0 {
			section("below", w.script.UpstreamSettings)
		}
		if w.script.SpilloverEnabled {
			section("handover", w.script.SpilloverSettings)
		}
		fleetSection += fmt.Sprintf("serves = %s:%d\n", p.frontHost, clientPort)
	}
	operatorINI += fleetSection
	for _, setting := range w.script.FleetSettings {
		operatorINI += setting[0] + " = " + setting[1] + "\n"
	}
	var text string
	for _, number := range p.keyNumbers {
		text += w.keys[number-1] + "\n"
	}
	for name, text := range map[string]string{"config.json": platform, "fleet.ini": operatorINI, "keys": text} {
		if err := os.WriteFile(p.path(name), []byte(text), 0o600); err != nil {
			return err
		}
	}
	return nil
}

// startProcess starts a process in its folder.
func (w *cluster) startProcess(p *process) error {
	logFile, err := os.OpenFile(p.path("log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	subcommand := "serve"
	if p.isProxy {
		subcommand = "relay"
	}
	if p.service != nil {
		subcommand = "desk"
	}
	arguments := []string{subcommand, "--operator", p.path("fleet.ini")}
	if p.isCoordinator {
		arguments[0] = "steward"
		if !p.startedBefore && p.index == w.script.Instances+w.script.Proxies+w.script.Allocators {
			arguments = append(arguments, "--begin")
		}
		p.startedBefore = true
	}
	cmd := exec.Command(w.binary, arguments...)
	cmd.Env = append(os.Environ(), "RELAY_CONFIG="+p.path("config.json"))
	cmd.Stdout, cmd.Stderr = logFile, logFile
	// Danger: a rehearsal that is killed leaves hundreds of processes behind. The kernel ends them with us.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := make(chan error)
	w.starts <- func() { started <- cmd.Start() }
	err = <-started
	logFile.Close()
	if err != nil {
		return err
	}
	exit := make(chan struct{})
	crashes := w.script.BadRelease.CrashAfter > 0 && p.release == w.script.BadRelease.Release
	if crashes {
		time.AfterFunc(w.script.BadRelease.CrashAfter, func() { _ = cmd.Process.Kill() })
	}
	p.mu.Lock()
	p.cmd, p.exit, p.stopExpected, p.exited, p.paused, p.startedAt, p.id = cmd, exit, false, false, false, time.Now(), membership.ID{}
	p.markBack()
	p.mu.Unlock()
	go func() {
		err := cmd.Wait()
		p.mu.Lock()
		unexpected := !p.stopExpected && p.cmd == cmd
		if unexpected && err == nil && w.disruptions != nil { // it left by a permit
			unexpected = false
			p.markOut()
			defer w.disruptions.noteOut(w, p)
		}
		if unexpected && crashes { // and whoever looks after processes starts it again
			unexpected = false
			p.markOut()
			time.AfterFunc(time.Second, func() { _ = w.restart(p.name, "") })
		}
		if p.cmd == cmd {
			p.exited = true
		}
		p.mu.Unlock()
		close(exit)
		if unexpected {
			w.fail(fmt.Sprintf("%s ended by itself: %v; %s", p.name, err, logTail(p.path("log"))))
		}
	}()
	return nil
}

// logTail is the end of a log, for whoever reads why a process ended.
func logTail(path string) string {
	f, err := os.Open(path)
	if err != nil {
		return err.Error()
	}
	defer f.Close()
	if info, err := f.Stat(); err == nil && info.Size() > 600 {
		_, _ = f.Seek(-600, io.SeekEnd)
	}
	b, _ := io.ReadAll(f)
	return string(b)
}

// stop ends a process by a signal that it can't or can heed, and waits for it.
func (p *process) stop(signal syscall.Signal) {
	p.mu.Lock()
	command, exit := p.cmd, p.exit
	p.stopExpected = true
	p.markOut()
	if signal == syscall.SIGTERM {
		p.drains = append(p.drains, [2]time.Time{time.Now()})
		defer func() {
			p.mu.Lock()
			p.drains[len(p.drains)-1][1] = time.Now()
			p.mu.Unlock()
		}()
	}
	p.mu.Unlock()
	if command == nil {
		return
	}
	_ = command.Process.Signal(signal)
	if signal != syscall.SIGKILL {
		_ = command.Process.Signal(syscall.SIGCONT)
	}
	select {
	case <-exit:
	case <-time.After(5 * time.Second):
		_ = command.Process.Kill()
		<-exit
	}
}

// markOut and back note that a process can't answer from now on, and that it can. They belong under mu.
func (p *process) markOut() {
	if n := len(p.outages); n == 0 || !p.outages[n-1][1].IsZero() {
		p.outages = append(p.outages, [2]time.Time{time.Now()})
	}
}

func (p *process) markBack() {
	if n := len(p.outages); n > 0 && p.outages[n-1][1].IsZero() {
		p.outages[n-1][1] = time.Now()
	}
}

func (p *process) signal(signal syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil && !p.exited {
		_ = p.cmd.Process.Signal(signal)
	}
}

// isUp tells whether a process should be among the others now, and answers.
func (p *process) isUp() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd != nil && !p.exited && !p.stopExpected && !p.paused
}

// status asks a process for its view.
func (p *process) status() (gossip.Snapshot, error) {
	snapshot, err := gossip.ReadSnapshot(p.path("w"), gossip.SnapshotBrief)
	if err == nil {
		incarnation, _ := strconv.ParseUint(snapshot.BootID, 16, 64)
		p.mu.Lock()
		p.id = membership.ID{Name: membership.Name(snapshot.Name), BootID: membership.BootID(incarnation)}
		p.mu.Unlock()
	}
	return snapshot, err
}

// residentMB is what a process holds, in MB, less the pages of the binary.
func (p *process) residentMB() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil || p.exited {
		return 0
	}
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(text), "\n") {
		if value, found := strings.CutPrefix(line, "RssAnon:"); found {
			kilobytes, _ := strconv.ParseFloat(strings.Fields(value)[0], 64)
			return kilobytes / 1024
		}
	}
	return 0
}

// apply carries out what is done to processes.
func (w *cluster) apply(event Event) {
	if event.Fault.Action == "agree" && event.Undo { // whoever was drained is started again
		for _, p := range w.processes[:w.script.Instances] {
			p.mu.Lock()
			exited := p.exited && !p.stopExpected
			p.mu.Unlock()
			if exited {
				if err := w.restart(p.name, ""); err != nil {
					w.fail(p.name + ": " + err.Error())
				}
			}
		}
		return
	}
	if event.Fault.Action == "agree" {
		go func() { // an operator's command waits for its answer; the timeline does not
			reply, err := w.runCommand(event.Fault.Command, fmt.Sprint(event.Fault.Name, event.At))
			if err != nil {
				w.fail(event.Fault.Name + ": " + err.Error())
			}
			w.print(fmt.Sprintf("        %s: %s, release %s", event.Fault.Command, reply, w.rolloutPhase()))
		}()
		return
	}
	if event.Fault.Action == "burst" {
		w.loadFactor.Store(math.Float64bits(1))
		if !event.Undo {
			w.loadFactor.Store(math.Float64bits(event.Fault.Factor))
		}
		return
	}
	var targets sync.WaitGroup
	for _, index := range event.Targets {
		p := w.processes[index]
		targets.Add(1)
		go func() {
			defer targets.Done()
			if err := w.applyTo(event, p); err != nil {
				w.fail(fmt.Sprintf("%s: %s: %v", event.Fault.Name, p.name, err))
			}
		}()
	}
	targets.Wait()
}

func (w *cluster) applyTo(event Event, p *process) error {
	fault := event.Fault
	switch {
	case fault.Action == "kill" && !event.Undo, fault.Action == "wipe" && !event.Undo:
		p.stop(syscall.SIGKILL)
		if fault.Action == "wipe" {
			return os.RemoveAll(p.dir)
		}
	case fault.Action == "kill" || fault.Action == "wipe" || fault.Action == "leave" && event.Undo:
		if err := w.writeFiles(p); err != nil {
			return err
		}
		return w.startProcess(p)
	case fault.Action == "leave":
		p.stop(syscall.SIGTERM)
	case fault.Action == "pause":
		p.mu.Lock()
		p.paused = !event.Undo
		if event.Undo {
			p.markBack()
		} else {
			p.markOut()
		}
		p.mu.Unlock()
		if event.Undo {
			p.signal(syscall.SIGCONT)
		} else {
			p.signal(syscall.SIGSTOP)
		}
	case (fault.Action == "restart" || fault.Action == "replace") && !event.Undo: // under its old name and address; the second one leaves first
		if fault.Action == "restart" {
			p.stop(syscall.SIGKILL)
		} else {
			p.stop(syscall.SIGTERM)
		}
		return w.startProcess(p)
	case fault.Action == "late-runtime":
		p.mu.Lock()
		p.runtimeDelayed = !event.Undo
		p.mu.Unlock()
		if !event.Undo {
			p.stop(syscall.SIGKILL)
			return w.startProcess(p)
		}
	case fault.Action == "slow-runs" || fault.Action == "fail-runs" || fault.Action == "lose-runs":
		p.mu.Lock()
		p.runtimeFaults = fake.RuntimeFaults{}
		if !event.Undo {
			p.runtimeFaults = fake.RuntimeFaults{SlowFactor: fault.Factor, FailRuns: fault.Action == "fail-runs", LoseRuns: fault.Action == "lose-runs"}
		}
		p.mu.Unlock()
	case fault.Action == "keys" && !event.Undo || fault.Action == "seeds" && !event.Undo:
		if len(fault.KeyNumbers) > 0 {
			p.keyNumbers = fault.KeyNumbers
		}
		p.seedCount = max(p.seedCount, fault.SeedMembers)
		if err := w.writeFiles(p); err != nil {
			return err
		}
		p.signal(syscall.SIGHUP)
	case fault.Action == "flood" && !event.Undo:
		go w.floodGossip(p, fault)
	}
	return nil
}

// floodGossip is a stranger without the key: what it sends is noise, too large, and a fleet's of another key, by datagram and stream.
func (w *cluster) floodGossip(p *process, fault *config.DrillFault) {
	addr := net.JoinHostPort(p.frontHost, strconv.Itoa(gossipPort))
	connection, err := net.Dial("udp", addr)
	if err != nil {
		return
	}
	defer connection.Close()
	payload := make([]byte, 1400)
	for until := time.Now().Add(max(fault.Duration, time.Second)); time.Now().Before(until); {
		for index := range payload {
			payload[index] = byte(index * int(time.Now().UnixNano()))
		}
		for range 20 {
			_, _ = connection.Write(payload[:1+int(time.Now().UnixNano()%1400)])
		}
		if stream, err := net.DialTimeout("tcp", addr, 100*time.Millisecond); err == nil {
			_, _ = stream.Write(payload[:100])
			stream.Close()
		}
		time.Sleep(10 * time.Millisecond)
	}
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

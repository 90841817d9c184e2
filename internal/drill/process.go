package drill

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"lanewheel/internal/fake"
	"lanewheel/internal/fleet/gossip"
	"lanewheel/internal/membership"
)

const (
	// stopTimeout is how long a process may take to end by a signal before it is killed.
	stopTimeout = 5 * time.Second

	// restartDelay is how long after a crash whoever supervises a process starts it again.
	restartDelay = time.Second

	// logTailBytes is how much of a log is shown where a process ended by itself.
	logTailBytes = 600
)

// role is what a process is started as.
type role uint8

const (
	roleInstance role = iota
	roleProxy
	roleAllocator
	roleCoordinator
)

// subcommands by role.
var subcommands = [...]string{"serve", "proxy", "allocator", "coordinator"}

// process is one process of a drill, through all its incarnations.
type process struct {
	cluster   *cluster
	index     int
	role      role
	name      string
	host      string // address that it listens on and dials from
	frontHost string // address that the others reach it at
	dir       string
	runtime   *fake.Runtime
	service   *fakeService // that an allocator stands beside, else nil

	// Owned by whoever starts the process: the timeline, or a hook while the process is out.
	startedBefore bool
	keyNumbers    []int
	seedCount     int

	mu             sync.Mutex // guards what follows
	release        string
	runtimeDelayed bool // its runtime takes no links
	runtimeFaults  fake.RuntimeFaults
	cmd            *exec.Cmd     // nil before the first start
	exit           chan struct{} // closed at the end of cmd
	stopExpected   bool          // its end is our doing
	paused         bool
	exited         bool
	id             membership.ID // of this incarnation, once it has reported it
	outages        []interval    // when it could not answer, by our doing
	drains         []interval    // from each notice to drain to the end of that incarnation
}

func (p *process) path(name string) string { return filepath.Join(p.dir, name) }

// start starts the process in its folder.
func (p *process) start() error {
	logFile, err := os.OpenFile(p.path("log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.CommandContext(context.Background(), p.cluster.binary, p.arguments()...)
	cmd.Env = append(os.Environ(), "RELAY_CONFIG="+p.path("config.json"))
	cmd.Stdout, cmd.Stderr = logFile, logFile
	// A drill that is killed would leave hundreds of processes behind: so the kernel ends them with us.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := make(chan error)
	p.cluster.starts <- func() { started <- cmd.Start() }
	err = <-started
	_ = logFile.Close() // the process has its own
	if err != nil {
		return err
	}
	bad := p.cluster.script.BadRelease
	p.mu.Lock()
	crashes := bad.CrashAfter > 0 && p.release == bad.Release
	p.cmd = cmd
	p.exit = make(chan struct{})
	p.stopExpected, p.paused, p.exited = false, false, false
	p.id = membership.ID{}
	p.endOutage()
	exit := p.exit
	p.mu.Unlock()
	if crashes {
		time.AfterFunc(bad.CrashAfter, func() { _ = cmd.Process.Kill() })
	}
	go p.wait(cmd, exit, crashes)
	return nil
}

// arguments returns the command line. The first coordinator founds the cluster at its first start.
func (p *process) arguments() []string {
	arguments := []string{subcommands[p.role], "--operator", p.path("fleet.ini")}
	if p.role != roleCoordinator {
		return arguments
	}
	if !p.startedBefore && p.index == layoutOf(p.cluster.script).coordinators {
		arguments = append(arguments, "--bootstrap")
	}
	p.startedBefore = true
	return arguments
}

// wait waits for the end of one incarnation and tells whose doing it was.
func (p *process) wait(cmd *exec.Cmd, exit chan struct{}, crashes bool) {
	err := cmd.Wait()
	p.mu.Lock()
	unexpected := !p.stopExpected && p.cmd == cmd
	byPermit := unexpected && err == nil && p.cluster.disruptions != nil
	crashed := unexpected && !byPermit && crashes
	if byPermit || crashed {
		p.beginOutage()
	}
	if p.cmd == cmd {
		p.exited = true
	}
	p.mu.Unlock()
	close(exit)
	switch {
	case byPermit:
		p.cluster.disruptions.recordDeparture(p.cluster, p)
	case crashed:
		time.AfterFunc(restartDelay, func() { _ = p.cluster.restart(p.name, "") }) // it may be running again
	case unexpected:
		p.cluster.onFailure(fmt.Sprintf("%s ended by itself: %v; %s", p.name, err, logTail(p.path("log"))))
	}
}

// logTail returns the end of a log, for whoever reads why a process ended.
func logTail(path string) string {
	file, err := os.Open(path)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = file.Close() }() // it was only read
	if info, err := file.Stat(); err == nil && info.Size() > logTailBytes {
		_, _ = file.Seek(-logTailBytes, io.SeekEnd) // else it is shown whole
	}
	text, err := io.ReadAll(file)
	if err != nil {
		return err.Error()
	}
	return string(text)
}

// stop ends the process by a signal and waits for it; it is killed if it does not end.
func (p *process) stop(signal syscall.Signal) {
	p.mu.Lock()
	cmd, exit := p.cmd, p.exit
	p.stopExpected = true
	p.beginOutage()
	if signal == syscall.SIGTERM {
		p.drains = append(p.drains, interval{from: time.Now()})
		defer p.endDrain()
	}
	p.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Signal(signal) // it may have ended
	if signal != syscall.SIGKILL {
		_ = cmd.Process.Signal(syscall.SIGCONT)
	}
	select {
	case <-exit:
	case <-time.After(stopTimeout):
		_ = cmd.Process.Kill()
		<-exit
	}
}

func (p *process) endDrain() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.drains[len(p.drains)-1].to = time.Now()
}

// beginOutage notes that the process can't answer from now on. mu must be held.
func (p *process) beginOutage() {
	if n := len(p.outages); n == 0 || !p.outages[n-1].to.IsZero() {
		p.outages = append(p.outages, interval{from: time.Now()})
	}
}

// endOutage notes that the process can answer again. mu must be held.
func (p *process) endOutage() {
	if n := len(p.outages); n > 0 && p.outages[n-1].to.IsZero() {
		p.outages[n-1].to = time.Now()
	}
}

// pause stops the process without ending it, or lets it go on.
func (p *process) pause(paused bool) {
	p.mu.Lock()
	p.paused = paused
	if paused {
		p.beginOutage()
	} else {
		p.endOutage()
	}
	p.mu.Unlock()
	if paused {
		p.signal(syscall.SIGSTOP)
	} else {
		p.signal(syscall.SIGCONT)
	}
}

func (p *process) signal(signal syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isRunning() {
		_ = p.cmd.Process.Signal(signal) // it may have ended
	}
}

// isRunning reports whether the process was started and has not ended. mu must be held.
func (p *process) isRunning() bool { return p.cmd != nil && !p.exited }

// isUp reports whether the process should be among the others now, and answer.
func (p *process) isUp() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.isRunning() && !p.stopExpected && !p.paused
}

// outBetween reports whether the process could not answer at some time between two, by our doing.
func (p *process) outBetween(from, to time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, outage := range p.outages {
		if outage.overlaps(from, to) {
			return true
		}
	}
	return false
}

// status asks the process for its view.
func (p *process) status() (gossip.Snapshot, error) {
	snapshot, err := gossip.ReadSnapshot(p.path("w"), gossip.SnapshotBrief)
	if err != nil {
		return gossip.Snapshot{}, err
	}
	bootID, err := strconv.ParseUint(snapshot.BootID, 16, 64)
	if err != nil {
		return gossip.Snapshot{}, fmt.Errorf("%s: boot id of the status: %w", p.name, err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.id = membership.ID{Name: membership.Name(snapshot.Name), BootID: membership.BootID(bootID)}
	return snapshot, nil
}

// currentID returns the id of this incarnation, zero before it has reported it.
func (p *process) currentID() membership.ID {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.id
}

// residentMB returns the memory that the process holds, without the pages of the binary; 0 if it does not run.
func (p *process) residentMB() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.isRunning() {
		return 0
	}
	mb, err := readProcMB(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid), "RssAnon")
	if err != nil {
		return 0 // it has just ended
	}
	return mb
}

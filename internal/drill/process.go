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
	// stopTimeout is the maximum time that a process may take to end after a signal. It is killed after that.
	stopTimeout = 5 * time.Second

	// restartDelay is the delay between a crash and the restart of the process, as by a supervisor.
	restartDelay = time.Second

	// logTailBytes is the number of bytes at the end of a log that are reported if a process ended by itself.
	logTailBytes = 600
)

// role is the role that a process is started in.
type role uint8

const (
	roleInstance role = iota
	roleProxy
	roleAllocator
	roleCoordinator
)

// subcommands holds the subcommand that starts a process, by role.
var subcommands = [...]string{"serve", "proxy", "allocator", "coordinator"}

// process is one process of a drill, through all its incarnations.
type process struct {
	cluster   *cluster
	index     int
	role      role
	name      string
	host      string // address on which it listens and from which it dials
	frontHost string // address at which the others reach it
	dir       string
	runtime   *fake.Runtime
	service   *fakeService // the service behind an allocator; nil for other roles

	// These fields are owned by the goroutine that starts the process: the timeline's goroutine, or a hook's goroutine
	// while the process is out.
	startedBefore bool
	keyNumbers    []int
	seedCount     int

	mu             sync.Mutex // guards the fields below
	release        string
	runtimeDelayed bool // its runtime does not become ready
	runtimeFaults  fake.RuntimeFaults
	cmd            *exec.Cmd     // nil before the first start
	exit           chan struct{} // closed at the end of cmd
	stopExpected   bool          // the drill has stopped it
	paused         bool
	exited         bool
	id             membership.ID // of the current incarnation; zero until the process has reported it
	outages        []interval    // when the drill kept it from answering
	drains         []interval    // from each drain notice to the end of that incarnation
}

func (p *process) path(name string) string { return filepath.Join(p.dir, name) }

// start starts the process with the files in its directory.
func (p *process) start() error {
	logFile, err := os.OpenFile(p.path("log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.CommandContext(context.Background(), p.cluster.binary, p.arguments()...)
	cmd.Env = append(os.Environ(), "RELAY_CONFIG="+p.path("config.json"))
	cmd.Stdout, cmd.Stderr = logFile, logFile
	// Without Pdeathsig, a drill that is killed would leave hundreds of processes running.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := make(chan error)
	p.cluster.starts <- func() { started <- cmd.Start() }
	err = <-started
	_ = logFile.Close() // the process has its own descriptor
	if err != nil {
		return err
	}
	badRelease := p.cluster.script.BadRelease
	p.mu.Lock()
	crashes := badRelease.CrashAfter > 0 && p.release == badRelease.Release
	p.cmd = cmd
	p.exit = make(chan struct{})
	p.stopExpected, p.paused, p.exited = false, false, false
	p.id = membership.ID{}
	p.endOutage()
	exit := p.exit
	p.mu.Unlock()
	if crashes {
		time.AfterFunc(badRelease.CrashAfter, func() { _ = cmd.Process.Kill() })
	}
	go p.wait(cmd, exit, crashes)
	return nil
}

// arguments returns the command-line arguments of the process. The first coordinator bootstraps the cluster at its
// first start.
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

// wait waits for the end of one incarnation and handles an end that the drill did not cause: an end under a permit
// is recorded, a crash that the script intends is followed by a restart, and any other end is reported as a failure.
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
		time.AfterFunc(restartDelay, func() { _ = p.cluster.restart(p.name, "") }) // it may already be running
	case unexpected:
		p.cluster.onFailure(fmt.Sprintf("%s ended by itself: %v; %s", p.name, err, logTail(p.path("log"))))
	}
}

// logTail returns the last logTailBytes bytes of a log, or an error text if the log cannot be read.
func logTail(path string) string {
	file, err := os.Open(path)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = file.Close() }() // the file was only read
	if info, err := file.Stat(); err == nil && info.Size() > logTailBytes {
		_, _ = file.Seek(-logTailBytes, io.SeekEnd) // on an error the whole log is returned
	}
	text, err := io.ReadAll(file)
	if err != nil {
		return err.Error()
	}
	return string(text)
}

// stop sends a signal to the process and waits for its end. It kills the process after stopTimeout.
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

// beginOutage records that the process cannot answer from now on. mu must be held.
func (p *process) beginOutage() {
	if n := len(p.outages); n == 0 || !p.outages[n-1].to.IsZero() {
		p.outages = append(p.outages, interval{from: time.Now()})
	}
}

// endOutage records that the process can answer again. mu must be held.
func (p *process) endOutage() {
	if n := len(p.outages); n > 0 && p.outages[n-1].to.IsZero() {
		p.outages[n-1].to = time.Now()
	}
}

// pause suspends the process, or resumes it if paused is false.
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

// isRunning reports whether the process has been started and has not ended. mu must be held.
func (p *process) isRunning() bool { return p.cmd != nil && !p.exited }

// isUp reports whether the process is expected to be a member and to answer.
func (p *process) isUp() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.isRunning() && !p.stopExpected && !p.paused
}

// outBetween reports whether the drill kept the process from answering at any time between from and to.
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

// status asks the process for its view and records the id that it reports. It returns an error if the process does not
// answer or reports an invalid boot id.
func (p *process) status() (gossip.Snapshot, error) {
	snapshot, err := gossip.ReadSnapshot(p.path("w"), gossip.SnapshotBrief)
	if err != nil {
		return gossip.Snapshot{}, err
	}
	bootID, err := strconv.ParseUint(snapshot.BootID, 16, 64)
	if err != nil {
		return gossip.Snapshot{}, fmt.Errorf("%s: invalid boot id in status: %w", p.name, err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.id = membership.ID{Name: membership.Name(snapshot.Name), BootID: membership.BootID(bootID)}
	return snapshot, nil
}

// currentID returns the id of the current incarnation, or zero if the process has not reported it yet.
func (p *process) currentID() membership.ID {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.id
}

// residentMB returns the resident memory of the process in MB, without the pages of the binary, or 0 if the process is
// not running.
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

package drill

import (
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

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

func (p *process) isRuntimeDelayed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.runtimeDelayed || p.cluster.script.BadRelease.NeverReady && p.release == p.cluster.script.BadRelease.Release
}

func (p *process) path(name string) string { return filepath.Join(p.dir, name) }

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

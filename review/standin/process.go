package standin

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	ExitHeld   = 0 // the rule held
	ExitBroken = 1 // the rule was broken
	ExitNotRun = 2 // the case could not run
)

// Trouble reports whether the case runs with its disruption. TROUBLE=0 turns it off.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Process is a process of the project's own programs.
type Process struct {
	cmd  *exec.Cmd
	done chan struct{}
}

// deployCommand returns a command of the deploy file, such as run.
func deployCommand(name string) (string, error) {
	text, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		return "", err
	}
	match := regexp.MustCompile(`(?m)^` + name + ` *= *"(.*)"$`).FindSubmatch(text)
	if match == nil {
		return "", fmt.Errorf("deploy/balancer.toml has no line %q", name)
	}
	return string(match[1]), nil
}

// Start starts the program by the line run of the deploy file, in the current directory, with the given arguments and
// the configuration file. Its log goes to the file log in the directory of the configuration.
func Start(configPath string, arguments ...string) (*Process, error) {
	command, err := deployCommand("run")
	if err != nil {
		return nil, err
	}
	log, err := os.OpenFile(configPath+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer func() { _ = log.Close() }()
	text := strings.Join(append([]string{command}, arguments...), " ")
	cmd := exec.CommandContext(context.Background(), "/bin/sh", "-c", text)
	cmd.Env = append(os.Environ(), "RELAY_CONFIG="+configPath)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &Process{cmd: cmd, done: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		close(p.done)
	}()
	return p, nil
}

// Running reports whether the process has not ended.
func (p *Process) Running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// Signal sends a signal to the process.
func (p *Process) Signal(signal syscall.Signal) { _ = p.cmd.Process.Signal(signal) }

// Kill ends the process and waits for its end.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

// Listen opens a TCP listener on a free port of the loopback address.
func Listen() (net.Listener, error) {
	return (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
}

// FreeAddress returns a loopback address whose TCP and UDP ports are free.
func FreeAddress() (string, error) {
	listener, err := Listen()
	if err != nil {
		return "", err
	}
	return listener.Addr().String(), listener.Close()
}

// Config is the platform's configuration of one instance.
type Config struct {
	Name, Listen, Runtime, Database, Registry, Settings string
	StopMS                                              int // 0: 3200, as in the example of the deployment page
}

// Write writes the configuration to a file in dir and returns its path.
func (c Config) Write(dir string) (string, error) {
	if c.StopMS == 0 {
		c.StopMS = 3200
	}
	text := fmt.Sprintf(`{"name":%q,"listen":%q,"runtime":%q,"roster":%q,"db":%q,"seed":"8c1f30d27a5be964",`+
		`"stop_ms":%d,"limits":{"cores":1,"memory_mb":192,"sockets":512},"settings":%s}`,
		c.Name, c.Listen, c.Runtime, c.Registry, c.Database, c.StopMS, c.Settings)
	path := filepath.Join(dir, c.Name+".json")
	return path, os.WriteFile(path, []byte(text), 0o600)
}

// ErrTimeout is returned by WaitFor.
var ErrTimeout = errors.New("timed out")

// WaitFor waits until a condition holds.
func WaitFor(timeout time.Duration, condition func() bool) error {
	for end := time.Now().Add(timeout); !condition(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			return ErrTimeout
		}
	}
	return nil
}

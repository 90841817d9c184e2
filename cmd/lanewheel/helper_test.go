package main

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"runtime/debug"
	"strings"
	"sync"
	"syscall"
	"time"

	"lanewheel/internal/fake"
)

// deployment is one instance that runs in a process of its own, with a fake of each peer.
type deployment struct {
	cmd        *exec.Cmd
	log        *logBuffer
	exited     chan struct{} // closed when the program has exited
	listenAddr string
	configPath string // path of the configuration file
	config     string // text of the configuration file
	runtime    *fake.Runtime
	database   *fake.Database
	registry   *fake.Registry
}

// logBuffer collects the log of the program. It may be used by several goroutines.
type logBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *logBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(b)
}

func (l *logBuffer) text() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

var (
	binaryPath, tempDir string
	deploymentCount     int
	operatorPath        string   // path of the operator's file of the next deployment, empty for none
	logFile             *os.File // receives the log of the next deployment instead of its logBuffer, if not nil
)

func listen(addr string) (net.Listener, error) {
	return (&net.ListenConfig{}).Listen(context.Background(), "tcp", addr)
}

func dial(addr string) (net.Conn, error) {
	return (&net.Dialer{}).DialContext(context.Background(), "tcp", addr)
}

// buildProgram builds the program once for all tests.
func buildProgram() {
	tempDir = fake.Must(os.MkdirTemp("", "lanewheel"))
	binaryPath = filepath.Join(tempDir, "lanewheel")
	args := append(append([]string{"build"}, deployFileWords("build", "go build ", " -o ")...), "-o", binaryPath)
	info, _ := debug.ReadBuildInfo()
	for _, setting := range info.Settings {
		if setting.Key == "-race" && setting.Value == "true" {
			args = append(args, "-race")
		}
	}
	if out, err := exec.CommandContext(context.Background(), "go", append(args, ".")...).CombinedOutput(); err != nil {
		panic(string(out))
	}
}

// deployFileWords returns the words between two texts in a line of the deploy file. The tests use it to run the program
// as it is deployed.
func deployFileWords(line, after, before string) []string {
	for _, text := range strings.Split(string(fake.Must(os.ReadFile("../../deploy/balancer.toml"))), "\n") {
		if rest, found := strings.CutPrefix(text, line+" = "); found {
			_, rest, _ = strings.Cut(strings.Trim(rest, `"`), after)
			rest, _, _ = strings.Cut(rest, before)
			return strings.Fields(rest)
		}
	}
	panic("the deploy file has no line " + line)
}

// deploy starts a deployment whose runtime is not ready yet. changes are pairs of a text in the configuration and its
// replacement.
func deploy(changes ...string) *deployment {
	t := &deployment{
		log: &logBuffer{}, exited: make(chan struct{}), runtime: fake.NewRuntime(), database: fake.NewDatabase(),
	}
	t.registry = fake.NewRegistry()
	// A connection of another test may take a free port once it is released. Each deployment therefore listens on a
	// loopback address of its own, which no other test binds.
	deploymentCount++
	host := fmt.Sprintf("127.%d.%d.%d", 71+deploymentCount/250, os.Getpid()%250, 1+deploymentCount%250)
	free := fake.Must(listen(host + ":0"))
	t.listenAddr = free.Addr().String()
	_ = free.Close()
	text := fmt.Sprintf(`{"name":"n1","listen":%q,"runtime":%q,"roster":%q,"db":%q,
 "seed":"8c1f30d27a5be964","stop_ms":1500,
 "limits":{"cores":1,"memory_mb":192,"sockets":64},"settings":%s}`,
		t.listenAddr, t.runtime.Addr(), t.registry.Addr(), t.database.Addr(), fake.Settings)
	text = strings.NewReplacer(append(changes, "IDLE", "30", "FRESH", "0")...).Replace(text)
	t.start(text)
	return t
}

// start writes the configuration to a new file and runs the program with it.
func (t *deployment) start(text string) {
	t.configPath = filepath.Join(tempDir, fmt.Sprintf("%d.json", time.Now().UnixNano()))
	t.writeConfig(text)
	t.run()
}

// run runs the program with the configuration at t.configPath.
func (t *deployment) run() {
	t.cmd = exec.CommandContext(context.Background(), binaryPath)
	if operatorPath != "" {
		t.cmd.Args = append(t.cmd.Args, "serve", "--operator", operatorPath)
	}
	t.cmd.Env = append(os.Environ(), "RELAY_CONFIG="+t.configPath)
	t.cmd.Stdout, t.cmd.Stderr = t.log, t.log
	if logFile != nil {
		t.cmd.Stdout, t.cmd.Stderr = logFile, logFile
	}
	if err := t.cmd.Start(); err != nil {
		panic(err)
	}
	go func() {
		_ = t.cmd.Wait()
		close(t.exited)
	}()
}

// writeConfig replaces the configuration file.
func (t *deployment) writeConfig(text string) {
	t.config = text
	if err := os.WriteFile(t.configPath, []byte(text), 0o600); err != nil {
		panic(err)
	}
}

// replaceFakes replaces the fakes of the runtime, the database and the registry with new ones, closes the old listeners
// and returns the configuration with the new addresses.
func (t *deployment) replaceFakes() string {
	rt, db, registry := fake.NewRuntime(), fake.NewDatabase(), fake.NewRegistry()
	text := strings.NewReplacer(t.runtime.Addr(), rt.Addr(), t.database.Addr(), db.Addr(),
		t.registry.Addr(), registry.Addr()).Replace(t.config)
	_ = t.runtime.Listener.Close()
	_ = t.database.Listener.Close()
	t.registry.Close()
	rt.LastNotice, t.runtime, t.database, t.registry = t.runtime.LastNotice, rt, db, registry
	return text
}

func (t *deployment) sendHangup() { _ = t.cmd.Process.Signal(syscall.SIGHUP) }

// deployReady starts a deployment with a ready runtime and waits until a health check succeeds.
func deployReady(changes ...string) *deployment {
	t := deploy(changes...)
	t.runtime.Accept()
	t.runtime.SendReady("steady")
	c := t.client()
	fake.WaitFor("a successful health check", func() bool { return c.CheckHealth() })
	c.Close()
	return t
}

func (t *deployment) close() {
	_ = t.cmd.Process.Kill()
	_ = t.runtime.Listener.Close()
	_ = t.database.Listener.Close()
	t.registry.Close()
	<-t.exited
	if strings.Contains(t.log.text(), "DATA RACE") || strings.Contains(t.log.text(), "panic:") {
		panic(t.log.text())
	}
}

// waitExit waits for the program to exit and returns its exit code and its log lines without their times.
func (t *deployment) waitExit() (int, string) {
	select {
	case <-t.exited:
	case <-time.After(fake.WaitTimeout):
		panic("timed out waiting for the program to exit")
	}
	var lines []string
	for _, line := range strings.Split(strings.TrimSpace(t.log.text()), "\n") {
		if _, text, found := strings.Cut(line, "msg="); found {
			lines = append(lines, "msg="+text)
		}
	}
	return t.cmd.ProcessState.ExitCode(), strings.Join(lines, "\n")
}

func (t *deployment) sendTerminate() { _ = t.cmd.Process.Signal(syscall.SIGTERM) }

func (t *deployment) client() *fake.Client { return fake.Dial(t.listenAddr) }

// reloadFailedLog is the start of the log line of a failed reload.
const reloadFailedLog = `msg="reload failed, configuration kept"`

// failedReloads returns the number of failed reloads in the log.
func (t *deployment) failedReloads() int { return strings.Count(t.log.text(), reloadFailedLog) }

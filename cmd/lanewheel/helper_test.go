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

// deployment is one instance, as its own process, among fakes of all that it speaks to.
type deployment struct {
	cmd        *exec.Cmd
	log        *logBuffer
	exited     chan struct{} // closed when the program has ended
	listenAddr string
	configPath string // of its configuration
	config     string
	runtime    *fake.Runtime
	database   *fake.Database
	registry   *fake.Registry
}

// logBuffer gathers what the program logs.
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
	operatorPath        string   // the operator's file of the next deployment
	logFile             *os.File // where the next deployment logs to, in place of its own log
)

func listen(addr string) (net.Listener, error) {
	return (&net.ListenConfig{}).Listen(context.Background(), "tcp", addr)
}

func dial(addr string) (net.Conn, error) {
	return (&net.Dialer{}).DialContext(context.Background(), "tcp", addr)
}

// buildProgram makes the program once for all tests.
func buildProgram() {
	tempDir = fake.Must(os.MkdirTemp("", "lanewheel"))
	binaryPath = filepath.Join(tempDir, "lanewheel")
	args := append(append([]string{"build"}, deployWords("build", "go build ", " -o ")...), "-o", binaryPath)
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

// deployWords gives the words that stand between two others in a line of the deploy file, so that the tests run
// what is deployed.
func deployWords(line, after, before string) []string {
	for _, text := range strings.Split(string(fake.Must(os.ReadFile("../../deploy/balancer.toml"))), "\n") {
		if rest, is := strings.CutPrefix(text, line+" = "); is {
			_, rest, _ = strings.Cut(strings.Trim(rest, `"`), after)
			rest, _, _ = strings.Cut(rest, before)
			return strings.Fields(rest)
		}
	}
	panic("no line " + line)
}

// deploy starts a deployment whose runtime is not up yet; changes are pairs of text to replace in the configuration.
func deploy(changes ...string) *deployment {
	t := &deployment{
		log: &logBuffer{}, exited: make(chan struct{}), runtime: fake.NewRuntime(), database: fake.NewDatabase(),
	}
	t.registry = fake.NewRegistry()
	// A free port that is given back may be taken by a connection of another test, so each deployment listens on a
	// loopback address of its own, where nobody else binds.
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

// start runs the program with a configuration.
func (t *deployment) start(text string) {
	t.configPath = filepath.Join(tempDir, fmt.Sprintf("%d.json", time.Now().UnixNano()))
	t.writeConfig(text)
	t.run()
}

// run runs the program on the configuration at t.path.
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

// writeConfig replaces the configuration.
func (t *deployment) writeConfig(text string) {
	t.config = text
	if err := os.WriteFile(t.configPath, []byte(text), 0o600); err != nil {
		panic(err)
	}
}

// movedConfig returns the configuration with new fakes of the runtime, the database and the registry.
func (t *deployment) movedConfig() string {
	rt, db, roster := fake.NewRuntime(), fake.NewDatabase(), fake.NewRegistry()
	text := strings.NewReplacer(t.runtime.Addr(), rt.Addr(), t.database.Addr(), db.Addr(),
		t.registry.Addr(), roster.Addr()).Replace(t.config)
	_ = t.runtime.Listener.Close()
	_ = t.database.Listener.Close()
	t.registry.Close()
	rt.LastNotice, t.runtime, t.database, t.registry = t.runtime.LastNotice, rt, db, roster
	return text
}

func (t *deployment) sendHangup() { _ = t.cmd.Process.Signal(syscall.SIGHUP) }

// deployReady starts a deployment whose runtime is up.
func deployReady(changes ...string) *deployment {
	t := deploy(changes...)
	t.runtime.Accept()
	t.runtime.SendReady("steady")
	c := t.client()
	fake.WaitFor("health", func() bool { return c.CheckHealth() })
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

// waitExit waits for the program's end and gives its exit code and what it logged without the times.
func (t *deployment) waitExit() (int, string) {
	select {
	case <-t.exited:
	case <-time.After(fake.WaitTimeout):
		panic("the program runs on")
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

// reloadFailed begins the log's line on a reload that failed.
const reloadFailed = `msg="reload failed, configuration kept"`

// failedReloads counts the reloads that failed.
func (t *deployment) failedReloads() int { return strings.Count(t.log.text(), reloadFailed) }

package main

import (
	"bytes"
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

	"lanewheel/internal/standin"
)

// town is one instance, as its own process, among stand-ins for all that it speaks to.
type town struct {
	cmd    *exec.Cmd
	log    *lines
	exit   chan struct{} // closed when the program has ended
	listen string
	path   string // of its configuration
	text   string
	rt     *standin.Runtime
	db     *standin.Database
	roster *standin.Roster
}

// lines gathers what the program logs.
type lines struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lines) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(b)
}

func (l *lines) text() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

var (
	binary_, folder string
	towns           int
	operated        string   // the operator's file of the next town
	logs            *os.File // where the next town logs to, in place of its own log
)

// build makes the program once for all tests.
func build() {
	folder = standin.Must(os.MkdirTemp("", "lanewheel"))
	binary_ = filepath.Join(folder, "lanewheel")
	how := append(append([]string{"build"}, deployed("build", "go build ", " -o ")...), "-o", binary_)
	info, _ := debug.ReadBuildInfo()
	for _, set := range info.Settings {
		if set.Key == "-race" && set.Value == "true" {
			how = append(how, "-race")
		}
	}
	if out, err := exec.Command("go", append(how, ".")...).CombinedOutput(); err != nil {
		panic(string(out))
	}
}

// deployed gives the words that stand between two others in a line of the deploy file, so that the tests run what is deployed.
func deployed(line, after, before string) []string {
	for _, text := range strings.Split(string(standin.Must(os.ReadFile("../../deploy/balancer.toml"))), "\n") {
		if rest, is := strings.CutPrefix(text, line+" = "); is {
			_, rest, _ = strings.Cut(strings.Trim(rest, `"`), after)
			rest, _, _ = strings.Cut(rest, before)
			return strings.Fields(rest)
		}
	}
	panic("no line " + line)
}

// open starts a town whose runtime is not up yet; changes are pairs of text to replace in the configuration.
func open(changes ...string) *town {
	t := &town{log: &lines{}, exit: make(chan struct{}), rt: standin.NewRuntime(), db: standin.NewDatabase()}
	t.roster = standin.NewRoster()
	// Danger: a free port that is given back is taken by a connection of another test. Each town listens on a
	// loopback address of its own, where nobody else binds.
	towns++
	free := standin.Must(net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 71+towns/250, os.Getpid()%250, 1+towns%250)))
	t.listen = free.Addr().String()
	free.Close()
	text := fmt.Sprintf(`{"name":"n1","listen":%q,"runtime":%q,"roster":%q,"db":%q,"seed":"8c1f30d27a5be964","stop_ms":1500,
 "limits":{"cores":1,"memory_mb":192,"sockets":64},"settings":%s}`,
		t.listen, t.rt.Addr(), t.roster.Addr(), t.db.Addr(), standin.Settings)
	text = strings.NewReplacer(append(changes, "IDLE", "30", "FRESH", "0")...).Replace(text)
	t.start(text)
	return t
}

// start runs the program with a configuration.
func (t *town) start(text string) {
	t.path = filepath.Join(folder, fmt.Sprintf("%d.json", time.Now().UnixNano()))
	t.write(text)
	t.run()
}

// run runs the program on the configuration at t.path.
func (t *town) run() {
	t.cmd = exec.Command(binary_)
	if operated != "" {
		t.cmd.Args = append(t.cmd.Args, "serve", "--operator", operated)
	}
	t.cmd.Env = append(os.Environ(), "RELAY_CONFIG="+t.path)
	t.cmd.Stdout, t.cmd.Stderr = t.log, t.log
	if logs != nil {
		t.cmd.Stdout, t.cmd.Stderr = logs, logs
	}
	if err := t.cmd.Start(); err != nil {
		panic(err)
	}
	go func() {
		_ = t.cmd.Wait()
		close(t.exit)
	}()
}

// write replaces the configuration.
func (t *town) write(text string) {
	t.text = text
	if err := os.WriteFile(t.path, []byte(text), 0o600); err != nil {
		panic(err)
	}
}

// moved gives the configuration with new stand-ins for the runtime, the database and the roster.
func (t *town) moved() string {
	rt, db, roster := standin.NewRuntime(), standin.NewDatabase(), standin.NewRoster()
	text := strings.NewReplacer(t.rt.Addr(), rt.Addr(), t.db.Addr(), db.Addr(),
		t.roster.Addr(), roster.Addr()).Replace(t.text)
	t.rt.Listener.Close()
	t.db.Listener.Close()
	t.roster.Close()
	rt.No, t.rt, t.db, t.roster = t.rt.No, rt, db, roster
	return text
}

func (t *town) hangUp() { _ = t.cmd.Process.Signal(syscall.SIGHUP) }

// town gives one whose runtime is up.
func up(changes ...string) *town {
	t := open(changes...)
	t.rt.Take()
	t.rt.Ready("steady")
	c := t.stub()
	standin.Until("health", func() bool { return c.Check() })
	c.Close()
	return t
}

func (t *town) close() {
	_ = t.cmd.Process.Kill()
	t.rt.Listener.Close()
	t.db.Listener.Close()
	t.roster.Close()
	<-t.exit
	if strings.Contains(t.log.text(), "DATA RACE") || strings.Contains(t.log.text(), "panic:") {
		panic(t.log.text())
	}
}

// ended waits for the program's end and gives its exit code and what it logged without the times.
func (t *town) ended() (int, string) {
	select {
	case <-t.exit:
	case <-time.After(standin.Patience):
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

func (t *town) terminate() { _ = t.cmd.Process.Signal(syscall.SIGTERM) }

func (t *town) stub() *standin.Stub { return standin.Dial(t.listen) }

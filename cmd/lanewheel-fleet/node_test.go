package main

import (
	"bytes"
	"context"
	"encoding/base64"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"lanewheel/internal/fake"
	"lanewheel/internal/fleet/gossip"
)

const (
	gossipPort = 7946
	clientPort = 8443
)

// binDir is where the programs are, side by side as they are deployed.
var binDir string

// TestMain builds the programs.
func TestMain(m *testing.M) {
	binDir = fake.Must(os.MkdirTemp("", "lanewheel-fleet"))
	for _, name := range []string{"lanewheel", "lanewheel-fleet", "lanewheel-coordinator"} {
		build := exec.CommandContext(context.Background(),
			"go", "build", "-ldflags=-linkmode=external", "-o", filepath.Join(binDir, name), "../"+name)
		if out, err := build.CombinedOutput(); err != nil {
			panic(string(out))
		}
	}
	code := m.Run()
	_ = os.RemoveAll(binDir) // what is left of a temporary folder does no harm
	os.Exit(code)
}

// command returns a command of the small program, which executes the others. It ends with the tests.
func command(arguments ...string) *exec.Cmd {
	cmd := exec.CommandContext(context.Background(), filepath.Join(binDir, "lanewheel"), arguments...)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return cmd
}

// node is one instance in a fleet, started as an operator does.
type node struct {
	name         string
	operatorPath string
	cmd          *exec.Cmd
	log          *bytes.Buffer // to be read once the process has exited
	exited       chan struct{}
}

// nodeOptions is what a node is started with.
type nodeOptions struct {
	name  string
	host  int    // number of its loopback address
	keys  string // a letter for each cluster key, the one that it writes with first
	seeds []int  // numbers of the seeds' loopback addresses
	extra string // lines of the section [fleet]
}

// nodeCount is the number of nodes started; each has a folder of its own.
var nodeCount int

// startNode starts a node beside fakes of its own.
func startNode(options nodeOptions) *node {
	nodeCount++
	dir := filepath.Join(binDir, fmt.Sprint(nodeCount))
	n := &node{
		name:         options.name,
		operatorPath: filepath.Join(dir, "fleet.ini"),
		log:          &bytes.Buffer{},
		exited:       make(chan struct{}),
	}
	writeFiles(dir, map[string]string{
		"config.json": options.platformText(),
		"keys":        clusterKeys(options.keys),
		"fleet.ini":   options.operatorText(),
	})
	n.cmd = command("serve", "--operator", n.operatorPath)
	n.cmd.Env = append(os.Environ(), "RELAY_CONFIG="+filepath.Join(dir, "config.json"))
	n.cmd.Stdout, n.cmd.Stderr = n.log, n.log
	if err := n.cmd.Start(); err != nil {
		panic(err)
	}
	go func() {
		_ = n.cmd.Wait() // its state is read
		close(n.exited)
	}()
	return n
}

// platformText returns the platform's configuration, and starts the fakes that it names.
func (o nodeOptions) platformText() string {
	runtime, database, registry := fake.NewRuntime(), fake.NewDatabase(), fake.NewRegistry()
	database.AutoReply()
	go serveRuntime(runtime)
	replacer := strings.NewReplacer("IDLE", "30", "FRESH", "0", `"dep-share":8,`, `"dep-share":8000,`)
	return fmt.Sprintf(`{"name":%q,"listen":%q,"runtime":%q,"roster":%q,"db":%q,"seed":"1","stop_ms":1500,`+
		`"limits":{"cores":1,"memory_mb":64,"sockets":128},"settings":%s}`,
		o.name, clientAddr(o.host), runtime.Addr(), registry.Addr(), database.Addr(), replacer.Replace(fake.Settings))
}

// serveRuntime takes one link after the other; each is up at once.
func serveRuntime(runtime *fake.Runtime) {
	for {
		link := &fake.Runtime{Listener: runtime.Listener}
		if !link.TryAccept() {
			return
		}
		link.SendReady("steady")
		link.AutoRun(1, time.Millisecond, 1, nil)
	}
}

// operatorText returns the operator's file.
func (o nodeOptions) operatorText() string {
	var seeds []string
	for _, seed := range o.seeds {
		seeds = append(seeds, gossipAddr(seed))
	}
	return "[fleet]\n" +
		"listen = " + gossipAddr(o.host) + "\n" +
		"seeds = " + strings.Join(seeds, ",") + "\n" +
		"key-file = keys\n" +
		"status-socket = w\n" +
		"warm-up = 0s\n" +
		o.extra
}

// writeFiles writes files to a new folder.
func writeFiles(dir string, files map[string]string) {
	if err := os.Mkdir(dir, 0o700); err != nil {
		panic(err)
	}
	for name, text := range files {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			panic(err)
		}
	}
}

// loopback returns the loopback address of a number, where nobody else listens.
func loopback(host int) string { return fmt.Sprintf("127.%d.77.%d", 40+os.Getpid()%20, host) }

func gossipAddr(host int) string { return fmt.Sprintf("%s:%d", loopback(host), gossipPort) }

func clientAddr(host int) string { return fmt.Sprintf("%s:%d", loopback(host), clientPort) }

// clusterKeys returns a file of cluster keys, one for each letter.
func clusterKeys(letters string) (text string) {
	for _, letter := range letters {
		text += base64.StdEncoding.EncodeToString(bytes.Repeat([]byte{byte(letter)}, 32)) + "\n"
	}
	return text
}

// setKeys replaces the cluster keys and has the node read them.
func (n *node) setKeys(letters string) {
	path := filepath.Join(filepath.Dir(n.operatorPath), "keys")
	if err := os.WriteFile(path, []byte(clusterKeys(letters)), 0o600); err != nil {
		panic(err)
	}
	n.signal(syscall.SIGHUP)
}

// snapshot returns what the node's status socket says, nothing while it does not answer.
func (n *node) snapshot() gossip.Snapshot {
	path := filepath.Join(filepath.Dir(n.operatorPath), "w")
	snapshot, err := gossip.ReadSnapshot(path, gossip.SnapshotFull)
	if err != nil {
		return gossip.Snapshot{}
	}
	return snapshot
}

func (n *node) signal(signal syscall.Signal) {
	_ = n.cmd.Process.Signal(signal) // it may have exited
}

// stop ends the node by a signal. A panic or a data race in its log fails the test.
func (n *node) stop(signal syscall.Signal) {
	n.signal(signal)
	<-n.exited
	if strings.Contains(n.log.String(), "panic:") || strings.Contains(n.log.String(), "DATA RACE") {
		panic(n.log.String())
	}
}

// waitForExit waits until the node has exited by itself and returns its exit code.
func (n *node) waitForExit() int {
	select {
	case <-n.exited:
		return n.cmd.ProcessState.ExitCode()
	case <-time.After(fake.WaitTimeout):
		panic(n.name + " stays: " + n.log.String())
	}
}

// waitFor waits until the node holds another to be in a state.
func (n *node) waitFor(other, state string) {
	fake.WaitFor(n.name+" to hold "+other+" to be "+state, func() bool {
		for _, member := range n.snapshot().Members {
			if member.Name == other && member.State == state {
				return true
			}
		}
		return false
	})
}

// waitForNoMembers waits until the node answers and knows nobody.
func (n *node) waitForNoMembers() {
	fake.WaitFor(n.name+" to know nobody", func() bool {
		snapshot := n.snapshot()
		return snapshot.Name != "" && len(snapshot.Members) == 0
	})
}

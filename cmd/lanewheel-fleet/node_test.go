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

// binDir is the directory of the built programs. They are side by side, as they are deployed.
var binDir string

// TestMain builds the programs before the tests.
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
	_ = os.RemoveAll(binDir) // remaining files in a temporary directory are harmless
	os.Exit(code)
}

// command returns a command of the program lanewheel, which executes the other programs. The process is killed when
// the tests end.
func command(arguments ...string) *exec.Cmd {
	cmd := exec.CommandContext(context.Background(), filepath.Join(binDir, "lanewheel"), arguments...)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return cmd
}

// node is one instance in a fleet, started with the command line that an operator uses.
type node struct {
	name         string
	operatorPath string
	cmd          *exec.Cmd
	log          *bytes.Buffer // may be read only after the process has exited
	exited       chan struct{} // closed when the process has exited
}

// nodeOptions are the options with which a node is started.
type nodeOptions struct {
	name  string
	host  int    // last byte of the node's loopback address
	keys  string // one letter for each cluster key; the node encrypts with the first one
	seeds []int  // last bytes of the seeds' loopback addresses
	extra string // additional lines of the section [fleet]
}

// nodeCount is the number of started nodes. Each has a directory of its own.
var nodeCount int

// startNode starts a node with its own fakes of the runtime, the database and the registry.
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
		_ = n.cmd.Wait() // the exit code is read from ProcessState
		close(n.exited)
	}()
	return n
}

// platformText starts the fakes of the node and returns the platform's configuration with their addresses.
func (o nodeOptions) platformText() string {
	runtime, database, registry := fake.NewRuntime(), fake.NewDatabase(), fake.NewRegistry()
	database.AutoReply()
	go serveRuntime(runtime)
	replacer := strings.NewReplacer("IDLE", "30", "FRESH", "0", `"dep-share":8,`, `"dep-share":8000,`)
	return fmt.Sprintf(`{"name":%q,"listen":%q,"runtime":%q,"roster":%q,"db":%q,"seed":"1","stop_ms":1500,`+
		`"limits":{"cores":1,"memory_mb":64,"sockets":128},"settings":%s}`,
		o.name, clientAddr(o.host), runtime.Addr(), registry.Addr(), database.Addr(), replacer.Replace(fake.Settings))
}

// serveRuntime accepts one link after the other and reports the runtime as ready on each at once.
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

// operatorText returns the text of the operator's file.
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

// writeFiles creates a directory and writes files to it.
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

// loopback returns the loopback address with the given last byte. No other process listens on the address.
func loopback(host int) string { return fmt.Sprintf("127.%d.77.%d", 40+os.Getpid()%20, host) }

func gossipAddr(host int) string { return fmt.Sprintf("%s:%d", loopback(host), gossipPort) }

func clientAddr(host int) string { return fmt.Sprintf("%s:%d", loopback(host), clientPort) }

// clusterKeys returns the text of a cluster key file with one key for each letter.
func clusterKeys(letters string) (text string) {
	for _, letter := range letters {
		text += base64.StdEncoding.EncodeToString(bytes.Repeat([]byte{byte(letter)}, 32)) + "\n"
	}
	return text
}

// setKeys replaces the cluster keys and triggers a reload of the node.
func (n *node) setKeys(letters string) {
	path := filepath.Join(filepath.Dir(n.operatorPath), "keys")
	if err := os.WriteFile(path, []byte(clusterKeys(letters)), 0o600); err != nil {
		panic(err)
	}
	n.signal(syscall.SIGHUP)
}

// snapshot returns the snapshot from the node's status socket, an empty one if the socket does not answer.
func (n *node) snapshot() gossip.Snapshot {
	path := filepath.Join(filepath.Dir(n.operatorPath), "w")
	snapshot, err := gossip.ReadSnapshot(path, gossip.SnapshotFull)
	if err != nil {
		return gossip.Snapshot{}
	}
	return snapshot
}

func (n *node) signal(signal syscall.Signal) {
	_ = n.cmd.Process.Signal(signal) // the process may have exited
}

// stop sends a signal that ends the node and waits until it has exited. A panic or a data race in its log fails the
// test.
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
		panic("timed out waiting for " + n.name + " to exit: " + n.log.String())
	}
}

// waitFor waits until the node reports the member other in the given state.
func (n *node) waitFor(other, state string) {
	fake.WaitFor(n.name+" to report "+other+" as "+state, func() bool {
		for _, member := range n.snapshot().Members {
			if member.Name == other && member.State == state {
				return true
			}
		}
		return false
	})
}

// waitForNoMembers waits until the node answers with a view that has no members.
func (n *node) waitForNoMembers() {
	fake.WaitFor(n.name+" to have no members", func() bool {
		snapshot := n.snapshot()
		return snapshot.Name != "" && len(snapshot.Members) == 0
	})
}

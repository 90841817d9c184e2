package main

import (
	"bytes"
	"encoding/base64"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	"lanewheel/internal/fake"
	"lanewheel/internal/fleet/gossip"
)

var binDir string

// TestMain builds both programs, side by side, as they are deployed.
func TestMain(m *testing.M) {
	binDir = fake.Must(os.MkdirTemp("", "lanewheel-fleet"))
	for _, name := range []string{"lanewheel", "lanewheel-fleet", "lanewheel-coordinator"} {
		if out, err := exec.Command("go", "build", "-ldflags=-linkmode=external", "-o", filepath.Join(binDir, name), "../"+name).CombinedOutput(); err != nil {
			panic(string(out))
		}
	}
	code := m.Run()
	os.RemoveAll(binDir)
	os.Exit(code)
}

// node is one process in a fleet, started as an operator does: by the small program, which hands over.
type node struct {
	name, operatorPath string
	cmd                *exec.Cmd
	log                *bytes.Buffer
	exited             chan struct{}
}

var nodeCount int

// startNode starts a process with a section [fleet] that says more; keys are numbers, seeds are places.
func startNode(name string, host int, keys string, seeds []int, extra string) *node {
	nodeCount++
	n := &node{name: name, log: &bytes.Buffer{}, exited: make(chan struct{})}
	dir := filepath.Join(binDir, fmt.Sprint(nodeCount))
	if err := os.Mkdir(dir, 0o700); err != nil {
		panic(err)
	}
	runtime, database, roster := fake.NewRuntime(), fake.NewDatabase(), fake.NewRegistry()
	database.AutoReply()
	go func() {
		for {
			link := &fake.Runtime{Listener: runtime.Listener}
			if !link.TryAccept() {
				return
			}
			link.SendReady("steady")
			link.AutoRun(1, time.Millisecond, 1, nil)
		}
	}()
	var seedAddresses []string
	for _, seed := range seeds {
		seedAddresses = append(seedAddresses, loopback(seed)+":7946")
	}
	settings := strings.NewReplacer("IDLE", "30", "FRESH", "0", `"dep-share":8,`, `"dep-share":8000,`).Replace(fake.Settings)
	config := fmt.Sprintf(`{"name":%q,"listen":"%s:8443","runtime":%q,"roster":%q,"db":%q,"seed":"1","stop_ms":1500,"limits":{"cores":1,"memory_mb":64,"sockets":128},"settings":%s}`,
		name, loopback(host), runtime.Addr(), roster.Addr(), database.Addr(), settings)
	n.operatorPath = filepath.Join(dir, "fleet.ini")
	for file, text := range map[string]string{"config.json": config, "keys": clusterKeys(keys), "fleet.ini": "[fleet]\nlisten = " + loopback(host) + ":7946\nseeds = " + strings.Join(seedAddresses, ",") +
		"\nkeys = keys\nwatch = w\nwarm-up = 0s\n" + extra} {
		if err := os.WriteFile(filepath.Join(dir, file), []byte(text), 0o600); err != nil {
			panic(err)
		}
	}
	n.cmd = exec.Command(filepath.Join(binDir, "lanewheel"), "serve", "--operator", n.operatorPath)
	n.cmd.Env = append(os.Environ(), "RELAY_CONFIG="+filepath.Join(dir, "config.json"))
	n.cmd.Stdout, n.cmd.Stderr = n.log, n.log
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.cmd.Start(); err != nil {
		panic(err)
	}
	go func() { _ = n.cmd.Wait(); close(n.exited) }()
	return n
}

// loopback is the loopback address of a place, where nobody else binds.
func loopback(host int) string { return fmt.Sprintf("127.%d.77.%d", 40+os.Getpid()%20, host) }

// clusterKeys writes the file of keys of a test, one for each letter.
func clusterKeys(letters string) (text string) {
	for _, c := range letters {
		text += base64.StdEncoding.EncodeToString(bytes.Repeat([]byte{byte(c)}, 32)) + "\n"
	}
	return text
}

func (n *node) snapshot() gossip.Snapshot {
	s, _ := gossip.ReadSnapshot(filepath.Join(filepath.Dir(n.operatorPath), "w"), gossip.SnapshotFull)
	return s
}

func (n *node) stop(sig syscall.Signal) {
	_ = n.cmd.Process.Signal(sig)
	<-n.exited
	if strings.Contains(n.log.String(), "panic:") || strings.Contains(n.log.String(), "DATA RACE") {
		panic(n.log.String())
	}
}

// waitFor waits until a process holds another to be in a state.
func (n *node) waitFor(other, state string) {
	fake.WaitFor(n.name+" to hold "+other+" to be "+state, func() bool {
		for _, member := range n.snapshot().Members {
			if member.Name == other && member.State == state {
				return true
			}
		}
		return state == "unknown" && len(n.snapshot().Members) == 0 && n.snapshot().Name != ""
	})
}

// Two processes know each other; one leaves by a notice and the other knows that it left; a stranger with another key is heard by
// nobody until the keys are told to both, and then nobody is lost by it.
func Example_members() {
	a := startNode("a", 1, "x", []int{1}, "")
	defer a.stop(syscall.SIGKILL)
	b := startNode("b", 2, "x", []int{1}, "zone = north\n")
	a.waitFor("b", "up")
	b.waitFor("a", "up")
	c := startNode("c", 3, "y", []int{1}, "")
	defer c.stop(syscall.SIGKILL)
	fake.WaitFor("a to refuse what it can't read", func() bool { return a.snapshot().Counters["gossip-not-our-key"] > 0 })
	c.waitFor("", "unknown")
	b.stop(syscall.SIGTERM)
	a.waitFor("b", "gone")
	for _, m := range a.snapshot().Members {
		fmt.Println(m.Name, m.State, m.Reason, m.Zone, m.Roles)
	}
	for _, n := range []*node{a, c} { // both keys to both, each still writing with its own
		first := map[*node]string{a: "xy", c: "yx"}[n]
		if err := os.WriteFile(filepath.Join(filepath.Dir(n.operatorPath), "keys"), []byte(clusterKeys(first)), 0o600); err != nil {
			panic(err)
		}
		_ = n.cmd.Process.Signal(syscall.SIGHUP)
	}
	a.waitFor("c", "up")
	out, err := exec.Command(filepath.Join(binDir, "lanewheel"), "members", "--against", c.operatorPath, a.operatorPath).CombinedOutput()
	lines := strings.Split(strings.TrimSpace(string(out)), "\n")
	fmt.Println(strings.Fields(lines[0])[0], strings.Fields(lines[1])[:4], regexp.MustCompile(`\d{9,}`).ReplaceAllString(strings.Join(lines[len(lines)-2:], "; "), "N"), err)
	// Output:
	// b gone left north instance
	// a, [member incarnation state why] b: a holds "gone N", c holds ""; a and c differ on 1 of 3 <nil>
}

// A process started under a name that another has is its later life: the earlier one is fenced and told so, wherever it is, and
// leaves if its file says so. One paused over its successor's start finds out when it wakes.
func Example_fenced() {
	quick := "settle = 100ms\ngone-after = 500ms\n"
	a := startNode("a", 11, "x", []int{11}, quick)
	defer a.stop(syscall.SIGKILL)
	old := startNode("b", 12, "x", []int{11}, quick+"fenced = leave\n")
	a.waitFor("b", "up")
	old.waitFor("a", "up")
	began := old.snapshot().Incarnation
	time.Sleep(700 * time.Millisecond) // it is young no more
	_ = old.cmd.Process.Signal(syscall.SIGSTOP)
	next := startNode("b", 13, "x", []int{11}, quick)
	defer next.stop(syscall.SIGKILL)
	fake.WaitFor("a to hold the later life to be up", func() bool {
		for _, m := range a.snapshot().Members {
			return m.State == "up" && m.Incarnation > began
		}
		return false
	})
	_ = old.cmd.Process.Signal(syscall.SIGCONT)
	select {
	case <-old.exited:
	case <-time.After(fake.WaitTimeout):
		panic("it stays: " + old.log.String())
	}
	fmt.Println(strings.Contains(old.log.String(), "msg=\"fenced by a later process of the same name\" member=b"), strings.Contains(old.log.String(), "msg=draining"), old.cmd.ProcessState.ExitCode())
	s := a.snapshot()
	fmt.Println(len(s.Members), s.Members[0].Name, s.Members[0].State, s.Members[0].Incarnation == next.snapshot().Incarnation)
	// Output:
	// true true 0
	// 1 b up true
}

// Two are killed and started again at one moment, the only seed among them: they know but each other, and the rest holds their former lives to be
// there. They find the rest by its calls to these, before anybody has given them up.
func Example_seedAmongRestarted() {
	a := startNode("a", 31, "x", []int{31}, "")
	b := startNode("b", 32, "x", []int{31}, "")
	c := startNode("c", 33, "x", []int{31}, "")
	d := startNode("d", 34, "x", []int{31}, "")
	defer c.stop(syscall.SIGKILL)
	defer d.stop(syscall.SIGKILL)
	for _, n := range []*node{a, b, c, d} {
		for _, m := range []string{"a", "b", "c", "d"} {
			if m != n.name {
				n.waitFor(m, "up")
			}
		}
	}
	a.stop(syscall.SIGKILL)
	b.stop(syscall.SIGKILL)
	a = startNode("a", 31, "x", []int{31}, "")
	defer a.stop(syscall.SIGKILL)
	b = startNode("b", 32, "x", []int{31}, "")
	defer b.stop(syscall.SIGKILL)
	for _, m := range []string{"c", "d"} {
		a.waitFor(m, "up")
		b.waitFor(m, "up")
	}
	gaveUp := func(n *node) uint64 { return n.snapshot().Counters["gossip-gives-up"] }
	fmt.Println(gaveUp(c), gaveUp(d))
	// Output:
	// 0 0
}

// The address is taken, or the keys are missing: it does not start, and says why.
func Example_refused() {
	free := fake.Must(net.Listen("tcp", loopback(21)+":7946"))
	defer free.Close()
	a := startNode("a", 21, "x", nil, "")
	<-a.exited
	fmt.Println(a.cmd.ProcessState.ExitCode(), strings.Contains(a.log.String(), "msg=cannot-start"), strings.Contains(a.log.String(), "address already in use"))
	b := startNode("b", 22, "", nil, "gone-after = soon\n")
	<-b.exited
	fmt.Println(b.cmd.ProcessState.ExitCode(), strings.Contains(b.log.String(), `fleet.gone-after: is \"soon\"`))
	// Output:
	// 1 true true
	// 1 true
}

// The short rehearsals, beside each other: processes under faults, the rules hold. Members: a third stands still, two are killed, halves are
// parted for longer than it takes to give one another up, four are started again; nobody is given up wrongly, views are equal after each. Spread: 12
// instances, 4 relays, a slow link, two instances killed, a relay replaced. Below: caps that hold while deciders die, are deaf and come, a desk
// stands still and one starts anew. Hand-over: both ends leave, links between them end behind an op, stall, and
// ends stand still. Release: twelve instances brought out in waves while the leading steward is killed, another loses its disk, an instance dies.
func TestDrills(t *testing.T) {
	if testing.Short() {
		t.Skip()
	}
	for _, name := range []string{"members", "spread", "below", "handover", "release"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			out, err := exec.Command(filepath.Join(binDir, "lanewheel"), "drill", "../../drills/"+name+"-ci.ini").CombinedOutput()
			if err != nil {
				t.Fatalf("%v\n%s", err, out)
			}
			t.Logf("%s", out)
		})
	}
}

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

	"lanewheel/internal/fleet/gossip"
	"lanewheel/internal/standin"
)

var folder string

// TestMain builds both programs, side by side, as they are deployed.
func TestMain(m *testing.M) {
	folder = standin.Must(os.MkdirTemp("", "lanewheel-fleet"))
	for _, name := range []string{"lanewheel", "lanewheel-fleet", "lanewheel-steward"} {
		if out, err := exec.Command("go", "build", "-ldflags=-linkmode=external", "-o", filepath.Join(folder, name), "../"+name).CombinedOutput(); err != nil {
			panic(string(out))
		}
	}
	code := m.Run()
	os.RemoveAll(folder)
	os.Exit(code)
}

// node is one process in a fleet, started as an operator does: by the small program, which hands over.
type node struct {
	name, ini string
	cmd       *exec.Cmd
	log       *bytes.Buffer
	exit      chan struct{}
}

var nodes int

// start starts a process with a section [fleet] that says more; keys are numbers, seeds are places.
func start(name string, place int, keys string, seeds []int, more string) *node {
	nodes++
	n := &node{name: name, log: &bytes.Buffer{}, exit: make(chan struct{})}
	dir := filepath.Join(folder, fmt.Sprint(nodes))
	if err := os.Mkdir(dir, 0o700); err != nil {
		panic(err)
	}
	rt, db, roster := standin.NewRuntime(), standin.NewDatabase(), standin.NewRoster()
	db.Work()
	go func() {
		for {
			link := &standin.Runtime{Listener: rt.Listener}
			if !link.Try() {
				return
			}
			link.Ready("steady")
			link.Work(1, time.Millisecond, 1, nil)
		}
	}()
	var list []string
	for _, s := range seeds {
		list = append(list, at(s)+":7946")
	}
	settings := strings.NewReplacer("IDLE", "30", "FRESH", "0", `"dep-share":8,`, `"dep-share":8000,`).Replace(standin.Settings)
	config := fmt.Sprintf(`{"name":%q,"listen":"%s:8443","runtime":%q,"roster":%q,"db":%q,"seed":"1","stop_ms":1500,"limits":{"cores":1,"memory_mb":64,"sockets":128},"settings":%s}`,
		name, at(place), rt.Addr(), roster.Addr(), db.Addr(), settings)
	n.ini = filepath.Join(dir, "fleet.ini")
	for file, text := range map[string]string{"config.json": config, "keys": key(keys), "fleet.ini": "[fleet]\nlisten = " + at(place) + ":7946\nseeds = " + strings.Join(list, ",") +
		"\nkeys = keys\nwatch = w\nwarm-up = 0s\n" + more} {
		if err := os.WriteFile(filepath.Join(dir, file), []byte(text), 0o600); err != nil {
			panic(err)
		}
	}
	n.cmd = exec.Command(filepath.Join(folder, "lanewheel"), "serve", "--operator", n.ini)
	n.cmd.Env = append(os.Environ(), "RELAY_CONFIG="+filepath.Join(dir, "config.json"))
	n.cmd.Stdout, n.cmd.Stderr = n.log, n.log
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.cmd.Start(); err != nil {
		panic(err)
	}
	go func() { _ = n.cmd.Wait(); close(n.exit) }()
	return n
}

// at is the loopback address of a place, where nobody else binds.
func at(place int) string { return fmt.Sprintf("127.%d.77.%d", 40+os.Getpid()%20, place) }

// key writes the file of keys of a test, one for each letter.
func key(letters string) (text string) {
	for _, c := range letters {
		text += base64.StdEncoding.EncodeToString(bytes.Repeat([]byte{byte(c)}, 32)) + "\n"
	}
	return text
}

func (n *node) view() gossip.Snapshot {
	s, _ := gossip.ReadSnapshot(filepath.Join(filepath.Dir(n.ini), "w"), gossip.SnapshotFull)
	return s
}

func (n *node) stop(sig syscall.Signal) {
	_ = n.cmd.Process.Signal(sig)
	<-n.exit
	if strings.Contains(n.log.String(), "panic:") || strings.Contains(n.log.String(), "DATA RACE") {
		panic(n.log.String())
	}
}

// sees waits until a process holds another to be in a state.
func (n *node) sees(other, state string) {
	standin.Until(n.name+" to hold "+other+" to be "+state, func() bool {
		for _, m := range n.view().Members {
			if m.Name == other && m.State == state {
				return true
			}
		}
		return state == "unknown" && len(n.view().Members) == 0 && n.view().Name != ""
	})
}

// Two processes know each other; one leaves by a notice and the other knows that it left; a stranger with another key is heard by
// nobody until the keys are told to both, and then nobody is lost by it.
func Example_members() {
	a := start("a", 1, "x", []int{1}, "")
	defer a.stop(syscall.SIGKILL)
	b := start("b", 2, "x", []int{1}, "zone = north\n")
	a.sees("b", "up")
	b.sees("a", "up")
	c := start("c", 3, "y", []int{1}, "")
	defer c.stop(syscall.SIGKILL)
	standin.Until("a to refuse what it can't read", func() bool { return a.view().Counters["gossip-not-our-key"] > 0 })
	c.sees("", "unknown")
	b.stop(syscall.SIGTERM)
	a.sees("b", "gone")
	for _, m := range a.view().Members {
		fmt.Println(m.Name, m.State, m.Reason, m.Zone, m.Roles)
	}
	for _, n := range []*node{a, c} { // both keys to both, each still writing with its own
		first := map[*node]string{a: "xy", c: "yx"}[n]
		if err := os.WriteFile(filepath.Join(filepath.Dir(n.ini), "keys"), []byte(key(first)), 0o600); err != nil {
			panic(err)
		}
		_ = n.cmd.Process.Signal(syscall.SIGHUP)
	}
	a.sees("c", "up")
	out, err := exec.Command(filepath.Join(folder, "lanewheel"), "members", "--against", c.ini, a.ini).CombinedOutput()
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
	a := start("a", 11, "x", []int{11}, quick)
	defer a.stop(syscall.SIGKILL)
	old := start("b", 12, "x", []int{11}, quick+"fenced = leave\n")
	a.sees("b", "up")
	old.sees("a", "up")
	began := old.view().Incarnation
	time.Sleep(700 * time.Millisecond) // it is young no more
	_ = old.cmd.Process.Signal(syscall.SIGSTOP)
	next := start("b", 13, "x", []int{11}, quick)
	defer next.stop(syscall.SIGKILL)
	standin.Until("a to hold the later life to be up", func() bool {
		for _, m := range a.view().Members {
			return m.State == "up" && m.Incarnation > began
		}
		return false
	})
	_ = old.cmd.Process.Signal(syscall.SIGCONT)
	select {
	case <-old.exit:
	case <-time.After(standin.Patience):
		panic("it stays: " + old.log.String())
	}
	fmt.Println(strings.Contains(old.log.String(), "msg=fenced name=b"), strings.Contains(old.log.String(), "msg=leaving"), old.cmd.ProcessState.ExitCode())
	s := a.view()
	fmt.Println(len(s.Members), s.Members[0].Name, s.Members[0].State, s.Members[0].Incarnation == next.view().Incarnation)
	// Output:
	// true true 0
	// 1 b up true
}

// Two are killed and started again at one moment, the only seed among them: they know but each other, and the rest holds their former lives to be
// there. They find the rest by its calls to these, before anybody has given them up.
func Example_seedAmongTheRestarted() {
	a := start("a", 31, "x", []int{31}, "")
	b := start("b", 32, "x", []int{31}, "")
	c := start("c", 33, "x", []int{31}, "")
	d := start("d", 34, "x", []int{31}, "")
	defer c.stop(syscall.SIGKILL)
	defer d.stop(syscall.SIGKILL)
	for _, n := range []*node{a, b, c, d} {
		for _, m := range []string{"a", "b", "c", "d"} {
			if m != n.name {
				n.sees(m, "up")
			}
		}
	}
	a.stop(syscall.SIGKILL)
	b.stop(syscall.SIGKILL)
	a = start("a", 31, "x", []int{31}, "")
	defer a.stop(syscall.SIGKILL)
	b = start("b", 32, "x", []int{31}, "")
	defer b.stop(syscall.SIGKILL)
	for _, m := range []string{"c", "d"} {
		a.sees(m, "up")
		b.sees(m, "up")
	}
	gaveUp := func(n *node) uint64 { return n.view().Counters["gossip-gives-up"] }
	fmt.Println(gaveUp(c), gaveUp(d))
	// Output:
	// 0 0
}

// The address is taken, or the keys are missing: it does not start, and says why.
func Example_refused() {
	free := standin.Must(net.Listen("tcp", at(21)+":7946"))
	defer free.Close()
	a := start("a", 21, "x", nil, "")
	<-a.exit
	fmt.Println(a.cmd.ProcessState.ExitCode(), strings.Contains(a.log.String(), "msg=cannot-start"), strings.Contains(a.log.String(), "address already in use"))
	b := start("b", 22, "", nil, "gone-after = soon\n")
	<-b.exit
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
			out, err := exec.Command(filepath.Join(folder, "lanewheel"), "drill", "../../drills/"+name+"-ci.ini").CombinedOutput()
			if err != nil {
				t.Fatalf("%v\n%s", err, out)
			}
			t.Logf("%s", out)
		})
	}
}

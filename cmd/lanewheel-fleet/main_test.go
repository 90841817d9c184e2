package main

import (
	"fmt"
	"net"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	"lanewheel/internal/fake"
)

// Example_members starts two processes that report each other as up. One leaves with a notice, and the other then
// reports it as gone. A third process with another cluster key is ignored until both keys are configured on both
// sides. The views then differ only in the member that left before the third process joined.
func Example_members() {
	a := startNode(nodeOptions{name: "a", host: 1, keys: "x", seeds: []int{1}})
	defer a.stop(syscall.SIGKILL)
	b := startNode(nodeOptions{name: "b", host: 2, keys: "x", seeds: []int{1}, extra: "zone = north\n"})
	a.waitFor("b", "up")
	b.waitFor("a", "up")
	c := startNode(nodeOptions{name: "c", host: 3, keys: "y", seeds: []int{1}})
	defer c.stop(syscall.SIGKILL)
	fake.WaitFor("a to reject a message with another key", func() bool {
		return a.snapshot().Counters["gossip-not-our-key"] > 0
	})
	c.waitForNoMembers()
	b.stop(syscall.SIGTERM)
	a.waitFor("b", "gone")
	for _, m := range a.snapshot().Members {
		fmt.Println(m.Name, m.State, m.Reason, m.Zone, m.Roles)
	}
	a.setKeys("xy") // each still encrypts with its own key
	c.setKeys("yx")
	a.waitFor("c", "up")
	out, err := command("members", "--against", c.operatorPath, a.operatorPath).CombinedOutput()
	lines := strings.Split(strings.TrimSpace(string(out)), "\n")
	incarnation := regexp.MustCompile(`\d{9,}`)
	last := incarnation.ReplaceAllString(strings.Join(lines[len(lines)-2:], "; "), "N")
	fmt.Println(strings.Fields(lines[0])[0], strings.Fields(lines[1])[:4], last, err)
	// Output:
	// b gone left north instance
	// a, [member incarnation state why] b: a holds "gone N", c holds ""; a and c differ on 1 of 3 <nil>
}

// Example_fenced starts a process under the name of a running process. The new process is the later incarnation of the
// member. The earlier process is notified that it is fenced, even though its address differs from that of its
// successor, and drains if so configured. It is paused while its successor starts, so that it is notified only after
// it resumes.
func Example_fenced() {
	const quick = "settle-time = 100ms\ndead-after = 500ms\n"
	a := startNode(nodeOptions{name: "a", host: 11, keys: "x", seeds: []int{11}, extra: quick})
	defer a.stop(syscall.SIGKILL)
	old := startNode(nodeOptions{name: "b", host: 12, keys: "x", seeds: []int{11}, extra: quick + "when-fenced = drain\n"})
	a.waitFor("b", "up")
	old.waitFor("a", "up")
	oldIncarnation := old.snapshot().Incarnation
	time.Sleep(700 * time.Millisecond) // longer than the settle time
	old.signal(syscall.SIGSTOP)
	next := startNode(nodeOptions{name: "b", host: 13, keys: "x", seeds: []int{11}, extra: quick})
	defer next.stop(syscall.SIGKILL)
	fake.WaitFor("a to report the later incarnation as up", func() bool {
		members := a.snapshot().Members
		return len(members) > 0 && members[0].State == "up" && members[0].Incarnation > oldIncarnation
	})
	old.signal(syscall.SIGCONT)
	code := old.waitForExit()
	log := old.log.String()
	fenced := strings.Contains(log, `msg="fenced by a later process of the same name" member=b`)
	fmt.Println(fenced, strings.Contains(log, "msg=draining"), code)
	s := a.snapshot()
	latest := s.Members[0].Incarnation == next.snapshot().Incarnation
	fmt.Println(len(s.Members), s.Members[0].Name, s.Members[0].State, latest)
	// Output:
	// true true 0
	// 1 b up true
}

// Example_seedAmongRestarted kills and restarts two of four processes at the same time, among them the only seed.
// The restarted processes know only each other, and the other two still report their former incarnations as up. Because
// the other two send messages to the former incarnations, the restarted processes discover them before any former
// incarnation is evicted.
func Example_seedAmongRestarted() {
	start := func(name string, host int) *node {
		return startNode(nodeOptions{name: name, host: host, keys: "x", seeds: []int{31}})
	}
	a, b, c, d := start("a", 31), start("b", 32), start("c", 33), start("d", 34)
	defer c.stop(syscall.SIGKILL)
	defer d.stop(syscall.SIGKILL)
	for _, n := range []*node{a, b, c, d} {
		for _, other := range []string{"a", "b", "c", "d"} {
			if other != n.name {
				n.waitFor(other, "up")
			}
		}
	}
	a.stop(syscall.SIGKILL)
	b.stop(syscall.SIGKILL)
	a = start("a", 31)
	defer a.stop(syscall.SIGKILL)
	b = start("b", 32)
	defer b.stop(syscall.SIGKILL)
	for _, other := range []string{"c", "d"} {
		a.waitFor(other, "up")
		b.waitFor(other, "up")
	}
	evictions := func(n *node) uint64 { return n.snapshot().Counters["gossip-gives-up"] }
	fmt.Println(evictions(c), evictions(d))
	// Output:
	// 0 0
}

// TestStartFails checks that a process does not start and logs the cause if its address is in use or its operator's
// file contains an invalid value.
func TestStartFails(t *testing.T) {
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", gossipAddr(21))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	for _, test := range []struct {
		options nodeOptions
		want    []string // in the log
	}{
		{
			nodeOptions{name: "a", host: 21, keys: "x"},
			[]string{`msg="start failed"`, "address already in use"},
		},
		{
			nodeOptions{name: "b", host: 22, extra: "gone-after = soon\n"},
			[]string{`fleet.gone-after: is \"soon\"`},
		},
	} {
		n := startNode(test.options)
		if code := n.waitForExit(); code != 1 {
			t.Errorf("%s: exit code is %d, must be 1", n.name, code)
		}
		for _, want := range test.want {
			if !strings.Contains(n.log.String(), want) {
				t.Errorf("%s: the log does not contain %q: %s", n.name, want, n.log)
			}
		}
	}
}

// TestDrills runs the short drills in parallel. Each checks its invariants while faults act on the processes:
//
//   - members: a third of the processes are paused, two are killed, the processes are partitioned in halves for
//     longer than the halves take to evict each other, and four are restarted. No process is evicted wrongly, and all
//     views are equal after each fault.
//   - spread: 12 instances and 4 proxies, with a slow link; two instances are killed and a proxy is replaced.
//   - below: concurrency caps hold while holders die, are cut off and join, an allocator is paused and another is
//     restarted.
//   - handover: both ends drain, links between them are closed after a request or are stalled, and the ends are paused.
//   - release: twelve instances are rolled out in waves while the leader is killed, another coordinator loses its
//     disk and an instance dies.
func TestDrills(t *testing.T) {
	if testing.Short() {
		t.Skip()
	}
	for _, name := range []string{"members", "spread", "below", "handover", "release"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			out, err := command("drill", "../../drills/"+name+"-ci.ini").CombinedOutput()
			if err != nil {
				t.Fatalf("%v\n%s", err, out)
			}
			t.Logf("%s", out)
		})
	}
}

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

// Example_members has two processes know each other. One leaves by a notice and the other knows that it has left. A
// stranger with another key is ignored until both keys are given to both, and then nobody is lost.
func Example_members() {
	a := startNode(nodeOptions{name: "a", host: 1, keys: "x", seeds: []int{1}})
	defer a.stop(syscall.SIGKILL)
	b := startNode(nodeOptions{name: "b", host: 2, keys: "x", seeds: []int{1}, extra: "zone = north\n"})
	a.waitFor("b", "up")
	b.waitFor("a", "up")
	c := startNode(nodeOptions{name: "c", host: 3, keys: "y", seeds: []int{1}})
	defer c.stop(syscall.SIGKILL)
	fake.WaitFor("a to refuse what it can't read", func() bool {
		return a.snapshot().Counters["gossip-not-our-key"] > 0
	})
	c.waitForNoMembers()
	b.stop(syscall.SIGTERM)
	a.waitFor("b", "gone")
	for _, m := range a.snapshot().Members {
		fmt.Println(m.Name, m.State, m.Reason, m.Zone, m.Roles)
	}
	a.setKeys("xy") // each still writes with its own
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

// Example_fenced has a process started under a name that another has: it is its later incarnation. The earlier one
// is fenced and told so, wherever it is, and leaves if its file says so. One that was paused over its successor's
// start finds out when it goes on.
func Example_fenced() {
	const quick = "settle-time = 100ms\ndead-after = 500ms\n"
	a := startNode(nodeOptions{name: "a", host: 11, keys: "x", seeds: []int{11}, extra: quick})
	defer a.stop(syscall.SIGKILL)
	old := startNode(nodeOptions{name: "b", host: 12, keys: "x", seeds: []int{11}, extra: quick + "when-fenced = drain\n"})
	a.waitFor("b", "up")
	old.waitFor("a", "up")
	oldIncarnation := old.snapshot().Incarnation
	time.Sleep(700 * time.Millisecond) // past the time that it is settling in
	old.signal(syscall.SIGSTOP)
	next := startNode(nodeOptions{name: "b", host: 13, keys: "x", seeds: []int{11}, extra: quick})
	defer next.stop(syscall.SIGKILL)
	fake.WaitFor("a to hold the later incarnation to be up", func() bool {
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

// Example_seedAmongRestarted has two processes killed and started again at one moment, the only seed among them:
// they know but each other, and the rest holds their former incarnations to be there. They find the rest by its
// calls to these, before anybody has evicted them.
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

// TestStartRefused checks that a process whose address is taken, or whose keys are missing, does not start and says
// why.
func TestStartRefused(t *testing.T) {
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
			t.Errorf("%s: exit code %d", n.name, code)
		}
		for _, want := range test.want {
			if !strings.Contains(n.log.String(), want) {
				t.Errorf("%s: the log does not say %q: %s", n.name, want, n.log)
			}
		}
	}
}

// TestDrills runs the short drills, beside each other: processes under faults, and the invariants hold.
//
//   - members: a third of the processes are paused, two are killed, halves are partitioned for longer than it takes to
//     evict one another, four are restarted; nobody is evicted wrongly, and views are equal after each.
//   - spread: 12 instances, 4 proxies, a slow link, two instances killed, a proxy replaced.
//   - below: caps hold while holders die, are cut off and come, an allocator is paused and another restarted.
//   - handover: both ends drain, links between them end behind a request, stall, and ends are paused.
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

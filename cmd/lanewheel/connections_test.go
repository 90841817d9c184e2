package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sys/unix"

	"lanewheel/internal/fake"
)

// Who sends nothing, or half a request, loses the connection in time; who has sent a request once stays.
func Example_silentClients() {
	t := deployReady()
	defer t.close()
	began := time.Now()
	silent, half, asked := t.client(), t.client(), t.client()
	asked.Send([]any{0, 1, "check", []any{map[string]string{}}})
	asked.NextText()
	half.Send(fake.NewRequest(1, "view", fake.RequestID(1), nil, "cost", "900"))
	fmt.Println(t.runtime.NextCommand())
	message := fake.Encode(nil, fake.NewRequest(2, "view", fake.RequestID(2), nil))
	_, _ = half.Conn.Write(message[:len(message)/2])
	fmt.Println(silent.NextText(), half.NextText(), half.NextText())
	fmt.Println(time.Since(began) < 2500*time.Millisecond, asked.CheckHealth())
	// Output:
	// start 1 route view body ""
	// closed ['\x01' '\x01' ["Failed" map[]] <nil>] closed
	// true true
}

// An unused connection is asked to go and closed; one more request that crosses the asking is served.
func Example_idleConnection() {
	t := deployReady("IDLE", "0.3")
	defer t.close()
	s := t.client()
	fmt.Println(s.NextText())
	s.Send(fake.NewRequest(1, "view", fake.RequestID(1), nil))
	fmt.Println(t.runtime.NextCommand())
	t.runtime.SendNotice("end", fake.RequestID(1), "success", "one")
	fmt.Println(s.NextText())
	fmt.Println(s.NextText())
	// Output:
	// ['\x02' "goaway" []]
	// start 1 route view body ""
	// ['\x01' '\x01' <nil> ["one" map[]]]
	// closed
}

// More connections than the limit wait in the backlog; those that are unused make room, the silent ones first, and
// one with a pending request never.
func Example_connectionLimit() {
	t := deployReady()
	defer t.close()
	s := t.client()
	s.Send(fake.NewRequest(1, "view", fake.RequestID(1), nil, "cost", "900"))
	fmt.Println(t.runtime.NextCommand())
	asked := t.client()
	asked.CheckHealth()
	for range 60 { // of 64 descriptors 40 are for clients
		t.client()
	}
	late := t.client()
	late.Send(fake.NewRequest(1, "view", fake.RequestID(2), nil, "cost", "900"))
	fmt.Println(t.runtime.NextCommand(), asked.CheckHealth())
	t.runtime.SendNotice("end", fake.RequestID(2), "success", "late")
	t.runtime.SendNotice("end", fake.RequestID(1), "success", "one")
	fmt.Println(late.NextText(), s.NextText())
	fmt.Println(strings.Count(t.log.text(), "\n") < 30)
	// Output:
	// start 1 route view body ""
	// start 2 route view body "" true
	// ['\x01' '\x01' <nil> ["late" map[]]] ['\x01' '\x01' <nil> ["one" map[]]]
	// true
}

// Hundreds of connections, each with a request, stay far within the memory.
func Example_manyConnections() {
	t := deployReady(`"sockets":64`, `"sockets":1024`)
	defer t.close()
	answered := 0
	for i := range 500 {
		s := t.client()
		defer s.Close()
		s.Send(fake.NewRequest(1, "view", fake.RequestID(i), nil, "kb", "1999"))
		if strings.Contains(s.NextText(), "Busy") {
			answered++
		}
	}
	fmt.Println(answered, t.client().CheckHealth())
	status := string(fake.Must(os.ReadFile(fmt.Sprintf("/proc/%d/status", t.cmd.Process.Pid))))
	_, peak, _ := strings.Cut(status, "VmHWM:")
	kb := fake.Must(strconv.Atoi(strings.Fields(peak)[0]))
	fmt.Println("under 96 MB:", kb < 96<<10)
	// Output:
	// 500 true
	// under 96 MB: true
}

// Idle clients fill the descriptors, by the kernel's own limit: the instance links to its runtime after that,
// serves, makes calls, reports, takes new addresses and drains; it never holds more than configured, and the
// connection that is idle for longest goes first.
func Example_descriptorLimit() {
	const most = 40
	t := deploy("\"sockets\":64", "\"sockets\":40")
	defer t.close()
	limit := unix.Rlimit{Cur: most, Max: most}
	if err := unix.Prlimit(t.cmd.Process.Pid, unix.RLIMIT_NOFILE, &limit, nil); err != nil {
		panic(err)
	}
	held := func() int {
		return len(fake.Must(os.ReadDir(fmt.Sprintf("/proc/%d/fd", t.cmd.Process.Pid))))
	}
	var idle []*fake.Client
	peak := 0
	for range 60 {
		idle = append(idle, t.client())
		peak = max(peak, held())
	}
	t.runtime.Accept() // the link comes, or came before them
	t.runtime.SendReady("steady")
	s := t.client()
	fake.WaitFor("health", func() bool { return s.CheckHealth() })
	asked := map[string]int{}
	// As many calls at a time as their share lets through, more than there is room for connections.
	for n := 1; n <= 6; n++ {
		s.Send(fake.NewRequest(n, "pay", fake.RequestID(n), nil, "kb", "1"))
		t.runtime.NextCommand()
		t.runtime.SendNotice("wants", fake.RequestID(n), "", "ask")
	}
	for range 40 {
		idle = append(idle, t.client())
		peak = max(peak, held())
	}
	for range 6 {
		call := t.database.NextCall()
		asked[call.Text[:14]]++
		call.Reply("200 OK", "", "rows")
		fmt.Print(t.runtime.NextCommand()[:4], " ")
	}
	fmt.Println(asked)
	for n := 1; n <= 6; n++ {
		t.runtime.SendNotice("end", fake.RequestID(n), "success", "done")
		s.NextText()
	}
	fmt.Println(t.registry.NextReport())
	t.writeConfig(t.movedConfig())
	t.sendHangup()
	fmt.Println("sync", t.runtime.Accept())
	t.runtime.SendReady("steady")
	fmt.Println(t.registry.NextReport())
	s.Send(fake.NewRequest(7, "pay", fake.RequestID(7), nil))
	fmt.Println(t.runtime.NextCommand())
	t.runtime.SendNotice("end", fake.RequestID(7), "success", "seven")
	fmt.Println(s.NextText())
	peak = max(peak, held())
	fmt.Println("first to rest, first to go:", idle[0].NextText())
	t.sendTerminate()
	code, _ := t.waitExit()
	fmt.Println(code, "within the limit:", peak <= most)
	// Output:
	// give give give give give give map[POST /v1/exec :6]
	// HERE n1 on
	// sync 12
	// HERE n1 on
	// start 7 route pay body ""
	// ['\x01' '\a' <nil> ["seven" map[]]]
	// first to rest, first to go: closed
	// 0 within the limit: true
}

// No list has a limit under 1,024: as many tenants and classes configured, and clients connected at a time, each
// served.
func Example_manyClassesAndTenants() {
	const many = 1024
	var tenants, types []string
	for i := range many {
		tenants = append(tenants, fmt.Sprintf(`{"name":"t%d","quota-per-s":5}`, i))
		types = append(types, fmt.Sprintf(
			`{"name":"k%d","credit":%d,"promise-s":1,"give-up-s":9,"repeat":"idempotent"}`, i, 1+i%5))
	}
	t := deployReady(`"tenants":[]`, `"tenants":[`+strings.Join(tenants, ",")+"]",
		`"classes":[`, `"classes":[`+strings.Join(types, ",")+",",
		`"sockets":64`, `"sockets":4096`, `"memory-kb":1900`, `"memory-kb":1900000`, `"cpus":2`, `"cpus":64`)
	defer t.close()
	t.endRunsAtOnce()
	var all []*fake.Client
	answers := map[string]int{}
	for i := range many {
		s := t.client()
		all = append(all, s)
		s.Send(fake.NewRequest(1, fmt.Sprint("k", i), fake.RequestID(i), nil,
			"tenant", fmt.Sprint("t", many-1-i), "kb", "1", "from", fmt.Sprint(i)))
		answers[s.NextText()]++
	}
	fmt.Println(len(all), answers, strings.Contains(t.log.text(), "evicted"))
	for _, s := range all {
		s.Close()
	}
	// Output:
	// 1024 map[['\x01' '\x01' <nil> ["res" map[]]]:1024] false
}

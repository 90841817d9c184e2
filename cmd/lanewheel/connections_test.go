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

// Example_silentClients checks that the instance closes the connection of a client that sends nothing, or only half a
// request, within the timeout. The connection of a client that has sent a complete request stays open.
func Example_silentClients() {
	t := deployReady()
	defer t.close()
	began := time.Now()
	silent, half, active := t.client(), t.client(), t.client()
	active.Send([]any{0, 1, "check", []any{map[string]string{}}})
	active.NextText()
	half.Send(fake.NewRequest(1, "view", fake.RequestID(1), nil, "cost", "900"))
	fmt.Println(t.runtime.NextCommand())
	message := fake.Encode(nil, fake.NewRequest(2, "view", fake.RequestID(2), nil))
	_, _ = half.Conn.Write(message[:len(message)/2])
	fmt.Println(silent.NextText(), half.NextText(), half.NextText())
	fmt.Println(time.Since(began) < 2500*time.Millisecond, active.CheckHealth())
	// Output:
	// start 1 route view body ""
	// closed ['\x01' '\x01' ["Failed" map[]] <nil>] closed
	// true true
}

// Example_idleConnection checks that an idle connection receives a goaway message and is then closed. A request
// that the client sends before the connection is closed is still served.
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

// Example_connectionLimit checks that connections beyond the limit wait in the backlog until idle connections are
// evicted. Silent connections are evicted first, a connection with a pending request never.
func Example_connectionLimit() {
	t := deployReady()
	defer t.close()
	s := t.client()
	s.Send(fake.NewRequest(1, "view", fake.RequestID(1), nil, "cost", "900"))
	fmt.Println(t.runtime.NextCommand())
	active := t.client()
	active.CheckHealth()
	for range 60 { // with 64 descriptors, at most 32 clients can be connected
		t.client()
	}
	late := t.client()
	late.Send(fake.NewRequest(1, "view", fake.RequestID(2), nil, "cost", "900"))
	fmt.Println(t.runtime.NextCommand(), active.CheckHealth())
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

// Example_manyConnections checks that an instance with 500 connections, each with a request, stays under 96 MB of its
// 192 MB.
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

// Example_descriptorLimit checks an instance whose descriptors are all used by idle clients, with the limit
// enforced by the kernel. The instance still connects to its runtime, serves requests, makes upstream calls, sends
// reports, connects to changed addresses and drains. It never has more descriptors open than configured, and it first
// evicts the connection that has been idle for longest.
func Example_descriptorLimit() {
	const maxDescriptors = 40
	t := deploy("\"sockets\":64", "\"sockets\":40")
	defer t.close()
	limit := unix.Rlimit{Cur: maxDescriptors, Max: maxDescriptors}
	if err := unix.Prlimit(t.cmd.Process.Pid, unix.RLIMIT_NOFILE, &limit, nil); err != nil {
		panic(err)
	}
	openDescriptors := func() int {
		return len(fake.Must(os.ReadDir(fmt.Sprintf("/proc/%d/fd", t.cmd.Process.Pid))))
	}
	var idle []*fake.Client
	peak := 0
	for range 60 {
		idle = append(idle, t.client())
		peak = max(peak, openDescriptors())
	}
	t.runtime.Accept() // the link is made now or was made before the clients connected
	t.runtime.SendReady("steady")
	s := t.client()
	fake.WaitFor("a successful health check", func() bool { return s.CheckHealth() })
	calls := map[string]int{}
	// Six is the number of concurrent calls that the upstream share permits. There are fewer descriptors for the
	// connections of calls.
	for n := 1; n <= 6; n++ {
		s.Send(fake.NewRequest(n, "pay", fake.RequestID(n), nil, "kb", "1"))
		t.runtime.NextCommand()
		t.runtime.SendNotice("wants", fake.RequestID(n), "", "ask")
	}
	for range 40 {
		idle = append(idle, t.client())
		peak = max(peak, openDescriptors())
	}
	for range 6 {
		call := t.database.NextCall()
		calls[call.Text[:14]]++
		call.Reply("200 OK", "", "rows")
		fmt.Print(t.runtime.NextCommand()[:4], " ")
	}
	fmt.Println(calls)
	for n := 1; n <= 6; n++ {
		t.runtime.SendNotice("end", fake.RequestID(n), "success", "done")
		s.NextText()
	}
	fmt.Println(t.registry.NextReport())
	t.writeConfig(t.replaceFakes())
	t.sendHangup()
	fmt.Println("sync", t.runtime.Accept())
	t.runtime.SendReady("steady")
	fmt.Println(t.registry.NextReport())
	s.Send(fake.NewRequest(7, "pay", fake.RequestID(7), nil))
	fmt.Println(t.runtime.NextCommand())
	t.runtime.SendNotice("end", fake.RequestID(7), "success", "seven")
	fmt.Println(s.NextText())
	peak = max(peak, openDescriptors())
	fmt.Println("connection with the longest idle time:", idle[0].NextText())
	t.sendTerminate()
	code, _ := t.waitExit()
	fmt.Println(code, "within the limit:", peak <= maxDescriptors)
	// Output:
	// give give give give give give map[POST /v1/exec :6]
	// HERE n1 on
	// sync 12
	// HERE n1 on
	// start 7 route pay body ""
	// ['\x01' '\a' <nil> ["seven" map[]]]
	// connection with the longest idle time: closed
	// 0 within the limit: true
}

// Example_manyClassesAndTenants checks that an instance supports at least 1,024 tenants, 1,024 classes and 1,024
// concurrent clients, and serves each of them.
func Example_manyClassesAndTenants() {
	const count = 1024
	var tenants, classes []string
	for i := range count {
		tenants = append(tenants, fmt.Sprintf(`{"name":"t%d","quota-per-s":5}`, i))
		classes = append(classes, fmt.Sprintf(
			`{"name":"k%d","credit":%d,"promise-s":1,"give-up-s":9,"repeat":"idempotent"}`, i, 1+i%5))
	}
	t := deployReady(`"tenants":[]`, `"tenants":[`+strings.Join(tenants, ",")+"]",
		`"classes":[`, `"classes":[`+strings.Join(classes, ",")+",",
		`"sockets":64`, `"sockets":4096`, `"memory-kb":1900`, `"memory-kb":1900000`, `"cpus":2`, `"cpus":64`)
	defer t.close()
	t.endRunsAtOnce()
	var clients []*fake.Client
	answers := map[string]int{}
	for i := range count {
		s := t.client()
		clients = append(clients, s)
		s.Send(fake.NewRequest(1, fmt.Sprint("k", i), fake.RequestID(i), nil,
			"tenant", fmt.Sprint("t", count-1-i), "kb", "1", "from", fmt.Sprint(i)))
		answers[s.NextText()]++
	}
	fmt.Println(len(clients), answers, strings.Contains(t.log.text(), "evicted"))
	for _, s := range clients {
		s.Close()
	}
	// Output:
	// 1024 map[['\x01' '\x01' <nil> ["res" map[]]]:1024] false
}

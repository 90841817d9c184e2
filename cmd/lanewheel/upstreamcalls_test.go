package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"golang.org/x/sys/unix"

	"lanewheel/internal/fake"
)

// Example_upstreamCalls checks the different outcomes of an upstream call. A call of a request that is not
// idempotent is retried only if the outcome proves that it was never executed.
func Example_upstreamCalls() {
	t := deployReady()
	defer t.close()
	s := t.client()
	for i, answer := range []func(c *fake.Call){
		func(c *fake.Call) { c.Reply("500 Failed", "", "") },
		func(c *fake.Call) { c.Reply("504 Late", "", "") },
		func(c *fake.Call) { _ = c.Conn.Close() },
		func(c *fake.Call) { _, _ = fmt.Fprint(c.Conn, "what?") },
		func(c *fake.Call) { c.Reply("503 Full", "Never-Started: 1\r\n", "") },
		func(c *fake.Call) { c.Reply("409 None", "Never-Started: 1\r\n", "") },
	} {
		n := i + 1
		s.Send(fake.NewRequest(n, "pay", fake.RequestID(n), nil))
		t.runtime.NextCommand()
		t.runtime.SendNotice("wants", fake.RequestID(n), "", "ask")
		answer(t.database.NextCall())
		if i < 4 {
			fmt.Println(s.NextText())
		} else {
			fmt.Println(t.database.NextCall().Text)
			s.Send([]any{2, "interrupt", []any{n}})
		}
		t.runtime.SendNotice("end", fake.RequestID(n), "interrupted", "")
	}
	// Each call has a connection of its own, which is closed at the latest when its run ends.
	fake.WaitFor("all connections to be closed", func() bool { return len(t.database.ConnectionsEnded) == 8 })
	// The connection is refused, so the call was never executed. Requests of this class can do without it.
	_ = t.database.Listener.Close()
	s.Send(fake.NewRequest(9, "list", fake.RequestID(9), nil))
	t.runtime.NextCommand()
	t.runtime.SendNotice("wants", fake.RequestID(9), "", "ask")
	fmt.Println(t.runtime.NextCommand())
	// Output:
	// ['\x01' '\x01' ["Failed" map[]] <nil>]
	// ['\x01' '\x02' ["Failed" map[]] <nil>]
	// ['\x01' '\x03' ["Failed" map[]] <nil>]
	// ['\x01' '\x04' ["Failed" map[]] <nil>]
	// POST /v1/exec for 5 timed true body "ask"
	// POST /v1/exec for 6 timed true body "ask"
	// omit 9 no 13
}

// Example_databaseMovedFromBlackHole checks a database whose address never answers and is changed by SIGHUP. Calls
// that wait for a connection to the old address are sent to the new one at once, and dials for calls that timed out
// delay no other request.
func Example_databaseMovedFromBlackHole() {
	blackHole, fd := blackHoleAddr()
	defer func() { _ = unix.Close(fd) }()
	t := deployReady()
	defer t.close()
	t.writeConfig(strings.Replace(t.config, t.database.Addr(), blackHole, 1))
	t.sendHangup()
	fake.WaitFor("the change of address", func() bool { return strings.Contains(t.log.text(), "database="+blackHole) })
	s := t.client()
	for i := range 12 {
		s.Send(fake.NewRequest(i, "pay", fake.RequestID(i), nil, "kb", "1"))
		t.runtime.NextCommand()
		t.runtime.SendNotice("wants", fake.RequestID(i), "", "ask")
	}
	for i := range 11 { // cancels all but the last
		s.Send([]any{2, "interrupt", []any{i}})
	}
	fmt.Println(s.CheckHealth())
	for i := range 11 {
		t.runtime.SendNotice("end", fake.RequestID(i), "interrupted", "")
	}
	s.Send(fake.NewRequest(12, "view", fake.RequestID(12), nil, "kb", "1"))
	for command := ""; command != `start c route view body ""`; {
		command = t.runtime.NextCommand()
	}
	t.runtime.SendNotice("end", fake.RequestID(12), "success", "all read")
	fmt.Println(s.NextText())
	t.writeConfig(strings.Replace(t.config, blackHole, t.database.Addr(), 1))
	t.sendHangup()
	call := t.database.NextCall()
	fmt.Println(call.Text)
	call.Reply("200 OK", "", "rows")
	for command := ""; !strings.HasPrefix(command, "give"); {
		command = t.runtime.NextCommand()
	}
	t.runtime.SendNotice("end", fake.RequestID(11), "success", "one")
	fmt.Println(s.NextText())
	// Output:
	// true
	// ['\x01' '\f' <nil> ["all read" map[]]]
	// POST /v1/exec for b timed true body "ask"
	// ['\x01' '\v' <nil> ["one" map[]]]
}

// blackHoleAddr returns the address of a listener whose accept queue is full, so that connection attempts get no
// answer, and the descriptor of the listener.
func blackHoleAddr() (addr string, fd int) {
	fd = fake.Must(unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0))
	err := unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}})
	if err == nil {
		err = unix.Listen(fd, 0)
	}
	at := fake.Must(unix.Getsockname(fd))
	if err != nil {
		panic(err)
	}
	addr = fmt.Sprintf("127.0.0.1:%d", at.(*unix.SockaddrInet4).Port)
	for {
		dialer := net.Dialer{Timeout: 100 * time.Millisecond}
		if _, err := dialer.DialContext(context.Background(), "tcp", addr); err != nil {
			return addr, fd
		}
	}
}

// Example_severalUpstreams checks two upstream services with configured addresses and one concurrent call each.
// Calls go to both services, and a third call waits until one of them ends. A call whose connection is refused goes
// to the other service, as nothing of it was sent. A call that timed out counts as pending until its timeout at the
// service ends.
func Example_severalUpstreams() {
	// The code for several upstreams is linked in lanewheel-fleet, which is expected in the same directory.
	program := filepath.Join(tempDir, "lanewheel-fleet")
	build := exec.CommandContext(context.Background(), "go", "build", "-o", program, "../lanewheel-fleet")
	if out, err := build.CombinedOutput(); err != nil {
		panic(string(out))
	}
	a, b := fake.NewDatabase(), fake.NewDatabase()
	defer func() { _ = a.Listener.Close() }()
	defer func() { _ = b.Listener.Close() }()
	operatorPath = filepath.Join(tempDir, "services.ini")
	defer func() { operatorPath = "" }()
	text := fmt.Sprintf("[upstream]\naddresses = %s, %s\nmax-concurrency = 1\ncall-timeout = 700ms\n", a.Addr(), b.Addr())
	if err := os.WriteFile(operatorPath, []byte(text), 0o600); err != nil {
		panic(err)
	}
	t := deployReady(`"dep-share":8,`, `"dep-share":800,`)
	defer t.close()
	s := t.client()
	requestCall := func(n int) {
		s.Send(fake.NewRequest(n, "pay", fake.RequestID(n), nil))
		t.runtime.NextCommand()
		t.runtime.SendNotice("wants", fake.RequestID(n), "", fmt.Sprint("ask", n))
	}
	requestCall(1)
	requestCall(2)
	first, second := a.NextCall(), b.NextCall()
	fmt.Println(first.Text != second.Text)
	requestCall(3)
	fmt.Println(len(a.Calls), len(b.Calls))
	second.Reply("200 OK", "", "rows")
	fmt.Println(t.runtime.NextCommand()[:4])
	third := b.NextCall()
	fmt.Println(third.Text)
	third.Reply("200 OK", "", "rows")
	t.runtime.NextCommand()

	// The first call times out at its service. The next call is sent there after that, not before.
	_ = b.Listener.Close()
	requestCall(4)
	fmt.Println(len(a.Calls))
	fmt.Println(a.NextCall().Text)
	fmt.Println(len(t.database.Calls))
	// Output:
	// true
	// 0 0
	// give
	// POST /v1/exec for 3 timed true body "ask3"
	// 0
	// POST /v1/exec for 4 timed true body "ask4"
	// 0
}

// Example_noUpstream checks a configuration without a database and a registry. The instance starts and serves, and a
// call that a run makes anyway counts as never executed. Once the file contains a database, calls are sent there. A
// configuration without the address is invalid if the settings require upstream calls.
func Example_noUpstream() {
	absent := []string{`"db":`, `"was-db":`, `"roster":`, `"was-roster":`}
	t := deployReady(append(absent, `"below":"common"`, `"below":"silent"`)...)
	defer t.close()
	s := t.client()
	s.Send(fake.NewRequest(1, "view", fake.RequestID(1), []byte("a")))
	fmt.Println(t.runtime.NextCommand())
	t.runtime.SendNotice("end", fake.RequestID(1), "success", "one")
	fmt.Println(s.NextText())
	s.Send(fake.NewRequest(2, "list", fake.RequestID(2), nil))
	fmt.Println(t.runtime.NextCommand())
	t.runtime.SendNotice("wants", fake.RequestID(2), "", "ask")
	fmt.Println(t.runtime.NextCommand())
	t.runtime.SendNotice("end", fake.RequestID(2), "success", "two")
	fmt.Println(s.NextText())
	t.writeConfig(strings.NewReplacer(`"was-db":`, `"db":`, `"was-roster":`, `"roster":`).Replace(t.config))
	t.sendHangup()
	fake.WaitFor("the change of address", func() bool {
		return strings.Contains(t.log.text(), `msg="addresses changed"`)
	})
	fmt.Println(t.registry.NextReport())
	s.Send(fake.NewRequest(3, "list", fake.RequestID(3), nil))
	fmt.Println(t.runtime.NextCommand())
	t.runtime.SendNotice("wants", fake.RequestID(3), "", "ask")
	fmt.Println(t.database.NextCall().Text)

	invalid := deploy(absent...)
	defer invalid.close()
	code, log := invalid.waitExit()
	fmt.Println(code, log[strings.Index(log, ".json:")+6:])
	// Output:
	// start 1 route view body "a"
	// ['\x01' '\x01' <nil> ["one" map[]]]
	// start 2 route list body ""
	// omit 2 no 2
	// ['\x01' '\x02' <nil> ["two" map[]]]
	// HERE n1 on
	// start 3 route list body ""
	// POST /v1/exec for 3 timed true body "ask"
	// 1  db: must be an address, because settings.domain.below (shared) requires upstream calls"
}

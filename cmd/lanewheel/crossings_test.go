package main

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"lanewheel/internal/fake"
)

// Notices of both kinds while the configuration is still being read: none ends the program, and the one to leave is not lost among the others.
func Example_noticesBeforeTheConfiguration() {
	t := &deployment{log: &logBuffer{}, exited: make(chan struct{}), runtime: fake.NewRuntime(), database: fake.NewDatabase(), registry: fake.NewRegistry()}
	defer t.close()
	other := deployReady()
	text := other.config
	other.close()
	t.configPath = filepath.Join(tempDir, "held.json")
	if err := unix.Mkfifo(t.configPath, 0o600); err != nil {
		panic(err)
	}
	t.run()
	// Opened once the program has opened it too, which then waits for what stands in it.
	pipe := fake.Must(os.OpenFile(t.configPath, os.O_WRONLY, 0))
	for range 100 {
		t.sendHangup()
		fake.WaitFor("the notice is taken", func() bool { return !signalPending(t.cmd.Process.Pid) })
	}
	t.sendTerminate()
	fmt.Fprint(pipe, text)
	pipe.Close()
	code, log := t.waitExit()
	fmt.Println(code, strings.Contains(log, "msg=draining"), strings.Contains(log, "msg=stopped"))
	// Output:
	// 0 true true
}

// signalPending tells whether a signal that was sent to the process has not been delivered.
func signalPending(pid int) bool {
	for _, line := range strings.Split(string(fake.Must(os.ReadFile(fmt.Sprintf("/proc/%d/status", pid)))), "\n") {
		if mask, is := strings.CutPrefix(line, "ShdPnd:"); is {
			return strings.Trim(mask, "\t0") != ""
		}
	}
	return false
}

// Connections that stand in the backlog, with an op written on each, when listening ends while the table is full: each op has its answer.
func Example_backlogAtTheEnd() {
	t := deployReady()
	defer t.close()
	var busy, waiting []*fake.Client
	for i := range 32 { // of 64 descriptors, as many as may be connected; none can be let go, as an op is open on each
		s := t.client()
		s.Send(fake.NewRequest(1, "pay", fake.RequestID(i), nil, "kb", "1"))
		busy = append(busy, s)
	}
	fake.WaitFor("all are in", func() bool { return t.runtime.NextCommand() != "" && len(busy) == 32 })
	for i := range 8 {
		s := t.client()
		s.Send(fake.NewRequest(1, "pay", fake.RequestID(100+i), nil, "kb", "1"))
		waiting = append(waiting, s)
	}
	t.sendTerminate()
	answers := map[string]int{}
	for _, s := range waiting {
		for h := s.NextText(); ; h = s.NextText() {
			if !strings.Contains(h, "goaway") {
				answers[h]++
				break
			}
		}
	}
	fmt.Println(answers)
	for _, s := range append(busy, waiting...) {
		s.Close()
	}
	code, _ := t.waitExit()
	fmt.Println(code)
	// Output:
	// map[['\x01' '\x01' ["Busy" map[]] <nil>]:8]
	// 0
}

// A stub that rests until the instance ends it, with half an op written when it is asked to go: its connection ends in good order, long before a
// peer's patience, however short the time to the kill is, and an op that was open has its answer.
func Example_restsUntilTheEnd() {
	for _, stop := range []string{"1500", "240", "60", "0"} {
		t := deployReady(`"stop_ms":1500`, `"stop_ms":`+stop)
		s, rests := t.client(), t.client()
		fmt.Print(stop, " ", rests.CheckHealth())
		s.Send(fake.NewRequest(1, "pay", fake.RequestID(1), nil))
		t.runtime.NextCommand()
		half := fake.Encode(nil, fake.NewRequest(2, "view", fake.RequestID(2), nil))
		rests.Conn.Write(half[:len(half)/2])
		later := t.client()
		fmt.Print(" ", later.CheckHealth()) // what came before it is read too
		later.Close()
		began := time.Now()
		t.sendTerminate()
		h := s.NextText()
		for strings.Contains(h, "goaway") {
			h = s.NextText()
		}
		fmt.Print(" ", h)
		fmt.Print(" ", rests.NextText(), " ", rests.NextText())
		code, log := t.waitExit()
		fmt.Println("", code, time.Since(began) < 5*time.Second, strings.Contains(log, "msg=stopped"))
		t.close()
	}
	// Output:
	// 1500 true true ['\x01' '\x01' ["Failed" map[]] <nil>] ['\x02' "goaway" []] closed 0 true true
	// 240 true true ['\x01' '\x01' ["Failed" map[]] <nil>] ['\x02' "goaway" []] closed 0 true true
	// 60 true true ['\x01' '\x01' ["Failed" map[]] <nil>] ['\x02' "goaway" []] closed 0 true true
	// 0 true true ['\x01' '\x01' ["Failed" map[]] <nil>] ['\x02' "goaway" []] closed 0 true true
}

// The database's address swallows what knocks; SIGHUP names another. Calls that wait at the old one go to the new one at once, and dials for
// calls that were given up hold up nobody.
func Example_movedFromAHole() {
	hole, fd := blackHoleAddr()
	defer unix.Close(fd)
	t := deployReady()
	defer t.close()
	t.writeConfig(strings.Replace(t.config, t.database.Addr(), hole, 1))
	t.sendHangup()
	fake.WaitFor("the move", func() bool { return strings.Contains(t.log.text(), "database="+hole) })
	s := t.client()
	for i := range 12 {
		s.Send(fake.NewRequest(i, "pay", fake.RequestID(i), nil, "kb", "1"))
		t.runtime.NextCommand()
		t.runtime.SendNotice("wants", fake.RequestID(i), "", "ask")
	}
	for i := range 11 { // all but the last are over
		s.Send([]any{2, "interrupt", []any{i}})
	}
	fmt.Println(s.CheckHealth())
	for i := range 11 {
		t.runtime.SendNotice("end", fake.RequestID(i), "interrupted", "")
	}
	s.Send(fake.NewRequest(12, "view", fake.RequestID(12), nil, "kb", "1"))
	for heard := ""; heard != `start c route view body ""`; {
		heard = t.runtime.NextCommand()
	}
	t.runtime.SendNotice("end", fake.RequestID(12), "success", "all read")
	fmt.Println(s.NextText())
	t.writeConfig(strings.Replace(t.config, hole, t.database.Addr(), 1))
	t.sendHangup()
	call := t.database.NextCall()
	fmt.Println(call.Text)
	call.Reply("200 OK", "", "rows")
	for heard := ""; !strings.HasPrefix(heard, "give"); {
		heard = t.runtime.NextCommand()
	}
	t.runtime.SendNotice("end", fake.RequestID(11), "success", "one")
	fmt.Println(s.NextText())
	// Output:
	// true
	// ['\x01' '\f' <nil> ["all read" map[]]]
	// POST /v1/exec for b timed true body "ask"
	// ['\x01' '\v' <nil> ["one" map[]]]
}

// blackHoleAddr gives an address whose queue is full: what knocks there hears nothing.
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
		if _, err := net.DialTimeout("tcp", addr, 100*time.Millisecond); err != nil {
			return addr, fd
		}
	}
}

// The list's machine is down at the start, is back later, goes silent, and moves: reports go on all the while, each with the state of its moment.
func Example_listThatIsDown() {
	t := deploy()
	defer t.close()
	addr := t.registry.Addr()
	t.registry.Close()
	t.runtime.Accept()
	t.runtime.SendReady("steady")
	c := t.client()
	fake.WaitFor("health", func() bool { return c.CheckHealth() })
	conn := fake.Must(net.ListenPacket("udp", addr)) // back
	b := make([]byte, 100)
	hear := func() string {
		_ = conn.SetReadDeadline(time.Now().Add(fake.WaitTimeout))
		n, _, err := conn.ReadFrom(b)
		return string(b[:fake.Must(n, err)])
	}
	fmt.Println(hear(), "|", hear())
	t.registry = fake.NewRegistry()
	t.writeConfig(strings.Replace(t.config, addr, t.registry.Addr(), 1))
	t.sendHangup()
	fmt.Println(t.registry.NextReport())
	conn.Close()
	t.sendTerminate()
	off := 0
	fake.WaitFor("the list hears that it goes, more than once", func() bool {
		if t.registry.NextReport() == "HERE n1 off" {
			off++
		}
		return off == 3
	})
	c.Close()
	code, _ := t.waitExit()
	fmt.Println(code)
	// Output:
	// HERE n1 on | HERE n1 on
	// HERE n1 on
	// 0
}

// Nobody reads the log, and its pipe is full; then its reader is gone. Ops are answered all the same, and the program leaves with 0.
func Example_logThatNobodyReads() {
	var ends [2]int
	if err := unix.Pipe2(ends[:], unix.O_CLOEXEC|unix.O_NONBLOCK); err != nil {
		panic(err)
	}
	for {
		if _, err := unix.Write(ends[1], make([]byte, 1)); err != nil { // full to the last byte
			break
		}
	}
	if _, err := unix.FcntlInt(uintptr(ends[1]), unix.F_SETFL, 0); err != nil { // the program's writes wait
		panic(err)
	}
	logFile = os.NewFile(uintptr(ends[1]), "log")
	t := deployReady()
	logFile.Close()
	logFile = nil
	defer t.close()
	s := t.client()
	ask := func(n int) {
		s.Send(fake.NewRequest(n, "view", fake.RequestID(n), nil))
		t.runtime.NextCommand()
		t.runtime.SendNotice("end", fake.RequestID(n), "success", "one")
		fmt.Println(s.NextText())
	}
	ask(1)
	unix.Close(ends[0]) // what is being written is refused
	t.client().Close()  // and leaves a line
	ask(2)
	t.sendTerminate()
	s.Close()
	code, _ := t.waitExit()
	fmt.Println(code)
	// Output:
	// ['\x01' '\x01' <nil> ["one" map[]]]
	// ['\x01' '\x02' <nil> ["one" map[]]]
	// 0
}

// A read whose caller has left runs on until its stop is heard. Who asked the same before that gets what it comes to; who asks the same now has a run
// of its own.
func Example_repeatOfOneGivenUp() {
	t := deployReady("FRESH", "5")
	defer t.close()
	s := t.client()
	read := func(n int) []any {
		return fake.NewRequest(n, "view", fake.RequestID(n), nil, "key", "k", "kb", "1")
	}
	s.Send(read(1))
	fmt.Println(t.runtime.NextCommand())
	s.Send(read(2))
	s.Send([]any{2, "interrupt", []any{1}})
	fmt.Println(t.runtime.NextCommand())
	s.Send(read(3))
	fmt.Println(t.runtime.NextCommand())
	t.runtime.SendNotice("end", fake.RequestID(1), "success", "one")
	fmt.Println(s.NextText())
	t.runtime.SendNotice("end", fake.RequestID(3), "success", "three")
	fmt.Println(s.NextText())
	s.Send(read(4))
	fmt.Println(s.NextText())
	// Output:
	// start 1 route view body ""
	// stop 1
	// start 3 route view body ""
	// ['\x01' '\x02' <nil> ["one" map[]]]
	// ['\x01' '\x03' <nil> ["three" map[]]]
	// ['\x01' '\x04' <nil> ["three" map[]]]
}

// What comes to a further tier are calls, which carry the key of the op that makes them: each has a result of its own, and only one that says the
// same is answered with another's.
func Example_callsOfTheTierAbove() {
	t := deployReady("FRESH", "5", `{"classes"`, `{"tier":1,"classes"`)
	defer t.close()
	s := t.client()
	call := func(n int, says string) []any {
		return fake.NewRequest(n, "view", fake.RequestID(n), []byte(says), "key", "k", "kb", "1")
	}
	s.Send(call(1, "lamps"), call(2, "poles"))
	fmt.Println(t.runtime.NextCommand())
	fmt.Println(t.runtime.NextCommand())
	s.Send(call(3, "lamps"))
	t.runtime.SendNotice("end", fake.RequestID(1), "success", "of lamps")
	t.runtime.SendNotice("end", fake.RequestID(2), "success", "of poles")
	answers := []string{s.NextText(), s.NextText(), s.NextText()}
	slices.Sort(answers)
	fmt.Println(strings.Join(answers, "\n"))
	// Output:
	// start 1 route view body "lamps"
	// start 2 route view body "poles"
	// ['\x01' '\x01' <nil> ["of lamps" map[]]]
	// ['\x01' '\x02' <nil> ["of poles" map[]]]
	// ['\x01' '\x03' <nil> ["of lamps" map[]]]
}

// A read's repeat while the first runs, in the moment in which the first's answer leaves, when its run has failed, and from another tenant, in
// another class, after the told time: the first's result, or a run of its own, and one answer each.
func Example_repeats() {
	t := deployReady("FRESH", "2", `"tenants":[]`, `"tenants":[{"name":"water"},{"name":"roads"}]`)
	defer t.close()
	s := t.client()
	read := func(n int, kind, tenant string) []any {
		return fake.NewRequest(n, kind, fake.RequestID(n), nil, "key", "k", "tenant", tenant, "kb", "1")
	}
	s.Send(read(1, "view", "water"), read(2, "view", "water"))
	fmt.Println(t.runtime.NextCommand())
	for n := 3; n < 30; n++ { // the end and repeats cross, in any order
		s.Send(read(n, "view", "water"))
		if n == 15 {
			t.runtime.SendNotice("end", fake.RequestID(1), "success", "one")
		}
	}
	answers := map[string]int{}
	for range 29 {
		h := s.NextText()
		answers[h[strings.Index(h, "<nil>"):]]++
	}
	fmt.Println(answers)
	s.Send(read(60, "view", "roads"), read(61, "list", "water"))
	fmt.Println(t.runtime.NextCommand())
	fmt.Println(t.runtime.NextCommand())
	s.Send(read(62, "view", "roads"), read(63, "pay", "roads"))
	fmt.Println(t.runtime.NextCommand())
	t.runtime.SendNotice("end", fake.RequestID(60), "failure", "")
	fmt.Println(s.NextText(), s.NextText())
	t.runtime.SendNotice("end", fake.RequestID(61), "success", "three")
	t.runtime.SendNotice("end", fake.RequestID(63), "success", "four")
	fmt.Println(s.NextText(), s.NextText())
	s.Send(read(64, "view", "roads"))
	fmt.Println(t.runtime.NextCommand())
	t.runtime.SendNotice("end", fake.RequestID(64), "success", "two")
	fmt.Println(s.NextText())
	// Past the told time the result is nobody's: some repeat runs.
	n := 65
	fake.WaitFor("the end of its time", func() bool {
		s.Send(read(n, "view", "roads"))
		n++
		select {
		case line := <-t.runtime.Messages:
			t.runtime.SendNotice("end", line["rid"].(string), "success", "five")
			fmt.Println(line["t"], strings.Contains(s.NextText(), "five"))
			return true
		case <-time.After(20 * time.Millisecond):
			return s.NextText() == ""
		}
	})
	// Output:
	// start 1 route view body ""
	// map[<nil> ["one" map[]]]:29]
	// start 3c route view body ""
	// start 3d route list body ""
	// start 3f route pay body ""
	// ['\x01' '<' ["Failed" map[]] <nil>] ['\x01' '>' ["Failed" map[]] <nil>]
	// ['\x01' '=' <nil> ["three" map[]]] ['\x01' '?' <nil> ["four" map[]]]
	// start 40 route view body ""
	// ['\x01' '@' <nil> ["two" map[]]]
	// start true
}

// A class whose op timeout was not told, or is huge: what its callers say of their wait and its work still counts.
func Example_timeouts() {
	for _, told := range []string{``, `"give-up-s":0,`, `"give-up-s":3e9,`, `"give-up-s":1e300,`} {
		t := deployReady(`{"name":"view","credit":1,"promise-s":1,"give-up-s":3,`, `{"name":"view","credit":1,`+told)
		s := t.client()
		s.Send(fake.NewRequest(1, "view", fake.RequestID(1), nil))
		fmt.Print(t.runtime.NextCommand(), " ")
		t.runtime.SendNotice("end", fake.RequestID(1), "success", "one")
		fmt.Println(s.NextText())
		t.close()
	}
	// Output:
	// start 1 route view body "" ['\x01' '\x01' <nil> ["one" map[]]]
	// start 1 route view body "" ['\x01' '\x01' <nil> ["one" map[]]]
	// start 1 route view body "" ['\x01' '\x01' <nil> ["one" map[]]]
	// start 1 route view body "" ['\x01' '\x01' <nil> ["one" map[]]]
}

// Tries of one keyed op, each under an id of its own and by whichever stub: one runs. The others get its result, while it runs and afterwards, or
// its failure. What says something else, or is of another class, is another op.
func Example_keyedTries() {
	t := deployReady(`"repeat":"at_most_once"}`, `"repeat":"deduplicated","dedup-window-s":60}`)
	defer t.close()
	s, other := t.client(), t.client()
	try := func(n int, kind, body string) []any {
		return fake.NewRequest(n, kind, fake.RequestID(n), []byte(body), "kb", "1")
	}
	s.Send(try(1, "pay", "x"))
	fmt.Println(t.runtime.NextCommand())
	other.Send(try(2, "pay", "x"))
	s.Send(try(3, "pay", "y"))
	fmt.Println(t.runtime.NextCommand())
	s.Send(try(4, "view", "x"))
	fmt.Println(t.runtime.NextCommand())
	fmt.Println(other.CheckHealth())
	t.runtime.SendNotice("end", fake.RequestID(1), "success", "one")
	fmt.Println(s.NextText(), other.NextText())
	other.Send(try(5, "pay", "x"))
	fmt.Println(other.NextText())
	t.runtime.SendNotice("end", fake.RequestID(3), "failure", "")
	fmt.Println(s.NextText())
	other.Send(try(6, "pay", "y"))
	fmt.Println(other.NextText())
	s.Send([]any{2, "interrupt", []any{4}})
	fmt.Println(t.runtime.NextCommand(), len(t.runtime.Messages))
	// Output:
	// start 1 route pay body "x"
	// start 3 route pay body "y"
	// start 4 route view body "x"
	// true
	// ['\x01' '\x01' <nil> ["one" map[]]] ['\x01' '\x02' <nil> ["one" map[]]]
	// ['\x01' '\x05' <nil> ["one" map[]]]
	// ['\x01' '\x03' ["Failed" map[]] <nil>]
	// ['\x01' '\x06' ["Failed" map[]] <nil>]
	// stop 4 0
}

// A configuration is read anew while the instance drains: runtime, database and list move, the run that is under way ends by the new ones, and the
// drain goes on by its own times; a wrong one changes nothing.
func Example_movedWhileLeaving() {
	t := deployReady()
	defer t.close()
	s := t.client()
	s.Send(fake.NewRequest(1, "view", fake.RequestID(1), nil))
	fmt.Println(t.runtime.NextCommand())
	t.sendTerminate()
	fake.WaitFor("the notice", func() bool { return strings.Contains(t.log.text(), "msg=draining") })
	whole := t.config
	t.writeConfig("{")
	t.sendHangup()
	fake.WaitFor("the wrong file", func() bool { return strings.Contains(t.log.text(), "msg=configuration-kept") })
	t.config = whole
	t.writeConfig(t.movedConfig())
	t.sendHangup()
	fmt.Println("sync", t.runtime.Accept())
	t.runtime.SendReady("steady")
	fmt.Println(t.registry.NextReport())
	t.runtime.LastNotice = 0
	t.runtime.SendNotice("wants", fake.RequestID(1), "", "ask")
	t.database.NextCall().Reply("200 OK", "", "rows")
	heard := t.runtime.NextCommand()
	if strings.HasPrefix(heard, "start 1 ") { // said again on the new link, as it may have been lost on the old one
		heard = t.runtime.NextCommand()
	}
	fmt.Println(heard)
	t.runtime.SendNotice("end", fake.RequestID(1), "success", "one")
	fmt.Println(s.NextText())
	fmt.Println(s.NextText())
	s.Close()
	code, log := t.waitExit()
	fmt.Println(code, strings.Count(log, `msg="addresses changed"`))
	// Output:
	// start 1 route view body ""
	// sync 0
	// HERE n1 off
	// give 1 body "rows"
	// ['\x01' '\x01' <nil> ["one" map[]]]
	// ['\x02' "goaway" []]
	// 0 1
}

// A process is killed right behind an accept: one connection stands in its queue with an op on it, another's op runs. Both end with their process,
// at once and with no answer; the first never ran. The next life takes the address and serves.
func Example_killedBehindAccept() {
	t := deployReady()
	defer t.close()
	runs, queued := t.client(), (*fake.Client)(nil)
	runs.Send(fake.NewRequest(1, "view", fake.RequestID(1), nil))
	fmt.Println(t.runtime.NextCommand())
	_ = t.cmd.Process.Signal(syscall.SIGSTOP) // the kernel accepts for it
	queued = t.client()
	queued.Send(fake.NewRequest(2, "view", fake.RequestID(2), nil))
	_ = t.cmd.Process.Kill()
	<-t.exited
	fmt.Println(runs.NextText(), strings.HasSuffix(queued.NextText(), "connection reset by peer")) // over the bytes that it never read
	fmt.Println(t.runtime.NextCommand())
	t.exited = make(chan struct{})
	t.run()
	t.runtime.Accept()
	t.runtime.SendReady("booting")
	s := t.client()
	fake.WaitFor("health", func() bool { return s.CheckHealth() })
	s.Send(fake.NewRequest(1, "view", fake.RequestID(3), nil))
	fmt.Println(t.runtime.NextCommand())
	// Output:
	// start 1 route view body ""
	// closed true
	// link closed
	// start 3 route view body ""
}

package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"lanewheel/internal/fake"
)

// Told to end, the instance reports so, answers what it has, asks its clients to go away and ends by itself with 0.
func Example_drain() {
	t := deployReady()
	defer t.close()
	s := t.client()
	s.Send(fake.NewRequest(1, "view", fake.RequestID(1), nil))
	t.runtime.NextCommand()
	t.sendTerminate()
	fake.WaitFor("the roster is told", func() bool { return t.registry.NextReport() == "HERE n1 off" })
	t.sendTerminate()
	t.runtime.SendNotice("end", fake.RequestID(1), "success", "one")
	fmt.Println(s.NextText())
	s.Send(fake.NewRequest(2, "view", fake.RequestID(2), nil))
	fmt.Println(t.runtime.NextCommand())
	fmt.Println(s.NextText())
	fmt.Println(s.NextText())
	s.Close()
	code, log := t.waitExit()
	fmt.Println(code, log[strings.LastIndex(log, "msg="):])
	_, err := dial(t.listenAddr)
	fmt.Println("refused:", err != nil)
	// Output:
	// ['\x01' '\x01' <nil> ["one" map[]]]
	// start 2 route view body ""
	// ['\x02' "goaway" []]
	// ['\x01' '\x02' ["Busy" map[]] <nil>]
	// 0 msg=stopped connections=0 requests=1
	// refused: true
}

// A client that connects while the listening socket is being closed is accepted and answered, or refused; SIGTERM
// before the runtime is up ends the program at once.
func Example_earlyTerminate() {
	t := deploy()
	defer t.close()
	s := t.client()
	s.CheckHealth()
	t.sendTerminate()
	fmt.Println(s.NextText(), s.NextText())
	code, _ := t.waitExit()
	fmt.Println(code)
	// Output:
	// ['\x02' "goaway" []] closed
	// 0
}

// Signals of both kinds while the configuration is still being read: none ends the program, and SIGTERM is not lost
// among the others.
func Example_signalsBeforeConfiguration() {
	t := &deployment{
		log: &logBuffer{}, exited: make(chan struct{}),
		runtime: fake.NewRuntime(), database: fake.NewDatabase(), registry: fake.NewRegistry(),
	}
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
	_, _ = fmt.Fprint(pipe, text)
	_ = pipe.Close()
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

// Connections that stand in the backlog, with a request written on each, when listening ends while the table is
// full: each request is answered.
func Example_backlogWhileDraining() {
	t := deployReady()
	defer t.close()
	var busy, waiting []*fake.Client
	// Of 64 descriptors, as many as may be connected; none can be evicted, as a request is pending on each.
	for i := range 32 {
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

// A client that stays until the instance closes the connection, with half a request written when it is asked to go
// away: its connection is closed in good order, long before a peer's timeout, however short the time to the kill
// is, and a pending request is answered.
func Example_idleWhileDraining() {
	for _, stop := range []string{"1500", "240", "60", "0"} {
		t := deployReady(`"stop_ms":1500`, `"stop_ms":`+stop)
		s, rests := t.client(), t.client()
		fmt.Print(stop, " ", rests.CheckHealth())
		s.Send(fake.NewRequest(1, "pay", fake.RequestID(1), nil))
		t.runtime.NextCommand()
		half := fake.Encode(nil, fake.NewRequest(2, "view", fake.RequestID(2), nil))
		_, _ = rests.Conn.Write(half[:len(half)/2])
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

// isStopped reports whether all threads of a process are stopped by a signal. A signal stops them one after another:
// until then a thread that still runs may accept a connection and read from it.
func isStopped(pid int) bool {
	for _, thread := range fake.Must(os.ReadDir(fmt.Sprintf("/proc/%d/task", pid))) {
		stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/task/%s/stat", pid, thread.Name()))
		_, afterName, _ := strings.Cut(string(stat), ") ")
		if err != nil || !strings.HasPrefix(afterName, "T") {
			return false
		}
	}
	return true
}

// A process is killed right after an accept: one connection stands in its queue with a request on it, another's
// request runs. Both end with their process, at once and without a response; the first was never executed. The next
// process takes the address and serves.
func Example_killedAfterAccept() {
	t := deployReady()
	defer t.close()
	runs, queued := t.client(), (*fake.Client)(nil)
	runs.Send(fake.NewRequest(1, "view", fake.RequestID(1), nil))
	fmt.Println(t.runtime.NextCommand())
	_ = t.cmd.Process.Signal(syscall.SIGSTOP) // the kernel accepts for it
	fake.WaitFor("the process to stop", func() bool { return isStopped(t.cmd.Process.Pid) })
	queued = t.client()
	queued.Send(fake.NewRequest(2, "view", fake.RequestID(2), nil))
	_ = t.cmd.Process.Kill()
	<-t.exited
	// A reset, over the bytes that it never read.
	fmt.Println(runs.NextText(), strings.HasSuffix(queued.NextText(), "connection reset by peer"))
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

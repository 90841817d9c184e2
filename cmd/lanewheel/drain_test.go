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

// Example_drain checks that after SIGTERM the instance reports to the registry that it is leaving, answers the pending
// requests, sends goaway to its clients and exits with 0.
func Example_drain() {
	t := deployReady()
	defer t.close()
	s := t.client()
	s.Send(fake.NewRequest(1, "view", fake.RequestID(1), nil))
	t.runtime.NextCommand()
	t.sendTerminate()
	fake.WaitFor("the report to the registry", func() bool { return t.registry.NextReport() == "HERE n1 off" })
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

// Example_earlyTerminate checks that SIGTERM before the runtime is ready ends the program at once, with a goaway to
// the connected client. A client that connects while the listening socket is being closed is either accepted and
// answered or refused.
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

// Example_signalsBeforeConfiguration sends SIGHUP and SIGTERM while the program still reads its configuration.
// Neither signal ends the program at that point, and SIGTERM is not lost after 100 SIGHUPs: the program drains once
// it has started.
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
	// Opening the pipe for writing blocks until the program has opened it for reading. The program then waits for
	// data.
	pipe := fake.Must(os.OpenFile(t.configPath, os.O_WRONLY, 0))
	for range 100 {
		t.sendHangup()
		fake.WaitFor("the signal to be delivered", func() bool { return !signalPending(t.cmd.Process.Pid) })
	}
	t.sendTerminate()
	_, _ = fmt.Fprint(pipe, text)
	_ = pipe.Close()
	code, log := t.waitExit()
	fmt.Println(code, strings.Contains(log, "msg=draining"), strings.Contains(log, "msg=stopped"))
	// Output:
	// 0 true true
}

// signalPending reports whether a signal that was sent to the process has not been delivered yet.
func signalPending(pid int) bool {
	for _, line := range strings.Split(string(fake.Must(os.ReadFile(fmt.Sprintf("/proc/%d/status", pid)))), "\n") {
		if mask, found := strings.CutPrefix(line, "ShdPnd:"); found {
			return strings.Trim(mask, "\t0") != ""
		}
	}
	return false
}

// Example_backlogWhileDraining checks connections that wait in the backlog, each with a request already written, when
// the instance stops listening while its connection table is full. Each of these requests is answered.
func Example_backlogWhileDraining() {
	t := deployReady()
	defer t.close()
	var busy, waiting []*fake.Client
	// With 64 descriptors, at most 32 clients can be connected. None of them can be evicted, as a request is pending on
	// each connection.
	for i := range 32 {
		s := t.client()
		s.Send(fake.NewRequest(1, "pay", fake.RequestID(i), nil, "kb", "1"))
		busy = append(busy, s)
	}
	fake.WaitFor("a request to start", func() bool { return t.runtime.NextCommand() != "" && len(busy) == 32 })
	for i := range 8 {
		s := t.client()
		s.Send(fake.NewRequest(1, "pay", fake.RequestID(100+i), nil, "kb", "1"))
		waiting = append(waiting, s)
	}
	t.sendTerminate()
	answers := map[string]int{}
	for _, s := range waiting {
		for message := s.NextText(); ; message = s.NextText() {
			if !strings.Contains(message, "goaway") {
				answers[message]++
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

// Example_idleWhileDraining checks a client that has written half a request when it receives goaway and stays until
// the instance closes the connection. The instance closes it without a reset, long before a peer's timeout, and
// answers the pending request of another client, however short the configured time until the process is killed.
func Example_idleWhileDraining() {
	for _, stop := range []string{"1500", "240", "60", "0"} {
		t := deployReady(`"stop_ms":1500`, `"stop_ms":`+stop)
		s, idle := t.client(), t.client()
		fmt.Print(stop, " ", idle.CheckHealth())
		s.Send(fake.NewRequest(1, "pay", fake.RequestID(1), nil))
		t.runtime.NextCommand()
		half := fake.Encode(nil, fake.NewRequest(2, "view", fake.RequestID(2), nil))
		_, _ = idle.Conn.Write(half[:len(half)/2])
		later := t.client()
		fmt.Print(" ", later.CheckHealth()) // the instance has by now read the half request too
		later.Close()
		began := time.Now()
		t.sendTerminate()
		message := s.NextText()
		for strings.Contains(message, "goaway") {
			message = s.NextText()
		}
		fmt.Print(" ", message)
		fmt.Print(" ", idle.NextText(), " ", idle.NextText())
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

// isStopped reports whether all threads of a process are stopped by a signal. A signal stops them one after another.
// Until all are stopped, a running thread may accept a connection and read from it.
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

// Example_killedAfterAccept kills a process while one connection waits in its accept queue with a request on it and
// the request of another connection runs. Both connections end with the process, at once and without a response,
// and the request in the queue is never executed. The next process binds the same address and serves.
func Example_killedAfterAccept() {
	t := deployReady()
	defer t.close()
	running, queued := t.client(), (*fake.Client)(nil)
	running.Send(fake.NewRequest(1, "view", fake.RequestID(1), nil))
	fmt.Println(t.runtime.NextCommand())
	_ = t.cmd.Process.Signal(syscall.SIGSTOP) // the kernel still completes connections while the process is stopped
	fake.WaitFor("the process to stop", func() bool { return isStopped(t.cmd.Process.Pid) })
	queued = t.client()
	queued.Send(fake.NewRequest(2, "view", fake.RequestID(2), nil))
	_ = t.cmd.Process.Kill()
	<-t.exited
	// The queued connection is reset, as the process never read the bytes on it.
	fmt.Println(running.NextText(), strings.HasSuffix(queued.NextText(), "connection reset by peer"))
	fmt.Println(t.runtime.NextCommand())
	t.exited = make(chan struct{})
	t.run()
	t.runtime.Accept()
	t.runtime.SendReady("booting")
	s := t.client()
	fake.WaitFor("a successful health check", func() bool { return s.CheckHealth() })
	s.Send(fake.NewRequest(1, "view", fake.RequestID(3), nil))
	fmt.Println(t.runtime.NextCommand())
	// Output:
	// start 1 route view body ""
	// closed true
	// link closed
	// start 3 route view body ""
}

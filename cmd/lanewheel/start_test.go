package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"golang.org/x/sys/unix"

	"lanewheel/internal/fake"
)

// Example_addressInUse checks a start while the previous process still holds the listen address. The start does not
// fail but waits for the address; SIGTERM ends the wait.
func Example_addressInUse() {
	for _, terminate := range []bool{false, true} {
		previous := fake.Must(listen(fmt.Sprintf("127.70.%d.1:0", os.Getpid()%250)))
		t := deploy()
		_ = t.cmd.Process.Kill()
		<-t.exited
		text := strings.Replace(t.config, t.listenAddr, previous.Addr().String(), 1)
		t.exited, t.log, t.listenAddr = make(chan struct{}), &logBuffer{}, previous.Addr().String()
		t.configPath = filepath.Join(tempDir, fmt.Sprint("held", terminate))
		if err := unix.Mkfifo(t.configPath, 0o600); err != nil {
			panic(err)
		}
		t.run()
		t.writeConfig(text) // once the program has read it from the pipe, it already handles signals
		if terminate {
			t.sendTerminate()
			code, _ := t.waitExit()
			fmt.Println("exited with", code, t.log.text() == "")
		} else {
			time.Sleep(100 * time.Millisecond) // some attempts to bind; without retries the program would have exited
			_ = previous.Close()
			t.runtime.Accept()
			t.runtime.SendReady("steady")
			s := t.client()
			fake.WaitFor("a successful health check", func() bool { return s.CheckHealth() })
			fmt.Println("up")
		}
		t.close()
		_ = previous.Close()
	}
	// Output:
	// up
	// exited with 0 true
}

// Example_latePeers checks a start with peers that are not available: the runtime refuses connections at first, the
// database's address never answers, and nothing listens at the registry's. Once the runtime is ready, the instance is
// ready without waiting for the other peers, and serves the requests that can do without them.
func Example_latePeers() {
	blackHole, fd := blackHoleAddr()
	defer func() { _ = unix.Close(fd) }()
	free := fake.Must(listen("127.0.0.1:0"))
	_ = free.Close()
	t := deploy()
	_ = t.cmd.Process.Kill()
	<-t.exited
	_ = t.runtime.Listener.Close()
	t.exited, t.log = make(chan struct{}), &logBuffer{}
	t.start(strings.NewReplacer(
		t.database.Addr(), blackHole,
		t.registry.Addr(), free.Addr().String(),
		t.runtime.Addr(), free.Addr().String(),
	).Replace(t.config))
	defer t.close()
	s := t.client()
	fmt.Println("before:", s.CheckHealth())
	t.runtime = &fake.Runtime{Listener: fake.Must(listen(free.Addr().String()))}
	t.runtime.Accept()
	t.runtime.SendReady("booting")
	began := time.Now()
	fake.WaitFor("a successful health check", func() bool { return s.CheckHealth() })
	fmt.Println("ready at once:", time.Since(began) < time.Second)
	s.Send(fake.NewRequest(1, "view", fake.RequestID(1), nil))
	fmt.Println(t.runtime.NextCommand())
	t.runtime.SendNotice("end", fake.RequestID(1), "success", "one")
	fmt.Println(s.NextText())
	// Requests of this class can skip the call. This one skips it before its deadline.
	s.Send(fake.NewRequest(2, "list", fake.RequestID(2), nil))
	fmt.Println(t.runtime.NextCommand())
	t.runtime.SendNotice("wants", fake.RequestID(2), "", "ask")
	fmt.Println(t.runtime.NextCommand())
	// Output:
	// before: false
	// ready at once: true
	// start 1 route view body ""
	// ['\x01' '\x01' <nil> ["one" map[]]]
	// start 2 route list body ""
	// omit 2 no 2
}

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

// An address that the process before still holds: the start waits for it, and does not fail; SIGTERM ends the wait.
func Example_addressInUse() {
	for _, leave := range []bool{false, true} {
		before := fake.Must(listen(fmt.Sprintf("127.70.%d.1:0", os.Getpid()%250)))
		t := deploy()
		_ = t.cmd.Process.Kill()
		<-t.exited
		text := strings.Replace(t.config, t.listenAddr, before.Addr().String(), 1)
		t.exited, t.log, t.listenAddr = make(chan struct{}), &logBuffer{}, before.Addr().String()
		t.configPath = filepath.Join(tempDir, fmt.Sprint("held", leave))
		if err := unix.Mkfifo(t.configPath, 0o600); err != nil {
			panic(err)
		}
		t.run()
		t.writeConfig(text) // it is read to its end by one who heeds notices already
		if leave {
			t.sendTerminate()
			code, _ := t.waitExit()
			fmt.Println("left with", code, t.log.text() == "")
		} else {
			time.Sleep(100 * time.Millisecond) // some tries; without them the program is over by now
			_ = before.Close()
			t.runtime.Accept()
			t.runtime.SendReady("steady")
			s := t.client()
			fake.WaitFor("health", func() bool { return s.CheckHealth() })
			fmt.Println("up")
		}
		t.close()
		_ = before.Close()
	}
	// Output:
	// up
	// left with 0 true
}

// A start among peers that are late or silent: the runtime refuses at first, the database's address never answers,
// nobody listens at the registry's. Once the runtime is there the instance is ready without waiting for anybody
// else; what can do without the others is served.
func Example_latePeers() {
	hole, fd := blackHoleAddr()
	defer func() { _ = unix.Close(fd) }()
	free := fake.Must(listen("127.0.0.1:0"))
	_ = free.Close()
	t := deploy()
	_ = t.cmd.Process.Kill()
	<-t.exited
	_ = t.runtime.Listener.Close()
	t.exited, t.log = make(chan struct{}), &logBuffer{}
	t.start(strings.NewReplacer(
		t.database.Addr(), hole,
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
	fake.WaitFor("health", func() bool { return s.CheckHealth() })
	fmt.Println("ready at once:", time.Since(began) < time.Second)
	s.Send(fake.NewRequest(1, "view", fake.RequestID(1), nil))
	fmt.Println(t.runtime.NextCommand())
	t.runtime.SendNotice("end", fake.RequestID(1), "success", "one")
	fmt.Println(s.NextText())
	// It can skip the call, and does before its time is over.
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

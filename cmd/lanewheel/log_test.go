package main

import (
	"fmt"
	"os"

	"golang.org/x/sys/unix"

	"lanewheel/internal/fake"
)

// Example_logReaderStopped checks an instance whose log goes to a full pipe that nobody reads and that loses its
// reader later. Requests are still answered, and the program exits with 0.
func Example_logReaderStopped() {
	var ends [2]int
	if err := unix.Pipe2(ends[:], unix.O_CLOEXEC|unix.O_NONBLOCK); err != nil {
		panic(err)
	}
	for {
		if _, err := unix.Write(ends[1], make([]byte, 1)); err != nil { // full to the last byte
			break
		}
	}
	if _, err := unix.FcntlInt(uintptr(ends[1]), unix.F_SETFL, 0); err != nil { // the program's writes block
		panic(err)
	}
	logFile = os.NewFile(uintptr(ends[1]), "log")
	t := deployReady()
	_ = logFile.Close()
	logFile = nil
	defer t.close()
	s := t.client()
	sendRequest := func(n int) {
		s.Send(fake.NewRequest(n, "view", fake.RequestID(n), nil))
		t.runtime.NextCommand()
		t.runtime.SendNotice("end", fake.RequestID(n), "success", "one")
		fmt.Println(s.NextText())
	}
	sendRequest(1)
	_ = unix.Close(ends[0]) // the pending write and later ones fail
	t.client().Close()      // the instance logs a line about this connection
	sendRequest(2)
	t.sendTerminate()
	s.Close()
	code, _ := t.waitExit()
	fmt.Println(code)
	// Output:
	// ['\x01' '\x01' <nil> ["one" map[]]]
	// ['\x01' '\x02' <nil> ["one" map[]]]
	// 0
}

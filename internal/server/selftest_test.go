package server

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"time"

	"lanewheel/admission"
)

// A deep check is answered by the runtime's work unless the module says otherwise, and bad when that never ends.
func Example_deepCheck() {
	runtime, _ := net.Listen("tcp", "127.0.0.1:0")
	free, _ := net.Listen("tcp", "127.72.0.1:0") // where no connection of another test takes the port
	free.Close()
	instance, err := New(Config{Name: "n1", ListenAddr: free.Addr().String(), RuntimeAddr: runtime.Addr().String(),
		DatabaseAddr: "127.0.0.1:9", RegistryAddr: "127.0.0.1:9", MaxDescriptors: 64, MemoryMB: 64, Cores: 1,
		Settings: admission.Settings{"cores": 2.0, "op types": []admission.Settings{{"name": "view", "target latency": time.Second}}}})
	if err != nil {
		fmt.Println(err)
		return
	}
	go instance.Serve()
	link, _ := runtime.Accept()
	fmt.Fprintln(link, `{"t":"ready","status":"steady"}`)
	asked := make(chan string, 9)
	go func() { // the runtime: answers the gauges and tells of the tests
		for lines := bufio.NewScanner(link); lines.Scan(); {
			_, mark, _ := strings.Cut(lines.Text(), `"mark":`)
			switch {
			case strings.Contains(lines.Text(), "gauges"):
				fmt.Fprintf(link, `{"t":"load","mark":%s,"v":[]}`+"\n", mark[:len(mark)-1])
			case strings.Contains(lines.Text(), "selftest"):
				asked <- mark[:len(mark)-1]
			}
		}
	}()
	conn, _ := net.Dial("tcp", free.Addr().String())
	answer := func() string {
		b := make([]byte, 11)
		_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
		n, _ := conn.Read(b)
		return fmt.Sprintf("%x", b[:n])
	}
	check := func(n byte) {
		conn.Write(append([]byte{0x94, 0, n}, "\xa5check\x91\x81\xa4deep\xa11"...))
	}
	good := "94 01 ce 00 00 00 01 c0 92 c3 80"
	for check(1); answer() != strings.ReplaceAll(good, " ", ""); check(1) {
	}
	// health from the state is good before the link is synced; a deep check asks the runtime only after
	for turned := make(chan bool); ; {
		instance.Post(func() {
			instance.SetHealth(true, false)
			turned <- instance.runtime.synced
		})
		if <-turned {
			break
		}
	}
	for i, verdict := range []string{"success", "failure", ""} {
		check(byte(i + 2))
		mark := ""
		select {
		case mark = <-asked:
		case <-time.After(10 * time.Second):
			fmt.Println("the runtime was not asked")
		}
		began := time.Now()
		if verdict != "" {
			fmt.Fprintf(link, `{"t":"verdict","mark":%s,"status":%q}`+"\n", mark, verdict)
		}
		fmt.Println(answer(), "in time:", time.Since(began) < 1500*time.Millisecond)
	}
	instance.Post(func() { instance.Quit() })
	// Output:
	// 9401ce00000002c092c380 in time: true
	// 9401ce00000003c092c280 in time: true
	// 9401ce00000004c092c280 in time: true
}

package server

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"time"

	"lanewheel/admission"
	"lanewheel/internal/frontend"
	"lanewheel/internal/transport"
)

// The runtime comes up behind the notice to leave, in the very batch: what is asked then is turned away, and never sent on.
func Example_readyBehindTheNotice() {
	runtime, _ := net.Listen("tcp", "127.0.0.1:0")
	free, _ := net.Listen("tcp", "127.72.0.2:0") // where no connection of another test takes the port
	free.Close()
	instance, err := New(Config{Name: "n1", ListenAddr: free.Addr().String(), RuntimeAddr: runtime.Addr().String(), TerminationGrace: time.Second,
		DatabaseAddr: "127.0.0.1:9", RegistryAddr: "127.0.0.1:9", MaxDescriptors: 64, MemoryMB: 64, Cores: 1,
		Settings: admission.Settings{"cores": 2.0, "op types": []admission.Settings{{"name": "view", "target latency": time.Second, "op timeout": time.Second}}}})
	if err != nil {
		fmt.Println(err)
		return
	}
	served := make(chan bool)
	go func() {
		instance.Serve()
		close(served)
	}()
	link, _ := runtime.Accept()
	for stands := make(chan bool); ; {
		instance.Post(func() { stands <- instance.runtime.conn != nil })
		if <-stands {
			break
		}
	}
	instance.Post(func() {
		instance.Drain()
		instance.handleEvent(transport.Event{Kind: "ready", Status: "steady"})
		instance.Submit(frontend.Request{ID: "0123456789abcdef", Class: "view", SentUnixMilli: time.Now().UnixMilli(), MemoryKB: 1}, nil, printingResponder{})
	})
	<-served
	_ = link.SetReadDeadline(time.Now().Add(50 * time.Millisecond)) // all that was sent lies there by now
	lines := bufio.NewScanner(link)
	for lines.Scan() {
		if strings.Contains(lines.Text(), "start") {
			fmt.Println("sent on")
		}
	}
	// Output:
	// turned away
}

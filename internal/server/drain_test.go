package server

import (
	"bufio"
	"fmt"
	"strings"
	"time"

	"lanewheel/internal/frontend"
	"lanewheel/internal/runtimelink"
)

// The runtime becomes ready after Drain, in the same batch. A request submitted afterwards is rejected and never sent
// to the runtime.
func Example_readyWhileDraining() {
	runtime := newFakeRuntime()
	server, served := startServer(freeAddr("127.72.0.2"), runtime.addr())
	link := runtime.accept()
	waitOnLoop(server, func() bool { return server.runtime.conn != nil })
	server.Post(func() {
		server.Drain()
		server.handleEvent(runtimelink.Event{Kind: runtimelink.EventReady, Status: "steady"})
		request := frontend.Request{
			ID: "0123456789abcdef", Class: "view", SentUnixMilli: time.Now().UnixMilli(), MemoryKB: 1,
		}
		server.Submit(request, nil, printingResponder{})
	})
	<-served
	_ = link.SetReadDeadline(time.Now().Add(50 * time.Millisecond)) // everything that was sent has arrived by then
	lines := bufio.NewScanner(link)
	for lines.Scan() {
		if strings.Contains(lines.Text(), "start") {
			fmt.Println("request sent to the runtime")
		}
	}
	// Output:
	// rejected
}

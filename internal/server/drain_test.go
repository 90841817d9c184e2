package server

import (
	"bufio"
	"fmt"
	"strings"
	"time"

	"lanewheel/internal/frontend"
	"lanewheel/internal/runtimelink"
)

// The runtime comes up after the notice to drain, in the same batch: what is requested then is rejected, and never
// sent on.
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
	_ = link.SetReadDeadline(time.Now().Add(50 * time.Millisecond)) // all that was sent has arrived by now
	lines := bufio.NewScanner(link)
	for lines.Scan() {
		if strings.Contains(lines.Text(), "start") {
			fmt.Println("sent on")
		}
	}
	// Output:
	// rejected
}

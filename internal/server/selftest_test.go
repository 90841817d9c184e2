package server

import (
	"fmt"
	"net"
	"time"

	"lanewheel/admission"
	"lanewheel/internal/fake"
)

// healthChecker sends deep health checks on a client connection.
type healthChecker struct{ conn net.Conn }

func (c *healthChecker) send(messageID byte) {
	fake.Must(c.conn.Write(append([]byte{0x94, 0, messageID}, "\xa5check\x91\x81\xa4deep\xa11"...)))
}

// response returns the next response in hexadecimal.
func (c *healthChecker) response() string {
	message := make([]byte, 11)
	_ = c.conn.SetReadDeadline(time.Now().Add(10 * time.Second)) // a response that does not come shows as an empty one
	n, _ := c.conn.Read(message)
	return fmt.Sprintf("%x", message[:n])
}

// A deep check is answered by the runtime's self-test unless the controller says otherwise, and as unhealthy when that
// never ends.
func Example_deepCheck() {
	runtime := newFakeRuntime()
	addr := freeAddr("127.72.0.1")
	server, _ := startServer(addr, runtime.addr())
	link := runtime.accept()
	writeLine(link, `{"t":"ready","status":"steady"}`)
	selfTests := answerRuntimeCommands(link)
	checker := &healthChecker{dial(addr)}
	const healthy = "9401ce00000001c092c380"
	for checker.send(1); checker.response() != healthy; checker.send(1) {
	}
	// Health by the state is good before the link is synced; a deep check uses the runtime only after.
	waitOnLoop(server, func() bool {
		(&executor{server: server}).SetHealth(admission.Health{Healthy: true})
		return server.runtime.synced
	})
	for i, status := range []string{"success", "failure", ""} {
		checker.send(byte(i + 2))
		correlationID := ""
		select {
		case correlationID = <-selfTests:
		case <-time.After(10 * time.Second):
			fmt.Println("no self-test was requested")
		}
		began := time.Now()
		if status != "" {
			writeLine(link, `{"t":"verdict","mark":%s,"status":%q}`, correlationID, status)
		}
		fmt.Println(checker.response(), "in time:", time.Since(began) < 1500*time.Millisecond)
	}
	server.Post(server.Quit)
	// Output:
	// 9401ce00000002c092c380 in time: true
	// 9401ce00000003c092c280 in time: true
	// 9401ce00000004c092c280 in time: true
}

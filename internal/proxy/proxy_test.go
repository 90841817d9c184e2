package proxy

import (
	"fmt"
	"time"

	"lanewheel/internal/fake"
)

// Example shows the result of a request for each behavior of the instances. A request that an instance rejects is sent
// to another instance under a new id, unless the rejection has the no-failover flag. If the connection is lost, an
// idempotent request is sent to another instance; any other request fails. A failure response is returned as it is,
// because the request may have run.
func Example() {
	for _, test := range []struct {
		class string
		steps []string
	}{
		{"pay", nil},
		{"pay", []string{"busy", "succeed"}},
		{"view", []string{"busy", "busy", "busy", "succeed"}},
		{"view", []string{"no-failover"}},
		{"pay", []string{"close"}},
		{"view", []string{"close", "succeed"}},
		{"view", []string{"fail"}},
	} {
		proxy, script, addr := startProxy(4, test.steps...)
		client := fake.Dial(addr)
		client.Send(fake.NewRequest(7, test.class, fake.RequestID(1), []byte("body")))
		response := fake.Must(client.NextResponse())
		fmt.Printf("%v: %q %q %v\n", script.takeTrace(), response.Error, response.Result, response.Fields)
		client.Close()
		proxy.Post(proxy.Quit)
	}
	// Output:
	// [pay succeed]: "" "body" map[say:0.5]
	// [pay busy pay succeed]: "" "body" map[say:0.5]
	// [view busy view busy view busy]: "Busy" "" map[after:70]
	// [view no-failover]: "Busy" "" map[last:1]
	// [pay close]: "Failed" "" map[]
	// [view close view succeed]: "" "body" map[say:0.5]
	// [view fail]: "Failed" "" map[]
}

// Example_silent shows an instance that does not respond in time: the request is answered at its deadline, the instance
// receives an interrupt notification, and its late response is dropped. An instance also receives an interrupt if the
// client cancels a request. If an instance refuses the connection, the request succeeds at the next instance.
func Example_silent() {
	proxy, script, addr := startProxy(1, "late", "interrupt")
	client := fake.Dial(addr)
	startedAt := time.Now()
	client.Send(fake.NewRequest(1, "pay", fake.RequestID(1), nil, "wait", "150"))
	response := fake.Must(client.NextResponse())
	elapsed := time.Since(startedAt)
	fmt.Println(response.Number, response.Error, elapsed > 140*time.Millisecond && elapsed < 240*time.Millisecond)
	fake.WaitFor("the instance to receive the interrupt", func() bool { return len(script.takeTrace()) > 0 })
	time.Sleep(200 * time.Millisecond) // the late response arrives during this time
	client.Send(fake.NewRequest(2, "view", fake.RequestID(2), []byte("x")))
	response = fake.Must(client.NextResponse())
	fmt.Println(response.Number, response.Error == "")

	script.setSteps("silent")
	script.takeTrace()
	client.Send(fake.NewRequest(3, "view", fake.RequestID(3), nil))
	fake.WaitFor("the instance to receive the request", func() bool { return script.traceLength() == 1 })
	client.Send([]any{2, "interrupt", []any{3}})
	fake.WaitFor("the instance to receive the interrupt", func() bool { return script.traceLength() == 2 })
	fmt.Println(script.takeTrace())
	client.Close()
	proxy.Post(proxy.Quit)

	proxy, script, addr = startProxy(3)
	for _, listener := range script.listeners[:2] {
		_ = listener.Close()
	}
	client = fake.Dial(addr)
	succeeded := 0
	for i := range 20 {
		client.Send(fake.NewRequest(i+1, "pay", fake.RequestID(i+1), nil))
		if response := fake.Must(client.NextResponse()); response.Error == "" {
			succeeded++
		}
	}
	fmt.Println(succeeded)
	client.Close()
	proxy.Post(proxy.Quit)
	// Output:
	// 1 Failed true
	// 2 true
	// [view silent interrupt succeed]
	// 20
}

// Example_noInstances shows that a request is rejected immediately if there is no instance. The rejection specifies the
// time after which to retry.
func Example_noInstances() {
	proxy, _, addr := startProxy(0)
	client := fake.Dial(addr)
	client.Send(fake.NewRequest(1, "pay", fake.RequestID(1), nil))
	fmt.Println(client.NextText())
	client.Close()
	proxy.Post(proxy.Quit)
	// Output:
	// ['\x01' '\x01' ["Busy" map["after":"90"]] <nil>]
}

// Example_drain shows that the proxy, like an instance, rejects a request if another request in flight has the same id,
// and rejects it permanently (Failed on the wire) if its class is not defined. After a notice to drain, requests are
// forwarded during the grace period and rejected after it. All requests are answered.
func Example_drain() {
	proxy, script, addr := startProxy(2, "silent")
	client := fake.Dial(addr)
	client.Send(fake.NewRequest(1, "view", fake.RequestID(1), nil, "wait", "900"))
	fake.WaitFor("the instance to receive the request", func() bool { return script.traceLength() == 1 })
	other := fake.Dial(addr)
	other.Send(fake.NewRequest(1, "view", fake.RequestID(1), nil))
	fmt.Println(other.NextText())
	other.Send(fake.NewRequest(2, "what", fake.RequestID(2), nil))
	fmt.Println(other.NextText())
	proxy.Post(proxy.Drain)
	fmt.Println(other.NextText())
	other.Send(fake.NewRequest(3, "view", fake.RequestID(3), nil))
	fmt.Println(other.NextText())
	other.Close()
	time.Sleep(600 * time.Millisecond) // longer than the grace period of 500 ms
	other = fake.Dial(addr)
	fmt.Println(other.NextText())
	other.Send(fake.NewRequest(4, "view", fake.RequestID(4), nil))
	fmt.Println(other.NextText())
	other.Close()
	fmt.Println(client.NextText(), client.NextText())
	fake.WaitFor("the proxy to stop", func() bool { return !isRunning(proxy) })
	// Output:
	// ['\x01' '\x01' ["Busy" map[]] <nil>]
	// ['\x01' '\x02' ["Failed" map[]] <nil>]
	// ['\x02' "goaway" []]
	// ['\x01' '\x03' <nil> ["" map["say":"0.5"]]]
	// ['\x02' "goaway" []]
	// ['\x01' '\x04' ["Busy" map[]] <nil>]
	// ['\x02' "goaway" []] ['\x01' '\x01' ["Failed" map[]] <nil>]
}

// isRunning reports whether a proxy's event loop runs a posted function within 100 ms.
func isRunning(proxy *Proxy) bool {
	running := make(chan struct{})
	proxy.Post(func() { close(running) })
	select {
	case <-running:
		return true
	case <-time.After(100 * time.Millisecond):
		return false
	}
}

package proxy

import (
	"context"
	"fmt"
	"net"
	"os"
	"sync"
	"time"

	"lanewheel/admission"
	"lanewheel/internal/balancer"
	"lanewheel/internal/fake"
	"lanewheel/internal/forward"
	"lanewheel/internal/forward/forwardtest"
	"lanewheel/internal/membership"
	"lanewheel/internal/server"
)

// endpointScript is instances by script: what is done with the next request that comes to any of them. The steps are
// succeed, busy, no-failover, fail, close, silent and late.
type endpointScript struct {
	listeners []net.Listener

	mu    sync.Mutex // guards what follows
	steps []string   // succeed when there are no more
	trace []string   // the class, or the notice, and the step of what came
	ids   map[string]bool
}

// nextStep notes what came and returns what is done with it.
func (s *endpointScript) nextStep(message string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	step := "succeed"
	if len(s.steps) > 0 {
		step, s.steps = s.steps[0], s.steps[1:]
	}
	s.trace = append(s.trace, message+" "+step)
	return step
}

func (s *endpointScript) setSteps(steps ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.steps = steps
}

// recordID notes in the trace if an id comes a second time.
func (s *endpointScript) recordID(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ids[id] {
		s.trace = append(s.trace, "an id twice")
	}
	s.ids[id] = true
}

func (s *endpointScript) traceLength() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.trace)
}

func (s *endpointScript) takeTrace() (trace []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	trace, s.trace = s.trace, nil
	return trace
}

func (s *endpointScript) accept(listener net.Listener) {
	for {
		connection, err := listener.Accept()
		if err != nil {
			return
		}
		go s.serve(connection)
	}
}

func (s *endpointScript) serve(connection net.Conn) {
	defer func() { _ = connection.Close() }()
	client := fake.NewClient(connection)
	for {
		message, err := client.Next()
		if err != nil {
			return
		}
		parts, isRequest := message.([]any)
		if !isRequest {
			return // a process of another test dialled a port that had been its peer's; the proxy's own messages are lists
		}
		if len(parts) == 3 {
			s.nextStep(fmt.Sprint(parts[1]))
			continue
		}
		params := parts[3].([]any)
		s.recordID(fmt.Sprint(params[0].(map[string]any)["id"]))
		if step := s.nextStep(fmt.Sprint(parts[2])); step == "close" {
			return
		} else if response := scriptedResponse(step, parts[1], params[1]); response != nil {
			client.Send(response)
		}
	}
}

// scriptedResponse returns the response of a step, nil for none.
func scriptedResponse(step string, number, body any) []any {
	noMetadata := map[string]string{}
	switch step {
	case "succeed":
		return []any{1, number, nil, []any{body, map[string]string{"say": "0.5"}}}
	case "late":
		time.Sleep(250 * time.Millisecond)
		return []any{1, number, nil, []any{body, noMetadata}}
	case "busy":
		return []any{1, number, []any{"Busy", map[string]string{"after": "70"}}, nil}
	case "no-failover":
		return []any{1, number, []any{"Busy", map[string]string{"last": "1"}}, nil}
	case "fail":
		return []any{1, number, []any{"Failed", noMetadata}, nil}
	}
	return nil
}

func listenOn(addr string) net.Listener {
	return fake.Must((&net.ListenConfig{}).Listen(context.Background(), "tcp", addr))
}

// proxyCount is the number of proxies started; each listens on a loopback address of its own.
var proxyCount int

// freeAddress returns an address that nobody listens on.
func freeAddress() string {
	proxyCount++
	listener := listenOn(fmt.Sprintf("127.72.%d.%d:0", os.Getpid()%250, proxyCount))
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

// startProxy starts a proxy before so many scripted instances, and returns it and the address that it listens on.
func startProxy(instances int, steps ...string) (*Proxy, *endpointScript, string) {
	script := &endpointScript{steps: steps, ids: map[string]bool{}}
	table := forwardtest.NewTable("relay")
	for i := range instances {
		listener := listenOn("127.0.0.1:0")
		script.listeners = append(script.listeners, listener)
		go script.accept(listener)
		forwardtest.AddInstance(table, membership.Name(fmt.Sprint("m", i)), listener.Addr().String())
	}
	addr := freeAddress()
	config := Config{
		Config: forward.Config{
			Balancer:               balancer.DefaultConfig(),
			ConnectionsPerEndpoint: 2,
			IdleTimeout:            time.Minute,
		},
		MaxInFlight: 100,
		DrainGrace:  500 * time.Millisecond,
		RetryAfter:  90 * time.Millisecond,
	}
	config.Balancer.RetryRatio = 1
	proxy := fake.Must(Listen(testPlatform(addr), config, nil))
	go proxy.Serve()
	proxy.Post(func() { proxy.UpdateView(table.View()) })
	return proxy, script, addr
}

// testPlatform is the platform's configuration of a proxy, with the classes view, which is idempotent, and pay.
func testPlatform(addr string) server.Config {
	class := func(name admission.Class, idempotency admission.Idempotency) admission.ClassSettings {
		return admission.ClassSettings{
			Name:             name,
			Idempotency:      idempotency,
			Timeout:          3 * time.Second,
			LatencyObjective: time.Second,
		}
	}
	return server.Config{
		Name:             "relay",
		ListenAddr:       addr,
		RegistryAddr:     fake.NewRegistry().Addr(),
		Seed:             1,
		TerminationGrace: 1500 * time.Millisecond,
		MaxDescriptors:   256,
		MemoryMB:         64,
		Cores:            1,
		Settings: admission.Settings{
			Classes: []admission.ClassSettings{
				class("view", admission.Idempotent),
				class("pay", admission.NotIdempotent),
			},
		},
	}
}

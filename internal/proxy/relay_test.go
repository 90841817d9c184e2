package proxy

import (
	"fmt"
	"net"
	"os"
	"sync"
	"time"

	"lanewheel/admission"
	"lanewheel/internal/balancer"
	"lanewheel/internal/fake"
	"lanewheel/internal/forward"
	"lanewheel/internal/membership"
	"lanewheel/internal/server"
)

// scriptedEndpoint is a member by script: what it does with each op that comes is told by its type and how many came before.
type scriptedEndpoint struct {
	listener net.Listener
}

// endpointScript says what becomes of the nth op that comes to any member: ack, busy, last, fail, close, silent.
type endpointScript struct {
	mu        sync.Mutex
	steps     []string
	trace     []string
	ids       map[string]bool
	endpoints []*scriptedEndpoint
}

func (s *endpointScript) nextStep(m int, what string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	step := "ack"
	if len(s.steps) > 0 {
		step, s.steps = s.steps[0], s.steps[1:]
	}
	s.trace = append(s.trace, what+" "+step)
	return step
}

func (s *endpointScript) takeTrace() (all []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	all, s.trace = s.trace, nil
	return all
}

func (s *endpointScript) serve(m int, l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			stub := fake.NewClient(c)
			for {
				v, err := stub.Next()
				if err != nil {
					return
				}
				parts := v.([]any)
				if len(parts) == 3 {
					s.nextStep(m, fmt.Sprint(parts[1]))
					continue
				}
				n := parts[1].(int)
				params := parts[3].([]any)
				id := fmt.Sprint(params[0].(map[string]any)["id"])
				s.mu.Lock()
				if s.ids[id] {
					s.trace = append(s.trace, "an id twice")
				}
				s.ids[id] = true
				s.mu.Unlock()
				none := map[string]string{}
				switch s.nextStep(m, fmt.Sprint(parts[2])) {
				case "ack":
					stub.Send([]any{1, n, nil, []any{params[1], map[string]string{"say": "0.5"}}})
				case "busy":
					stub.Send([]any{1, n, []any{"Busy", map[string]string{"after": "70"}}, nil})
				case "last":
					stub.Send([]any{1, n, []any{"Busy", map[string]string{"last": "1"}}, nil})
				case "fail":
					stub.Send([]any{1, n, []any{"Failed", none}, nil})
				case "close":
					return
				case "late":
					time.Sleep(250 * time.Millisecond)
					stub.Send([]any{1, n, nil, []any{params[1], none}})
				}
			}
		}()
	}
}

var proxyCount int

// openProxy starts a relay before so many scripted members.
func openProxy(count int, steps ...string) (*Proxy, *endpointScript, string) {
	script := &endpointScript{steps: steps, ids: map[string]bool{}}
	table := membership.NewTable(membership.Descriptor{Name: "relay", Incarnation: 1, BootID: 1}, membership.DefaultConfig(), 0)
	for i := range count {
		listener := fake.Must(net.Listen("tcp", "127.0.0.1:0"))
		script.endpoints = append(script.endpoints, &scriptedEndpoint{listener: listener})
		go script.serve(i, listener)
		id := membership.ID{Name: membership.Name(fmt.Sprint("m", i)), BootID: 1}
		table.HandleAlive(membership.Descriptor{Name: id.Name, BootID: 1, Incarnation: 1, Roles: membership.RoleServer, ServiceAddr: listener.Addr().String(), Capacity: 2}, 0)
		table.HandleHeartbeat(membership.Heartbeat{ID: id, Sequence: 1, Ready: true, ReadyFor: time.Minute}, 0, 0)
	}
	proxyCount++
	free := fake.Must(net.Listen("tcp", fmt.Sprintf("127.72.%d.%d:0", os.Getpid()%250, proxyCount)))
	listen := free.Addr().String()
	free.Close()
	roster := fake.NewRegistry()
	config := Config{Config: forward.Config{Balancer: balancer.DefaultConfig(), ConnectionsPerEndpoint: 2, IdleTimeout: time.Minute}, MaxInFlight: 100, DrainGrace: 500 * time.Millisecond, RetryAfter: 90 * time.Millisecond}
	config.Balancer.RetryRatio = 1
	class := func(name, repeats string) admission.Settings {
		return admission.Settings{"name": name, "repeats": repeats, "op timeout": 3 * time.Second, "target latency": time.Second}
	}
	proxy, err := Listen(server.Config{Name: "relay", ListenAddr: listen, RegistryAddr: roster.Addr(), Seed: 1, TerminationGrace: 1500 * time.Millisecond, MaxDescriptors: 256, MemoryMB: 64, Cores: 1,
		Settings: admission.Settings{"op types": []admission.Settings{class("view", "retryable"), class("pay", "non-retryable")}}}, config, nil)
	if err != nil {
		panic(err)
	}
	go proxy.Serve()
	proxy.Post(func() { proxy.UpdateView(table.View()) })
	return proxy, script, listen
}

// What becomes of one op by what members do with it: nacked, another is asked, under an id of its own; lost, one that may not run
// twice has failed and is asked of nobody else; told to go nowhere else, it does not; whatever may have run is passed on as it is.
func Example() {
	for _, x := range []struct {
		kind  string
		steps []string
	}{
		{"pay", nil},
		{"pay", []string{"busy", "ack"}},
		{"view", []string{"busy", "busy", "busy", "ack"}},
		{"view", []string{"last"}},
		{"pay", []string{"close"}},
		{"view", []string{"close", "ack"}},
		{"view", []string{"fail"}},
	} {
		r, s, listen := openProxy(4, x.steps...)
		stub := fake.Dial(listen)
		stub.Send(fake.NewRequest(7, x.kind, fake.RequestID(1), []byte("body")))
		a := fake.Must(stub.NextResponse())
		fmt.Printf("%v: %q %q %v\n", s.takeTrace(), a.Error, a.Result, a.Fields)
		stub.Close()
		r.Post(r.Quit)
	}
	// Output:
	// [pay ack]: "" "body" map[say:0.5]
	// [pay busy pay ack]: "" "body" map[say:0.5]
	// [view busy view busy view busy]: "Busy" "" map[after:70]
	// [view last]: "Busy" "" map[last:1]
	// [pay close]: "Failed" "" map[]
	// [view close view ack]: "" "body" map[say:0.5]
	// [view fail]: "Failed" "" map[]
}

// A member that swallows ops: answered at the due time all the same, the member is told, and its late answer is nobody's. A caller that
// leaves: the member is told. A connection that is refused costs nothing: the next member has it.
func Example_silent() {
	r, s, listen := openProxy(1, "late", "interrupt")
	stub := fake.Dial(listen)
	began := time.Now()
	stub.Send(fake.NewRequest(1, "pay", fake.RequestID(1), nil, "wait", "150"))
	a := fake.Must(stub.NextResponse())
	took := time.Since(began)
	fmt.Println(a.Number, a.Error, took > 140*time.Millisecond && took < 240*time.Millisecond)
	fake.WaitFor("the member to be told", func() bool { return len(s.takeTrace()) > 0 })
	time.Sleep(200 * time.Millisecond) // its answer comes meanwhile
	stub.Send(fake.NewRequest(2, "view", fake.RequestID(2), []byte("x")))
	a = fake.Must(stub.NextResponse())
	fmt.Println(a.Number, a.Error == "")
	s.mu.Lock()
	s.steps = []string{"silent"}
	s.mu.Unlock()
	s.takeTrace()
	stub.Send(fake.NewRequest(3, "view", fake.RequestID(3), nil))
	fake.WaitFor("it to be there", func() bool { s.mu.Lock(); defer s.mu.Unlock(); return len(s.trace) == 1 })
	stub.Send([]any{2, "interrupt", []any{3}})
	fake.WaitFor("the member to be told", func() bool { s.mu.Lock(); defer s.mu.Unlock(); return len(s.trace) == 2 })
	fmt.Println(s.takeTrace())
	stub.Close()
	r.Post(r.Quit)

	r, s, listen = openProxy(3)
	for _, b := range s.endpoints[:2] {
		b.listener.Close()
	}
	stub = fake.Dial(listen)
	acked := 0
	for n := range 20 {
		stub.Send(fake.NewRequest(n+1, "pay", fake.RequestID(n+1), nil))
		if a := fake.Must(stub.NextResponse()); a.Error == "" {
			acked++
		}
	}
	fmt.Println(acked)
	stub.Close()
	r.Post(r.Quit)
	// Output:
	// 1 Failed true
	// 2 true
	// [view silent interrupt ack]
	// 20
}

// Nobody is there: turned away at once, with a time to come back. One id twice, a type that is not known: as at an instance. A notice to
// leave: within the grace ops are passed on, behind it turned away, and all is answered.
func Example_leaving() {
	r, _, listen := openProxy(0)
	stub := fake.Dial(listen)
	stub.Send(fake.NewRequest(1, "pay", fake.RequestID(1), nil))
	fmt.Println(stub.NextText())
	stub.Close()
	r.Post(r.Quit)

	r, s, listen := openProxy(2, "silent")
	stub = fake.Dial(listen)
	stub.Send(fake.NewRequest(1, "view", fake.RequestID(1), nil, "wait", "900"))
	fake.WaitFor("it to be there", func() bool { s.mu.Lock(); defer s.mu.Unlock(); return len(s.trace) == 1 })
	other := fake.Dial(listen)
	other.Send(fake.NewRequest(1, "view", fake.RequestID(1), nil))
	fmt.Println(other.NextText())
	other.Send(fake.NewRequest(2, "what", fake.RequestID(2), nil))
	fmt.Println(other.NextText())
	r.Post(r.Drain)
	fmt.Println(other.NextText()) // goaway
	other.Send(fake.NewRequest(3, "view", fake.RequestID(3), nil))
	fmt.Println(other.NextText())
	other.Close()
	time.Sleep(600 * time.Millisecond) // past the grace
	other = fake.Dial(listen)
	fmt.Println(other.NextText())
	other.Send(fake.NewRequest(4, "view", fake.RequestID(4), nil))
	fmt.Println(other.NextText())
	other.Close()
	fmt.Println(stub.NextText(), stub.NextText())
	fake.WaitFor("its end", func() bool {
		over := make(chan bool, 1)
		r.Post(func() { over <- false })
		select {
		case <-over:
			return false
		case <-time.After(100 * time.Millisecond):
			return true
		}
	})
	// Output:
	// ['\x01' '\x01' ["Busy" map["after":"90"]] <nil>]
	// ['\x01' '\x01' ["Busy" map[]] <nil>]
	// ['\x01' '\x02' ["Failed" map[]] <nil>]
	// ['\x02' "goaway" []]
	// ['\x01' '\x03' <nil> ["" map["say":"0.5"]]]
	// ['\x02' "goaway" []]
	// ['\x01' '\x04' ["Busy" map[]] <nil>]
	// ['\x02' "goaway" []] ['\x01' '\x01' ["Failed" map[]] <nil>]
}

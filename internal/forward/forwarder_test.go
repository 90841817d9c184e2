package forward

import (
	"fmt"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"lanewheel/internal/balancer"
	"lanewheel/internal/eventloop"
	"lanewheel/internal/fake"
	"lanewheel/internal/frontend"
	"lanewheel/internal/membership"
	"lanewheel/internal/transport"
)

// allocator is a buffer pool without reuse.
type allocator struct{}

func (allocator) Get() []byte { return make([]byte, 0, transport.BufferSize) }
func (allocator) Put([]byte)  {}

// testFleet is a Forwarder and the scripted endpoints that it forwards to.
type testFleet struct {
	t         *testing.T
	loop      *eventloop.Loop
	forwarder *Forwarder
	table     *membership.Table
	forwarded int // requests; owned by the loop

	mu          sync.Mutex // guards what follows
	steps       []string   // what is done with the next requests, succeed when there are no more
	received    []string   // the name of the endpoint and the class of the request, or of the notice
	ids         map[string]bool
	connections int
}

// newTestFleet starts a Forwarder before so many endpoints.
func newTestFleet(t *testing.T, endpoints int, change func(*Config), steps ...string) *testFleet {
	t.Helper()
	config := Config{Balancer: balancer.DefaultConfig(), ConnectionsPerEndpoint: 2, IdleTimeout: time.Minute}
	config.Balancer.RetryRatio = 1
	if change != nil {
		change(&config)
	}
	self := membership.Descriptor{Name: "self", Incarnation: 1, BootID: 1}
	f := &testFleet{
		t:     t,
		loop:  eventloop.New(256),
		table: membership.NewTable(self, membership.DefaultConfig(), 0),
		steps: steps,
		ids:   map[string]bool{},
	}
	sockets := &transport.Net{
		BufferPool:     allocator{},
		Post:           f.loop.Post,
		PostRead:       f.loop.PostBlocking,
		OnAccept:       func(*transport.Conn) {},
		OnFull:         func() {},
		MaxAccepted:    16,
		MaxDescriptors: 128,
		MaxUnread:      1 << 20,
	}
	if err := sockets.Start("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	f.forwarder = New(f.loop, sockets, config, 1, nil)
	for i := range endpoints {
		f.addEndpoint(membership.Name(fmt.Sprint("m", i)))
	}
	f.updateView()
	go f.loop.Run(sockets.Flush)
	t.Cleanup(func() { f.loop.Post(f.loop.Quit) })
	return f
}

func (f *testFleet) addEndpoint(name membership.Name) {
	listener := fake.Must(net.Listen("tcp", "127.0.0.1:0"))
	f.t.Cleanup(func() { _ = listener.Close() })
	go f.accept(name, listener)
	f.table.HandleAlive(membership.Descriptor{
		Name:        name,
		BootID:      1,
		Incarnation: 1,
		Roles:       membership.RoleServer,
		ServiceAddr: listener.Addr().String(),
		Capacity:    2,
	}, 0)
	id := membership.ID{Name: name, BootID: 1}
	f.table.HandleHeartbeat(membership.Heartbeat{ID: id, Sequence: 1, Ready: true, ReadyFor: time.Minute}, 0, 0)
}

// updateView hands the members to the Forwarder.
func (f *testFleet) updateView() {
	view := f.table.View()
	f.loop.Post(func() { f.forwarder.UpdateView(view, membership.RoleProxy) })
}

func (f *testFleet) accept(name membership.Name, listener net.Listener) {
	for {
		connection, err := listener.Accept()
		if err != nil {
			return
		}
		f.mu.Lock()
		f.connections++
		f.mu.Unlock()
		go f.serve(name, connection)
	}
}

func (f *testFleet) serve(name membership.Name, connection net.Conn) {
	defer func() {
		_ = connection.Close()
		f.mu.Lock()
		f.connections--
		f.mu.Unlock()
	}()
	client := fake.NewClient(connection)
	for {
		message, err := client.Next()
		if err != nil {
			return
		}
		parts := message.([]any)
		if len(parts) == 3 {
			f.receive(name, fmt.Sprint(parts[1]), "")
			continue
		}
		params := parts[3].([]any)
		fields := params[0].(map[string]any)
		number, none := parts[1].(int), map[string]string{}
		switch f.receive(name, fmt.Sprint(parts[2], " ", fields["passed"]), fmt.Sprint(fields["id"])) {
		case "succeed":
			client.Send([]any{1, number, nil, []any{params[1], none}})
		case "busy":
			client.Send([]any{1, number, []any{"Busy", none}, nil})
		case "no-failover":
			client.Send([]any{1, number, []any{"Busy", map[string]string{"last": "1"}}, nil})
		case "deny":
			client.Send([]any{1, number, []any{"Denied", none}, nil})
		case "fail":
			client.Send([]any{1, number, []any{"Failed", none}, nil})
		case "close":
			return
		}
	}
}

// receive notes what came and returns what is done with it.
func (f *testFleet) receive(name membership.Name, what, id string) (step string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.received = append(f.received, what)
	if id == "" {
		return ""
	}
	if f.ids[id] {
		f.t.Errorf("%s got the id %s twice", name, id)
	}
	f.ids[id] = true
	if len(f.steps) == 0 {
		return "succeed"
	}
	step, f.steps = f.steps[0], f.steps[1:]
	return step
}

func (f *testFleet) receivedSoFar() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.received)
}

func (f *testFleet) receivedCount() int { return len(f.receivedSoFar()) }

func (f *testFleet) connectionCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.connections
}

// forward forwards a request of class view with a timeout, and returns it and where its result comes.
func (f *testFleet) forward(timeout time.Duration, idempotent bool) (*Request, <-chan Result) {
	results, started := make(chan Result, 1), make(chan *Request, 1)
	f.loop.Post(func() {
		f.forwarded++
		message := frontend.Request{ID: fmt.Sprint("request-", f.forwarded), Class: "view", Body: []byte("body")}
		started <- f.forwarder.Forward(message, f.loop.Now()+timeout, idempotent, 3, func(result Result) {
			result.Response.Result = slices.Clone(result.Response.Result)
			results <- result
		})
	})
	return <-started, results
}

// on runs something on the loop and waits for it.
func (f *testFleet) on(do func()) {
	done := make(chan struct{})
	f.loop.Post(func() { do(); close(done) })
	<-done
}

func wait(t *testing.T, results <-chan Result) Result {
	t.Helper()
	select {
	case result := <-results:
		return result
	case <-time.After(fake.WaitTimeout):
		t.Fatal("no result")
		return Result{}
	}
}

// summary is what a test compares of a Result.
type summary struct {
	outcome                      balancer.Outcome
	errorCode                    string
	notSent, noEndpoint, expired bool
	mayHaveRun                   bool
}

func summarize(result Result) summary {
	return summary{
		outcome:    result.LastOutcome,
		errorCode:  result.Error,
		notSent:    result.NotSent,
		noEndpoint: result.NoEndpoint,
		expired:    result.TimedOut,
		mayHaveRun: result.MayHaveRun(),
	}
}

// TestForwardResults checks the result of a request and the number of its attempts by what endpoints do with it.
func TestForwardResults(t *testing.T) {
	succeeded := summary{outcome: balancer.Succeeded, mayHaveRun: true}
	failed := summary{outcome: balancer.Failed, errorCode: "Failed", mayHaveRun: true}
	lost := summary{outcome: balancer.NoResponse, errorCode: "Failed", mayHaveRun: true}
	rejected := summary{outcome: balancer.Rejected, errorCode: "Busy"}
	for _, test := range []struct {
		name       string
		idempotent bool
		steps      []string
		want       summary
		attempts   int
	}{
		{"success", false, nil, succeeded, 1},
		{"rejected once", false, []string{"busy"}, succeeded, 2},
		{"rejected by all attempts", true, []string{"busy", "busy", "busy", "busy"}, rejected, 3},
		{"no failover", true, []string{"no-failover"}, rejected, 1},
		{"denied", true, []string{"deny"}, summary{outcome: balancer.Rejected, errorCode: "Denied"}, 1},
		{"failed", true, []string{"fail"}, failed, 1},
		{"connection lost, not idempotent", false, []string{"close"}, lost, 1},
		{"connection lost, idempotent", true, []string{"close"}, succeeded, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newTestFleet(t, 4, nil, test.steps...)
			_, results := f.forward(3*time.Second, test.idempotent)
			result := wait(t, results)
			if got := summarize(result); got != test.want {
				t.Errorf("result %+v, want %+v", got, test.want)
			}
			if result.Error == "" && string(result.Response.Result) != "body" {
				t.Errorf("body %q", result.Response.Result)
			}
			if got := f.receivedSoFar(); len(got) != test.attempts || got[0] != "view 1" {
				t.Errorf("attempts %v, want %d", got, test.attempts)
			}
			f.on(func() {
				if got := f.forwarder.Retries; got != uint64(test.attempts-1) {
					t.Errorf("%d retries counted", got)
				}
			})
		})
	}
}

// TestForwardWithoutEndpoints checks that the result comes at once, before Forward returns.
func TestForwardWithoutEndpoints(t *testing.T) {
	f := newTestFleet(t, 0, nil)
	f.on(func() {
		var results []Result
		f.forwarder.Forward(frontend.Request{ID: "1", Class: "view"}, f.loop.Now()+time.Second, true, 3, func(result Result) {
			results = append(results, result)
		})
		want := summary{outcome: balancer.Rejected, errorCode: "Busy", noEndpoint: true}
		if len(results) != 1 || summarize(results[0]) != want || results[0].Metadata.LoadReport != -1 {
			t.Errorf("%+v", results)
		}
	})
}

// TestForwardDeadline checks that a request is answered at its deadline where no endpoint does, and that the endpoint is
// told that nobody waits.
func TestForwardDeadline(t *testing.T) {
	f := newTestFleet(t, 1, nil, "silent")
	startedAt := time.Now()
	_, results := f.forward(150*time.Millisecond, true)
	got := summarize(wait(t, results))
	want := summary{outcome: balancer.NoResponse, errorCode: "Failed", expired: true, mayHaveRun: true}
	if elapsed := time.Since(startedAt); got != want || elapsed < 140*time.Millisecond {
		t.Errorf("result %+v after %v, want %+v", got, elapsed, want)
	}
	fake.WaitFor("the endpoint to be told", func() bool { return f.receivedCount() == 2 })
	if got := f.receivedSoFar(); got[1] != "interrupt" {
		t.Error(got)
	}
}

// TestCancel checks that a canceled request has no result, and that the endpoint is told.
func TestCancel(t *testing.T) {
	f := newTestFleet(t, 1, nil, "silent")
	request, results := f.forward(300*time.Millisecond, true)
	fake.WaitFor("the request to be there", func() bool { return f.receivedCount() == 1 })
	f.on(request.Cancel)
	f.on(request.Cancel)
	f.on(request.Expire)
	fake.WaitFor("the endpoint to be told", func() bool { return f.receivedCount() == 2 })
	select {
	case result := <-results:
		t.Errorf("a canceled request has the result %+v", result)
	case <-time.After(400 * time.Millisecond):
	}
}

// TestForwardTo checks that a request goes to the endpoint that is named, and to no other.
func TestForwardTo(t *testing.T) {
	f := newTestFleet(t, 3, nil, "busy")
	results := make(chan Result, 1)
	f.on(func() {
		request := frontend.Request{ID: "1", Class: "view"}
		f.forwarder.ForwardTo(2, request, f.loop.Now()+time.Second, true, func(result Result) { results <- result })
	})
	if got := summarize(wait(t, results)); got != (summary{outcome: balancer.Rejected, errorCode: "Busy"}) {
		t.Errorf("result %+v", got)
	}
	if got := f.receivedCount(); got != 1 {
		t.Errorf("%d attempts", got)
	}
}

// TestConnectionLimits checks that a connection carries as many requests as the protocol allows, that a further one is
// opened up to the limit, and that a request beyond is rejected without being sent.
func TestConnectionLimits(t *testing.T) {
	const limit = 2 * maxInFlight
	f := newTestFleet(t, 1, nil, slices.Repeat([]string{"silent"}, limit)...)
	first, _ := f.forward(time.Second, true)
	fake.WaitFor("the first request to be there", func() bool { return f.receivedCount() == 1 })
	for range maxInFlight - 1 {
		f.forward(time.Second, true)
	}
	fake.WaitFor("a connection's worth to be there", func() bool { return f.receivedCount() == maxInFlight })
	if got := f.connectionCount(); got != 1 {
		t.Errorf("%d connections for %d requests", got, maxInFlight)
	}
	for range maxInFlight {
		f.forward(time.Second, true)
	}
	fake.WaitFor("the limit to be there", func() bool { return f.receivedCount() == limit })
	if got := f.connectionCount(); got != 2 {
		t.Errorf("%d connections for %d requests", got, limit)
	}
	_, results := f.forward(time.Second, true)
	want := summary{outcome: balancer.Rejected, errorCode: "Busy", noEndpoint: true}
	if got := summarize(wait(t, results)); got != want {
		t.Errorf("result %+v, want %+v", got, want)
	}
	f.on(first.Expire)
	f.on(func() {
		if first.connection != nil || first.message.Body != nil {
			t.Error("an expired request is kept")
		}
	})
}

// TestIdleConnectionsClose checks that a connection that carries nothing is closed.
func TestIdleConnectionsClose(t *testing.T) {
	f := newTestFleet(t, 1, func(config *Config) { config.IdleTimeout = 100 * time.Millisecond })
	f.on(f.forwarder.Start)
	_, results := f.forward(time.Second, true)
	wait(t, results)
	if got := f.connectionCount(); got != 1 {
		t.Errorf("%d connections", got)
	}
	fake.WaitFor("the connection to close", func() bool { return f.connectionCount() == 0 })
}

// TestUpdateView checks that requests go to the members of the view alone, or to a subset of them, and that connections
// to the others close.
func TestUpdateView(t *testing.T) {
	f := newTestFleet(t, 2, nil)
	_, results := f.forward(time.Second, true)
	wait(t, results)
	f.on(func() {
		if got := f.forwarder.Balancer.Len(); got != 2 {
			t.Errorf("%d endpoints", got)
		}
	})
	f.table = membership.NewTable(membership.Descriptor{Name: "self", Incarnation: 1, BootID: 1}, membership.DefaultConfig(), 0)
	f.updateView()
	fake.WaitFor("the connection to close", func() bool { return f.connectionCount() == 0 })
	f.on(func() {
		if got := f.forwarder.Balancer.Len(); got != 0 {
			t.Errorf("%d endpoints of none", got)
		}
	})
	subset := newTestFleet(t, 5, func(config *Config) { config.SubsetSize = 3 })
	subset.on(func() {
		if got := subset.forwarder.Balancer.Len(); got != 3 {
			t.Errorf("%d endpoints of a subset of 3", got)
		}
	})
}

package upstream

import (
	"testing"
	"time"

	"lanewheel/admission"
	"lanewheel/internal/balancer"
	"lanewheel/internal/concurrencylease"
	"lanewheel/internal/eventloop"
	"lanewheel/internal/membership"
	"lanewheel/internal/server"
)

const (
	testTimeout = 10 * time.Second
	maxSlots    = 9
)

// harness is a client on a running event loop.
type harness struct {
	t         *testing.T
	loop      *eventloop.Loop
	client    *Client
	requests  chan concurrencylease.Request // leases that were requested
	available chan struct{}                 // a token after OnAvailable was called
}

func newHarness(t *testing.T, config Config) *harness {
	t.Helper()
	config.Balancer = balancer.DefaultConfig()
	h := &harness{
		t:         t,
		loop:      eventloop.New(1 << 10),
		requests:  make(chan concurrencylease.Request, 1<<10),
		available: make(chan struct{}, 1),
	}
	requestLease := func(name membership.Name, request concurrencylease.Request) {
		if name != "s" {
			t.Errorf("asked %q for a lease", name)
		}
		h.requests <- request
	}
	h.client = New(h.loop, config, membership.ID{Name: "me", BootID: 1}, 1, requestLease)
	h.client.OnAvailable(func() {
		select {
		case h.available <- struct{}{}:
		default:
		}
	})
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		h.loop.Run(func() {})
	}()
	t.Cleanup(func() {
		h.loop.Post(h.loop.Quit)
		<-stopped
	})
	return h
}

// runOnLoop runs a function on the loop and waits for it.
func (h *harness) runOnLoop(f func()) {
	h.t.Helper()
	done := make(chan struct{})
	h.loop.Post(func() {
		defer close(done)
		f()
	})
	select {
	case <-done:
	case <-time.After(testTimeout):
		h.t.Fatal("the event loop stands still")
	}
}

// acquire takes all slots that there are, fewer than maxSlots in each test.
func (h *harness) acquire(excludedAddr string) (slots []server.UpstreamSlot) {
	h.t.Helper()
	h.runOnLoop(func() {
		for len(slots) < maxSlots {
			slot := h.client.Acquire(excludedAddr, 1)
			if slot == nil {
				return
			}
			slots = append(slots, slot)
		}
	})
	return slots
}

// awaitAvailable waits until OnAvailable was called since the last token was taken.
func (h *harness) awaitAvailable() {
	h.t.Helper()
	select {
	case <-h.available:
	case <-time.After(testTimeout):
		h.t.Fatal("nothing became available")
	}
}

func countByAddr(slots []server.UpstreamSlot) map[string]int {
	counts := map[string]int{}
	for _, slot := range slots {
		counts[slot.Addr()]++
	}
	return counts
}

// Configured services take MaxCalls each; a slot that is released is available again.
func TestConfiguredServices(t *testing.T) {
	h := newHarness(t, Config{Addresses: []string{"a:1", "b:1"}, MaxCalls: 2, MaxCallDuration: time.Minute})
	slots := h.acquire("")
	if counts := countByAddr(slots); len(slots) != 4 || counts["a:1"] != 2 || counts["b:1"] != 2 {
		t.Fatalf("calls by service: %v, want 2 each", counts)
	}
	if got := slots[0].MaxDuration(); got != time.Minute {
		t.Errorf("a call may take %v", got)
	}
	h.runOnLoop(func() { slots[0].Release(admission.Succeeded, false) })
	h.awaitAvailable()
	if reacquired := h.acquire(""); len(reacquired) != 1 || reacquired[0].Addr() != slots[0].Addr() {
		t.Errorf("after one release: %v", countByAddr(reacquired))
	}
}

// A service that refused a call is not chosen for it again, unless it is the only one.
func TestExcludedService(t *testing.T) {
	config := Config{Addresses: []string{"a:1", "b:1"}, MaxCalls: 3, MaxCallDuration: time.Minute}
	if counts := countByAddr(newHarness(t, config).acquire("a:1")); counts["a:1"] != 0 || counts["b:1"] != 3 {
		t.Errorf("calls by service: %v, want 3 at b:1 alone", counts)
	}
	config.Addresses = []string{"a:1"}
	if counts := countByAddr(newHarness(t, config).acquire("a:1")); counts["a:1"] != 3 {
		t.Errorf("calls by service: %v, want 3 at a:1", counts)
	}
}

// A call that may still be running at the service counts until its longest duration is over.
func TestAbandonedCall(t *testing.T) {
	const maxDuration = 200 * time.Millisecond
	h := newHarness(t, Config{Addresses: []string{"a:1"}, MaxCalls: 1, MaxCallDuration: maxDuration})
	startedAt := time.Now()
	slots := h.acquire("")
	if len(slots) != 1 {
		t.Fatalf("%d slots, want 1", len(slots))
	}
	h.runOnLoop(func() { slots[0].Release(admission.TimedOut, true) })
	if slots := h.acquire(""); len(slots) != 0 && time.Since(startedAt) < maxDuration {
		t.Error("a call that may be running does not count")
	}
	h.awaitAvailable()
	if elapsed := time.Since(startedAt); elapsed < maxDuration-10*time.Millisecond {
		t.Errorf("available after %v", elapsed)
	}
	if slots := h.acquire(""); len(slots) != 1 {
		t.Errorf("%d slots after the call is over, want 1", len(slots))
	}
}

// upstreamTable knows a member that stands beside the service "s" and is up.
func upstreamTable(config membership.Config, bootID membership.BootID) *membership.Table {
	table := membership.NewTable(membership.Descriptor{Name: "me", BootID: 1}, config, 0)
	table.HandleAlive(membership.Descriptor{
		Name:        "s",
		BootID:      bootID,
		GossipAddr:  "s:2",
		ServiceAddr: "s:1",
		Roles:       membership.RoleUpstream,
		Capacity:    1,
	}, 0)
	table.HandleHeartbeat(membership.Heartbeat{
		ID:       membership.ID{Name: "s", BootID: bootID},
		Sequence: 1,
		Ready:    true,
		ReadyFor: time.Hour,
	}, 0, 0)
	return table
}

// leaseFor answers a request.
func leaseFor(request concurrencylease.Request, bootID membership.BootID, limit int) concurrencylease.Lease {
	return concurrencylease.Lease{
		AllocatorBootID: bootID,
		Sequence:        request.Sequence,
		Limit:           limit,
		Duration:        time.Minute,
		UnleasedCalls:   1,
		MaxCallDuration: time.Second,
	}
}

func (h *harness) nextRequest() concurrencylease.Request {
	h.t.Helper()
	select {
	case request := <-h.requests:
		return request
	case <-time.After(testTimeout):
		h.t.Fatal("no lease was requested")
		return concurrencylease.Request{}
	}
}

// A member beside a service gets calls by leases of its allocator alone: none before the first lease, and those of an
// allocator that was replaced don't count. What was leased is kept while the member is missing from a view.
func TestLeasedService(t *testing.T) {
	h := newHarness(t, Config{MaxCalls: 1, MaxCallDuration: time.Minute})
	view := upstreamTable(membership.DefaultConfig(), 7).View()
	h.runOnLoop(func() { h.client.SetView(view) })
	h.awaitAvailable()
	if slots := h.acquire(""); len(slots) != 0 {
		t.Fatalf("%d calls without a lease", len(slots))
	}
	h.runOnLoop(h.client.Start)
	request := h.nextRequest()
	if request.Holder.Name != "me" || request.WantedCalls == 0 {
		t.Errorf("requested %+v, though a call waits", request)
	}
	h.runOnLoop(func() { h.client.HandleLease(leaseFor(request, 8, 3)) })
	if slots := h.acquire(""); len(slots) != 0 {
		t.Fatalf("%d calls by a lease of another allocator", len(slots))
	}
	h.runOnLoop(func() { h.client.HandleLease(leaseFor(request, 7, 3)) })
	h.awaitAvailable()
	slots := h.acquire("")
	if len(slots) != 4 { // 3 by the lease and 1 without
		t.Fatalf("%d calls, want 4", len(slots))
	}
	if slots[0].Addr() != "s:1" || slots[0].MaxDuration() != time.Second {
		t.Errorf("a call to %s that may take %v", slots[0].Addr(), slots[0].MaxDuration())
	}
	empty := membership.NewTable(membership.Descriptor{Name: "me", BootID: 1}, membership.DefaultConfig(), 0).View()
	h.runOnLoop(func() {
		for _, slot := range slots {
			slot.Release(admission.Failed, false)
		}
		h.client.SetView(empty)
	})
	if slots := h.acquire(""); len(slots) != 0 {
		t.Errorf("%d calls to a service that no member stands beside", len(slots))
	}
	h.runOnLoop(func() { h.client.SetView(view) })
	if slots := h.acquire(""); len(slots) != 4 {
		t.Errorf("%d calls once it is back, want 4", len(slots))
	}
}

// A suspect member is still called while this process cannot tell whether the member is gone or it is cut off itself.
func TestSuspectService(t *testing.T) {
	config := membership.DefaultConfig()
	config.GoneAfter = time.Hour
	table := upstreamTable(config, 7)
	now := time.Duration(0)
	advance := func(duration time.Duration, senders ...string) {
		for end := now + duration; now < end; {
			now += 100 * time.Millisecond
			for _, sender := range senders {
				table.ObserveSender(sender)
				table.ObserveAck(now)
			}
			table.Tick(now)
		}
	}
	advance(10*time.Second, "s", "a", "b", "c")
	table.HandleUnreachable(membership.ID{Name: "s", BootID: 7}, now)
	advance(5*time.Second, "a", "b", "c")
	member, _ := table.View().Get("s")
	if member.State != membership.StateSuspect || !table.View().LocalHealth.CanDeclareGone() {
		t.Fatalf("it is %v, we are %v", member.State, table.View().LocalHealth)
	}
	for _, test := range []struct {
		name   string
		called bool
	}{{"healthy", false}, {"isolated", true}} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, Config{MaxCalls: 1, MaxCallDuration: time.Minute})
			h.runOnLoop(func() {
				h.client.SetView(table.View())
				h.client.Start()
			})
			if !test.called {
				if len(h.requests) > 0 {
					t.Error("asked for a lease")
				}
				return
			}
			lease := leaseFor(h.nextRequest(), 7, 3)
			h.runOnLoop(func() { h.client.HandleLease(lease) })
			if slots := h.acquire(""); len(slots) != 4 {
				t.Errorf("%d calls, want 4", len(slots))
			}
		})
		advance(20 * time.Second)
	}
}

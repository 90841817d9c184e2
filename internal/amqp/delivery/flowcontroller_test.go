package delivery

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lanewheel/internal/frontend"
	_ "lanewheel/internal/rapidtest"
)

var idleLoad = frontend.Load{Ready: true, Healthy: true, Cores: 4, FreeCapacity: 1000}

// The window grows while it is used, and shrinks to the minimum while the server is overloaded. All limits are 0 while
// the instance drains, the server's runtime is not ready, the server has no capacity, or the broker blocks publishing.
func Example() {
	flow := NewFlowController([]Queue{{Name: "ops", Weight: 1, MinInFlight: 2, MaxInFlight: 50}}, 30)
	now := time.Duration(0)
	update := func(load frontend.Load, blocked bool) {
		now += UpdateInterval
		flow.Update(now, load, blocked)
		for range flow.Limit("ops") - flow.TotalInFlight() {
			flow.RecordDelivery("ops")
		}
		fmt.Print(flow.Limit("ops"), " ")
	}
	for range 9 {
		update(idleLoad, false)
	}
	fmt.Println(flow.State("ops"))
	for range 9 {
		flow.RecordRejection()
		update(idleLoad, false)
	}
	fmt.Println(flow.State("ops"))
	overloadedLoad := idleLoad
	overloadedLoad.Queued = 20
	update(overloadedLoad, false)
	update(idleLoad, true)
	fmt.Println(flow.State("ops"))
	for _, change := range []func(*frontend.Load){
		func(l *frontend.Load) { l.Ready = false },
		func(l *frontend.Load) { l.Draining = true },
		func(l *frontend.Load) { l.FreeCapacity = 0 },
	} {
		load := idleLoad
		change(&load)
		update(load, false)
		fmt.Println(flow.State("ops"))
	}
	// Output:
	// 2 6 10 14 18 22 26 30 30 open
	// 21 14 10 7 5 3 2 2 2 open
	// 2 0 blocked
	// 0 runtime-down
	// 0 leaving
	// 0 memory
}

// Each queue first gets its minimum; the rest is divided by priority and weight. An empty queue leaves its share to the
// others.
func Example_priorities() {
	flow := NewFlowController([]Queue{
		{Name: "low", Weight: 1, MinInFlight: 2, MaxInFlight: 50},
		{Name: "a", Weight: 3, Priority: 1, MinInFlight: 1, MaxInFlight: 50},
		{Name: "b", Weight: 1, Priority: 1, MinInFlight: 1, MaxInFlight: 50},
	}, 24)
	now := time.Duration(0)
	show := func(busy ...QueueName) {
		for range 20 {
			now += UpdateInterval
			flow.Update(now, idleLoad, false)
			for _, q := range flow.queues {
				for slices.Contains(busy, q.Name) && q.inFlight < q.limit {
					q.inFlight++
				}
			}
		}
		fmt.Println("low", flow.Limit("low"), "a", flow.Limit("a"), "b", flow.Limit("b"))
		for _, q := range flow.queues {
			q.inFlight = 0
		}
	}
	show("low", "a", "b")
	show("low", "a")
	show("low")
	// Output:
	// low 2 a 16 b 6
	// low 2 a 18 b 4
	// low 16 a 4 b 4
}

// A queue whose messages fail is probed after increasing delays. After a successful probe its limit grows step by step.
func Example_failing() {
	flow := NewFlowController([]Queue{{Name: "ops", Weight: 1, MinInFlight: 4, MaxInFlight: 50}}, 30)
	now := time.Duration(0)
	broken := true
	taken := 0
	last := ""
	for range 400 {
		now += UpdateInterval
		flow.Update(now, idleLoad, false)
		for flow.TotalInFlight() < flow.Limit("ops") {
			flow.RecordDelivery("ops")
			taken++
		}
		for n := flow.TotalInFlight(); n > 0; n-- {
			flow.RecordSettlement("ops")
			flow.RecordOutcome(now, "ops", broken)
		}
		if state := flow.State("ops").String(); state != last {
			fmt.Println(now, state, "taken", taken)
			last = state
		}
		broken = now < 20*time.Second
	}
	// Output:
	// 100ms open taken 4
	// 200ms probing taken 8
	// 31.2s coming taken 13
	// 31.6s open taken 24
}

// With random queues, loads and outcomes: no limit exceeds the configured maximum, minimums are kept while consuming is
// not paused, and all limits are 0 while it is.
func TestFlowController(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		queues := drawQueues(t)
		minimums := 0
		for _, q := range queues {
			minimums += q.MinInFlight
		}
		maxInFlight := rapid.IntRange(max(1, minimums), 60).Draw(t, "in flight")
		flow := NewFlowController(queues, maxInFlight)
		now := time.Duration(0)
		for range 40 {
			now += time.Duration(rapid.IntRange(60, 400).Draw(t, "ms")) * time.Millisecond
			load := frontend.Load{
				Ready:        rapid.IntRange(0, 9).Draw(t, "ready") > 0,
				Healthy:      rapid.Bool().Draw(t, "healthy"),
				Cores:        2,
				Queued:       rapid.IntRange(0, 9).Draw(t, "queued"),
				FreeCapacity: rapid.IntRange(0, 100).Draw(t, "capacity"),
			}
			if rapid.Bool().Draw(t, "rejected") {
				flow.RecordRejection()
			}
			flow.Update(now, load, false)
			sum := 0
			for _, q := range queues {
				sum += flow.Limit(q.Name)
				checkLimit(t, flow, q, load.FreeCapacity >= minimums)
			}
			if sum > maxInFlight+len(queues) { // each queue may be probed outside the window
				t.Fatalf("limits add up to %d, configured maximum %d", sum, maxInFlight)
			}
			for _, q := range queues {
				drawTraffic(t, flow, q.Name, now)
			}
		}
	})
}

func drawQueues(t *rapid.T) []Queue {
	var queues []Queue
	for i := range rapid.IntRange(1, 4).Draw(t, "queues") {
		queues = append(queues, Queue{
			Name:        QueueName(fmt.Sprint("q", i)),
			Weight:      rapid.Float64Range(0.01, 10).Draw(t, "weight"),
			Priority:    rapid.IntRange(0, 2).Draw(t, "priority"),
			MinInFlight: rapid.IntRange(0, 3).Draw(t, "minimum"),
			MaxInFlight: rapid.IntRange(3, 40).Draw(t, "maximum"),
		})
	}
	return queues
}

// checkLimit checks the limit of one queue. hasCapacity reports whether the server has capacity for all minimums.
func checkLimit(t *rapid.T, flow *FlowController, q Queue, hasCapacity bool) {
	t.Helper()
	limit := flow.Limit(q.Name)
	if limit < 0 || limit > q.MaxInFlight {
		t.Fatalf("%s: limit %d, want 0 to %d", q.Name, limit, q.MaxInFlight)
	}
	paused := flow.PauseReason() != NotPaused
	if paused && limit > 0 {
		t.Fatalf("%s: limit %d while paused, want 0", q.Name, limit)
	}
	if !paused && flow.State(q.Name).String() == "open" && hasCapacity && limit < q.MinInFlight {
		t.Fatalf("%s: limit %d, want at least the minimum %d", q.Name, limit, q.MinInFlight)
	}
}

// drawTraffic adds deliveries within the queue's limit and finishes some of the messages in flight, at random.
func drawTraffic(t *rapid.T, flow *FlowController, name QueueName, now time.Duration) {
	for flow.lookup(name).inFlight < flow.Limit(name) && rapid.Bool().Draw(t, "arrives") {
		flow.RecordDelivery(name)
	}
	for flow.lookup(name).inFlight > 0 && rapid.Bool().Draw(t, "finishes") {
		flow.RecordSettlement(name)
		flow.RecordOutcome(now, name, rapid.Bool().Draw(t, "failed"))
	}
}

// A message that waits for its retry leaves its place in the window to others, as far as the maximums allow.
func TestWaitingLeavesWindow(t *testing.T) {
	for _, tc := range []struct {
		name                    string
		maxInFlight, queueMax   int
		inFlight, waiting       int
		blocked                 bool
		wantWindow, wantOfQueue int
	}{
		{"none waits", 30, 20, 2, 0, false, 2, 2},
		{"all wait", 30, 20, 2, 2, false, 2, 4},
		{"many wait", 30, 20, 12, 10, false, 2, 12},
		{"up to the maximum of the queue", 30, 11, 12, 10, false, 2, 11},
		{"up to the maximum", 11, 20, 12, 10, false, 1, 11},
		{"paused", 30, 20, 2, 2, true, 2, 0},
	} {
		ops := Queue{Name: "ops", Weight: 1, MinInFlight: 2, MaxInFlight: tc.queueMax}
		flow := NewFlowController([]Queue{ops}, tc.maxInFlight)
		for range tc.inFlight {
			flow.RecordDelivery("ops")
		}
		for range tc.waiting {
			flow.RecordWaiting("ops")
		}
		flow.RecordRejection()
		flow.Update(0, idleLoad, tc.blocked)
		if window, limit := flow.Window(), flow.Limit("ops"); window != tc.wantWindow || limit != tc.wantOfQueue {
			t.Errorf("%s: window %d, limit %d, want %d, %d", tc.name, window, limit, tc.wantWindow, tc.wantOfQueue)
		}
		for range tc.waiting {
			flow.RecordWaited("ops")
			flow.RecordSettlement("ops")
		}
		flow.RecordRejection()
		flow.Update(UpdateInterval, idleLoad, false)
		if limit := flow.Limit("ops"); limit != 2 {
			t.Errorf("%s: limit %d after the waits, want 2", tc.name, limit)
		}
	}
}

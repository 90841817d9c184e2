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

var calm = frontend.Load{Ready: true, Healthy: true, Cores: 4, FreeCapacity: 1000}

// An instance with room takes more as long as what it takes is used; saturated it lets go of all but the floors, and when it
// leaves, or what it needs is down, it takes nothing.
func Example() {
	d := NewFlowController([]Queue{{Name: "ops", Weight: 1, MinInFlight: 2, MaxInFlight: 50}}, 30)
	now := time.Duration(0)
	look := func(load frontend.Load, blocked bool) {
		now += UpdateInterval
		d.Update(now, load, blocked)
		for range d.Limit("ops") - d.TotalInFlight() {
			d.Received("ops")
		}
		fmt.Print(d.Limit("ops"), " ")
	}
	for range 9 {
		look(calm, false)
	}
	fmt.Println(d.State("ops"))
	for range 9 {
		d.Rejected()
		look(calm, false)
	}
	fmt.Println(d.State("ops"))
	busy := calm
	busy.Queued = 20
	look(busy, false)
	look(calm, true)
	fmt.Println(d.State("ops"))
	for _, change := range []func(*frontend.Load){func(l *frontend.Load) { l.Ready = false }, func(l *frontend.Load) { l.Draining = true }, func(l *frontend.Load) { l.FreeCapacity = 0 }} {
		load := calm
		change(&load)
		look(load, false)
		fmt.Println(d.State("ops"))
	}
	// Output:
	// 2 6 10 14 18 22 26 30 30 open
	// 21 14 10 7 5 3 2 2 2 open
	// 2 0 blocked
	// 0 runtime-down
	// 0 leaving
	// 0 memory
}

// Floors first, then the higher priority, then weights; a queue that has nothing leaves its part to the others.
func Example_priorities() {
	d := NewFlowController([]Queue{{Name: "low", Weight: 1, MinInFlight: 2, MaxInFlight: 50}, {Name: "a", Weight: 3, Priority: 1, MinInFlight: 1, MaxInFlight: 50},
		{Name: "b", Weight: 1, Priority: 1, MinInFlight: 1, MaxInFlight: 50}}, 24)
	now := time.Duration(0)
	show := func(busy ...QueueName) {
		for range 20 {
			now += UpdateInterval
			d.Update(now, calm, false)
			for _, q := range d.queues {
				for slices.Contains(busy, q.Name) && q.inFlight < q.limit {
					q.inFlight++
				}
			}
		}
		fmt.Println("low", d.Limit("low"), "a", d.Limit("a"), "b", d.Limit("b"))
		for _, q := range d.queues {
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

// A queue whose messages fail is probed ever more seldom, and comes back a few at a time.
func Example_failing() {
	d := NewFlowController([]Queue{{Name: "ops", Weight: 1, MinInFlight: 4, MaxInFlight: 50}}, 30)
	now := time.Duration(0)
	broken := true
	took := 0
	say := ""
	for range 400 {
		now += UpdateInterval
		d.Update(now, calm, false)
		for d.TotalInFlight() < d.Limit("ops") {
			d.Received("ops")
			took++
		}
		for n := d.TotalInFlight(); n > 0; n-- {
			d.Settled("ops")
			d.Finished(now, "ops", broken)
		}
		if state := d.State("ops"); state != say {
			fmt.Println(now, state, "taken", took)
			say = state
		}
		broken = now < 20*time.Second
	}
	// Output:
	// 100ms open taken 4
	// 200ms probing taken 8
	// 31.2s coming taken 13
	// 31.6s open taken 24
}

// The intake against its bounds, whatever the queues, loads and ends: never more than told, floors kept while it is open, nothing
// while it is closed.
func TestFlowController(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var queues []Queue
		floors := 0
		for i := range rapid.IntRange(1, 4).Draw(t, "queues") {
			q := Queue{Name: QueueName(fmt.Sprint("q", i)), Weight: rapid.Float64Range(0.01, 10).Draw(t, "weight"),
				Priority: rapid.IntRange(0, 2).Draw(t, "priority"), MinInFlight: rapid.IntRange(0, 3).Draw(t, "floor"), MaxInFlight: rapid.IntRange(3, 40).Draw(t, "most")}
			queues = append(queues, q)
			floors += q.MinInFlight
		}
		most := rapid.IntRange(max(1, floors), 60).Draw(t, "in hand")
		d := NewFlowController(queues, most)
		now := time.Duration(0)
		for range 40 {
			now += time.Duration(rapid.IntRange(60, 400).Draw(t, "ms")) * time.Millisecond
			load := frontend.Load{Ready: rapid.IntRange(0, 9).Draw(t, "up") > 0, Healthy: rapid.Bool().Draw(t, "well"), Cores: 2,
				Queued: rapid.IntRange(0, 9).Draw(t, "held"), FreeCapacity: rapid.IntRange(0, 100).Draw(t, "room")}
			if rapid.Bool().Draw(t, "nacked") {
				d.Rejected()
			}
			d.Update(now, load, false)
			sum := 0
			for _, q := range queues {
				limit := d.Limit(q.Name)
				sum += limit
				if limit < 0 || limit > q.MaxInFlight {
					t.Fatalf("%s may have %d of %d", q.Name, limit, q.MaxInFlight)
				}
				if d.PauseReason() != "" && limit > 0 {
					t.Fatal("closed, and takes")
				}
				if d.PauseReason() == "" && d.State(q.Name) == "open" && load.FreeCapacity >= floors && limit < q.MinInFlight {
					t.Fatalf("%s is below its floor: %d", q.Name, limit)
				}
			}
			if sum > most+len(queues) { // a probe each at the most
				t.Fatalf("%d in hand, told %d", sum, most)
			}
			for _, q := range queues {
				for d.lookup(q.Name).inFlight < d.Limit(q.Name) && rapid.Bool().Draw(t, "comes") {
					d.Received(q.Name)
				}
				for d.lookup(q.Name).inFlight > 0 && rapid.Bool().Draw(t, "ends") {
					d.Settled(q.Name)
					d.Finished(now, q.Name, rapid.Bool().Draw(t, "failed"))
				}
			}
		}
	})
}

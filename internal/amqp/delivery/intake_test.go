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

// What becomes of a message.
func Example_settle() {
	b := NewRetryBudget(0.1)
	plain, retry := SettlementConfig{MaxAttempts: 3, DeadLetter: true}, SettlementConfig{MaxAttempts: 3, UseRetryQueue: true, RetryQueueDelay: time.Second, DeadLetter: true}
	show := func(name string, m Message, t SettlementConfig, how Outcome, after time.Duration) {
		f := b.Settle(m, t, how, after, 0.5)
		fmt.Printf("%s: answer %v %s dead %v then %s in %v\n", name, f.Reply, f.Code, f.DeadLetter, [...]string{"ack", "requeue", "reject"}[f.Action], f.Delay)
	}
	m := Message{Remaining: 10 * time.Second, Idempotent: true}
	show("acked", m, plain, Succeeded, 0)
	show("nacked", m, plain, Rejected, 0)
	show("nacked, come later", m, plain, Rejected, 2*time.Second)
	show("nacked, retry queue", m, retry, Rejected, 0)
	show("nacked, no time", Message{Remaining: 20 * time.Millisecond}, plain, Rejected, 0)
	show("nacked, no time for the retry queue", Message{Remaining: time.Second}, retry, Rejected, 0)
	show("nacked, last attempt", Message{Remaining: time.Minute, Attempt: 2}, retry, Rejected, 0)
	show("failed", m, retry, Failed, 0)
	show("denied", m, plain, Denied, 0)
	show("drained", m, retry, Drained, 0)
	show("drained, must not run twice", Message{Remaining: time.Second}, retry, Drained, 0)
	put := 0
	for range 100 {
		if !b.Settle(m, plain, Rejected, 0, 0).Reply {
			put++
		}
	}
	for range 50 {
		b.CountFresh()
	}
	fmt.Println("budget", put, b.Settle(m, plain, Rejected, 0, 0).Reply)
	// Output:
	// acked: answer true acked dead false then ack in 0s
	// nacked: answer false  dead false then requeue in 200ms
	// nacked, come later: answer false  dead false then requeue in 2s
	// nacked, retry queue: answer false  dead false then reject in 200ms
	// nacked, no time: answer true failed dead true then ack in 0s
	// nacked, no time for the retry queue: answer true failed dead true then ack in 0s
	// nacked, last attempt: answer true out-of-attempts dead true then ack in 0s
	// failed: answer true failed dead true then ack in 0s
	// denied: answer true denied dead true then ack in 0s
	// drained: answer false  dead false then requeue in 0s
	// drained, must not run twice: answer false  dead false then reject in 0s
	// budget 7 false
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

// The memory against a list of all that ever happened: nothing runs twice that must not, what runs is not run beside itself, what
// was answered and confirmed is not answered again, and the tags in hand are those of connections that stand.
func TestDeduplicator(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := NewDeduplicator(1000, time.Hour)
		type truth struct {
			running, answered, sure, put, ever bool
			tags                               map[DeliveryTag]bool
		}
		all := map[MessageID]*truth{}
		tag, conn := uint64(0), uint64(1)
		for range 60 {
			id := MessageID(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "id"))
			x := all[id]
			if x == nil {
				x = &truth{tags: map[DeliveryTag]bool{}}
				all[id] = x
			}
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0, 1:
				tag++
				here := DeliveryTag{conn, tag}
				redelivered, twice := rapid.Bool().Draw(t, "redelivered"), rapid.Bool().Draw(t, "twice")
				step, _ := m.Receive(0, id, 7, here, redelivered, twice)
				want := Process
				switch {
				case x.running:
					want = Join
				case x.sure:
					want = AlreadyReplied
				case x.answered:
					want = ResendReply
				case x.put:
				case !x.ever && redelivered && !twice:
					want = Uncertain
				}
				if step != want {
					t.Fatalf("%s: step %d, want %d of %+v", id, step, want, x)
				}
				if step == Process || step == Uncertain || step == Join {
					x.running, x.ever, x.put = true, true, false
					x.tags[here] = true
				}
			case 2:
				if x.running {
					tags := m.Replied(0, id, "answer")
					if len(tags) != len(x.tags) {
						t.Fatalf("%s: %v in hand, want %v", id, tags, x.tags)
					}
					x.running, x.answered, x.tags = false, true, map[DeliveryTag]bool{}
				}
			case 3:
				if x.running && rapid.Bool().Draw(t, "put back") {
					m.Returned(0, id)
					x.running, x.put, x.tags = false, true, map[DeliveryTag]bool{}
				} else if x.answered {
					m.ReplyConfirmed(id)
					x.sure = true
				}
			case 4:
				m.ChannelClosed(conn)
				conn++
				for _, x := range all {
					clear(x.tags)
				}
			}
		}
	})
}

// What becomes of any message: answered or put back, never both; put back only what never ran, in time to be tried again, within
// its attempts and the budget; a failure is never called acked.
func TestSettle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := rapid.Float64Range(0, 1).Draw(t, "share")
		b := NewRetryBudget(share)
		told := SettlementConfig{MaxAttempts: rapid.IntRange(1, 5).Draw(t, "attempts"), UseRetryQueue: rapid.Bool().Draw(t, "retry"),
			RetryQueueDelay: time.Duration(rapid.IntRange(0, 3000).Draw(t, "delay")) * time.Millisecond, DeadLetter: rapid.Bool().Draw(t, "dead")}
		fresh, back := 0, 0
		for range 100 {
			m := Message{Attempt: rapid.IntRange(0, 6).Draw(t, "attempt"), Idempotent: rapid.Bool().Draw(t, "twice"),
				Remaining: time.Duration(rapid.IntRange(-1000, 10_000).Draw(t, "left")) * time.Millisecond}
			if m.Attempt == 0 {
				b.CountFresh()
				fresh++
			}
			how := Outcome(rapid.IntRange(int(Succeeded), int(DuplicateID)).Draw(t, "how"))
			f := b.Settle(m, told, how, time.Duration(rapid.IntRange(0, 500).Draw(t, "after"))*time.Millisecond, rapid.Float64Range(0, 1).Draw(t, "chance"))
			switch {
			case f.Reply && (f.Action != Ack || f.Delay != 0 || f.Code == "" || (f.Code == "acked") != (how == Succeeded) || f.DeadLetter != (told.DeadLetter && how != Succeeded)):
				t.Fatalf("%s: %+v", how.Code(), f)
			case !f.Reply && how != Rejected && how != Drained, !f.Reply && (f.Action == Ack || f.DeadLetter):
				t.Fatalf("%s put back: %+v", how.Code(), f)
			case how == Drained && (f.Reply || f.Delay != 0 || f.Action == Requeue && told.UseRetryQueue && !m.Idempotent):
				t.Fatalf("drained: %+v", f)
			case how == Rejected && !f.Reply:
				back++
				if f.Delay >= m.Remaining || m.Attempt+1 >= told.MaxAttempts || told.UseRetryQueue != (f.Action == Reject) || told.UseRetryQueue && f.Delay+told.RetryQueueDelay >= m.Remaining {
					t.Fatalf("nacked %+v: %+v", m, f)
				}
			}
			if float64(back) > 10+share*float64(fresh) {
				t.Fatalf("%d put back of %d fresh, share %f", back, fresh, share)
			}
		}
	})
}

// What is remembered has a bound in count and in age.
func Example_deduplicatorBounds() {
	m := NewDeduplicator(100, time.Minute)
	for i := range 10_000 {
		id := MessageID(fmt.Sprint(i))
		m.Receive(time.Duration(i), id, 0, DeliveryTag{1, uint64(i)}, false, true)
		m.Replied(time.Duration(i), id, nil)
	}
	fmt.Println(m.Len() <= 101, m.inFlightCount())
	m.Receive(time.Hour, "new", 0, DeliveryTag{}, false, true)
	fmt.Println(m.Len())
	// Output:
	// true 0
	// 1
}

// The acks of a channel against the deliveries themselves: one that covers several covers only what is done.
func TestAckTracker(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var a AckTracker
		state := map[uint64]string{} // open, done, acked, dropped
		tag := uint64(0)
		for range 80 {
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				tag++
				a.Received(tag)
				state[tag] = "open"
			case 1, 2:
				if x := uint64(rapid.IntRange(1, 80).Draw(t, "tag")); state[x] == "open" {
					if rapid.IntRange(0, 4).Draw(t, "drop") == 0 {
						a.Remove(x)
						state[x] = "dropped"
					} else {
						a.Acked(x)
						state[x] = "done"
					}
				}
			case 3:
				for _, c := range a.Flush() {
					if state[c.Tag] != "done" {
						t.Fatalf("acks %d, which is %s", c.Tag, state[c.Tag])
					}
					for x := uint64(1); x <= c.Tag; x++ {
						if (c.Multiple || x == c.Tag) && state[x] == "open" {
							t.Fatalf("the ack of %d covers %d, which is not done", c.Tag, x)
						} else if (c.Multiple || x == c.Tag) && state[x] == "done" {
							state[x] = "acked"
						}
					}
				}
				for x, s := range state {
					if s == "done" {
						t.Fatalf("%d is done and not acked", x)
					}
				}
			}
		}
	})
}

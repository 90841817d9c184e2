package membership

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "lanewheel/internal/rapidtest"
)

const s = time.Second

// tableHarness drives a table through hours in milliseconds and prints each change.
type tableHarness struct {
	*Table
	now              time.Duration
	quiet            bool
	reachableSenders []string // who is heard, and answers, all the time
}

func newHarness(change ...func(*Config)) *tableHarness {
	config := DefaultConfig()
	for _, c := range change {
		c(&config)
	}
	return &tableHarness{Table: NewTable(Descriptor{Name: "me", Incarnation: 100, BootID: 1, GossipAddr: "me:1"}, config, 0)}
}

func (x *tableHarness) advance(d time.Duration) {
	for end := x.now + d; x.now < end; {
		x.now += 100 * time.Millisecond
		for _, sender := range x.reachableSenders {
			x.ObserveSender(sender)
			x.ObserveAck(x.now)
		}
		x.Tick(x.now)
		x.printChanges()
	}
}

// stall is to stand still.
func (x *tableHarness) stall(d time.Duration) {
	x.now += d
	x.Tick(x.now)
	x.printChanges()
}

func (x *tableHarness) printChanges() {
	for _, c := range x.TakeChanges() {
		if !x.quiet {
			fmt.Printf("%v %s %d: %v -> %v, %s\n", x.now, c.Name, c.Incarnation, c.From, c.To, c.Reason)
		}
	}
}

func (x *tableHarness) alive(name Name, life BootID, inc Incarnation) AliveResult {
	v := x.HandleAlive(Descriptor{Name: name, BootID: life, Incarnation: inc, GossipAddr: string(name) + ":1", WarmUp: 5 * s}, x.now)
	x.printChanges()
	return v
}

func (x *tableHarness) heartbeat(name Name, life BootID, sequence uint64, age time.Duration, metrics ...Metric) bool {
	accepted := x.HandleHeartbeat(Heartbeat{ID: ID{name, life}, Sequence: sequence, Ready: true, ReadyFor: 10 * s, Metrics: metrics}, age, x.now)
	x.printChanges()
	return accepted
}

// bringUp brings members in, ready long since.
func (x *tableHarness) bringUp(names ...Name) {
	for _, n := range names {
		x.alive(n, 7, 1)
		x.heartbeat(n, 7, 1, 0)
	}
}

// advanceWithHeartbeats has members publish again and again while time goes on.
func (x *tableHarness) advanceWithHeartbeats(d time.Duration, names ...Name) {
	for end := x.now + d; x.now < end; {
		x.advance(s)
		for _, n := range names {
			m, _ := x.View().Get(n)
			x.heartbeat(n, m.BootID, m.Sequence+1, 0)
		}
	}
}

// A member's way: its claim, ready, warm by how long it has been ready and not by when we heard, leaving, left.
func Example() {
	x := newHarness()
	x.alive("a", 7, 1)
	x.HandleHeartbeat(Heartbeat{ID: ID{"a", 7}, Sequence: 1, Ready: true, ReadyFor: 3 * s}, s, x.now)
	x.printChanges()
	x.advanceWithHeartbeats(2*s, "a")
	x.HandleHeartbeat(Heartbeat{ID: ID{"a", 7}, Sequence: 9, Ready: true, Draining: true}, 0, x.now)
	x.printChanges()
	x.HandleUnreachable(ID{"a", 7}, true, x.now)
	x.printChanges()
	// Output:
	// 0s a 1: joining -> joining, claimed
	// 0s a 1: joining -> warming, ready
	// 1s a 1: warming -> up, warmed
	// 2s a 1: up -> leaving, said
	// 2s a 1: leaving -> gone, left
}

// A death is doubted, suspected, held for certain. A detector's wrongful word that is taken back within the doubt changes nothing.
func Example_death() {
	x := newHarness()
	x.bringUp("a", "b")
	x.HandleUnreachable(ID{"a", 7}, false, x.now)
	x.HandleUnreachable(ID{"b", 7}, false, x.now)
	x.advance(s / 2)
	x.alive("b", 7, 1)
	x.advanceWithHeartbeats(8*s, "b")
	fmt.Println(x.Stats.RefutedSuspicions)
	// Output:
	// 0s a 1: joining -> joining, claimed
	// 0s a 1: joining -> up, ready
	// 0s b 1: joining -> joining, claimed
	// 0s b 1: joining -> up, ready
	// 3s a 1: up -> suspect, unreached
	// 6s a 1: suspect -> gone, given-up
	// 1
}

// One that spoke a moment ago is not in doubt before its next words are due; what it writes well after the detector's word takes that back,
// also where all others have heard long ago that it is there.
func Example_missedRefutation() {
	x := newHarness()
	x.bringUp("a", "b")
	x.advanceWithHeartbeats(4*s, "a", "b")
	x.HandleUnreachable(ID{"a", 7}, false, x.now)
	x.advanceWithHeartbeats(4*s, "a", "b")
	fmt.Println(x.Stats.RefutedSuspicions)
	x.HandleUnreachable(ID{"a", 7}, false, x.now)
	x.advanceWithHeartbeats(4*s, "b") // in doubt before it speaks again
	x.advanceWithHeartbeats(2*s, "a", "b")
	// Output:
	// 0s a 1: joining -> joining, claimed
	// 0s a 1: joining -> up, ready
	// 0s b 1: joining -> joining, claimed
	// 0s b 1: joining -> up, ready
	// 1
	// 11s a 1: up -> suspect, unreached
	// 13s a 1: suspect -> up, returned
}

// Restarted within a second under its name and address, while its old messages still travel: the new life is never the old one.
func Example_restart() {
	x := newHarness()
	x.bringUp("a")
	x.alive("a", 8, 2)
	fmt.Println(x.alive("a", 7, 1) == AliveOutdated, x.heartbeat("a", 7, 50, 0))
	x.HandleUnreachable(ID{"a", 7}, false, x.now) // the old life's end is not the new one's
	x.heartbeat("a", 8, 1, 0)
	x.advanceWithHeartbeats(3*s, "a")
	// two of one number: all who hear both decide alike, in whatever order
	fmt.Println(x.alive("a", 5, 2) == AliveOutdated)
	x.alive("a", 9, 2)
	// Output:
	// 0s a 1: joining -> joining, claimed
	// 0s a 1: joining -> up, ready
	// 0s a 1: up -> fenced, superseded
	// 0s a 2: joining -> joining, claimed
	// true false
	// 0s a 2: joining -> up, ready
	// true
	// 3s a 2: up -> fenced, superseded
	// 3s a 2: joining -> joining, claimed
}

// Our own name: a predecessor whose number is higher, as the clock went back between, is overtaken while we are young; a
// successor that shows up later is not fought, and neither is one that others tell of.
func Example_rival() {
	x := newHarness()
	fmt.Println(x.alive("me", 9, 5000) == AliveIncarnationRaised, x.Self().Incarnation)
	fmt.Println(x.alive("me", 9, 5000) == AliveOutdated, x.alive("me", 1, 5001) == AliveOwn)
	x.advance(20 * s)
	fmt.Println(x.HandleFenceNotice(4000, 3, x.now) == AliveOutdated, x.View().LocalHealth)
	fmt.Println(x.HandleFenceNotice(6000, 3, x.now) == AliveFenced, x.View().LocalHealth)
	// Output:
	// true 5001
	// true true
	// true young
	// true fenced
}

// Two that start under one name at one moment raise in turn, and one of them is over in the end.
func Example_twins() {
	now := time.Duration(0)
	a := NewTable(Descriptor{Name: "n", Incarnation: 10, BootID: 1}, DefaultConfig(), 0)
	b := NewTable(Descriptor{Name: "n", Incarnation: 10, BootID: 2}, DefaultConfig(), 0)
	for range 8 {
		now += s
		a.HandleAlive(b.Self(), now)
		b.HandleAlive(a.Self(), now)
		a.Tick(now)
		b.Tick(now)
	}
	fmt.Println(a.Self().Incarnation != b.Self().Incarnation, (a.View().LocalHealth == LocalFenced) != (b.View().LocalHealth == LocalFenced), a.incarnationRaises+b.incarnationRaises <= 2*3)
	// Output: true true true
}

// Standing still for 8 s in the middle of a doubt gives nobody up; the doubt goes on where it stood, and what came meanwhile
// counts as old.
func Example_stoodStill() {
	x := newHarness()
	x.bringUp("a", "b")
	x.HandleUnreachable(ID{"a", 7}, false, x.now)
	x.advance(s / 2)
	x.stall(8 * s)
	fmt.Println(x.View().LocalHealth)
	x.heartbeat("b", 7, 2, 0, Metric{Name: "load", Value: 1, TTL: 5 * s})
	m, _ := x.View().Get("b")
	_, age, ok := m.Metric("load", x.now)
	fmt.Println(age, ok)
	x.advance(s)
	x.alive("a", 7, 1) // it was well all the time
	x.advanceWithHeartbeats(5*s, "a", "b")
	fmt.Println(x.Stats.Stalls, x.View().Count(StateUp))
	// Output:
	// 0s a 1: joining -> joining, claimed
	// 0s a 1: joining -> up, ready
	// 0s b 1: joining -> joining, claimed
	// 0s b 1: joining -> up, ready
	// woken
	// 8s false
	// 1 2
}

// Who hears nobody any more is cut off itself: it gives nobody up, keeps its doubts to itself, and says how far it reaches. When
// it hears again, all is as it was. If that lasts, it becomes the usual.
func Example_cutOff() {
	x := newHarness()
	x.bringUp("a", "b", "c")
	x.reachableSenders = []string{"a", "b", "c"}
	x.advanceWithHeartbeats(20*s, "a", "b", "c")
	fmt.Println(x.View().LocalHealth, x.HearsNobody())
	x.reachableSenders = nil
	x.advance(3 * s)
	for _, n := range []Name{"a", "b", "c"} {
		x.HandleUnreachable(ID{n, 7}, false, x.now)
	}
	x.advance(30 * s)
	fmt.Println(x.View().LocalHealth, x.HearsNobody(), x.View().HeardFraction)
	x.reachableSenders = []string{"a", "b", "c"}
	for _, n := range []Name{"a", "b", "c"} {
		x.alive(n, 7, 1)
	}
	x.advanceWithHeartbeats(6*s, "a", "b", "c")
	fmt.Println(x.View().LocalHealth, x.View().Count(StateUp))
	x.reachableSenders = []string{"a"}
	x.quiet = true
	x.advanceWithHeartbeats(80*s, "a", "b", "c")
	fmt.Println(x.View().LocalHealth)
	// Output:
	// 0s a 1: joining -> joining, claimed
	// 0s a 1: joining -> up, ready
	// 0s b 1: joining -> joining, claimed
	// 0s b 1: joining -> up, ready
	// 0s c 1: joining -> joining, claimed
	// 0s c 1: joining -> up, ready
	// sound false
	// cut-off true 0
	// sound 3
	// sound
}

// They are gone and we are well: a third of the fleet dies, we still hear most, and judge.
func Example_theyAreGone() {
	x := newHarness()
	x.quiet = true
	x.bringUp("a", "b", "c", "d", "e", "f")
	x.reachableSenders = []string{"a", "b", "c", "d", "e", "f"}
	x.advanceWithHeartbeats(20*s, "a", "b", "c", "d", "e", "f")
	x.reachableSenders = x.reachableSenders[:4]
	x.HandleUnreachable(ID{"e", 7}, false, x.now)
	x.HandleUnreachable(ID{"f", 7}, false, x.now)
	x.advanceWithHeartbeats(8*s, "a", "b", "c", "d")
	fmt.Println(x.View().LocalHealth, x.View().Count(StateGone))
	// heard, but answered by nobody
	for range 80 {
		x.now += s / 10
		for _, sender := range x.reachableSenders {
			x.ObserveSender(sender)
		}
		x.Tick(x.now)
	}
	fmt.Println(x.View().LocalHealth)
	// Output:
	// sound 2
	// unheard
}

// Who flaps is taken back later each time, and in the end like anybody.
func Example_flapping() {
	x := newHarness(func(t *Config) { t.GoneAfter = time.Minute })
	x.quiet = true
	x.bringUp("a", "b", "c")
	for _, flaps := range []int{3, 4, 6, 8, 20} {
		for range flaps {
			x.advanceWithHeartbeats(2*s, "b", "c")
			x.HandleUnreachable(ID{"a", 7}, false, x.now)
			x.advanceWithHeartbeats(2*s, "b", "c")
			x.alive("a", 7, 1)
		}
		began := x.now
		for m, _ := x.View().Get("a"); m.State != StateUp; m, _ = x.View().Get("a") {
			x.advanceWithHeartbeats(s, "a", "b", "c")
		}
		fmt.Println(flaps, x.now-began)
		x.advanceWithHeartbeats(10*time.Minute, "a", "b", "c")
	}
	// a crowd that comes back together has not flapped: what lay between was cut
	for range 5 {
		for _, n := range []Name{"a", "b", "c"} {
			x.HandleUnreachable(ID{n, 7}, false, x.now)
		}
		x.advance(2 * s)
		for _, n := range []Name{"a", "b", "c"} {
			x.alive(n, 7, 1)
		}
	}
	fmt.Println(x.View().Count(StateUp))
	// Output:
	// 3 0s
	// 4 55s
	// 6 1m9s
	// 8 1m17s
	// 20 1m31s
	// 3
}

// A crash loop under one name is held back as well, though each start is a life of its own.
func Example_crashLoop() {
	x := newHarness()
	x.quiet = true
	x.bringUp("a", "b")
	for life := BootID(20); life < 24; life++ {
		x.alive("a", life, Incarnation(life))
		x.heartbeat("a", life, 1, 0)
	}
	m, _ := x.View().Get("a")
	fmt.Println(m.State, m.Reason, m.BootID)
	// Output: suspect flapping 23
}

// Facts that stop while the gossip goes on are not believed any more, and their owner is mute.
func Example_mute() {
	x := newHarness()
	x.alive("a", 7, 1)
	x.heartbeat("a", 7, 1, 0, Metric{Name: "load", Value: 0.5, TTL: time.Hour}, Metric{Name: "odd", Value: math.NaN(), TTL: s})
	for range 4 {
		m, _ := x.View().Get("a")
		v, age, ok := m.Metric("load", x.now)
		fmt.Println(x.now, v, age, ok, len(m.Metrics))
		x.advance(3 * s)
	}
	x.heartbeat("a", 7, 2, 0)
	fmt.Println(x.heartbeat("a", 7, 1, 0)) // an earlier one, by a longer way
	// Output:
	// 0s a 1: joining -> joining, claimed
	// 0s a 1: joining -> up, ready
	// 0s 0.5 0s true 1
	// 3s 0.5 3s true 1
	// 6s 0.5 6s false 1
	// 9s 0.5 9s false 1
	// 9.1s a 1: up -> suspect, mute
	// 12s a 1: suspect -> up, returned
	// false
}

// Names without end: who is here stays, the gone make room, the others wait outside.
func Example_bounds() {
	x := newHarness(func(t *Config) { t.MaxMembers = 3; t.MaxMetrics = 1 })
	x.quiet = true
	x.bringUp("a", "b", "c")
	fmt.Println(x.alive("d", 7, 1) == AliveTableFull, x.heartbeat("a", 7, 2, 0, Metric{Name: "x"}, Metric{Name: "y"}))
	x.HandleUnreachable(ID{"b", 7}, true, x.now)
	fmt.Println(x.alive("d", 7, 1) == AliveAccepted, x.View().Len(), x.Stats.RejectedFull, x.Stats.InvalidHeartbeats)
	// Output:
	// true false
	// true 3 1 1
}

// No list has a cap under 1,024: a fleet of so many others, each with a life before it, is held as it stands.
func Example_many() {
	x := newHarness()
	x.quiet = true
	for i := range 1024 {
		n := Name(fmt.Sprint("n", i))
		x.alive(n, 6, 1)
		x.bringUp(n)
	}
	here := 0
	for m := range x.View().All() {
		if m.State.Available() && m.BootID == 7 {
			here++
		}
	}
	fmt.Println(here, x.Stats.RejectedFull)
	// Output:
	// 1024 0
}

// Whom to call: a seed that nobody here has, and whoever was lost without having left; seldom where many miss the same, later each
// time, never who is here or has left.
func Example_reach() {
	x := newHarness(func(t *Config) { t.Seeds = []string{"a:1", "me:1", "z:1"} })
	x.quiet = true
	half := func() float64 { return 0.4 }
	fmt.Println(x.NextJoinAddr(x.now, half))
	x.bringUp("a", "b", "c", "d", "e", "f")
	fmt.Println(x.NextJoinAddr(x.now, half))
	for range 3 {
		x.RecordJoin("z:1", false, x.now, half)
		from := x.now
		for _, any := x.NextJoinAddr(x.now, half); !any; _, any = x.NextJoinAddr(x.now, half) {
			x.advance(s / 2)
		}
		fmt.Println("again after", x.now-from)
	}
	x.RecordJoin("z:1", false, x.now, half)
	x.HandleUnreachable(ID{"b", 7}, true, x.now)
	x.HandleUnreachable(ID{"c", 7}, false, x.now)
	fmt.Println(x.NextJoinAddr(x.now, half))
	fmt.Println(x.NextJoinAddr(x.now, func() float64 { return 0.99 }))
	// Output:
	// a:1 true
	// z:1 true
	// again after 500ms
	// again after 1s
	// again after 2s
	// c:1 true
	//  false
}

// Who called the life before ours is called at once and without a throw of chance, once; not who is known already, and a few of them at the most.
func Example_called() {
	x := newHarness(func(t *Config) { t.Seeds = []string{"me:1"} })
	x.quiet = true
	never := func() float64 { return 0.99 }
	x.bringUp("a", "b")
	x.AddPredecessorCaller("a:1")
	fmt.Println(x.NextJoinAddr(x.now, never))
	for _, addr := range []string{"c:1", "c:1", "d:1", "e:1", "f:1", "g:1"} {
		x.AddPredecessorCaller(addr)
	}
	for range 5 {
		addr, any := x.NextJoinAddr(x.now, never)
		fmt.Println(addr, any)
		x.RecordJoin(addr, addr != "d:1", x.now, never)
	}
	// Output:
	//  false
	// c:1 true
	// d:1 true
	// e:1 true
	// f:1 true
	//  false
}

// An old life is told by two of those that are here, by whoever's view.
func TestFenceNotifiers(t *testing.T) {
	names := []Name{"a", "b", "c", "d", "e", "f", "g"}
	for life := range BootID(50) {
		tell := 0
		for _, me := range names {
			told := NewTable(Descriptor{Name: me, BootID: 7, Incarnation: 1}, DefaultConfig(), 0)
			for _, n := range names {
				if n != me {
					told.HandleAlive(Descriptor{Name: n, BootID: 7, Incarnation: 1}, 0)
					told.HandleHeartbeat(Heartbeat{ID: ID{n, 7}, Sequence: 1, Ready: true, ReadyFor: s}, 0, 0)
				}
			}
			old := ID{"x", life}
			if told.ShouldNotifyFenced(old, 0) {
				tell++
				if told.ShouldNotifyFenced(old, s) {
					t.Fatal("told again at once")
				}
			}
		}
		if tell != fenceNotifiers {
			t.Fatal(life, tell)
		}
	}
}

// Keys: at no moment of a turn is there a message that neither list can read.
func TestPlanKeyRotation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(label string) (list []Key) {
			for _, k := range rapid.Permutation([]byte("abcde")).Draw(t, label)[:rapid.IntRange(1, 5).Draw(t, label+"s")] {
				list = append(list, Key{k})
			}
			return list
		}
		from, to := draw("from"), draw("to")
		turn, ring, use := PlanKeyRotation(from, to), slices.Clone(from), from[0]
		check := func() {
			if !containsKey(ring, use) {
				t.Fatal("writes with a key that it does not have")
			}
		}
		for _, k := range turn.Add {
			ring = append(ring, k)
			check()
		}
		if turn.Primary != nil {
			use = turn.Primary
			check()
		}
		for _, k := range turn.Remove {
			ring = slices.DeleteFunc(ring, func(x Key) bool { return x[0] == k[0] })
			check()
		}
		if len(ring) != len(to) || use[0] != to[0][0] {
			t.Fatal(ring, use, to)
		}
	})
}

// Under any order of few messages: numbers of a name don't go down, nobody is given up before the judged time is over, a view once
// given never changes, the table stays within its bounds, and nothing is believed past its time.
func TestOrders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x := newHarness(func(t *Config) { t.MaxMembers = 4 })
		x.quiet = true
		names := []Name{"a", "b", "c", "d", "e"}
		highest := map[Name]Descriptor{}
		lostFor := map[ID]time.Duration{}
		view, digest, version := x.View(), x.View().Digest(), uint64(0)
		id := func() ID {
			return ID{rapid.SampledFrom(names).Draw(t, "name"), BootID(rapid.IntRange(1, 3).Draw(t, "life"))}
		}
		look := func(steps int) {
			for range steps {
				x.now += 100 * time.Millisecond
				if x.View().LocalHealth.CanDeclareGone() {
					for k := range lostFor {
						lostFor[k] += 100 * time.Millisecond
					}
				}
				x.Tick(x.now)
				for _, c := range x.TakeChanges() {
					if c.To == StateGone && c.Reason == ReasonTimedOut && lostFor[c.ID] < x.config.SuspectAfter+x.config.GoneAfter {
						t.Fatalf("%v given up after %v", c.ID, lostFor[c.ID])
					}
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"claim": func(t *rapid.T) {
				i := id()
				if x.HandleAlive(Descriptor{Name: i.Name, BootID: i.BootID, Incarnation: Incarnation(rapid.IntRange(1, 4).Draw(t, "number"))}, x.now) == AliveAccepted {
					delete(lostFor, i)
				}
			},
			"lost": func(t *rapid.T) {
				i := id()
				if _, already := lostFor[i]; !already {
					if m, known := x.View().Get(i.Name); known && m.BootID == i.BootID {
						lostFor[i] = 0
					}
				}
				x.HandleUnreachable(i, rapid.Bool().Draw(t, "left"), x.now)
			},
			"told": func(t *rapid.T) {
				x.HandleHeartbeat(Heartbeat{ID: id(), Sequence: uint64(rapid.IntRange(1, 20).Draw(t, "seq")), Ready: rapid.Bool().Draw(t, "ready"),
					Draining: rapid.IntRange(0, 9).Draw(t, "leaving") == 0, Metrics: []Metric{{"load", 1, time.Duration(rapid.IntRange(0, 100).Draw(t, "holds")) * s, 0}}},
					time.Duration(rapid.IntRange(0, 3000).Draw(t, "age"))*time.Millisecond, x.now)
			},
			"pass":  func(t *rapid.T) { look(rapid.IntRange(1, 40).Draw(t, "steps")) },
			"sleep": func(t *rapid.T) { x.stall(time.Duration(rapid.IntRange(1100, 30000).Draw(t, "ms")) * time.Millisecond) },
			"": func(t *rapid.T) {
				if view.Digest() != digest || x.View().Version < version || x.View().Len() > 4 {
					t.Fatal("a view changed, went back, or outgrew its bound")
				}
				view, digest, version = x.View(), x.View().Digest(), x.View().Version
				for n := range highest {
					if _, known := view.Get(n); !known {
						delete(highest, n) // forgotten
					}
				}
				for m := range view.All() {
					if m.olderThan(highest[m.Name]) {
						t.Fatal("a number went down")
					}
					highest[m.Name] = m.Descriptor
					if _, age, ok := m.Metric("load", x.now); ok && age > x.maxMetricTTL() {
						t.Fatal("believed for too long")
					}
				}
			},
		})
	})
}

// A view of 1,000 members in simulated time: five minutes in which each publishes, a tenth dies, a tenth is replaced.
func TestThousand(t *testing.T) {
	x := newHarness(func(t *Config) { t.MaxMembers = 1200 })
	x.quiet = true
	var names []Name
	for i := range 1000 {
		names = append(names, Name(fmt.Sprint("n", i)))
	}
	x.bringUp(names...)
	for step := range 300 {
		for i := step % 33; i < len(names); i += 33 {
			m, _ := x.View().Get(names[i])
			if m.unreachable {
				continue
			}
			x.heartbeat(names[i], m.BootID, m.Sequence+1, 0)
		}
		if step == 100 {
			for i, n := range names {
				switch i % 10 {
				case 0:
					x.HandleUnreachable(ID{n, 7}, false, x.now)
				case 1:
					x.alive(n, 8, 2)
					x.heartbeat(n, 8, 1, 0)
				}
			}
		}
		x.advance(s)
	}
	if v := x.View(); v.Count(StateUp) != 900 || v.Count(StateGone) != 100 || x.HeartbeatInterval() < 33*s {
		t.Fatal(v.Count(StateUp), v.Count(StateGone), x.HeartbeatInterval())
	}
}

func BenchmarkHandleHeartbeat(b *testing.B) {
	x := newHarness()
	x.quiet = true
	for i := range 300 {
		x.bringUp(Name(fmt.Sprint("n", i)))
	}
	b.ReportAllocs()
	for i := range b.N {
		x.heartbeat(Name(fmt.Sprint("n", i%300)), 7, uint64(i+2), 0, Metric{Name: "load", Value: 1, TTL: s})
	}
}

func BenchmarkTick(b *testing.B) {
	x := newHarness()
	x.quiet = true
	for i := range 300 {
		x.bringUp(Name(fmt.Sprint("n", i)))
	}
	b.ReportAllocs()
	for range b.N {
		x.now += 100 * time.Millisecond
		x.Tick(x.now)
	}
}

// Two views that differ though both stand are laid beside each other; while either still changes, they are not.
func Example_differing() {
	x := newHarness()
	x.quiet = true
	x.bringUp("a", "b")
	always := func() float64 { return 0 }
	x.advance(4 * s)
	fmt.Println(x.NextJoinAddr(x.now, always))
	x.HandleHeartbeat(Heartbeat{ID: ID{"b", 7}, Sequence: 2, Ready: true, ReadyFor: s, ViewDigest: x.ViewDigest()}, 0, x.now)
	fmt.Println(x.NextJoinAddr(x.now, always))
	x.HandleHeartbeat(Heartbeat{ID: ID{"a", 7}, Sequence: 2, Ready: true, ReadyFor: s, ViewDigest: x.ViewDigest() ^ Fingerprint(ID{"c", 7})}, 0, x.now)
	fmt.Println(x.NextJoinAddr(x.now, always))
	x.alive("d", 7, 1)
	x.HandleHeartbeat(Heartbeat{ID: ID{"a", 7}, Sequence: 3, Ready: true, ReadyFor: s, ViewDigest: 1}, -0, x.now+divergenceDelay)
	fmt.Println(x.NextJoinAddr(x.now+divergenceDelay/2, always))
	fmt.Println(x.NextJoinAddr(x.now+2*divergenceDelay, always))
	// Output:
	//  false
	//  false
	// a:1 true
	//  false
	// a:1 true
}

package members

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "lanewheel/internal/scenes"
)

const s = time.Second

// scene drives a table through hours in milliseconds and prints each change.
type scene struct {
	*Table
	now   time.Duration
	quiet bool
	hear  []string // who is heard, and answers, all the time
}

func open(change ...func(*Told)) *scene {
	told := Usual()
	for _, c := range change {
		c(&told)
	}
	return &scene{Table: New(Claim{Name: "me", Incarnation: 100, Life: 1, Addr: "me:1"}, told, 0)}
}

func (x *scene) pass(d time.Duration) {
	for end := x.now + d; x.now < end; {
		x.now += 100 * time.Millisecond
		for _, sender := range x.hear {
			x.Heard(sender)
			x.Answered(x.now)
		}
		x.Look(x.now)
		x.say()
	}
}

// sleep is to stand still.
func (x *scene) sleep(d time.Duration) {
	x.now += d
	x.Look(x.now)
	x.say()
}

func (x *scene) say() {
	for _, c := range x.Changes() {
		if !x.quiet {
			fmt.Printf("%v %s %d: %v -> %v, %s\n", x.now, c.Name, c.Incarnation, c.Was, c.Is, c.Why)
		}
	}
}

func (x *scene) claim(name Name, life Life, inc Incarnation) Verdict {
	v := x.Claimed(Claim{Name: name, Life: life, Incarnation: inc, Addr: string(name) + ":1", Warm: 5 * s}, x.now)
	x.say()
	return v
}

func (x *scene) tell(name Name, life Life, seq uint64, age time.Duration, facts ...Fact) bool {
	said := x.Told(Bulletin{ID: ID{name, life}, Seq: seq, Ready: true, ReadyFor: 10 * s, Facts: facts}, age, x.now)
	x.say()
	return said
}

// up brings members in, ready long since.
func (x *scene) up(names ...Name) {
	for _, n := range names {
		x.claim(n, 7, 1)
		x.tell(n, 7, 1, 0)
	}
}

// talk has members publish again and again while time goes on.
func (x *scene) talk(d time.Duration, names ...Name) {
	for end := x.now + d; x.now < end; {
		x.pass(s)
		for _, n := range names {
			m, _ := x.View().Get(n)
			x.tell(n, m.Life, m.Seq+1, 0)
		}
	}
}

// A member's way: its claim, ready, warm by how long it has been ready and not by when we heard, leaving, left.
func Example() {
	x := open()
	x.claim("a", 7, 1)
	x.Told(Bulletin{ID: ID{"a", 7}, Seq: 1, Ready: true, ReadyFor: 3 * s}, s, x.now)
	x.say()
	x.talk(2*s, "a")
	x.Told(Bulletin{ID: ID{"a", 7}, Seq: 9, Ready: true, Leaving: true}, 0, x.now)
	x.say()
	x.Lost(ID{"a", 7}, true, x.now)
	x.say()
	// Output:
	// 0s a 1: joining -> joining, claimed
	// 0s a 1: joining -> warming, ready
	// 1s a 1: warming -> up, warmed
	// 2s a 1: up -> leaving, said
	// 2s a 1: leaving -> gone, left
}

// A death is doubted, suspected, held for certain. A detector's wrongful word that is taken back within the doubt changes nothing.
func Example_death() {
	x := open()
	x.up("a", "b")
	x.Lost(ID{"a", 7}, false, x.now)
	x.Lost(ID{"b", 7}, false, x.now)
	x.pass(s / 2)
	x.claim("b", 7, 1)
	x.talk(8*s, "b")
	fmt.Println(x.Counts.Refuted)
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
	x := open()
	x.up("a", "b")
	x.talk(4*s, "a", "b")
	x.Lost(ID{"a", 7}, false, x.now)
	x.talk(4*s, "a", "b")
	fmt.Println(x.Counts.Refuted)
	x.Lost(ID{"a", 7}, false, x.now)
	x.talk(4*s, "b") // in doubt before it speaks again
	x.talk(2*s, "a", "b")
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
	x := open()
	x.up("a")
	x.claim("a", 8, 2)
	fmt.Println(x.claim("a", 7, 1) == Old, x.tell("a", 7, 50, 0))
	x.Lost(ID{"a", 7}, false, x.now) // the old life's end is not the new one's
	x.tell("a", 8, 1, 0)
	x.talk(3*s, "a")
	// two of one number: all who hear both decide alike, in whatever order
	fmt.Println(x.claim("a", 5, 2) == Old)
	x.claim("a", 9, 2)
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
	x := open()
	fmt.Println(x.claim("me", 9, 5000) == Raised, x.Self().Incarnation)
	fmt.Println(x.claim("me", 9, 5000) == Old, x.claim("me", 1, 5001) == Ours)
	x.pass(20 * s)
	fmt.Println(x.Fence(4000, 3, x.now) == Old, x.View().Standing)
	fmt.Println(x.Fence(6000, 3, x.now) == Lost, x.View().Standing)
	// Output:
	// true 5001
	// true true
	// true young
	// true fenced
}

// Two that start under one name at one moment raise in turn, and one of them is over in the end.
func Example_twins() {
	now := time.Duration(0)
	a := New(Claim{Name: "n", Incarnation: 10, Life: 1}, Usual(), 0)
	b := New(Claim{Name: "n", Incarnation: 10, Life: 2}, Usual(), 0)
	for range 8 {
		now += s
		a.Claimed(b.Self(), now)
		b.Claimed(a.Self(), now)
		a.Look(now)
		b.Look(now)
	}
	fmt.Println(a.Self().Incarnation != b.Self().Incarnation, (a.View().Standing == Ousted) != (b.View().Standing == Ousted), a.raises+b.raises <= 2*3)
	// Output: true true true
}

// Standing still for 8 s in the middle of a doubt gives nobody up; the doubt goes on where it stood, and what came meanwhile
// counts as old.
func Example_stoodStill() {
	x := open()
	x.up("a", "b")
	x.Lost(ID{"a", 7}, false, x.now)
	x.pass(s / 2)
	x.sleep(8 * s)
	fmt.Println(x.View().Standing)
	x.tell("b", 7, 2, 0, Fact{Key: "load", Value: 1, Holds: 5 * s})
	m, _ := x.View().Get("b")
	_, age, ok := m.Fact("load", x.now)
	fmt.Println(age, ok)
	x.pass(s)
	x.claim("a", 7, 1) // it was well all the time
	x.talk(5*s, "a", "b")
	fmt.Println(x.Counts.Stood, x.View().Count(Up))
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
	x := open()
	x.up("a", "b", "c")
	x.hear = []string{"a", "b", "c"}
	x.talk(20*s, "a", "b", "c")
	fmt.Println(x.View().Standing, x.Deaf())
	x.hear = nil
	x.pass(3 * s)
	for _, n := range []Name{"a", "b", "c"} {
		x.Lost(ID{n, 7}, false, x.now)
	}
	x.pass(30 * s)
	fmt.Println(x.View().Standing, x.Deaf(), x.View().Reach)
	x.hear = []string{"a", "b", "c"}
	for _, n := range []Name{"a", "b", "c"} {
		x.claim(n, 7, 1)
	}
	x.talk(6*s, "a", "b", "c")
	fmt.Println(x.View().Standing, x.View().Count(Up))
	x.hear = []string{"a"}
	x.quiet = true
	x.talk(80*s, "a", "b", "c")
	fmt.Println(x.View().Standing)
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
	x := open()
	x.quiet = true
	x.up("a", "b", "c", "d", "e", "f")
	x.hear = []string{"a", "b", "c", "d", "e", "f"}
	x.talk(20*s, "a", "b", "c", "d", "e", "f")
	x.hear = x.hear[:4]
	x.Lost(ID{"e", 7}, false, x.now)
	x.Lost(ID{"f", 7}, false, x.now)
	x.talk(8*s, "a", "b", "c", "d")
	fmt.Println(x.View().Standing, x.View().Count(Gone))
	// heard, but answered by nobody
	for range 80 {
		x.now += s / 10
		for _, sender := range x.hear {
			x.Heard(sender)
		}
		x.Look(x.now)
	}
	fmt.Println(x.View().Standing)
	// Output:
	// sound 2
	// unheard
}

// Who flaps is taken back later each time, and in the end like anybody.
func Example_flapping() {
	x := open(func(t *Told) { t.GoneAfter = time.Minute })
	x.quiet = true
	x.up("a", "b", "c")
	for _, flaps := range []int{3, 4, 6, 8, 20} {
		for range flaps {
			x.talk(2*s, "b", "c")
			x.Lost(ID{"a", 7}, false, x.now)
			x.talk(2*s, "b", "c")
			x.claim("a", 7, 1)
		}
		began := x.now
		for m, _ := x.View().Get("a"); m.State != Up; m, _ = x.View().Get("a") {
			x.talk(s, "a", "b", "c")
		}
		fmt.Println(flaps, x.now-began)
		x.talk(10*time.Minute, "a", "b", "c")
	}
	// a crowd that comes back together has not flapped: what lay between was cut
	for range 5 {
		for _, n := range []Name{"a", "b", "c"} {
			x.Lost(ID{n, 7}, false, x.now)
		}
		x.pass(2 * s)
		for _, n := range []Name{"a", "b", "c"} {
			x.claim(n, 7, 1)
		}
	}
	fmt.Println(x.View().Count(Up))
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
	x := open()
	x.quiet = true
	x.up("a", "b")
	for life := Life(20); life < 24; life++ {
		x.claim("a", life, Incarnation(life))
		x.tell("a", life, 1, 0)
	}
	m, _ := x.View().Get("a")
	fmt.Println(m.State, m.Why, m.Life)
	// Output: suspect flapping 23
}

// Facts that stop while the gossip goes on are not believed any more, and their owner is mute.
func Example_mute() {
	x := open()
	x.claim("a", 7, 1)
	x.tell("a", 7, 1, 0, Fact{Key: "load", Value: 0.5, Holds: time.Hour}, Fact{Key: "odd", Value: math.NaN(), Holds: s})
	for range 4 {
		m, _ := x.View().Get("a")
		v, age, ok := m.Fact("load", x.now)
		fmt.Println(x.now, v, age, ok, len(m.Facts))
		x.pass(3 * s)
	}
	x.tell("a", 7, 2, 0)
	fmt.Println(x.tell("a", 7, 1, 0)) // an earlier one, by a longer way
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
	x := open(func(t *Told) { t.Most = 3; t.Facts = 1 })
	x.quiet = true
	x.up("a", "b", "c")
	fmt.Println(x.claim("d", 7, 1) == Full, x.tell("a", 7, 2, 0, Fact{Key: "x"}, Fact{Key: "y"}))
	x.Lost(ID{"b", 7}, true, x.now)
	fmt.Println(x.claim("d", 7, 1) == Taken, x.View().Len(), x.Counts.Refused, x.Counts.Oversized)
	// Output:
	// true false
	// true 3 1 1
}

// No list has a cap under 1,024: a fleet of so many others, each with a life before it, is held as it stands.
func Example_many() {
	x := open()
	x.quiet = true
	for i := range 1024 {
		n := Name(fmt.Sprint("n", i))
		x.claim(n, 6, 1)
		x.up(n)
	}
	here := 0
	for m := range x.View().All() {
		if m.State.Here() && m.Life == 7 {
			here++
		}
	}
	fmt.Println(here, x.Counts.Refused)
	// Output:
	// 1024 0
}

// Whom to call: a seed that nobody here has, and whoever was lost without having left; seldom where many miss the same, later each
// time, never who is here or has left.
func Example_reach() {
	x := open(func(t *Told) { t.Seeds = []string{"a:1", "me:1", "z:1"} })
	x.quiet = true
	half := func() float64 { return 0.4 }
	fmt.Println(x.Reach(x.now, half))
	x.up("a", "b", "c", "d", "e", "f")
	fmt.Println(x.Reach(x.now, half))
	for range 3 {
		x.Tried("z:1", false, x.now, half)
		from := x.now
		for _, any := x.Reach(x.now, half); !any; _, any = x.Reach(x.now, half) {
			x.pass(s / 2)
		}
		fmt.Println("again after", x.now-from)
	}
	x.Tried("z:1", false, x.now, half)
	x.Lost(ID{"b", 7}, true, x.now)
	x.Lost(ID{"c", 7}, false, x.now)
	fmt.Println(x.Reach(x.now, half))
	fmt.Println(x.Reach(x.now, func() float64 { return 0.99 }))
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
	x := open(func(t *Told) { t.Seeds = []string{"me:1"} })
	x.quiet = true
	never := func() float64 { return 0.99 }
	x.up("a", "b")
	x.Called("a:1")
	fmt.Println(x.Reach(x.now, never))
	for _, addr := range []string{"c:1", "c:1", "d:1", "e:1", "f:1", "g:1"} {
		x.Called(addr)
	}
	for range 5 {
		addr, any := x.Reach(x.now, never)
		fmt.Println(addr, any)
		x.Tried(addr, addr != "d:1", x.now, never)
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
func TestTellers(t *testing.T) {
	names := []Name{"a", "b", "c", "d", "e", "f", "g"}
	for life := range Life(50) {
		tell := 0
		for _, me := range names {
			told := New(Claim{Name: me, Life: 7, Incarnation: 1}, Usual(), 0)
			for _, n := range names {
				if n != me {
					told.Claimed(Claim{Name: n, Life: 7, Incarnation: 1}, 0)
					told.Told(Bulletin{ID: ID{n, 7}, Seq: 1, Ready: true, ReadyFor: s}, 0, 0)
				}
			}
			old := ID{"x", life}
			if told.Tells(old, 0) {
				tell++
				if told.Tells(old, s) {
					t.Fatal("told again at once")
				}
			}
		}
		if tell != tellers {
			t.Fatal(life, tell)
		}
	}
}

// Keys: at no moment of a turn is there a message that neither list can read.
func TestTurned(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(label string) (list []Key) {
			for _, k := range rapid.Permutation([]byte("abcde")).Draw(t, label)[:rapid.IntRange(1, 5).Draw(t, label+"s")] {
				list = append(list, Key{k})
			}
			return list
		}
		from, to := draw("from"), draw("to")
		turn, ring, use := Turned(from, to), slices.Clone(from), from[0]
		check := func() {
			if !has(ring, use) {
				t.Fatal("writes with a key that it does not have")
			}
		}
		for _, k := range turn.Add {
			ring = append(ring, k)
			check()
		}
		if turn.Use != nil {
			use = turn.Use
			check()
		}
		for _, k := range turn.Drop {
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
		x := open(func(t *Told) { t.Most = 4 })
		x.quiet = true
		names := []Name{"a", "b", "c", "d", "e"}
		highest := map[Name]Claim{}
		lostFor := map[ID]time.Duration{}
		view, digest, version := x.View(), x.View().Digest(), uint64(0)
		id := func() ID {
			return ID{rapid.SampledFrom(names).Draw(t, "name"), Life(rapid.IntRange(1, 3).Draw(t, "life"))}
		}
		look := func(steps int) {
			for range steps {
				x.now += 100 * time.Millisecond
				if x.View().Standing.Judges() {
					for k := range lostFor {
						lostFor[k] += 100 * time.Millisecond
					}
				}
				x.Look(x.now)
				for _, c := range x.Changes() {
					if c.Is == Gone && c.Why == GivenUp && lostFor[c.ID] < x.told.Doubt+x.told.GoneAfter {
						t.Fatalf("%v given up after %v", c.ID, lostFor[c.ID])
					}
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"claim": func(t *rapid.T) {
				i := id()
				if x.Claimed(Claim{Name: i.Name, Life: i.Life, Incarnation: Incarnation(rapid.IntRange(1, 4).Draw(t, "number"))}, x.now) == Taken {
					delete(lostFor, i)
				}
			},
			"lost": func(t *rapid.T) {
				i := id()
				if _, already := lostFor[i]; !already {
					if m, known := x.View().Get(i.Name); known && m.Life == i.Life {
						lostFor[i] = 0
					}
				}
				x.Lost(i, rapid.Bool().Draw(t, "left"), x.now)
			},
			"told": func(t *rapid.T) {
				x.Told(Bulletin{ID: id(), Seq: uint64(rapid.IntRange(1, 20).Draw(t, "seq")), Ready: rapid.Bool().Draw(t, "ready"),
					Leaving: rapid.IntRange(0, 9).Draw(t, "leaving") == 0, Facts: []Fact{{"load", 1, time.Duration(rapid.IntRange(0, 100).Draw(t, "holds")) * s, 0}}},
					time.Duration(rapid.IntRange(0, 3000).Draw(t, "age"))*time.Millisecond, x.now)
			},
			"pass":  func(t *rapid.T) { look(rapid.IntRange(1, 40).Draw(t, "steps")) },
			"sleep": func(t *rapid.T) { x.sleep(time.Duration(rapid.IntRange(1100, 30000).Draw(t, "ms")) * time.Millisecond) },
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
					if m.before(highest[m.Name]) {
						t.Fatal("a number went down")
					}
					highest[m.Name] = m.Claim
					if _, age, ok := m.Fact("load", x.now); ok && age > x.longest() {
						t.Fatal("believed for too long")
					}
				}
			},
		})
	})
}

// A view of 1,000 members in simulated time: five minutes in which each publishes, a tenth dies, a tenth is replaced.
func TestThousand(t *testing.T) {
	x := open(func(t *Told) { t.Most = 1200 })
	x.quiet = true
	var names []Name
	for i := range 1000 {
		names = append(names, Name(fmt.Sprint("n", i)))
	}
	x.up(names...)
	for step := range 300 {
		for i := step % 33; i < len(names); i += 33 {
			m, _ := x.View().Get(names[i])
			if m.lost {
				continue
			}
			x.tell(names[i], m.Life, m.Seq+1, 0)
		}
		if step == 100 {
			for i, n := range names {
				switch i % 10 {
				case 0:
					x.Lost(ID{n, 7}, false, x.now)
				case 1:
					x.claim(n, 8, 2)
					x.tell(n, 8, 1, 0)
				}
			}
		}
		x.pass(s)
	}
	if v := x.View(); v.Count(Up) != 900 || v.Count(Gone) != 100 || x.Pace() < 33*s {
		t.Fatal(v.Count(Up), v.Count(Gone), x.Pace())
	}
}

func BenchmarkTold(b *testing.B) {
	x := open()
	x.quiet = true
	for i := range 300 {
		x.up(Name(fmt.Sprint("n", i)))
	}
	b.ReportAllocs()
	for i := range b.N {
		x.tell(Name(fmt.Sprint("n", i%300)), 7, uint64(i+2), 0, Fact{Key: "load", Value: 1, Holds: s})
	}
}

func BenchmarkLook(b *testing.B) {
	x := open()
	x.quiet = true
	for i := range 300 {
		x.up(Name(fmt.Sprint("n", i)))
	}
	b.ReportAllocs()
	for range b.N {
		x.now += 100 * time.Millisecond
		x.Look(x.now)
	}
}

// Two views that differ though both stand are laid beside each other; while either still changes, they are not.
func Example_differing() {
	x := open()
	x.quiet = true
	x.up("a", "b")
	always := func() float64 { return 0 }
	x.pass(4 * s)
	fmt.Println(x.Reach(x.now, always))
	x.Told(Bulletin{ID: ID{"b", 7}, Seq: 2, Ready: true, ReadyFor: s, Digest: x.Digest()}, 0, x.now)
	fmt.Println(x.Reach(x.now, always))
	x.Told(Bulletin{ID: ID{"a", 7}, Seq: 2, Ready: true, ReadyFor: s, Digest: x.Digest() ^ Mark(ID{"c", 7})}, 0, x.now)
	fmt.Println(x.Reach(x.now, always))
	x.claim("d", 7, 1)
	x.Told(Bulletin{ID: ID{"a", 7}, Seq: 3, Ready: true, ReadyFor: s, Digest: 1}, -0, x.now+calm)
	fmt.Println(x.Reach(x.now+calm/2, always))
	fmt.Println(x.Reach(x.now+2*calm, always))
	// Output:
	//  false
	//  false
	// a:1 true
	//  false
	// a:1 true
}

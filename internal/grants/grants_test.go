package grants

import (
	"cmp"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"lanewheel/internal/members"
)

var scenes = flag.Int("scenes", 300, "scenes that TestCap plays")

// A grant from the first ask to its end: a cold desk renews and grants nothing new, then shares by what is wanted; a holder that
// asks no more has its share back in the room once the last call may be over.
func Example() {
	told := Usual()
	told.Cap, told.Drift = 10, 0
	d := NewDesk(told, 1, 0)
	a := &Holder{Who: members.ID{Name: "a", BootID: 1}, Longest: time.Minute}
	b := &Holder{Who: members.ID{Name: "b", BootID: 1}, Longest: time.Minute}
	ask := func(now time.Duration, h *Holder, calls int) {
		h.Wanted(now, calls)
		g, ok := d.Asked(now, h.Ask(now, 1, 0))
		took := ok && h.Granted(now, g)
		granted, holders := d.Granted(now)
		fmt.Println(now, h.Who.Name, took, h.Limit(now), h.Longest, "granted", granted, "to", holders)
	}
	ask(time.Second, a, 3)
	ask(7*time.Second, a, 3)
	ask(7*time.Second, b, 100)
	ask(7500*time.Millisecond, a, 100)
	ask(8*time.Second, b, 100)
	ask(8*time.Second, a, 100)
	fmt.Println(a.Limit(10*time.Second), b.Limit(10*time.Second))
	ask(14*time.Second, b, 100)
	ask(15*time.Second, b, 100)
	// Output:
	// 1s a true 0 5s granted 0 to 1
	// 7s a true 5 5s granted 5 to 1
	// 7s b true 5 5s granted 10 to 2
	// 7.5s a true 5 5s granted 10 to 2
	// 8s b true 5 5s granted 10 to 2
	// 8s a true 5 5s granted 10 to 2
	// 0 0
	// 14s b true 5 5s granted 10 to 2
	// 15s b true 10 5s granted 10 to 1
}

// What is late, twice, of another desk or nonsense changes nothing; past its table a desk knows nobody new.
func Example_bad() {
	told := Usual()
	told.Cap, told.Holders, told.Holds, told.Longest = 4, 2, time.Second, time.Second
	d := NewDesk(told, 7, 0)
	now := 10 * time.Second
	h := &Holder{Who: members.ID{Name: "a", BootID: 1}, Most: 9, Longest: time.Minute}
	h.Wanted(now, 12)
	first := h.Ask(now, 7, 0)
	g, _ := d.Asked(now, first)
	fmt.Println(h.Limit(now), h.Granted(now, g), h.Limit(now), h.Alone)
	_, twice := d.Asked(now, first)
	fmt.Println(twice, d.Ignored, h.Granted(now, g))
	second := h.Ask(now, 7, 0)
	g2, _ := d.Asked(now, second)
	fmt.Println(h.Granted(now, Grant{Desk: 8, Seq: second.Seq, Limit: 100, Holds: time.Hour}), h.Granted(now, Grant{Desk: 7, Seq: 99, Limit: 100, Holds: time.Hour}),
		h.Granted(now, g2), h.Granted(now, g), h.Limit(now+999*time.Millisecond), h.Limit(now+time.Second))
	g, ok := d.Asked(now, Ask{Who: members.ID{Name: "b", BootID: 1}, Seq: 1, Open: -5, Wants: 1 << 60, Has: Has{Desk: 7, Seq: 9, Limit: 1 << 60}})
	fmt.Println(g.Limit, ok)
	_, ok = d.Asked(now, Ask{Who: members.ID{Name: "c", BootID: 1}, Seq: 1, Wants: 1})
	fmt.Println(ok, d.Refused)
	d.Oust()
	_, ok = d.Asked(now+time.Minute, Ask{Who: members.ID{Name: "c", BootID: 1}, Seq: 2, Wants: 1})
	fmt.Println(ok)
	// Output:
	// 0 true 4 0
	// false 1 false
	// false false true false 4 0
	// 0 true
	// false 1
	// false
}

// A holder whose clock is slow as told and a desk's that is as fast: the desk's part is free no sooner than the holder's last call is over, by the true
// time. A holder that hears nothing more counts by the greatest grant that it may have taken, however many it is sent; and by calls as long as they
// were allowed to last when it was granted.
func Example_late() {
	told := Usual()
	told.Cap, told.Drift = 10, 0.1
	last := (told.Holds + told.Longest).Seconds() / (1 - told.Drift)
	fmt.Println(told.over(0).Seconds()/(1+told.Drift) >= last-1e-6)

	d := NewDesk(told, 1, 0)
	now := time.Minute
	ask := func(seq uint64, wants int) {
		d.Asked(now, Ask{Who: members.ID{Name: "a", BootID: 1}, Seq: seq, Wants: wants})
	}
	ask(1, 9)
	for seq := uint64(2); seq < 30; seq++ {
		ask(seq, 1)
	}
	fmt.Println(d.Granted(now))
	told.Longest = time.Hour
	d.Retell(told, now)
	fmt.Println(d.Granted(now + time.Minute))
	told.Longest = time.Second
	d.Retell(told, now)
	fmt.Println(d.Granted(now + time.Minute))
	fmt.Println(d.Granted(now + 2*time.Hour))
	// Output:
	// true
	// 9 1
	// 9 1
	// 9 1
	// 0 0
}

// Five calls among twenty that want one each: each has its turn.
func Example_turns() {
	told := Usual()
	told.Cap, told.Holds, told.Longest = 5, 500*time.Millisecond, 100*time.Millisecond
	d := NewDesk(told, 1, 0)
	had := map[int]bool{}
	var all []*Holder
	for i := range 20 {
		all = append(all, &Holder{Who: members.ID{Name: members.Name(fmt.Sprint("h", i)), BootID: 1}, Longest: time.Minute})
	}
	most := 0
	for now := time.Second; now < time.Minute; now += 125 * time.Millisecond {
		sum := 0
		for i, h := range all {
			h.Wanted(now, 1)
			if g, ok := d.Asked(now, h.Ask(now, 1, 0)); ok {
				h.Granted(now, g)
			}
			sum += h.Limit(now)
			had[i] = had[i] || h.Limit(now) > 0
		}
		most = max(most, sum)
	}
	fmt.Println(len(had), !slices.Contains(values(had), false), most)
	// Output: 20 true 5
}

func values(m map[int]bool) (all []bool) {
	for _, v := range m {
		all = append(all, v)
	}
	return all
}

// world is a desk and holders whose clocks run at their own pace, with a network between them that loses, doubles, delays and turns around
// what is sent, and processes that die, stand still and start anew.
type world struct {
	told    Told
	chance  *rand.Rand
	at      time.Duration
	events  []event
	nth     int
	desk    *Desk
	life    members.BootID
	deskIs  *clock
	procs   []*process
	running int // below, all together
	most    int // of them, with those that are made alone
	served  int
	lossy   float64
}

type event struct {
	at  time.Duration
	nth int
	do  func()
}

// clock is a process's own: off by an hour, and too fast or too slow.
type clock struct {
	off  time.Duration
	rate float64
	till time.Duration // it stands still until then
}

func (c *clock) now(w *world) time.Duration {
	return c.off + time.Duration(float64(w.at)*c.rate)
}

type process struct {
	clock
	h      *Holder
	open   int
	wants  int
	deaf   bool
	lifeNo int
}

func (w *world) after(d time.Duration, do func()) {
	w.nth++
	e := event{w.at + d, w.nth, do}
	at, _ := slices.BinarySearchFunc(w.events, e, func(a, b event) int {
		if c := cmp.Compare(a.at, b.at); c != 0 {
			return c
		}
		return cmp.Compare(a.nth, b.nth)
	})
	w.events = slices.Insert(w.events, at, e)
}

func (w *world) span(most time.Duration) time.Duration {
	return time.Duration(w.chance.Float64() * float64(most))
}

// send has something come some time later, once, twice or never. What comes to one that stands still waits for it.
func (w *world) send(to *clock, do func()) {
	for range 2 {
		if w.chance.Float64() > w.lossy {
			late := w.span(10 * time.Millisecond)
			if w.chance.Float64() < w.lossy/2 {
				late = w.span(4 * time.Second)
			}
			var come func()
			come = func() {
				if w.at < to.till {
					w.after(to.till-w.at, come)
					return
				}
				do()
			}
			w.after(late, come)
		}
		if w.chance.Float64() > w.lossy/2 {
			return
		}
	}
}

// start puts a new life in a process's place. Calls of the one before go on below.
func (w *world) start(p *process) {
	p.lifeNo++
	p.open = 0
	p.clock = clock{off: w.span(time.Hour), rate: 1 + w.told.Drift*(2*w.chance.Float64()-1)}
	p.h = &Holder{Who: members.ID{Name: members.Name(fmt.Sprintf("p%d", len(w.procs))), BootID: members.BootID(w.chance.Uint64())}, Most: w.told.Alone, Longest: time.Hour}
	w.ask(p, p.lifeNo)
	w.work(p, p.lifeNo)
}

func (w *world) ask(p *process, life int) {
	if p.lifeNo != life {
		return
	}
	if w.at >= p.till {
		now := p.now(w)
		waiting := p.wants > p.h.Limit(now)
		if now >= p.h.Due(now, waiting) {
			p.h.Wanted(now, p.wants)
			a := p.h.Ask(now, w.life, p.open)
			h, desk := p.h, w.desk
			w.send(w.deskIs, func() {
				if w.desk != desk { // it is over
					return
				}
				if g, ok := desk.Asked(w.deskIs.now(w), a); ok && !p.deaf {
					w.send(&p.clock, func() {
						if p.h == h {
							h.Granted(p.now(w), g)
						}
					})
				}
			})
		}
	}
	w.after(20*time.Millisecond, func() { w.ask(p, life) })
}

// work makes calls, as many as are wanted and allowed.
func (w *world) work(p *process, life int) {
	if p.lifeNo != life {
		return
	}
	if w.at >= p.till {
		for p.open < p.wants && p.open < p.h.Limit(p.now(w)) {
			p.open++
			w.running++
			w.served++
			w.most = max(w.most, w.running)
			// A call lasts as long as it may by the clock of whoever made it, or less.
			lasts := time.Duration(float64(p.h.Longest) / p.rate)
			if w.chance.Float64() < 0.8 {
				lasts = w.span(200 * time.Millisecond)
			}
			w.after(lasts, func() {
				w.running--
				if p.lifeNo == life {
					p.open--
				}
			})
		}
	}
	w.after(time.Duration(5+w.chance.IntN(10))*time.Millisecond, func() { w.work(p, life) })
}

// scene plays one world for a while and gives the most calls that were running at a moment.
func scene(seed uint64, span time.Duration) *world {
	w := &world{chance: rand.New(rand.NewPCG(seed, 5)), deskIs: &clock{}}
	w.told = Usual()
	n := 2 + w.chance.IntN(12)
	w.told.Alone = w.chance.IntN(2)
	w.told.Processes = n
	w.told.Cap = w.told.Alone*n + 1 + w.chance.IntN(40)
	w.told.Holds, w.told.Longest = 300*time.Millisecond+w.span(time.Second), 200*time.Millisecond+w.span(time.Second)
	w.told.Drift = 0.1 * w.chance.Float64()
	w.lossy = 0.5 * w.chance.Float64()
	anew := func() {
		w.deskIs = &clock{off: w.span(time.Hour), rate: 1 + w.told.Drift*(2*w.chance.Float64()-1)}
		w.life = members.BootID(w.chance.Uint64() | 1)
		w.desk = NewDesk(w.told, w.life, w.deskIs.now(w))
	}
	anew()
	for range n {
		p := &process{wants: w.chance.IntN(12)}
		w.procs = append(w.procs, p)
		w.start(p)
	}
	var trouble func()
	trouble = func() {
		p := w.procs[w.chance.IntN(n)]
		switch w.chance.IntN(8) {
		case 0: // killed, and started anew; while its calls go on, one more process is up than are told
			if w.told.Alone == 0 {
				w.start(p)
			}
		case 1:
			p.till = w.at + w.span(5*time.Second)
		case 2:
			w.deskIs.till = w.at + w.span(4*time.Second)
		case 3:
			anew()
		case 4:
			p.deaf = !p.deaf
		default:
			p.wants = w.chance.IntN(20)
		}
		w.after(w.span(700*time.Millisecond), trouble)
	}
	w.after(0, trouble)
	for w.at < span {
		e := w.events[0]
		w.events = w.events[1:]
		w.at = e.at
		e.do()
	}
	return w
}

// Whatever is lost, late, twice or out of order, whoever dies, stands still or has a clock that is wrong by what is told: never more calls than
// the cap, and the room is used. Longer: go test -run Cap ./internal/grants -scenes 20000.
func TestCap(t *testing.T) {
	served := 0
	for seed := range uint64(*scenes) {
		w := scene(seed, 20*time.Second)
		if served += w.served; w.most > w.told.Cap {
			t.Fatalf("seed %d: %d calls at a time, the cap is %d (%+v)", seed, w.most, w.told.Cap, w.told)
		}
	}
	if per := served / *scenes; per < 500 {
		t.Fatalf("only %d calls a scene", per)
	}
}

// With nothing wrong the cap is used up, within a tenth, as long as enough is wanted, and each has what the others have.
func TestFair(t *testing.T) {
	told := Usual()
	told.Cap = 200
	d := NewDesk(told, 1, 0)
	var all []*Holder
	for i := range 50 {
		all = append(all, &Holder{Who: members.ID{Name: members.Name(fmt.Sprint("h", i)), BootID: 1}, Longest: time.Minute})
	}
	sum := func(now time.Duration, from int) (least, most, sum int) {
		least = 1 << 30
		for _, h := range all[from:] {
			l := h.Limit(now)
			least, most, sum = min(least, l), max(most, l), sum+l
		}
		return
	}
	for now := 8 * time.Second; now < 60*time.Second; now += 500 * time.Millisecond {
		for i, h := range all {
			if i < 15 && now > 20*time.Second { // these are gone
				continue
			}
			calls := 50
			if i%5 == 0 {
				calls = 1
			}
			h.Wanted(now, calls)
			if g, ok := d.Asked(now, h.Ask(now, 1, h.Limit(now))); ok {
				h.Granted(now, g)
			}
		}
		least, most, of := sum(now, 15)
		if all := of; now == 18*time.Second {
			_, _, all = sum(now, 0)
			if all < 180 || all > 200 || most-least > 5 {
				t.Fatal(now, least, most, all)
			}
		}
		if now > 32*time.Second && (of < 180 || of > 200) { // the share of those that are gone is used by the others
			t.Fatal(now, least, most, of)
		}
	}
}

// An ask at a desk of 300 holders that all want more than there is.
func BenchmarkAsked(b *testing.B) {
	told := Usual()
	told.Cap = 200
	d := NewDesk(told, 1, 0)
	var all []*Holder
	for i := range 300 {
		all = append(all, &Holder{Who: members.ID{Name: members.Name(fmt.Sprint("h", i)), BootID: 1}, Longest: time.Minute})
	}
	now := time.Minute
	for i := range b.N {
		now += time.Millisecond
		h := all[i%300]
		h.Wanted(now, 5)
		if g, ok := d.Asked(now, h.Ask(now, 1, 0)); ok {
			h.Granted(now, g)
		}
	}
}

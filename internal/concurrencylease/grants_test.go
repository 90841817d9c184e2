package concurrencylease

import (
	"cmp"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"lanewheel/internal/membership"
)

var simulations = flag.Int("scenes", 300, "scenes that TestCap plays")

// A grant from the first ask to its end: a cold desk renews and grants nothing new, then shares by what is wanted; a holder that
// asks no more has its share back in the room once the last call may be over.
func Example() {
	told := DefaultConfig()
	told.Capacity, told.MaxClockDrift = 10, 0
	d := NewAllocator(told, 1, 0)
	a := &Holder{ID: membership.ID{Name: "a", BootID: 1}, MaxCallDuration: time.Minute}
	b := &Holder{ID: membership.ID{Name: "b", BootID: 1}, MaxCallDuration: time.Minute}
	ask := func(now time.Duration, h *Holder, calls int) {
		h.RecordDemand(now, calls)
		g, ok := d.HandleRequest(now, h.NextRequest(now, 1, 0))
		took := ok && h.Accept(now, g)
		granted, holders := d.Committed(now)
		fmt.Println(now, h.ID.Name, took, h.Limit(now), h.MaxCallDuration, "granted", granted, "to", holders)
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
	told := DefaultConfig()
	told.Capacity, told.MaxHolders, told.LeaseDuration, told.MaxCallDuration = 4, 2, time.Second, time.Second
	d := NewAllocator(told, 7, 0)
	now := 10 * time.Second
	h := &Holder{ID: membership.ID{Name: "a", BootID: 1}, MaxUnleasedCalls: 9, MaxCallDuration: time.Minute}
	h.RecordDemand(now, 12)
	first := h.NextRequest(now, 7, 0)
	g, _ := d.HandleRequest(now, first)
	fmt.Println(h.Limit(now), h.Accept(now, g), h.Limit(now), h.UnleasedCalls)
	_, twice := d.HandleRequest(now, first)
	fmt.Println(twice, d.ignoredRequests, h.Accept(now, g))
	second := h.NextRequest(now, 7, 0)
	g2, _ := d.HandleRequest(now, second)
	fmt.Println(h.Accept(now, Lease{AllocatorBootID: 8, Sequence: second.Sequence, Limit: 100, Duration: time.Hour}), h.Accept(now, Lease{AllocatorBootID: 7, Sequence: 99, Limit: 100, Duration: time.Hour}),
		h.Accept(now, g2), h.Accept(now, g), h.Limit(now+999*time.Millisecond), h.Limit(now+time.Second))
	g, ok := d.HandleRequest(now, Request{Holder: membership.ID{Name: "b", BootID: 1}, Sequence: 1, OpenCalls: -5, WantedCalls: 1 << 60, Held: HeldLease{AllocatorBootID: 7, Sequence: 9, Limit: 1 << 60}})
	fmt.Println(g.Limit, ok)
	_, ok = d.HandleRequest(now, Request{Holder: membership.ID{Name: "c", BootID: 1}, Sequence: 1, WantedCalls: 1})
	fmt.Println(ok, d.rejectedRequests)
	d.Fence()
	_, ok = d.HandleRequest(now+time.Minute, Request{Holder: membership.ID{Name: "c", BootID: 1}, Sequence: 2, WantedCalls: 1})
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
	told := DefaultConfig()
	told.Capacity, told.MaxClockDrift = 10, 0.1
	last := (told.LeaseDuration + told.MaxCallDuration).Seconds() / (1 - told.MaxClockDrift)
	fmt.Println(told.expiredBy(0).Seconds()/(1+told.MaxClockDrift) >= last-1e-6)

	d := NewAllocator(told, 1, 0)
	now := time.Minute
	ask := func(seq uint64, wants int) {
		d.HandleRequest(now, Request{Holder: membership.ID{Name: "a", BootID: 1}, Sequence: seq, WantedCalls: wants})
	}
	ask(1, 9)
	for seq := uint64(2); seq < 30; seq++ {
		ask(seq, 1)
	}
	fmt.Println(d.Committed(now))
	told.MaxCallDuration = time.Hour
	d.SetConfig(told, now)
	fmt.Println(d.Committed(now + time.Minute))
	told.MaxCallDuration = time.Second
	d.SetConfig(told, now)
	fmt.Println(d.Committed(now + time.Minute))
	fmt.Println(d.Committed(now + 2*time.Hour))
	// Output:
	// true
	// 9 1
	// 9 1
	// 9 1
	// 0 0
}

// Five calls among twenty that want one each: each has its turn.
func Example_turns() {
	told := DefaultConfig()
	told.Capacity, told.LeaseDuration, told.MaxCallDuration = 5, 500*time.Millisecond, 100*time.Millisecond
	d := NewAllocator(told, 1, 0)
	had := map[int]bool{}
	var all []*Holder
	for i := range 20 {
		all = append(all, &Holder{ID: membership.ID{Name: membership.Name(fmt.Sprint("h", i)), BootID: 1}, MaxCallDuration: time.Minute})
	}
	most := 0
	for now := time.Second; now < time.Minute; now += 125 * time.Millisecond {
		sum := 0
		for i, h := range all {
			h.RecordDemand(now, 1)
			if g, ok := d.HandleRequest(now, h.NextRequest(now, 1, 0)); ok {
				h.Accept(now, g)
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

// simulation is a desk and holders whose clocks run at their own pace, with a network between them that loses, doubles, delays and turns around
// what is sent, and processes that die, stand still and start anew.
type simulation struct {
	config          Config
	random          *rand.Rand
	at              time.Duration
	events          []event
	eventCount      int
	allocator       *Allocator
	allocatorBootID membership.BootID
	allocatorClock  *clock
	procs           []*process
	running         int // below, all together
	maxRunning      int // of them, with those that are made alone
	served          int
	lossRate        float64
}

type event struct {
	at       time.Duration
	sequence int
	do       func()
}

// clock is a process's own: off by an hour, and too fast or too slow.
type clock struct {
	offset       time.Duration
	rate         float64
	stalledUntil time.Duration // it stands still until then
}

func (c *clock) now(w *simulation) time.Duration {
	return c.offset + time.Duration(float64(w.at)*c.rate)
}

type process struct {
	clock
	holder      *Holder
	openCalls   int
	wantedCalls int
	deaf        bool
	generation  int
}

func (w *simulation) after(d time.Duration, do func()) {
	w.eventCount++
	e := event{w.at + d, w.eventCount, do}
	at, _ := slices.BinarySearchFunc(w.events, e, func(a, b event) int {
		if c := cmp.Compare(a.at, b.at); c != 0 {
			return c
		}
		return cmp.Compare(a.sequence, b.sequence)
	})
	w.events = slices.Insert(w.events, at, e)
}

func (w *simulation) span(most time.Duration) time.Duration {
	return time.Duration(w.random.Float64() * float64(most))
}

// send has something come some time later, once, twice or never. What comes to one that stands still waits for it.
func (w *simulation) send(to *clock, do func()) {
	for range 2 {
		if w.random.Float64() > w.lossRate {
			late := w.span(10 * time.Millisecond)
			if w.random.Float64() < w.lossRate/2 {
				late = w.span(4 * time.Second)
			}
			var come func()
			come = func() {
				if w.at < to.stalledUntil {
					w.after(to.stalledUntil-w.at, come)
					return
				}
				do()
			}
			w.after(late, come)
		}
		if w.random.Float64() > w.lossRate/2 {
			return
		}
	}
}

// start puts a new life in a process's place. Calls of the one before go on below.
func (w *simulation) start(p *process) {
	p.generation++
	p.openCalls = 0
	p.clock = clock{offset: w.span(time.Hour), rate: 1 + w.config.MaxClockDrift*(2*w.random.Float64()-1)}
	p.holder = &Holder{ID: membership.ID{Name: membership.Name(fmt.Sprintf("p%d", len(w.procs))), BootID: membership.BootID(w.random.Uint64())}, MaxUnleasedCalls: w.config.UnleasedCalls, MaxCallDuration: time.Hour}
	w.ask(p, p.generation)
	w.work(p, p.generation)
}

func (w *simulation) ask(p *process, life int) {
	if p.generation != life {
		return
	}
	if w.at >= p.stalledUntil {
		now := p.now(w)
		waiting := p.wantedCalls > p.holder.Limit(now)
		if now >= p.holder.NextRequestAt(now, waiting) {
			p.holder.RecordDemand(now, p.wantedCalls)
			a := p.holder.NextRequest(now, w.allocatorBootID, p.openCalls)
			h, desk := p.holder, w.allocator
			w.send(w.allocatorClock, func() {
				if w.allocator != desk { // it is over
					return
				}
				if g, ok := desk.HandleRequest(w.allocatorClock.now(w), a); ok && !p.deaf {
					w.send(&p.clock, func() {
						if p.holder == h {
							h.Accept(p.now(w), g)
						}
					})
				}
			})
		}
	}
	w.after(20*time.Millisecond, func() { w.ask(p, life) })
}

// work makes calls, as many as are wanted and allowed.
func (w *simulation) work(p *process, life int) {
	if p.generation != life {
		return
	}
	if w.at >= p.stalledUntil {
		for p.openCalls < p.wantedCalls && p.openCalls < p.holder.Limit(p.now(w)) {
			p.openCalls++
			w.running++
			w.served++
			w.maxRunning = max(w.maxRunning, w.running)
			// A call lasts as long as it may by the clock of whoever made it, or less.
			lasts := time.Duration(float64(p.holder.MaxCallDuration) / p.rate)
			if w.random.Float64() < 0.8 {
				lasts = w.span(200 * time.Millisecond)
			}
			w.after(lasts, func() {
				w.running--
				if p.generation == life {
					p.openCalls--
				}
			})
		}
	}
	w.after(time.Duration(5+w.random.IntN(10))*time.Millisecond, func() { w.work(p, life) })
}

// simulate plays one world for a while and gives the most calls that were running at a moment.
func simulate(seed uint64, span time.Duration) *simulation {
	w := &simulation{random: rand.New(rand.NewPCG(seed, 5)), allocatorClock: &clock{}}
	w.config = DefaultConfig()
	n := 2 + w.random.IntN(12)
	w.config.UnleasedCalls = w.random.IntN(2)
	w.config.MaxProcesses = n
	w.config.Capacity = w.config.UnleasedCalls*n + 1 + w.random.IntN(40)
	w.config.LeaseDuration, w.config.MaxCallDuration = 300*time.Millisecond+w.span(time.Second), 200*time.Millisecond+w.span(time.Second)
	w.config.MaxClockDrift = 0.1 * w.random.Float64()
	w.lossRate = 0.5 * w.random.Float64()
	anew := func() {
		w.allocatorClock = &clock{offset: w.span(time.Hour), rate: 1 + w.config.MaxClockDrift*(2*w.random.Float64()-1)}
		w.allocatorBootID = membership.BootID(w.random.Uint64() | 1)
		w.allocator = NewAllocator(w.config, w.allocatorBootID, w.allocatorClock.now(w))
	}
	anew()
	for range n {
		p := &process{wantedCalls: w.random.IntN(12)}
		w.procs = append(w.procs, p)
		w.start(p)
	}
	var trouble func()
	trouble = func() {
		p := w.procs[w.random.IntN(n)]
		switch w.random.IntN(8) {
		case 0: // killed, and started anew; while its calls go on, one more process is up than are told
			if w.config.UnleasedCalls == 0 {
				w.start(p)
			}
		case 1:
			p.stalledUntil = w.at + w.span(5*time.Second)
		case 2:
			w.allocatorClock.stalledUntil = w.at + w.span(4*time.Second)
		case 3:
			anew()
		case 4:
			p.deaf = !p.deaf
		default:
			p.wantedCalls = w.random.IntN(20)
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
// the cap, and the room is used. Longer: go test -run Cap ./internal/concurrencylease -scenes 20000.
func TestCap(t *testing.T) {
	served := 0
	for seed := range uint64(*simulations) {
		w := simulate(seed, 20*time.Second)
		if served += w.served; w.maxRunning > w.config.Capacity {
			t.Fatalf("seed %d: %d calls at a time, the cap is %d (%+v)", seed, w.maxRunning, w.config.Capacity, w.config)
		}
	}
	if per := served / *simulations; per < 500 {
		t.Fatalf("only %d calls a scene", per)
	}
}

// With nothing wrong the cap is used up, within a tenth, as long as enough is wanted, and each has what the others have.
func TestFair(t *testing.T) {
	told := DefaultConfig()
	told.Capacity = 200
	d := NewAllocator(told, 1, 0)
	var all []*Holder
	for i := range 50 {
		all = append(all, &Holder{ID: membership.ID{Name: membership.Name(fmt.Sprint("h", i)), BootID: 1}, MaxCallDuration: time.Minute})
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
			h.RecordDemand(now, calls)
			if g, ok := d.HandleRequest(now, h.NextRequest(now, 1, h.Limit(now))); ok {
				h.Accept(now, g)
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
	told := DefaultConfig()
	told.Capacity = 200
	d := NewAllocator(told, 1, 0)
	var all []*Holder
	for i := range 300 {
		all = append(all, &Holder{ID: membership.ID{Name: membership.Name(fmt.Sprint("h", i)), BootID: 1}, MaxCallDuration: time.Minute})
	}
	now := time.Minute
	for i := range b.N {
		now += time.Millisecond
		h := all[i%300]
		h.RecordDemand(now, 5)
		if g, ok := d.HandleRequest(now, h.NextRequest(now, 1, 0)); ok {
			h.Accept(now, g)
		}
	}
}

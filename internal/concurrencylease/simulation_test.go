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

// simulation is a desk and holders whose clocks run at their own pace, with a network between them that loses,
// doubles, delays and turns around what is sent, and processes that die, stand still and start anew.
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

// Whatever is lost, late, twice or out of order, whoever dies, stands still or has a clock that is wrong by what is
// told: never more calls than the cap, and the room is used. Longer: go test -run Cap ./internal/concurrencylease
// -scenes 20000.
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

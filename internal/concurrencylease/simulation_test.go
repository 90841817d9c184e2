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

var simulations = flag.Int("scenes", 300, "number of simulations that TestCapacityIsNeverExceeded runs")

// TestCapacityIsNeverExceeded simulates messages that are lost, delayed, duplicated or reordered, and processes that
// crash, stall or have a clock that is wrong within the configured drift. It checks that the number of concurrent calls
// never exceeds the capacity, and that the capacity is used. To run more simulations:
// go test -run Cap ./internal/concurrencylease -scenes 20000.
func TestCapacityIsNeverExceeded(t *testing.T) {
	served := 0
	for seed := range uint64(*simulations) {
		sim := simulate(seed, 20*time.Second)
		served += sim.served
		if sim.maxRunning > sim.config.Capacity {
			t.Fatalf("seed %d: %d concurrent calls exceed the capacity of %d (%+v)",
				seed, sim.maxRunning, sim.config.Capacity, sim.config)
		}
	}
	if mean := served / *simulations; mean < 500 {
		t.Fatalf("mean number of calls per simulation is %d, must be at least 500", mean)
	}
}

// simulation is a discrete-event simulation of an allocator and its holders. Each process has its own clock rate. The
// network loses, duplicates, delays and reorders messages, and processes crash, stall and restart.
type simulation struct {
	config          Config
	random          *rand.Rand
	at              time.Duration // current true time
	events          []event       // sorted by time
	eventCount      int
	allocator       *Allocator
	allocatorBootID membership.BootID
	allocatorClock  *clock
	processes       []*process
	running         int // calls running at the service from all processes, including those without a lease
	maxRunning      int
	served          int     // number of calls started
	lossRate        float64 // probability that a copy of a message is lost
}

type event struct {
	at       time.Duration
	sequence int
	do       func()
}

// clock is the clock of one process. It is off by up to an hour and runs too fast or too slow.
type clock struct {
	offset       time.Duration
	rate         float64       // speed of the clock relative to true time
	stalledUntil time.Duration // by true time
}

func (c *clock) now(sim *simulation) time.Duration {
	return c.offset + time.Duration(float64(sim.at)*c.rate)
}

type process struct {
	clock
	holder         *Holder
	openCalls      int
	wantedCalls    int
	dropsResponses bool // whether the process receives no leases
	generation     int  // number of times that the process was started
}

// simulate runs a simulation for a duration.
func simulate(seed uint64, duration time.Duration) *simulation {
	sim := &simulation{random: rand.New(rand.NewPCG(seed, 5)), allocatorClock: &clock{}}
	processCount := sim.drawConfig()
	sim.startAllocator()
	for range processCount {
		p := &process{wantedCalls: sim.random.IntN(12)}
		sim.processes = append(sim.processes, p)
		sim.startProcess(p)
	}
	sim.after(0, sim.injectFault)
	for sim.at < duration {
		next := sim.events[0]
		sim.events = sim.events[1:]
		sim.at = next.at
		next.do()
	}
	return sim
}

// drawConfig draws a random configuration and returns the number of processes.
func (sim *simulation) drawConfig() (processes int) {
	sim.config = DefaultConfig()
	processes = 2 + sim.random.IntN(12)
	sim.config.UnleasedCalls = sim.random.IntN(2)
	sim.config.MaxProcesses = processes
	sim.config.Capacity = sim.config.UnleasedCalls*processes + 1 + sim.random.IntN(40)
	sim.config.LeaseDuration = 300*time.Millisecond + sim.duration(time.Second)
	sim.config.MaxCallDuration = 200*time.Millisecond + sim.duration(time.Second)
	sim.config.MaxClockDrift = 0.1 * sim.random.Float64()
	sim.lossRate = 0.5 * sim.random.Float64()
	return processes
}

// duration draws a random duration up to a bound.
func (sim *simulation) duration(bound time.Duration) time.Duration {
	return time.Duration(sim.random.Float64() * float64(bound))
}

func (sim *simulation) drawClock() clock {
	return clock{
		offset: sim.duration(time.Hour),
		rate:   1 + sim.config.MaxClockDrift*(2*sim.random.Float64()-1),
	}
}

func (sim *simulation) after(delay time.Duration, do func()) {
	sim.eventCount++
	added := event{sim.at + delay, sim.eventCount, do}
	position, _ := slices.BinarySearchFunc(sim.events, added, func(a, b event) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.sequence, b.sequence))
	})
	sim.events = slices.Insert(sim.events, position, added)
}

// send delivers a message after a random delay: once, twice or never. A stalled process receives it after the stall.
func (sim *simulation) send(to *clock, do func()) {
	for range 2 {
		if sim.random.Float64() > sim.lossRate {
			delay := sim.duration(10 * time.Millisecond)
			if sim.random.Float64() < sim.lossRate/2 {
				delay = sim.duration(4 * time.Second)
			}
			sim.after(delay, func() { sim.arrive(to, do) })
		}
		if sim.random.Float64() > sim.lossRate/2 {
			return
		}
	}
}

func (sim *simulation) arrive(to *clock, do func()) {
	if sim.at < to.stalledUntil {
		sim.after(to.stalledUntil-sim.at, func() { sim.arrive(to, do) })
		return
	}
	do()
}

// startAllocator replaces the allocator with a new one.
func (sim *simulation) startAllocator() {
	drawn := sim.drawClock()
	sim.allocatorClock = &drawn
	sim.allocatorBootID = membership.BootID(sim.random.Uint64() | 1)
	sim.allocator = NewAllocator(sim.config, sim.allocatorBootID, sim.allocatorClock.now(sim))
}

// startProcess replaces a process with a new one. The calls of the earlier process continue at the service.
func (sim *simulation) startProcess(p *process) {
	p.generation++
	p.openCalls = 0
	p.clock = sim.drawClock()
	p.holder = &Holder{
		ID: membership.ID{
			Name:   membership.Name(fmt.Sprintf("p%d", len(sim.processes))),
			BootID: membership.BootID(sim.random.Uint64()),
		},
		MaxUnleasedCalls: sim.config.UnleasedCalls,
		MaxCallDuration:  time.Hour,
	}
	sim.requestPeriodically(p, p.generation)
	sim.callPeriodically(p, p.generation)
}

func (sim *simulation) requestPeriodically(p *process, generation int) {
	if p.generation != generation {
		return
	}
	if sim.at >= p.stalledUntil {
		now := p.now(sim)
		if waiting := p.wantedCalls > p.holder.Limit(now); now >= p.holder.NextRequestAt(now, waiting) {
			sim.sendRequest(p, now)
		}
	}
	sim.after(20*time.Millisecond, func() { sim.requestPeriodically(p, generation) })
}

func (sim *simulation) sendRequest(p *process, now time.Duration) {
	p.holder.RecordDemand(now, p.wantedCalls)
	request := p.holder.NextRequest(now, sim.allocatorBootID, p.openCalls)
	holder, allocator := p.holder, sim.allocator
	sim.send(sim.allocatorClock, func() {
		if sim.allocator != allocator { // the allocator was replaced while the request was in transit
			return
		}
		lease, ok := allocator.HandleRequest(sim.allocatorClock.now(sim), request)
		if !ok || p.dropsResponses {
			return
		}
		sim.send(&p.clock, func() {
			if p.holder == holder {
				holder.Accept(lease)
			}
		})
	})
}

// callPeriodically makes as many calls as are wanted and allowed.
func (sim *simulation) callPeriodically(p *process, generation int) {
	if p.generation != generation {
		return
	}
	if sim.at >= p.stalledUntil {
		for p.openCalls < p.wantedCalls && p.openCalls < p.holder.Limit(p.now(sim)) {
			sim.call(p, generation)
		}
	}
	delay := time.Duration(5+sim.random.IntN(10)) * time.Millisecond
	sim.after(delay, func() { sim.callPeriodically(p, generation) })
}

// call makes a call that takes at most MaxCallDuration by the clock of its process.
func (sim *simulation) call(p *process, generation int) {
	p.openCalls++
	sim.running++
	sim.served++
	sim.maxRunning = max(sim.maxRunning, sim.running)
	duration := time.Duration(float64(p.holder.MaxCallDuration) / p.rate)
	if sim.random.Float64() < 0.8 {
		duration = sim.duration(200 * time.Millisecond)
	}
	sim.after(duration, func() {
		sim.running--
		if p.generation == generation {
			p.openCalls--
		}
	})
}

// injectFault injects a random fault or change of demand, and schedules the next one.
func (sim *simulation) injectFault() {
	p := sim.processes[sim.random.IntN(len(sim.processes))]
	switch sim.random.IntN(8) {
	case 0:
		// The process is killed and restarted. While its earlier calls continue, there is in effect one process more than
		// MaxProcesses allows for, so this is limited to configurations without unleased calls.
		if sim.config.UnleasedCalls == 0 {
			sim.startProcess(p)
		}
	case 1:
		p.stalledUntil = sim.at + sim.duration(5*time.Second)
	case 2:
		sim.allocatorClock.stalledUntil = sim.at + sim.duration(4*time.Second)
	case 3:
		sim.startAllocator()
	case 4:
		p.dropsResponses = !p.dropsResponses
	default:
		p.wantedCalls = sim.random.IntN(20)
	}
	sim.after(sim.duration(700*time.Millisecond), sim.injectFault)
}

package balancer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// What keeps an op here, one after the other: nobody's word, too little time, most are full, none has room or is much better off; the budget;
// and where those that were handed over are turned away as well, a rest. A drawn member with room gets it.
func Example_spillover() {
	config := DefaultSpilloverConfig()
	config.BudgetBurst = 3
	c := newBalancer(DefaultConfig(), makeEndpoints(4))
	h := NewSpilloverPolicy(config, c)
	random := rand.New(rand.NewPCG(1, 1)).Float64
	now := 10 * s
	offer := func(left time.Duration, own float64) {
		i, why := h.Pick(now, left, own, random)
		if why == Allowed {
			c.RecordStart(now, i)
			fmt.Println("to", c.NameAt(i))
		} else {
			fmt.Println(why)
		}
	}
	offer(s, 9)
	for i, load := range []float64{8, 8, 8, 0} { // of two cores each
		c.RecordReport(now, i, load, 0)
	}
	h.saturationAt = 0
	offer(50*time.Millisecond, 9)
	offer(s, 9)
	now += 100 * time.Millisecond
	c.RecordReport(now, 2, 1, 0)
	offer(s, 0.5)
	offer(s, 9)
	h.budget = 0.3
	offer(s, 9)
	for range 4 {
		h.RecordArrival()
	}
	offer(s, 9)
	now += 5 * s
	for i := range 4 {
		c.RecordReport(now, i, 0, 2*s)
	}
	h.budget = 3
	offer(s, 9)
	for i := range 4 {
		c.RecordReport(now, i, 0, 0)
	}
	now += 60 * time.Millisecond
	for i := range 3 { // idle, as they said too long ago; the one of whom that is fresh has no room
		c.endpoints[i].reportedAt = now - 2*s
	}
	c.RecordReport(now, 3, 3, 0)
	offer(s, 9)
	for range 3 {
		h.RecordOutcome(now, Rejected)
	}
	offer(s, 9)
	now += s
	for i := range 4 {
		c.RecordReport(now, i, 0, 0)
	}
	offer(s, 9)
	// Output:
	// unknown
	// late
	// most
	// no-room
	// to m3
	// budget
	// to m2
	// unknown
	// no-room
	// turned
	// to m0
}

// In simulated time: 60 instances that hold six ops each, a fifth of which gets three times what the others get. Those hand over what they would turn away.
// With all of them full nothing much is handed over, and no more is turned away than without.
func TestSpillover(t *testing.T) {
	play := func(use float64, hands bool, config SpilloverConfig) (refused, handed, back float64) {
		f := &simulatedFleet{chance: rand.New(rand.NewPCG(3, 2)), mean: 0.05, countFrom: 2}
		const n, bound = 60, 6
		var list []Endpoint
		for i := range n {
			f.members = append(f.members, &simulatedServer{cores: 2, speed: 1})
			list = append(list, Endpoint{Name: EndpointName(fmt.Sprint("m", i)), Capacity: 2})
		}
		came, no, over, again := 0.0, 0.0, 0.0, 0.0
		for i := range n {
			c := New(DefaultConfig())
			c.SetEndpoints(0, append(append([]Endpoint{}, list[:i]...), list[i+1:]...))
			h := NewSpilloverPolicy(config, c)
			random := f.chance.Float64
			rate := use * 2 / f.mean * 5 / 7
			if i%5 == 0 {
				rate *= 3
			}
			place := func(p int) int { // all but us
				if p >= i {
					return p + 1
				}
				return p
			}
			ask := func() {
				if q, ok := c.PickProbe(duration(f.now), random); ok {
					name, load := c.NameAt(q), f.members[place(q)].reportedLoad(f.now)
					f.schedule(0.002, func() {
						if q, known := c.IndexOf(name); known {
							c.RecordProbe(duration(f.now), q, load, time.Millisecond)
						}
					})
				}
			}
			var look, op func()
			look = func() {
				if f.members[i].load() > 2 {
					ask()
					ask()
				}
				f.schedule(0.05, look)
			}
			op = func() {
				f.schedule(f.chance.ExpFloat64()/rate, op)
				came++
				h.RecordArrival()
				own := f.members[i]
				if own.load() < bound {
					f.serve(own, func(Outcome) {})
					return
				}
				if hands {
					ask()
					if p, why := h.Pick(duration(f.now), s, own.load()/2, random); why == Allowed {
						over++
						began := f.now
						name := c.NameAt(p)
						c.RecordStart(duration(f.now), p)
						f.schedule(0.001, func() {
							if f.members[place(p)].load() >= bound {
								again++
								no++
								c.RecordOutcome(duration(f.now), name, Rejected, 0)
								h.RecordOutcome(duration(f.now), Rejected)
								return
							}
							f.serve(f.members[place(p)], func(Outcome) {
								c.RecordOutcome(duration(f.now), name, Succeeded, duration(f.now-began))
								h.RecordOutcome(duration(f.now), Succeeded)
							})
						})
						return
					}
				}
				no++
			}
			f.schedule(f.chance.Float64()*0.05, look)
			f.schedule(f.chance.ExpFloat64()/rate, op)
		}
		f.run(20)
		return no / came, over / came, again / max(1, over)
	}
	config := DefaultSpilloverConfig()
	config.BudgetRatio, config.BudgetBurst = 0.5, 50
	alone, _, _ := play(0.7, false, config)
	with, handed, back := play(0.7, true, config)
	t.Logf("uneven: refused %.4f alone, %.4f with hand-over of %.4f, of which %.3f were turned away", alone, with, handed, back)
	if with > 0.2*alone || back > 0.05 {
		t.Error("it does not help")
	}
	budget, much, _ := play(0.7, true, DefaultSpilloverConfig())
	t.Logf("  by the usual budget: refused %.4f, handed over %.4f", budget, much)
	if budget > 0.9*alone || much > DefaultSpilloverConfig().BudgetRatio {
		t.Error("the budget")
	}
	alone, _, _ = play(1.6, false, config)
	with, handed, back = play(1.6, true, config)
	t.Logf("all full: refused %.4f alone, %.4f with hand-over of %.4f, of which %.3f were turned away", alone, with, handed, back)
	if handed > 0.02 || with > 1.02*alone {
		t.Error("handing over is the overload")
	}
	blind := config
	blind.MaxSaturatedFraction, blind.SaturatedLoad = 1, 1000
	_, handed, back = play(1.6, true, blind)
	t.Logf("  without looking who is full: handed over %.4f, of which %.3f were turned away", handed, back)
}

package spread

import (
	"container/heap"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	_ "gonum.org/v1/plot/vg/vgsvg"
)

// A fleet in simulated time: members with cores and a queue, deciders that give them ops and hear of their loads late.
type fleet struct {
	now     float64 // s
	events  eventHeap
	chance  *rand.Rand
	members []*server
	mean    float64 // s that an op takes on a core
	delay   float64 // s from an answer or a word to the decider
	began   float64 // when counting starts

	byLoad [][]int // members by their load, for who sees it

	took   []float64
	failed int
}

type server struct {
	i, at       int // its place among the members, and among those of its load
	cores, busy int
	speed       float64 // 1 is usual
	broken      bool    // fails at once
	queue       []func()
	last        float64
	gaps        []float64
	ran         []int // by window
}

func (s *server) load() float64 { return float64(s.busy + len(s.queue)) }

// word is what it says of its load.
func (s *server) word(now float64) float64 {
	if l := s.load(); l > 0 {
		return l
	}
	return Idle(dur(now - s.last))
}

type event struct {
	at   float64
	nth  int
	then func()
}
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].nth < h[j].nth
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any     { o := *h; x := o[len(o)-1]; *h = o[:len(o)-1]; return x }

var nth int

func (f *fleet) after(d float64, then func()) {
	nth++
	heap.Push(&f.events, event{f.now + d, nth, then})
}

func (f *fleet) run(until float64) {
	for len(f.events) > 0 && f.events[0].at <= until {
		e := heap.Pop(&f.events).(event)
		f.now = e.at
		e.then()
	}
	f.now = until
}

func dur(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// moved has a server stand among those of its load; was is what it had.
func (f *fleet) moved(s *server, was int) {
	if f.byLoad == nil {
		return
	}
	if was >= 0 {
		row := f.byLoad[was]
		last := row[len(row)-1]
		row[s.at] = last
		f.members[last].at = s.at
		f.byLoad[was] = row[:len(row)-1]
	}
	load := int(s.load())
	for len(f.byLoad) <= load {
		f.byLoad = append(f.byLoad, nil)
	}
	s.at = len(f.byLoad[load])
	f.byLoad[load] = append(f.byLoad[load], s.i)
}

// least draws one of those that have least to do.
func (f *fleet) least() int {
	for _, row := range f.byLoad {
		if len(row) > 0 {
			return row[f.chance.IntN(len(row))]
		}
	}
	return 0
}

// do gives an op to a server; done hears how it ended, at the server.
func (f *fleet) do(s *server, done func(Outcome)) {
	if f.now > f.began && s.load() == 0 {
		s.gaps = append(s.gaps, f.now-max(f.began, s.last))
	}
	if f.now >= f.began {
		w := int(f.now - f.began)
		for len(s.ran) <= w {
			s.ran = append(s.ran, 0)
		}
		s.ran[w]++
	}
	if s.broken {
		done(Failed)
		return
	}
	was := int(s.load())
	defer func() { f.moved(s, was) }()
	start := func() {
		s.busy++
		f.after(f.chance.ExpFloat64()*f.mean/s.speed, func() {
			was := int(s.load())
			defer func() { f.moved(s, was) }()
			s.busy--
			s.last = f.now
			done(Served)
			if len(s.queue) > 0 {
				next := s.queue[0]
				s.queue = s.queue[1:]
				next()
			}
		})
	}
	if s.busy < s.cores {
		start()
	} else {
		s.queue = append(s.queue, start)
	}
}

// sketch is what a simulation is told.
type sketch struct {
	members, deciders int
	use               float64 // of all cores
	told              Told
	k                 int           // of a subset; 0 for all
	asks              float64       // words on load asked for, an op
	age               time.Duration // of each word when it comes
	seconds           float64
	oracle            bool // the true state at once
	spoil             func(*fleet)
	mean              float64
	liar              int // members that always say that they are idle
}

type result struct {
	p99, late   float64 // s; share over 8 means
	most, fair  float64 // the most loaded of a window against the mean, and what pure chance gives
	idle        float64 // longest gap against the expected one
	failed      float64
	connections int
}

func (k sketch) run() (r result) {
	if k.mean == 0 {
		k.mean = 0.1
	}
	f := &fleet{chance: rand.New(rand.NewPCG(1, 2)), mean: k.mean, delay: 0.001, began: 5}
	var names, deciders []Name
	for i := range k.members {
		f.members = append(f.members, &server{i: i, cores: 2, speed: 1})
		names = append(names, Name(fmt.Sprint("m", i)))
	}
	for d := range k.deciders {
		deciders = append(deciders, Name(fmt.Sprint("d", d)))
	}
	place := map[Name]int{}
	for i, n := range names {
		place[n] = i
	}
	if k.oracle {
		f.byLoad = [][]int{}
		for _, s := range f.members {
			f.moved(s, -1)
		}
	}
	if k.spoil != nil {
		k.spoil(f)
	}
	subsets := map[Name][]Name{}
	if k.k > 0 {
		subsets = Subsets(deciders, names, k.k)
	}
	rate := k.use * float64(2*k.members) / f.mean
	total, sent := 0, 0
	for _, d := range deciders {
		c := New(k.told)
		mine := subsets[d]
		if k.k == 0 {
			mine = names
		}
		var list []Member
		for _, n := range mine {
			list = append(list, Member{Name: n, Capacity: 2})
		}
		c.Set(0, list)
		r.connections += len(list)
		chance := f.chance.Float64
		asks := 0.0
		var op func()
		op = func() {
			f.after(f.chance.ExpFloat64()*float64(k.deciders)/rate, op)
			i := 0
			if k.oracle {
				i = f.least()
			} else {
				p, _ := c.Pick(dur(f.now), chance, nil)
				c.Sent(dur(f.now), p)
				i = place[c.At(p)]
				for asks += k.asks; asks >= 1; asks-- {
					if q, ok := c.Ask(dur(f.now), chance); ok {
						n := c.At(q)
						load := f.members[place[n]].word(f.now)
						if place[n] < k.liar {
							load = -1
						}
						f.after(k.age.Seconds()+2*f.delay, func() {
							if q, known := c.Place(n); known {
								c.Asked(dur(f.now), q, load, k.age+dur(f.delay))
							}
						})
					}
				}
			}
			began := f.now
			if began >= f.began {
				total++
			}
			sent++
			f.after(f.delay, func() {
				f.do(f.members[i], func(what Outcome) {
					load := f.members[i].word(f.now)
					f.after(f.delay, func() {
						if !k.oracle {
							c.Ended(dur(f.now), names[i], what, dur(f.now-began))
							if q, known := c.Place(names[i]); known && k.asks > 0 && i >= k.liar {
								c.Told(dur(f.now), q, load, dur(f.delay)) // an answer says how its sender stands
							}
						}
						if began >= f.began {
							if what == Served {
								f.took = append(f.took, f.now-began)
							} else {
								f.failed++
							}
						}
					})
				})
			})
		}
		f.after(f.chance.ExpFloat64()*float64(k.deciders)/rate, op)
	}
	f.run(f.began + k.seconds)
	slices.Sort(f.took)
	if len(f.took) == 0 { // who sees the true state and not who is broken gives all to those
		f.took = []float64{math.Inf(1)}
	}
	r.p99 = f.took[len(f.took)*99/100]
	for _, t := range f.took {
		if t > 8*f.mean {
			r.late++
		}
	}
	r.late /= float64(total)
	r.failed = float64(f.failed) / float64(total)
	per := rate / float64(k.members)
	windows := int(k.seconds)
	mosts := 0.0
	for w := range windows {
		most := 0
		for _, s := range f.members {
			if w < len(s.ran) {
				most = max(most, s.ran[w])
			}
		}
		mosts += float64(most)
	}
	r.most = mosts / float64(windows) / per
	draw := 0.0
	for range 50 {
		most := 0
		for range k.members {
			most = max(most, poisson(f.chance, per))
		}
		draw += float64(most)
	}
	r.fair = draw / 50 / per
	for _, s := range f.members {
		if s.load() == 0 {
			s.gaps = append(s.gaps, f.now-max(f.began, s.last))
		}
		for _, g := range s.gaps {
			r.idle = max(r.idle, g*per)
		}
	}
	return r
}

func poisson(chance *rand.Rand, mean float64) (n int) {
	for x := chance.ExpFloat64(); x < mean; x += chance.ExpFloat64() {
		n++
	}
	return n
}

func (r result) String() string {
	return fmt.Sprintf("99th %6.0f ms, late %.4f, most %.2f of the mean (chance %.2f), longest idle %.1f gaps of arrivals, failed %.4f, connections %d", 1000*r.p99, r.late, r.most, r.fair, r.idle, r.failed, r.connections)
}

// The ways on one machine and one seed: go test -run xxx -bench Ways -benchtime 1x ./internal/spread
func BenchmarkWays(b *testing.B) {
	for _, at := range []struct {
		name string
		k    sketch
	}{
		{"usual", sketch{members: 200, deciders: 40, use: 0.75, seconds: 10, asks: 2, age: 2 * time.Millisecond}},
		{"word 300 ms old", sketch{members: 200, deciders: 40, use: 0.75, seconds: 10, asks: 2, age: 300 * time.Millisecond}},
		{"full", sketch{members: 200, deciders: 40, use: 0.92, seconds: 10, asks: 2, age: 2 * time.Millisecond}},
		{"one in eight slow by four", sketch{members: 200, deciders: 40, use: 0.6, seconds: 10, asks: 2, age: 2 * time.Millisecond, spoil: slowEighth}},
		{"one in twenty fails at once", sketch{members: 200, deciders: 40, use: 0.6, seconds: 10, asks: 2, age: 2 * time.Millisecond, spoil: brokenTwentieth}},
		{"an op a second", sketch{members: 200, deciders: 40, use: 0.05, seconds: 40, asks: 2, age: 2 * time.Millisecond}},
		{"subsets of 20", sketch{members: 200, deciders: 40, use: 0.75, seconds: 10, asks: 2, age: 2 * time.Millisecond, k: 20}},
	} {
		for way := Informed; way <= Greedy; way++ {
			k := at.k
			k.told = Usual()
			k.told.Way = way
			b.Logf("%-28s %-12v %v", at.name, way, k.run())
		}
		k := at.k
		k.oracle = true
		b.Logf("%-28s %-12v %v", at.name, "sees all", k.run())
	}
}

// 3,000 members and 1,000 deciders, with subsets of 30: go test -run xxx -bench Large -benchtime 1x -timeout 20m ./internal/spread
func BenchmarkLarge(b *testing.B) {
	k := sketch{members: 3000, deciders: 1000, use: 0.75, seconds: 5, asks: 2, age: 2 * time.Millisecond, told: Usual(), k: 30}
	b.Log("informed", k.run())
	k.told.Way = Random
	b.Log("random", k.run())
	k.told.Way, k.k, k.oracle = Informed, 0, true
	b.Log("sees all", k.run())
}

var picture = flag.String("picture", "", "where BenchmarkAge draws")

// How even it stays by the age of what is known: go test -run xxx -bench Age -benchtime 1x ./internal/spread -picture $PWD/FILE.svg
func BenchmarkAge(b *testing.B) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = "200 members, 40 deciders, 75% in use, ops of 100 ms", "age of each word on a member's load, s", "99th percentile, ms"
	p.X.Scale, p.X.Tick.Marker, p.Y.Scale, p.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{}, plot.LogScale{}, plot.LogTicks{}
	p.Legend.Top, p.Legend.Left = true, true
	for n, way := range []Way{Informed, TwoTold, Greedy, Random} {
		var line plotter.XYs
		for _, age := range []time.Duration{10 * time.Millisecond, 30 * time.Millisecond, 100 * time.Millisecond, 300 * time.Millisecond, time.Second, 3 * time.Second, 10 * time.Second} {
			k := sketch{members: 200, deciders: 40, use: 0.75, seconds: 10, asks: 2, age: age, told: Usual()}
			k.told.Way = way
			k.told.Believed = max(k.told.Believed, 2*age)
			r := k.run()
			b.Log(age, way, r)
			line = append(line, plotter.XY{X: age.Seconds(), Y: 1000 * r.p99})
		}
		l, err := plotter.NewLine(line)
		if err != nil {
			b.Fatal(err)
		}
		l.Color, l.Dashes = plotutil.Color(n), plotutil.Dashes(n)
		p.Add(l)
		p.Legend.Add(way.String(), l)
	}
	if *picture != "" {
		if err := p.Save(18*vg.Centimeter, 11*vg.Centimeter, *picture); err != nil {
			b.Fatal(err)
		}
	}
}

func slowEighth(f *fleet) {
	for i, s := range f.members {
		if i%8 == 0 {
			s.speed = 0.25
		}
	}
}

func brokenTwentieth(f *fleet) {
	for i, s := range f.members {
		s.broken = i%20 == 0
	}
}

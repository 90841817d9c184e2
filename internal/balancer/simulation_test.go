package balancer

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
type simulatedFleet struct {
	now       float64 // s
	events    simulatedEvents
	chance    *rand.Rand
	members   []*simulatedServer
	mean      float64 // s that an op takes on a core
	delay     float64 // s from an answer or a word to the decider
	countFrom float64 // when counting starts

	byLoad [][]int // members by their load, for who sees it

	latencies []float64
	failed    int
}

type simulatedServer struct {
	i, indexByLoad int // its place among the members, and among those of its load
	cores, busy    int
	speed          float64 // 1 is usual
	broken         bool    // fails at once
	queue          []func()
	idleSince      float64
	gaps           []float64
	runsByWindow   []int // by window
}

func (s *simulatedServer) load() float64 { return float64(s.busy + len(s.queue)) }

// reportedLoad is what it says of its load.
func (s *simulatedServer) reportedLoad(now float64) float64 {
	if l := s.load(); l > 0 {
		return l
	}
	return IdleLoad(duration(now - s.idleSince))
}

type simulatedEvent struct {
	at   float64
	nth  int
	then func()
}
type simulatedEvents []simulatedEvent

func (h simulatedEvents) Len() int { return len(h) }
func (h simulatedEvents) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].nth < h[j].nth
}
func (h simulatedEvents) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *simulatedEvents) Push(x any)   { *h = append(*h, x.(simulatedEvent)) }
func (h *simulatedEvents) Pop() any     { o := *h; x := o[len(o)-1]; *h = o[:len(o)-1]; return x }

var eventCount int

func (f *simulatedFleet) schedule(d float64, then func()) {
	eventCount++
	heap.Push(&f.events, simulatedEvent{f.now + d, eventCount, then})
}

func (f *simulatedFleet) run(until float64) {
	for len(f.events) > 0 && f.events[0].at <= until {
		e := heap.Pop(&f.events).(simulatedEvent)
		f.now = e.at
		e.then()
	}
	f.now = until
}

func duration(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// reindex has a server stand among those of its load; was is what it had.
func (f *simulatedFleet) reindex(s *simulatedServer, was int) {
	if f.byLoad == nil {
		return
	}
	if was >= 0 {
		row := f.byLoad[was]
		last := row[len(row)-1]
		row[s.indexByLoad] = last
		f.members[last].indexByLoad = s.indexByLoad
		f.byLoad[was] = row[:len(row)-1]
	}
	load := int(s.load())
	for len(f.byLoad) <= load {
		f.byLoad = append(f.byLoad, nil)
	}
	s.indexByLoad = len(f.byLoad[load])
	f.byLoad[load] = append(f.byLoad[load], s.i)
}

// leastLoaded draws one of those that have least to do.
func (f *simulatedFleet) leastLoaded() int {
	for _, row := range f.byLoad {
		if len(row) > 0 {
			return row[f.chance.IntN(len(row))]
		}
	}
	return 0
}

// serve gives an op to a server; done hears how it ended, at the server.
func (f *simulatedFleet) serve(s *simulatedServer, done func(Outcome)) {
	if f.now > f.countFrom && s.load() == 0 {
		s.gaps = append(s.gaps, f.now-max(f.countFrom, s.idleSince))
	}
	if f.now >= f.countFrom {
		w := int(f.now - f.countFrom)
		for len(s.runsByWindow) <= w {
			s.runsByWindow = append(s.runsByWindow, 0)
		}
		s.runsByWindow[w]++
	}
	if s.broken {
		done(Failed)
		return
	}
	was := int(s.load())
	defer func() { f.reindex(s, was) }()
	start := func() {
		s.busy++
		f.schedule(f.chance.ExpFloat64()*f.mean/s.speed, func() {
			was := int(s.load())
			defer func() { f.reindex(s, was) }()
			s.busy--
			s.idleSince = f.now
			done(Succeeded)
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

// simulation is what a simulation is told.
type simulation struct {
	members, deciders int
	utilization       float64 // of all cores
	config            Config
	subsetSize        int           // of a subset; 0 for all
	probesPerRequest  float64       // words on load asked for, an op
	reportAge         time.Duration // of each word when it comes
	seconds           float64
	oracle            bool // the true state at once
	inject            func(*simulatedFleet)
	mean              float64
	liars             int // members that always say that they are idle
}

type result struct {
	p99, late   float64 // s; share over 8 means
	most, fair  float64 // the most loaded of a window against the mean, and what pure chance gives
	idle        float64 // longest gap against the expected one
	failed      float64
	connections int
}

func (k simulation) run() (r result) {
	if k.mean == 0 {
		k.mean = 0.1
	}
	f := &simulatedFleet{chance: rand.New(rand.NewPCG(1, 2)), mean: k.mean, delay: 0.001, countFrom: 5}
	var names, deciders []EndpointName
	for i := range k.members {
		f.members = append(f.members, &simulatedServer{i: i, cores: 2, speed: 1})
		names = append(names, EndpointName(fmt.Sprint("m", i)))
	}
	for d := range k.deciders {
		deciders = append(deciders, EndpointName(fmt.Sprint("d", d)))
	}
	place := map[EndpointName]int{}
	for i, n := range names {
		place[n] = i
	}
	if k.oracle {
		f.byLoad = [][]int{}
		for _, s := range f.members {
			f.reindex(s, -1)
		}
	}
	if k.inject != nil {
		k.inject(f)
	}
	subsets := map[EndpointName][]EndpointName{}
	if k.subsetSize > 0 {
		subsets = Subsets(deciders, names, k.subsetSize)
	}
	rate := k.utilization * float64(2*k.members) / f.mean
	total, sent := 0, 0
	for _, d := range deciders {
		balancer := New(k.config)
		mine := subsets[d]
		if k.subsetSize == 0 {
			mine = names
		}
		var list []Endpoint
		for _, n := range mine {
			list = append(list, Endpoint{Name: n, Capacity: 2})
		}
		balancer.SetEndpoints(0, list)
		r.connections += len(list)
		random := f.chance.Float64
		asks := 0.0
		var op func()
		op = func() {
			f.schedule(f.chance.ExpFloat64()*float64(k.deciders)/rate, op)
			i := 0
			if k.oracle {
				i = f.leastLoaded()
			} else {
				p, _ := balancer.Pick(duration(f.now), random, nil)
				balancer.RecordStart(duration(f.now), p)
				i = place[balancer.NameAt(p)]
				for asks += k.probesPerRequest; asks >= 1; asks-- {
					if q, ok := balancer.PickProbe(duration(f.now), random); ok {
						n := balancer.NameAt(q)
						load := f.members[place[n]].reportedLoad(f.now)
						if place[n] < k.liars {
							load = -1
						}
						f.schedule(k.reportAge.Seconds()+2*f.delay, func() {
							if q, known := balancer.IndexOf(n); known {
								balancer.RecordProbe(duration(f.now), q, load, k.reportAge+duration(f.delay))
							}
						})
					}
				}
			}
			began := f.now
			if began >= f.countFrom {
				total++
			}
			sent++
			f.schedule(f.delay, func() {
				f.serve(f.members[i], func(what Outcome) {
					load := f.members[i].reportedLoad(f.now)
					f.schedule(f.delay, func() {
						if !k.oracle {
							balancer.RecordOutcome(duration(f.now), names[i], what, duration(f.now-began))
							if q, known := balancer.IndexOf(names[i]); known && k.probesPerRequest > 0 && i >= k.liars {
								balancer.RecordReport(duration(f.now), q, load, duration(f.delay)) // an answer says how its sender stands
							}
						}
						if began >= f.countFrom {
							if what == Succeeded {
								f.latencies = append(f.latencies, f.now-began)
							} else {
								f.failed++
							}
						}
					})
				})
			})
		}
		f.schedule(f.chance.ExpFloat64()*float64(k.deciders)/rate, op)
	}
	f.run(f.countFrom + k.seconds)
	slices.Sort(f.latencies)
	if len(f.latencies) == 0 { // who sees the true state and not who is broken gives all to those
		f.latencies = []float64{math.Inf(1)}
	}
	r.p99 = f.latencies[len(f.latencies)*99/100]
	for _, t := range f.latencies {
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
			if w < len(s.runsByWindow) {
				most = max(most, s.runsByWindow[w])
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
			s.gaps = append(s.gaps, f.now-max(f.countFrom, s.idleSince))
		}
		for _, g := range s.gaps {
			r.idle = max(r.idle, g*per)
		}
	}
	return r
}

func poisson(random *rand.Rand, mean float64) (n int) {
	for x := random.ExpFloat64(); x < mean; x += random.ExpFloat64() {
		n++
	}
	return n
}

func (r result) String() string {
	return fmt.Sprintf("99th %6.0f ms, late %.4f, most %.2f of the mean (chance %.2f), longest idle %.1f gaps of arrivals, failed %.4f, connections %d", 1000*r.p99, r.late, r.most, r.fair, r.idle, r.failed, r.connections)
}

// The ways on one machine and one seed: go test -run xxx -bench Ways -benchtime 1x ./internal/balancer
func BenchmarkPolicies(b *testing.B) {
	for _, at := range []struct {
		name string
		k    simulation
	}{
		{"usual", simulation{members: 200, deciders: 40, utilization: 0.75, seconds: 10, probesPerRequest: 2, reportAge: 2 * time.Millisecond}},
		{"word 300 ms old", simulation{members: 200, deciders: 40, utilization: 0.75, seconds: 10, probesPerRequest: 2, reportAge: 300 * time.Millisecond}},
		{"full", simulation{members: 200, deciders: 40, utilization: 0.92, seconds: 10, probesPerRequest: 2, reportAge: 2 * time.Millisecond}},
		{"one in eight slow by four", simulation{members: 200, deciders: 40, utilization: 0.6, seconds: 10, probesPerRequest: 2, reportAge: 2 * time.Millisecond, inject: slowDownEighth}},
		{"one in twenty fails at once", simulation{members: 200, deciders: 40, utilization: 0.6, seconds: 10, probesPerRequest: 2, reportAge: 2 * time.Millisecond, inject: breakTwentieth}},
		{"an op a second", simulation{members: 200, deciders: 40, utilization: 0.05, seconds: 40, probesPerRequest: 2, reportAge: 2 * time.Millisecond}},
		{"subsets of 20", simulation{members: 200, deciders: 40, utilization: 0.75, seconds: 10, probesPerRequest: 2, reportAge: 2 * time.Millisecond, subsetSize: 20}},
	} {
		for way := LeastEstimatedLoad; way <= LeastReportedLoad; way++ {
			k := at.k
			k.config = DefaultConfig()
			k.config.Policy = way
			b.Logf("%-28s %-12v %v", at.name, way, k.run())
		}
		k := at.k
		k.oracle = true
		b.Logf("%-28s %-12v %v", at.name, "sees all", k.run())
	}
}

// 3,000 members and 1,000 deciders, with subsets of 30: go test -run xxx -bench Large -benchtime 1x -timeout 20m ./internal/balancer
func BenchmarkLarge(b *testing.B) {
	k := simulation{members: 3000, deciders: 1000, utilization: 0.75, seconds: 5, probesPerRequest: 2, reportAge: 2 * time.Millisecond, config: DefaultConfig(), subsetSize: 30}
	b.Log("informed", k.run())
	k.config.Policy = WeightedRandom
	b.Log("random", k.run())
	k.config.Policy, k.subsetSize, k.oracle = LeastEstimatedLoad, 0, true
	b.Log("sees all", k.run())
}

var picture = flag.String("picture", "", "where BenchmarkAge draws")

// How even it stays by the age of what is known: go test -run xxx -bench Age -benchtime 1x ./internal/balancer -picture $PWD/FILE.svg
func BenchmarkReportAge(b *testing.B) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = "200 members, 40 deciders, 75% in use, ops of 100 ms", "age of each word on a member's load, s", "99th percentile, ms"
	p.X.Scale, p.X.Tick.Marker, p.Y.Scale, p.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{}, plot.LogScale{}, plot.LogTicks{}
	p.Legend.Top, p.Legend.Left = true, true
	for n, way := range []Policy{LeastEstimatedLoad, TwoChoicesReported, LeastReportedLoad, WeightedRandom} {
		var line plotter.XYs
		for _, age := range []time.Duration{10 * time.Millisecond, 30 * time.Millisecond, 100 * time.Millisecond, 300 * time.Millisecond, time.Second, 3 * time.Second, 10 * time.Second} {
			k := simulation{members: 200, deciders: 40, utilization: 0.75, seconds: 10, probesPerRequest: 2, reportAge: age, config: DefaultConfig()}
			k.config.Policy = way
			k.config.LoadMaxAge = max(k.config.LoadMaxAge, 2*age)
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

func slowDownEighth(f *simulatedFleet) {
	for i, s := range f.members {
		if i%8 == 0 {
			s.speed = 0.25
		}
	}
}

func breakTwentieth(f *simulatedFleet) {
	for i, s := range f.members {
		s.broken = i%20 == 0
	}
}

package balancer

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	_ "gonum.org/v1/plot/vg/vgsvg"
)

// largeSimulation returns the simulation that the benchmarks compare policies with.
func largeSimulation() simulation {
	return simulation{
		servers:          200,
		senders:          40,
		utilization:      0.75,
		seconds:          10,
		probesPerRequest: 2,
		reportAge:        2 * time.Millisecond,
		config:           DefaultConfig(),
	}
}

// BenchmarkPolicies logs the results of all policies in several scenarios, with the same seed:
// go test -run xxx -bench Policies -benchtime 1x ./internal/balancer
func BenchmarkPolicies(b *testing.B) {
	for _, test := range []struct {
		name   string
		change func(*simulation)
	}{
		{"baseline", func(*simulation) {}},
		{"reports 300 ms old", func(sim *simulation) { sim.reportAge = 300 * time.Millisecond }},
		{"92% utilization", func(sim *simulation) { sim.utilization = 0.92 }},
		{"1 in 8 at a quarter speed", func(sim *simulation) {
			sim.utilization = 0.6
			sim.inject = slowDownEighth
		}},
		{"1 in 20 fails immediately", func(sim *simulation) {
			sim.utilization = 0.6
			sim.inject = breakTwentieth
		}},
		{"1 request/s per server", func(sim *simulation) {
			sim.utilization = 0.05
			sim.seconds = 40
		}},
		{"subsets of 20", func(sim *simulation) { sim.subsetSize = 20 }},
	} {
		for policy := LeastEstimatedLoad; policy <= LeastReportedLoad; policy++ {
			sim := largeSimulation()
			test.change(&sim)
			sim.config.Policy = policy
			b.Logf("%-28s %-12v %v", test.name, policy, sim.run())
		}
		sim := largeSimulation()
		test.change(&sim)
		sim.oracle = true
		b.Logf("%-28s %-12v %v", test.name, "true loads", sim.run())
	}
}

// BenchmarkLarge simulates 3,000 servers and 1,000 senders, with subsets of 30:
// go test -run xxx -bench Large -benchtime 1x -timeout 20m ./internal/balancer
func BenchmarkLarge(b *testing.B) {
	sim := largeSimulation()
	sim.servers = 3000
	sim.senders = 1000
	sim.seconds = 5
	sim.subsetSize = 30
	b.Log("estimated load", sim.run())
	sim.config.Policy = WeightedRandom
	b.Log("random", sim.run())
	sim.config.Policy, sim.subsetSize, sim.oracle = LeastEstimatedLoad, 0, true
	b.Log("true loads", sim.run())
}

var picture = flag.String("picture", "", "SVG file that BenchmarkReportAge writes its plot to")

// BenchmarkReportAge plots the 99th percentile of the latency over the age of the load reports:
// go test -run xxx -bench ReportAge -benchtime 1x ./internal/balancer -picture $PWD/FILE.svg
func BenchmarkReportAge(b *testing.B) {
	p := plot.New()
	p.Title.Text = "200 servers, 40 senders, 75% utilization, requests of 100 ms"
	p.X.Label.Text = "age of load reports, s"
	p.Y.Label.Text = "99th percentile of latency, ms"
	p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{}
	p.Y.Scale, p.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{}
	p.Legend.Top, p.Legend.Left = true, true
	for i, policy := range []Policy{LeastEstimatedLoad, TwoChoicesReported, LeastReportedLoad, WeightedRandom} {
		var points plotter.XYs
		for _, ms := range []int{10, 30, 100, 300, 1000, 3000, 10000} {
			sim := largeSimulation()
			sim.reportAge = time.Duration(ms) * time.Millisecond
			sim.config.Policy = policy
			sim.config.LoadMaxAge = max(sim.config.LoadMaxAge, 2*sim.reportAge)
			result := sim.run()
			b.Log(sim.reportAge, policy, result)
			points = append(points, plotter.XY{X: sim.reportAge.Seconds(), Y: 1000 * result.p99})
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			b.Fatal(err)
		}
		line.Color, line.Dashes = plotutil.Color(i), plotutil.Dashes(i)
		p.Add(line)
		p.Legend.Add(policy.String(), line)
	}
	if *picture == "" {
		return
	}
	if err := p.Save(18*vg.Centimeter, 11*vg.Centimeter, *picture); err != nil {
		b.Fatal(err)
	}
}

// BenchmarkPick measures Pick with 300 endpoints. Pick must not allocate.
func BenchmarkPick(b *testing.B) {
	balancer := newBalancer(DefaultConfig(), makeEndpoints(300))
	for i := range 300 {
		balancer.RecordProbe(0, i, float64(i%5), 0)
	}
	random := rand.New(rand.NewPCG(1, 1)).Float64
	b.ReportAllocs()
	for i := range b.N {
		now := time.Duration(i)
		index, _ := balancer.Pick(now, random, nil)
		balancer.RecordStart(now, index)
	}
}

// BenchmarkSubsets measures Subsets for a medium and a large fleet.
func BenchmarkSubsets(b *testing.B) {
	for _, test := range []struct{ clients, endpoints, size int }{{40, 200, 20}, {1000, 3000, 20}} {
		b.Run(fmt.Sprint(test.clients, test.endpoints, test.size), func(b *testing.B) {
			clients, endpoints := makeNames("d", test.clients), makeNames("m", test.endpoints)
			for range b.N {
				Subsets(clients, endpoints, test.size)
			}
		})
	}
}

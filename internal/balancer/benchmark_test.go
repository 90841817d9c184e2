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

// largeSimulation is what the policies are compared by.
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

// BenchmarkPolicies compares the policies on one machine and one seed:
// go test -run xxx -bench Policies -benchtime 1x ./internal/balancer
func BenchmarkPolicies(b *testing.B) {
	for _, test := range []struct {
		name   string
		change func(*simulation)
	}{
		{"usual", func(*simulation) {}},
		{"reports 300 ms old", func(k *simulation) { k.reportAge = 300 * time.Millisecond }},
		{"full", func(k *simulation) { k.utilization = 0.92 }},
		{"one in eight slow by four", func(k *simulation) {
			k.utilization = 0.6
			k.inject = slowDownEighth
		}},
		{"one in twenty fails at once", func(k *simulation) {
			k.utilization = 0.6
			k.inject = breakTwentieth
		}},
		{"a request a second", func(k *simulation) {
			k.utilization = 0.05
			k.seconds = 40
		}},
		{"subsets of 20", func(k *simulation) { k.subsetSize = 20 }},
	} {
		for policy := LeastEstimatedLoad; policy <= LeastReportedLoad; policy++ {
			k := largeSimulation()
			test.change(&k)
			k.config.Policy = policy
			b.Logf("%-28s %-12v %v", test.name, policy, k.run())
		}
		k := largeSimulation()
		test.change(&k)
		k.oracle = true
		b.Logf("%-28s %-12v %v", test.name, "true loads", k.run())
	}
}

// BenchmarkLarge simulates 3,000 servers and 1,000 senders, with subsets of 30:
// go test -run xxx -bench Large -benchtime 1x -timeout 20m ./internal/balancer
func BenchmarkLarge(b *testing.B) {
	k := largeSimulation()
	k.servers = 3000
	k.senders = 1000
	k.seconds = 5
	k.subsetSize = 30
	b.Log("estimated load", k.run())
	k.config.Policy = WeightedRandom
	b.Log("random", k.run())
	k.config.Policy, k.subsetSize, k.oracle = LeastEstimatedLoad, 0, true
	b.Log("true loads", k.run())
}

var picture = flag.String("picture", "", "file that BenchmarkReportAge draws to")

// BenchmarkReportAge draws the latency by the age of the load reports:
// go test -run xxx -bench ReportAge -benchtime 1x ./internal/balancer -picture $PWD/FILE.svg
func BenchmarkReportAge(b *testing.B) {
	p := plot.New()
	p.Title.Text = "200 servers, 40 senders, 75% in use, requests of 100 ms"
	p.X.Label.Text = "age of each load report, s"
	p.Y.Label.Text = "99th percentile, ms"
	p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{}
	p.Y.Scale, p.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{}
	p.Legend.Top, p.Legend.Left = true, true
	for i, policy := range []Policy{LeastEstimatedLoad, TwoChoicesReported, LeastReportedLoad, WeightedRandom} {
		var points plotter.XYs
		for _, ms := range []int{10, 30, 100, 300, 1000, 3000, 10000} {
			k := largeSimulation()
			k.reportAge = time.Duration(ms) * time.Millisecond
			k.config.Policy = policy
			k.config.LoadMaxAge = max(k.config.LoadMaxAge, 2*k.reportAge)
			result := k.run()
			b.Log(k.reportAge, policy, result)
			points = append(points, plotter.XY{X: k.reportAge.Seconds(), Y: 1000 * result.p99})
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

// BenchmarkPick picks of 300 endpoints; it must not allocate.
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

// BenchmarkSubsets works out the subsets of a middle and a large fleet.
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

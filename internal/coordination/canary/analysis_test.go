package canary

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	_ "gonum.org/v1/plot/vg/vgsvg"
)

var (
	releases = flag.Int("releases", 200, "simulated releases for each case")
	picture  = flag.String("picture", "", "where TestChances draws")
)

// simulateRollout plays one: a window is a second, both releases see the same load, which wanders; each op's time is
// drawn, the new release's is longer by slow. It gives the verdict and after how many windows.
func simulateRollout(seed uint64, ops, slow, late float64, maxWindows int) (Verdict, int) {
	random := rand.New(rand.NewPCG(seed, 9))
	j := New(DefaultConfig())
	load := 1.0
	for n := 1; n <= maxWindows; n++ {
		load = min(3, max(0.5, load*math.Exp(0.1*random.NormFloat64())))
		group := func(slow, late float64) (g Sample) {
			for range int(ops * (0.8 + 0.4*random.Float64())) {
				took := 0.05 * load * (1 + slow) * (0.5 + 0.5*random.ExpFloat64())
				g.Requests++
				g.MeanSeconds += took
				if took < 0.35 && random.Float64() >= late {
					g.OnTime++
				}
			}
			g.MeanSeconds /= g.Requests
			return g
		}
		j.Add(group(slow, late), group(0, 0))
		if v, _ := j.Verdict(); v != Inconclusive {
			return v, n
		}
	}
	return Inconclusive, maxWindows
}

// What a release comes to, by how much worse it is: wrongly halted, and let pass though it is worse by what has to be
// found, no more often than told.
func TestChances(t *testing.T) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = "verdicts on a release that is slower, by ops a window on either side", "slower by", "share halted"
	p.Legend.Top, p.Legend.Left = true, true
	for n, ops := range []float64{30, 100, 400} {
		var line plotter.XYs
		for _, slow := range []float64{0, 0.02, 0.05, 0.08, 0.1, 0.15, 0.2, 0.3} {
			bad, good, windows := 0, 0, 0
			for seed := range uint64(*releases) {
				v, n := simulateRollout(seed, ops, slow, 0, 600)
				windows += n
				switch v {
				case Failed:
					bad++
				case Passed:
					good++
				}
			}
			share := func(n int) float64 { return float64(n) / float64(*releases) }
			t.Logf("%3.0f ops a window, slower by %.2f: halted %.3f, passed %.3f, open after 600 windows %.3f, %.0f windows on average", ops, slow, share(bad), share(good), 1-share(bad)-share(good), float64(windows)/float64(*releases))
			line = append(line, plotter.XY{X: slow, Y: share(bad)})
			if slow == 0 && share(bad) > 2*DefaultConfig().ErrorRate {
				t.Error("halted wrongly")
			}
			if slow >= 0.1 && share(good) > 2*DefaultConfig().ErrorRate {
				t.Error("missed")
			}
		}
		l, err := plotter.NewLine(line)
		if err != nil {
			t.Fatal(err)
		}
		l.Color = plotutil.Color(n)
		p.Add(l)
		p.Legend.Add(fmt.Sprintf("%.0f ops", ops), l)
	}
	for _, late := range []float64{0, 0.02, 0.05} {
		bad, good := 0, 0
		for seed := range uint64(*releases) {
			switch v, _ := simulateRollout(seed, 100, 0, late, 600); v {
			case Failed:
				bad++
			case Passed:
				good++
			}
		}
		t.Logf("100 ops a window, %.2f more fail: halted %.3f, passed %.3f", late, float64(bad)/float64(*releases), float64(good)/float64(*releases))
		if late == 0.05 && bad < *releases*95/100 || late == 0.02 && good > *releases*4/100 {
			t.Error("missed")
		}
	}
	if *picture != "" {
		if err := p.Save(18*vg.Centimeter, 10*vg.Centimeter, *picture); err != nil {
			t.Fatal(err)
		}
	}
}

// No verdict on little, one at once on crashes, and figures of too few ops are none.
func Example() {
	j := New(DefaultConfig())
	fmt.Println(j.Verdict())
	for range 20 {
		j.Add(Sample{Requests: 3, OnTime: 0, MeanSeconds: 9}, Sample{Requests: 300, OnTime: 300, MeanSeconds: 0.1})
	}
	fmt.Println(j.Verdict())
	for n := range 20 {
		j.Add(Sample{Requests: 100, OnTime: 90 - float64(n%3), MeanSeconds: 0.1}, Sample{Requests: 100, OnTime: 99 - float64(n%2), MeanSeconds: 0.1 + 0.001*float64(n%2)})
		if v, why := j.Verdict(); v != Inconclusive {
			fmt.Println(v, why)
			break
		}
	}
	j = New(DefaultConfig())
	j.Add(Sample{Crashes: 1}, Sample{})
	fmt.Println(j.Verdict())
	j.Add(Sample{Crashes: 1}, Sample{Crashes: 9})
	fmt.Println(j.Verdict())
	// Output:
	// open 0 windows of 8, 0 more with too few ops
	// open 0 windows of 8, 20 more with too few ops
	// bad not served in time: +9.4%, between +8.0% and +10.7% after 8 windows
	// open 0 windows of 8, 1 more with too few ops
	// bad 2 of its processes ended by themselves
}

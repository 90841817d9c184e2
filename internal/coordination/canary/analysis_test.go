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
	_ "gonum.org/v1/plot/vg/vgsvg" // the format of the picture
)

var (
	releases = flag.Int("releases", 200, "simulated releases for each case")
	picture  = flag.String("picture", "", "where TestChances draws")
)

// maxSimulatedWindows is when a simulated release without a verdict is left inconclusive.
const maxSimulatedWindows = 600

// regression is by how much a simulated release is worse than the old one.
type regression struct {
	slowdown float64 // of each request, as a share
	late     float64 // share of requests that are never on time
}

// simulateWindow draws what one side does in a window of a second.
func simulateWindow(random *rand.Rand, requests, load float64, worse regression) Sample {
	var sample Sample
	for range int(requests * (0.8 + 0.4*random.Float64())) {
		seconds := 0.05 * load * (1 + worse.slowdown) * (0.5 + 0.5*random.ExpFloat64())
		sample.Requests++
		sample.MeanSeconds += seconds
		if seconds < 0.35 && random.Float64() >= worse.late {
			sample.OnTime++
		}
	}
	sample.MeanSeconds /= sample.Requests
	return sample
}

// simulateRollout plays one rollout: both releases see the same load, which wanders. It returns the verdict and after
// how many windows it came.
func simulateRollout(seed uint64, requests float64, worse regression) (Verdict, int) {
	random := rand.New(rand.NewPCG(seed, 9))
	analysis := New(DefaultConfig())
	load := 1.0
	for window := 1; window <= maxSimulatedWindows; window++ {
		load = min(3, max(0.5, load*math.Exp(0.1*random.NormFloat64())))
		canary := simulateWindow(random, requests, load, worse)
		baseline := simulateWindow(random, requests, load, regression{})
		analysis.Add(canary, baseline)
		if result := analysis.Result(); result.Verdict != Inconclusive {
			return result.Verdict, window
		}
	}
	return Inconclusive, maxSimulatedWindows
}

// outcomes are the shares of many simulated releases.
type outcomes struct{ failed, passed, meanWindows float64 }

func simulateRollouts(requests float64, worse regression) outcomes {
	var sum outcomes
	for seed := range uint64(*releases) {
		verdict, windows := simulateRollout(seed, requests, worse)
		sum.meanWindows += float64(windows)
		switch verdict {
		case Failed:
			sum.failed++
		case Passed:
			sum.passed++
		}
	}
	total := float64(*releases)
	return outcomes{sum.failed / total, sum.passed / total, sum.meanWindows / total}
}

// What comes of a release, by how much worse it is: it is halted wrongly, and passes though it is worse by what has
// to be found, no more often than configured.
func TestChances(t *testing.T) {
	chart := plot.New()
	chart.Title.Text = "verdicts on a release that is slower, by requests a window on either side"
	chart.X.Label.Text = "slower by"
	chart.Y.Label.Text = "share halted"
	chart.Legend.Top = true
	chart.Legend.Left = true
	for i, requests := range []float64{30, 100, 400} {
		line, err := plotter.NewLine(checkSlowdowns(t, requests))
		if err != nil {
			t.Fatal(err)
		}
		line.Color = plotutil.Color(i)
		chart.Add(line)
		chart.Legend.Add(fmt.Sprintf("%.0f requests", requests), line)
	}
	for _, late := range []float64{0, 0.02, 0.05} {
		got := simulateRollouts(100, regression{late: late})
		t.Logf("100 requests a window, %.2f more late: halted %.3f, passed %.3f", late, got.failed, got.passed)
		if late == 0.05 && got.failed < 0.95 || late == 0.02 && got.passed > 0.04 {
			t.Error("missed")
		}
	}
	if *picture == "" {
		return
	}
	if err := chart.Save(18*vg.Centimeter, 10*vg.Centimeter, *picture); err != nil {
		t.Fatal(err)
	}
}

// checkSlowdowns simulates releases that are slower by more and more, and returns the share halted of each.
func checkSlowdowns(t *testing.T, requests float64) plotter.XYs {
	t.Helper()
	limit := 2 * DefaultConfig().ErrorRate
	var points plotter.XYs
	for _, slowdown := range []float64{0, 0.02, 0.05, 0.08, 0.1, 0.15, 0.2, 0.3} {
		got := simulateRollouts(requests, regression{slowdown: slowdown})
		t.Logf("%3.0f requests a window, slower by %.2f: halted %.3f, passed %.3f, inconclusive after %d windows %.3f, "+
			"%.0f windows on average", requests, slowdown, got.failed, got.passed, maxSimulatedWindows,
			1-got.failed-got.passed, got.meanWindows)
		points = append(points, plotter.XY{X: slowdown, Y: got.failed})
		if slowdown == 0 && got.failed > limit {
			t.Error("halted wrongly")
		}
		if slowdown >= 0.1 && got.passed > limit {
			t.Error("missed")
		}
	}
	return points
}

// No verdict on little, one at once on crashes, and windows of too few requests do not count.
func Example() {
	analysis := New(DefaultConfig())
	fmt.Println(analysis.Result())
	for range 20 {
		analysis.Add(
			Sample{Requests: 3, OnTime: 0, MeanSeconds: 9},
			Sample{Requests: 300, OnTime: 300, MeanSeconds: 0.1})
	}
	fmt.Println(analysis.Result())
	for n := range 20 {
		analysis.Add(
			Sample{Requests: 100, OnTime: 90 - float64(n%3), MeanSeconds: 0.1},
			Sample{Requests: 100, OnTime: 99 - float64(n%2), MeanSeconds: 0.1 + 0.001*float64(n%2)})
		if result := analysis.Result(); result.Verdict != Inconclusive {
			fmt.Println(result)
			break
		}
	}
	analysis = New(DefaultConfig())
	analysis.Add(Sample{Crashes: 1}, Sample{})
	fmt.Println(analysis.Result())
	analysis.Add(Sample{Crashes: 1}, Sample{Crashes: 9})
	fmt.Println(analysis.Result())
	// Output:
	// {inconclusive 0 windows of 8, 0 more with too few requests}
	// {inconclusive 0 windows of 8, 20 more with too few requests}
	// {failed not served in time: +9.4%, between +8.0% and +10.7% after 8 windows}
	// {inconclusive 0 windows of 8, 1 more with too few requests}
	// {failed 2 of its processes ended by themselves}
}

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
	_ "gonum.org/v1/plot/vg/vgsvg" // registers the SVG format of the -picture file
)

var (
	releases = flag.Int("releases", 200, "number of simulated releases for each case")
	picture  = flag.String("picture", "", "file to which TestErrorProbabilities writes its chart")
)

// maxSimulatedWindows is the number of windows after which a simulated release without a verdict is inconclusive.
const maxSimulatedWindows = 600

// regression is the amount by which a simulated release is worse than the old one.
type regression struct {
	slowdown  float64 // of each request, as a fraction
	lateShare float64 // share of requests that are late regardless of their duration
}

// simulateWindow returns a random sample of one side in a window of one second.
func simulateWindow(random *rand.Rand, requests, load float64, injected regression) Sample {
	var sample Sample
	for range int(requests * (0.8 + 0.4*random.Float64())) {
		seconds := 0.05 * load * (1 + injected.slowdown) * (0.5 + 0.5*random.ExpFloat64())
		sample.Requests++
		sample.MeanSeconds += seconds
		if seconds < 0.35 && random.Float64() >= injected.lateShare {
			sample.OnTime++
		}
	}
	sample.MeanSeconds /= sample.Requests
	return sample
}

// simulateRollout simulates one rollout in which both releases see the same randomly varying load. It returns the
// verdict and the number of windows until the verdict.
func simulateRollout(seed uint64, requests float64, injected regression) (Verdict, int) {
	random := rand.New(rand.NewPCG(seed, 9))
	analysis := New(DefaultConfig())
	load := 1.0
	for window := 1; window <= maxSimulatedWindows; window++ {
		load = min(3, max(0.5, load*math.Exp(0.1*random.NormFloat64())))
		canary := simulateWindow(random, requests, load, injected)
		baseline := simulateWindow(random, requests, load, regression{})
		analysis.Add(canary, baseline)
		if result := analysis.Result(); result.Verdict != Inconclusive {
			return result.Verdict, window
		}
	}
	return Inconclusive, maxSimulatedWindows
}

// outcomes holds the shares of the verdicts over many simulated releases, and the mean number of windows.
type outcomes struct{ failed, passed, meanWindows float64 }

func simulateRollouts(requests float64, injected regression) outcomes {
	var sum outcomes
	for seed := range uint64(*releases) {
		verdict, windows := simulateRollout(seed, requests, injected)
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

// The share of halted releases among those that are no worse, and the share of passed releases among those that are
// worse by at least the regression to detect, must stay below the limits of this test. Nearly all releases with a much
// larger late share must be halted.
func TestErrorProbabilities(t *testing.T) {
	chart := plot.New()
	chart.Title.Text = "verdicts on a slower release, by requests per window on each side"
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
		got := simulateRollouts(100, regression{lateShare: late})
		t.Logf("100 requests per window, late share increased by %.2f: halted %.3f, passed %.3f",
			late, got.failed, got.passed)
		if late == 0.05 && got.failed < 0.95 || late == 0.02 && got.passed > 0.04 {
			t.Error("regression was missed too often")
		}
	}
	if *picture == "" {
		return
	}
	if err := chart.Save(18*vg.Centimeter, 10*vg.Centimeter, *picture); err != nil {
		t.Fatal(err)
	}
}

// checkSlowdowns simulates releases of increasing slowdown and returns the share that was halted for each slowdown.
func checkSlowdowns(t *testing.T, requests float64) plotter.XYs {
	t.Helper()
	limit := 2 * DefaultConfig().ErrorRate
	var points plotter.XYs
	for _, slowdown := range []float64{0, 0.02, 0.05, 0.08, 0.1, 0.15, 0.2, 0.3} {
		got := simulateRollouts(requests, regression{slowdown: slowdown})
		t.Logf("%3.0f requests per window, slower by %.2f: halted %.3f, passed %.3f, inconclusive after %d windows %.3f, "+
			"%.0f windows on average", requests, slowdown, got.failed, got.passed, maxSimulatedWindows,
			1-got.failed-got.passed, got.meanWindows)
		points = append(points, plotter.XY{X: slowdown, Y: got.failed})
		if slowdown == 0 && got.failed > limit {
			t.Error("releases without a regression were halted too often")
		}
		if slowdown >= 0.1 && got.passed > limit {
			t.Error("regression was missed too often")
		}
	}
	return points
}

// There is no verdict until enough windows are added, crashes lead to a verdict at once, and windows with too few
// requests do not count.
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

// Package canary compares a new release with the old one while both run at the same time on the same work, and decides
// as early as possible whether the new release is worse.
//
// The package has no side effects: it takes windows of measurements and returns a verdict. The statistical test is
// sequential: it may be evaluated after every window, and the probability that it is ever wrong stays below the
// configured error rate. docs/releases.md describes the test and the reasons for choosing it.
package canary

import (
	"fmt"
	"math"
)

// Config holds the parameters of an analysis.
type Config struct {
	ErrorRate              float64 // maximum probability of a wrong halt, and also of a missed regression
	DetectableLateIncrease float64 // regression to detect: increase of the share not served within its latency objective
	DetectableSlowdown     float64 // regression to detect: increase of the mean duration, as a fraction
	MinWindows             int     // minimum number of windows for a verdict; failing at CrashLimit requires none
	MinRequests            float64 // minimum number of requests of each release for a window to count
	CrashLimit             int     // number of crashes at which the new release fails at once; 0: crashes are ignored
}

// DefaultConfig returns the values that apply unless others are configured.
func DefaultConfig() Config {
	return Config{
		ErrorRate:              0.02,
		DetectableLateIncrease: 0.02,
		DetectableSlowdown:     0.1,
		MinWindows:             8,
		MinRequests:            20,
		CrashLimit:             2,
	}
}

// Sample holds the measurements of one release's members in one window.
type Sample struct {
	Requests    float64 // finished requests
	OnTime      float64 // finished requests that met their latency objective
	MeanSeconds float64 // mean time from reading a request to answering it
	Crashes     int     // processes that exited on their own
}

// Verdict is the result of comparing the new release with the old one.
type Verdict uint8

// The verdicts on a new release.
const (
	Inconclusive Verdict = iota
	Passed
	Failed
)

var verdictNames = [...]string{Inconclusive: "inconclusive", Passed: "passed", Failed: "failed"}

func (v Verdict) String() string { return verdictNames[v] }

// Result is a verdict with its reason, which is shown to operators.
type Result struct {
	Verdict Verdict
	Reason  string
}

// Analysis accumulates the windows of one wave. It is not safe for concurrent use.
type Analysis struct {
	config         Config
	lateIncrease   runningStats // share not served on time: new release minus old release
	slowdown       runningStats // logarithm of the ratio of the mean durations: new release to old release
	crashes        int
	skippedWindows int // windows with too few requests
}

// New returns an analysis without windows.
func New(config Config) *Analysis { return &Analysis{config: config} }

// Add adds a window to the analysis: the samples of the new release, the canary, and of the old one, the baseline. If
// either sample has too few requests, only the canary's crashes are counted.
func (a *Analysis) Add(canary, baseline Sample) {
	a.crashes += canary.Crashes
	if canary.Requests < a.config.MinRequests || baseline.Requests < a.config.MinRequests {
		a.skippedWindows++
		return
	}
	a.lateIncrease.add(baseline.OnTime/baseline.Requests - canary.OnTime/canary.Requests)
	if canary.MeanSeconds > 0 && baseline.MeanSeconds > 0 {
		a.slowdown.add(math.Log(canary.MeanSeconds / baseline.MeanSeconds))
	}
}

// Result returns the verdict on the windows added so far. The release fails if its crashes reach CrashLimit. Otherwise
// the verdict is inconclusive until MinWindows windows count. From then on, the release fails if the confidence
// interval of either metric is entirely above half of the regression to detect. It passes if the confidence intervals
// of both metrics are entirely below the whole regression to detect. Crashes aside, a release that is no worse
// therefore fails with a probability of at most ErrorRate, and a release that is worse by the regression to detect
// passes with a probability of at most ErrorRate. For a release between the two, either verdict is possible.
func (a *Analysis) Result() Result {
	if a.crashes >= a.config.CrashLimit && a.config.CrashLimit > 0 {
		return Result{Failed, fmt.Sprintf("%d of its processes ended by themselves", a.crashes)}
	}
	windows := a.lateIncrease.count
	if int(windows) < a.config.MinWindows {
		return Result{Inconclusive, fmt.Sprintf("%.0f windows of %d, %d more with too few requests",
			windows, a.config.MinWindows, a.skippedWindows)}
	}
	passed := true
	for _, metric := range []struct {
		stats      *runningStats
		detectable float64
		name       string
	}{
		{&a.lateIncrease, a.config.DetectableLateIncrease, "not served in time"},
		{&a.slowdown, math.Log(1 + a.config.DetectableSlowdown), "time it takes"},
	} {
		// Two metrics are tested, so each may use half of the error rate.
		low, high := metric.stats.confidenceBounds(a.config.ErrorRate / 2)
		if low > metric.detectable/2 {
			return Result{Failed, fmt.Sprintf("%s: %+.1f%%, between %+.1f%% and %+.1f%% after %.0f windows",
				metric.name, 100*metric.stats.mean, 100*low, 100*high, metric.stats.count)}
		}
		passed = passed && high < metric.detectable
	}
	if !passed {
		return Result{Inconclusive, fmt.Sprintf("not certain after %.0f windows", windows)}
	}
	return Result{Passed, fmt.Sprintf("%+.1f%% not served in time, %+.1f%% in the time it takes, after %.0f windows",
		100*a.lateIncrease.mean, 100*a.slowdown.mean, windows)}
}

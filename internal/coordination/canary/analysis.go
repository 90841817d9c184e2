// Package canary compares a new release with the old one, at the same time on the same work, and tells as soon as it
// can whether the new one is worse.
//
// It is pure: windows of figures in, a verdict out. The test is sequential: it may be looked at after each window, and
// the chance of ever being wrong stays under what is configured. docs/releases.md says which test and why.
package canary

import (
	"fmt"
	"math"
)

// Config is what an analysis goes by.
type Config struct {
	ErrorRate              float64 // probability of a wrong halt, and of a missed regression, each
	DetectableLateIncrease float64 // regression to be found: increase of the share not served within its latency objective
	DetectableSlowdown     float64 // regression to be found: increase of the mean duration, as a share
	MinWindows             int     // windows before any verdict
	MinRequests            float64 // requests that a window needs on either side to count
	CrashLimit             int     // crashes of the new release that are a verdict at once; 0: none are
}

// DefaultConfig returns the values that hold where nothing is configured.
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

// Sample is what the members of one release did in a window.
type Sample struct {
	Requests    float64 // finished
	OnTime      float64 // of them, within their latency objective
	MeanSeconds float64 // from reading a request to its answer, on average
	Crashes     int     // processes that ended by themselves
}

// Verdict is what is known of the new release.
type Verdict uint8

// The verdicts.
const (
	Inconclusive Verdict = iota
	Passed
	Failed
)

var verdictNames = [...]string{Inconclusive: "inconclusive", Passed: "passed", Failed: "failed"}

func (v Verdict) String() string { return verdictNames[v] }

// Result is a verdict and what led to it, in words for operators.
type Result struct {
	Verdict Verdict
	Reason  string
}

// Analysis gathers the windows of one wave. It is not safe for concurrent use.
type Analysis struct {
	config         Config
	lateIncrease   runningStats // share not served on time, new release less old one
	slowdown       runningStats // logarithm of the ratio of the mean durations, new to old
	crashes        int
	skippedWindows int // with too few requests
}

// New returns an analysis without any window.
func New(config Config) *Analysis { return &Analysis{config: config} }

// Add takes in a window. One with too few requests on either side counts for its crashes alone.
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

// Result tells what is known by now. The release fails if a difference is over half of what has to be found, for
// certain; it passes if both are under all of it, for certain. So a release that is no worse fails with a probability
// of ErrorRate at most, and one that is worse by what has to be found passes with ErrorRate at most; in between
// either may come.
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
		// Two metrics are tested: each has half of the error rate.
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

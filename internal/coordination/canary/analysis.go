// Package canary holds a new release against the old one, at the same time on the same work, and says as soon as it
// can whether it is worse. It is pure: windows of figures in, a verdict out. The test is sequential: it may be looked
// at after each window, and the chance of ever being wrong stays under what is told. docs/releases.md says which and
// why.
package canary

import (
	"fmt"
	"math"
)

// Config is what the judgement goes by.
type Config struct {
	ErrorRate              float64 // chance of a wrong halt, and of a missed regression, each
	DetectableLateIncrease float64 // regression that has to be found: more ops in a hundred not served in their target latency, as a share
	DetectableSlowdown     float64 // ... and longer work, as a share
	MinWindows             int     // windows before any verdict
	MinRequests            float64 // that a window needs on either side to count
	CrashLimit             int     // processes of the new release that end by themselves; so many are a verdict at once
}

// DefaultConfig is what holds without being told.
func DefaultConfig() Config {
	return Config{ErrorRate: 0.02, DetectableLateIncrease: 0.02, DetectableSlowdown: 0.1, MinWindows: 8, MinRequests: 20, CrashLimit: 2}
}

// Sample is what one release did in a window.
type Sample struct {
	Requests    float64 // that ended
	OnTime      float64 // of them, in their target latency
	MeanSeconds float64 // s that the others took on average, from reading to answer
	Crashes     int     // processes that ended by themselves
}

// Verdict is what is known by now.
type Verdict uint8

const (
	Inconclusive Verdict = iota
	Passed
	Failed
)

var verdictNames = []string{"open", "good", "bad"}

func (v Verdict) String() string { return verdictNames[v] }

// Analysis takes one wave's windows.
type Analysis struct {
	config         Config
	lateIncrease   runningStats
	slowdown       runningStats
	crashes        int
	skippedWindows int // windows with too few ops
}

// New begins.
func New(config Config) *Analysis { return &Analysis{config: config} }

// runningStats is one figure's differences, window by window.
type runningStats struct{ count, mean, squaredDeviations float64 }

func (s *runningStats) add(value float64) {
	s.count++
	delta := value - s.mean
	s.mean += delta / s.count
	s.squaredDeviations += delta * (value - s.mean)
}

// confidenceBounds is between which the true difference lies, at all windows at once but for a chance of alpha:
// Robbins' normal mixture, by the variance that was seen (a confidence sequence after Waudby-Smith and others, 2021).
// tight is the number of windows at which it is narrowest.
func (s *runningStats) confidenceBounds(alpha float64) (low, high float64) {
	const narrowestAt = 30.0
	if s.count < 2 {
		return math.Inf(-1), math.Inf(1)
	}
	// A few windows that happen to be alike would make the variance too small: two of a difference that is usual are
	// added.
	sigma := math.Sqrt((s.squaredDeviations + 2*s.squaredDeviations/s.count) / (s.count - 1))
	rho := math.Sqrt((-2*math.Log(alpha) + math.Log(-2*math.Log(alpha)) + 1) / narrowestAt)
	t := s.count * rho * rho
	radius := sigma * math.Sqrt(2*(t+1)/(s.count*s.count*rho*rho)*math.Log(math.Sqrt(t+1)/alpha))
	return s.mean - radius, s.mean + radius
}

// Add takes a window.
func (j *Analysis) Add(canary, baseline Sample) {
	j.crashes += canary.Crashes
	if canary.Requests < j.config.MinRequests || baseline.Requests < j.config.MinRequests {
		j.skippedWindows++
		return
	}
	j.lateIncrease.add(baseline.OnTime/baseline.Requests - canary.OnTime/canary.Requests)
	if canary.MeanSeconds > 0 && baseline.MeanSeconds > 0 {
		j.slowdown.add(math.Log(canary.MeanSeconds / baseline.MeanSeconds))
	}
}

// Verdict is what is known by now: bad if the difference is over half of what has to be found, for certain; good if
// it is under all of it, for certain, in both figures. So one that is no worse is halted with a chance of alpha at
// most, and one that is worse by as much as has to be found passes with one of alpha at most; in between either may
// come, and something does.
func (j *Analysis) Verdict() (Verdict, string) {
	if j.crashes >= j.config.CrashLimit && j.config.CrashLimit > 0 {
		return Failed, fmt.Sprintf("%d of its processes ended by themselves", j.crashes)
	}
	if int(j.lateIncrease.count) < j.config.MinWindows {
		return Inconclusive, fmt.Sprintf("%.0f windows of %d, %d more with too few ops", j.lateIncrease.count, j.config.MinWindows, j.skippedWindows)
	}
	// Two figures are looked at: each has half of the chance.
	passed := true
	for _, metric := range []struct {
		s     *runningStats
		floor float64
		what  string
	}{{&j.lateIncrease, j.config.DetectableLateIncrease, "not served in time"}, {&j.slowdown, math.Log(1 + j.config.DetectableSlowdown), "time it takes"}} {
		low, high := metric.s.confidenceBounds(j.config.ErrorRate / 2)
		if low > metric.floor/2 {
			return Failed, fmt.Sprintf("%s: %+.1f%%, between %+.1f%% and %+.1f%% after %.0f windows", metric.what, 100*metric.s.mean, 100*low, 100*high, metric.s.count)
		}
		passed = passed && high < metric.floor
	}
	if passed {
		return Passed, fmt.Sprintf("%+.1f%% not served in time, %+.1f%% in the time it takes, after %.0f windows", 100*j.lateIncrease.mean, 100*j.slowdown.mean, j.lateIncrease.count)
	}
	return Inconclusive, fmt.Sprintf("not certain after %.0f windows", j.lateIncrease.count)
}

// Package judge holds a new release against the old one, at the same time on the same work, and says as soon as it can whether it is worse. It is
// pure: windows of figures in, a verdict out. The test is sequential: it may be looked at after each window, and the chance of ever
// being wrong stays under what is told. docs/releases.md says which and why.
package judge

import (
	"fmt"
	"math"
)

// Told is what the judgement goes by.
type Told struct {
	Alpha   float64 // chance of a wrong halt, and of a missed regression, each
	Late    float64 // regression that has to be found: more ops in a hundred not served in their target latency, as a share
	Slow    float64 // ... and longer work, as a share
	Least   int     // windows before any verdict
	Ops     float64 // that a window needs on either side to count
	Crashes int     // processes of the new release that end by themselves; so many are a verdict at once
}

// Usual is what holds without being told.
func Usual() Told {
	return Told{Alpha: 0.02, Late: 0.02, Slow: 0.1, Least: 8, Ops: 20, Crashes: 2}
}

// Group is what one release did in a window.
type Group struct {
	Ops   float64 // that ended
	Well  float64 // of them, in their target latency
	Took  float64 // s that the others took on average, from reading to answer
	Ended int     // processes that ended by themselves
}

// Verdict is what is known by now.
type Verdict uint8

const (
	Open Verdict = iota
	Good
	Bad
)

var names = []string{"open", "good", "bad"}

func (v Verdict) String() string { return names[v] }

// Judge takes one wave's windows.
type Judge struct {
	told    Told
	late    series
	slow    series
	crashes int
	thin    int // windows with too few ops
}

// New begins.
func New(told Told) *Judge { return &Judge{told: told} }

// series is one figure's differences, window by window.
type series struct{ n, mean, m2 float64 }

func (s *series) add(x float64) {
	s.n++
	d := x - s.mean
	s.mean += d / s.n
	s.m2 += d * (x - s.mean)
}

// bounds is between which the true difference lies, at all windows at once but for a chance of alpha: Robbins' normal mixture, by the variance that was
// seen (a confidence sequence after Waudby-Smith and others, 2021). tight is the number of windows at which it is narrowest.
func (s *series) bounds(alpha float64) (low, high float64) {
	const tight = 30.0
	if s.n < 2 {
		return math.Inf(-1), math.Inf(1)
	}
	// A few windows that happen to be alike would make the variance too small: two of a difference that is usual are added.
	sigma := math.Sqrt((s.m2 + 2*s.m2/s.n) / (s.n - 1))
	rho := math.Sqrt((-2*math.Log(alpha) + math.Log(-2*math.Log(alpha)) + 1) / tight)
	t := s.n * rho * rho
	r := sigma * math.Sqrt(2*(t+1)/(s.n*s.n*rho*rho)*math.Log(math.Sqrt(t+1)/alpha))
	return s.mean - r, s.mean + r
}

// Add takes a window.
func (j *Judge) Add(fresh, old Group) {
	j.crashes += fresh.Ended
	if fresh.Ops < j.told.Ops || old.Ops < j.told.Ops {
		j.thin++
		return
	}
	j.late.add(old.Well/old.Ops - fresh.Well/fresh.Ops)
	if fresh.Took > 0 && old.Took > 0 {
		j.slow.add(math.Log(fresh.Took / old.Took))
	}
}

// Verdict is what is known by now: bad if the difference is over half of what has to be found, for certain; good if it is under all of it, for
// certain, in both figures. So one that is no worse is halted with a chance of alpha at most, and one that is worse by as much as has to be found
// passes with one of alpha at most; in between either may come, and something does.
func (j *Judge) Verdict() (Verdict, string) {
	if j.crashes >= j.told.Crashes && j.told.Crashes > 0 {
		return Bad, fmt.Sprintf("%d of its processes ended by themselves", j.crashes)
	}
	if int(j.late.n) < j.told.Least {
		return Open, fmt.Sprintf("%.0f windows of %d, %d more with too few ops", j.late.n, j.told.Least, j.thin)
	}
	// Two figures are looked at: each has half of the chance.
	good := true
	for _, x := range []struct {
		s     *series
		floor float64
		what  string
	}{{&j.late, j.told.Late, "not served in time"}, {&j.slow, math.Log(1 + j.told.Slow), "time it takes"}} {
		low, high := x.s.bounds(j.told.Alpha / 2)
		if low > x.floor/2 {
			return Bad, fmt.Sprintf("%s: %+.1f%%, between %+.1f%% and %+.1f%% after %.0f windows", x.what, 100*x.s.mean, 100*low, 100*high, x.s.n)
		}
		good = good && high < x.floor
	}
	if good {
		return Good, fmt.Sprintf("%+.1f%% not served in time, %+.1f%% in the time it takes, after %.0f windows", 100*j.late.mean, 100*j.slow.mean, j.late.n)
	}
	return Open, fmt.Sprintf("not certain after %.0f windows", j.late.n)
}

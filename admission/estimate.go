package admission

import (
	"time"
)

// Run time estimation: the paper's section 3.2, fitted to recent runs.

const (
	// runHistorySize covers one or two seconds of work at the usual rates, which is enough for a line fit.
	runHistorySize = 24
	// runSampleLifetime excludes older runs, so that a cold start or a slow period does not distort later
	// estimates.
	runSampleLifetime = 8 * time.Second
	// minRecentRuns is the number of most recent runs that are used regardless of their age.
	minRecentRuns = 4
	// minFitRuns is the minimum number of runs for a line fit.
	minFitRuns = 8
	// minHintVariance is the variance of hints, relative to their mean, below which hints are too similar for a
	// fit.
	minHintVariance = 0.01
	// minConcurrencyVariance is the variance of a deviation by one run. Below it, no slope can be determined.
	minConcurrencyVariance = 1
	// Hints may be rough: an estimate is kept between these multiples of the mean, and hintSlope is at least the
	// minimum.
	minHintScale, maxHintScale = 0.25, 8
	minHintSlope               = 0.25
	// unknownWorkDivisor divides the latency objective of a class to obtain the estimated work of a request without a
	// hint while there are no samples. The result is low enough to admit the first runs.
	unknownWorkDivisor = 8
)

// classState holds the settings of a class and the history of its runs.
type classState struct {
	ClassSettings
	runs runHistory
}

// runHistory holds the most recent successful runs of a class.
type runHistory struct {
	cores     int
	recent    []runSample
	successes int // number of successful runs since the start
	cached    runTimeEstimate
}

type runSample struct {
	at, elapsed time.Duration
	hint        time.Duration // work hint of the request
	concurrency float64       // runs on the cores, mean of the values at its start and end
}

// runTimeEstimate summarizes the recent runs of a class at one point in time.
type runTimeEstimate struct {
	valid           bool
	at              time.Duration
	successes       int           // successes of the history when the estimate was made
	runs            int           // number of runs that the estimate is based on
	workSum         time.Duration // sum of their elapsed times, each divided by its runs per core
	meanHint        float64       // seconds
	hintSlope       float64       // how strongly run times follow hints: 0 not at all, 1 in proportion
	meanConcurrency float64

	// Line fit of run times, in seconds, against concurrencies.
	meanElapsed         float64
	elapsedSlope        float64
	concurrencyVariance float64
}

func (h *runHistory) add(sample runSample) {
	h.recent = appendRecent(h.recent, sample, runHistorySize)
	h.successes++
}

// recentRuns returns the runs within runSampleLifetime, but at least the last minRecentRuns.
func (h *runHistory) recentRuns(now time.Duration) []runSample {
	for i, sample := range h.recent {
		if sample.at > now-runSampleLifetime || i == len(h.recent)-minRecentRuns {
			return h.recent[i:]
		}
	}
	return h.recent
}

// estimate returns the estimate for the given time. It is computed once for each time and number of successes, not
// for each request.
func (h *runHistory) estimate(now time.Duration) *runTimeEstimate {
	if e := &h.cached; e.valid && e.at == now && e.successes == h.successes {
		return e
	}
	runs := h.recentRuns(now)
	e := runTimeEstimate{
		valid:     true,
		at:        now,
		successes: h.successes,
		runs:      len(runs),
		hintSlope: 1,
		meanHint:  meanHint(runs).Seconds(),
	}
	hints, concurrencies := make([]point, len(runs)), make([]point, len(runs))
	for i, run := range runs {
		perCore := runsPerCore(run.concurrency, h.cores)
		e.workSum += time.Duration(float64(run.elapsed) / perCore)
		e.meanConcurrency += run.concurrency / float64(len(runs))
		hints[i] = point{run.hint.Seconds() / e.meanHint, run.elapsed.Seconds() / perCore}
		concurrencies[i] = point{run.concurrency, run.elapsed.Seconds()}
	}
	mean, slope, variance := fitLine(hints)
	if len(runs) >= minFitRuns && variance > minHintVariance && mean > 0 {
		e.hintSlope = min(1, max(minHintSlope, slope/mean))
	}
	e.meanElapsed, e.elapsedSlope, e.concurrencyVariance = fitLine(concurrencies)
	h.cached = e
	return &h.cached
}

// workScale returns the ratio of the work of a request with the given hint to the mean work. The line fit shows how
// strongly run times follow hints, because waits for the disk or for calls do not grow with them. Without a fit,
// work is proportional to the hint.
func (e *runTimeEstimate) workScale(hint time.Duration) float64 {
	if e.meanHint <= 0 || hint <= 0 {
		return 1
	}
	return min(maxHintScale, max(minHintScale, 1+(hint.Seconds()/e.meanHint-1)*e.hintSlope))
}

func meanHint(runs []runSample) time.Duration {
	var sum time.Duration
	for _, run := range runs {
		sum += run.hint
	}
	return sum / time.Duration(max(1, len(runs)))
}

// runsPerCore returns the number of runs that share a core, at least 1.
func runsPerCore(running float64, cores int) float64 { return max(1, running/float64(cores)) }

// estimatedWork returns the estimated run time of a request that has a core to itself: the paper's r, equation 7.
// With samples, it is the mean of run time divided by runs per core, multiplied by workScale.
func (c *Controller) estimatedWork(r *trackedRequest, now time.Duration) time.Duration {
	return c.classWork(r.class, r.WorkHint, now)
}

// classWork returns the estimated work of a request of the class with the given hint, 0 for no hint.
func (c *Controller) classWork(class *classState, hint, now time.Duration) time.Duration {
	e := class.runs.estimate(now)
	if e.runs > 0 {
		return time.Duration(float64(e.workSum) / float64(e.runs) * e.workScale(hint))
	}
	if hint > 0 {
		return time.Duration(float64(hint) / c.slowStart.speedShare(now))
	}
	return class.LatencyObjective / unknownWorkDivisor
}

// estimatedRunTime returns the paper's T, equation 9: r times runs per core, for the given number of running
// requests.
func (c *Controller) estimatedRunTime(r *trackedRequest, running int, now time.Duration) time.Duration {
	return time.Duration(float64(c.estimatedWork(r, now)) * runsPerCore(float64(running), c.cores))
}

// fittedRunTime returns the run time of a class for the given number of running requests. It is taken from the line
// fit, or is proportional to the runs per core if there are too few runs or their concurrencies are too similar.
func (c *Controller) fittedRunTime(class *classState, running int, now time.Duration) time.Duration {
	e := class.runs.estimate(now)
	if e.runs < minFitRuns || e.concurrencyVariance < minConcurrencyVariance {
		return time.Duration(float64(c.classWork(class, 0, now)) * runsPerCore(float64(running), c.cores))
	}
	seconds := e.meanElapsed + max(0, e.elapsedSlope)*(float64(running)-e.meanConcurrency)
	return time.Duration(max(seconds, 0) * float64(time.Second))
}

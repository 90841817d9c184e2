package admission

import (
	"time"
)

// The run-time estimate: the paper's section 3.2, fitted on the last runs.

const (
	// runHistorySize is a second or two of work at the usual rates, enough for a line through it.
	runHistorySize = 24
	// runSampleLifetime leaves out older runs: a cold start or a slow spell must not rate the runs after it.
	runSampleLifetime = 8 * time.Second
	// minRecentRuns are used however old they are.
	minRecentRuns = 4
	// minFitRuns is the number of runs under which no line is fitted.
	minFitRuns = 8
	// minHintVariance is the variance of hints, relative to their mean, under which they are nearly alike.
	minHintVariance = 0.01
	// minConcurrencyVariance is the variance of a deviation of one run, under which there is no slope to be seen.
	minConcurrencyVariance = 1
	// A hint may be rough: an estimate stays between these multiples of the mean, and its slope above the share.
	minHintScale, maxHintScale = 0.25, 8
	minHintSlope               = 0.25
	// unknownWorkDivisor is the part of a latency objective, as a divisor, that a run is taken for while nothing is
	// known of the class: it lets the first runs in.
	unknownWorkDivisor = 8
)

// classState is a class with what is known of its runs.
type classState struct {
	ClassSettings
	runs runHistory
}

// runHistory holds the last successful runs of a class.
type runHistory struct {
	cores     int
	recent    []runSample
	successes int // runs that ever succeeded
	cached    runTimeEstimate
}

type runSample struct {
	at, elapsed time.Duration
	hint        time.Duration // of the request's work
	concurrency float64       // runs on the cores, mean of its start and end
}

// runTimeEstimate sums up the last runs of a class as of a moment.
type runTimeEstimate struct {
	valid           bool
	at              time.Duration
	successes       int           // of the history when it was made
	runs            int           // that it stands on
	workSum         time.Duration // of their elapsed times, each divided by its runs per core
	meanHint        float64       // seconds
	hintSlope       float64       // how far a run time follows its hint: 0 not at all, 1 in proportion
	meanConcurrency float64

	// A line through run times, in seconds, against concurrencies.
	meanElapsed         float64
	elapsedSlope        float64
	concurrencyVariance float64
}

func (h *runHistory) add(sample runSample) {
	h.recent = appendRecent(h.recent, sample, runHistorySize)
	h.successes++
}

// recentRuns lists the runs that are recent enough, at least minRecentRuns of them.
func (h *runHistory) recentRuns(now time.Duration) []runSample {
	for i, sample := range h.recent {
		if sample.at > now-runSampleLifetime || i == len(h.recent)-minRecentRuns {
			return h.recent[i:]
		}
	}
	return h.recent
}

// estimate is worked out once for each moment and number of successes, not for each request.
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

// workScale is how much longer than the mean a request with this hint runs. A line through the last runs tells how far
// run times follow hints, as waits on disk and at calls do not grow with them; without a line, in proportion.
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

// runsPerCore is how many runs share a core, 1 at least.
func runsPerCore(running float64, cores int) float64 { return max(1, running/float64(cores)) }

// estimatedWork is the run time of a request that has a core to itself: the paper's r, equation 7. It is the mean run
// time over runs per core, scaled by the hint over the mean hint.
func (c *Controller) estimatedWork(r *trackedRequest, now time.Duration) time.Duration {
	return c.classWork(r.class, r.WorkHint, now)
}

// classWork is the estimated work of a request of the class with the hint, 0 for none.
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

// estimatedRunTime is the paper's T, equation 9: r times runs per core, with so many running.
func (c *Controller) estimatedRunTime(r *trackedRequest, running int, now time.Duration) time.Duration {
	return time.Duration(float64(c.estimatedWork(r, now)) * runsPerCore(float64(running), c.cores))
}

// fittedRunTime is the run time of a class with so many running: by the line through the last runs or, while these are
// few or were all with one concurrency, in proportion to runs per core.
func (c *Controller) fittedRunTime(class *classState, running int, now time.Duration) time.Duration {
	e := class.runs.estimate(now)
	if e.runs < minFitRuns || e.concurrencyVariance < minConcurrencyVariance {
		return time.Duration(float64(c.classWork(class, 0, now)) * runsPerCore(float64(running), c.cores))
	}
	seconds := e.meanElapsed + max(0, e.elapsedSlope)*(float64(running)-e.meanConcurrency)
	return time.Duration(max(seconds, 0) * float64(time.Second))
}

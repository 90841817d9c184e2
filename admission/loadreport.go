package admission

import (
	"math"
	"time"
)

const (
	// failingAcceptance is the acceptance of a failing instance. It still admits some traffic.
	failingAcceptance = 0.05
	// pressureWeight determines how fast acceptance decreases with pressure.
	pressureWeight = 4
	// Load reports are rounded to multiples of 1/loadReportSteps, or of 1/warmUpLoadReportSteps for tokens during
	// slow start, so that not every request changes them.
	loadReportSteps       = 20
	warmUpLoadReportSteps = 200
	// unpublished is the initial value of publishedLoad, lower than any load report.
	unpublished = -1
)

// acceptance returns the share of its usual traffic that the instance can accept, 0 to 1.
func (c *Controller) acceptance() float64 {
	now := c.executor.Now()
	switch c.health.state {
	case StateDraining, StateStalled:
		return 0
	case StateFailing:
		return failingAcceptance
	}
	succeeding := 1 - c.health.failureRate(now)
	return succeeding * succeeding * c.slowStart.speedShare(now) / (1 + pressureWeight*c.sustainedPressure(now))
}

// pressure returns the waiting time of requests, unread and queued, as a multiple of half the least latency
// objective. Half an objective is the wait that still leaves time to run.
func (c *Controller) pressure(now time.Duration) float64 {
	var queued time.Duration
	for _, r := range c.requests.queue {
		queued += c.estimatedWork(r, now)
	}
	wait := float64(queued)/float64(c.cores) + float64(c.arrivals.maxRecentQueueDelay(now))
	return wait / float64(c.minLatencyObjective()/2)
}

// sustainedPressure returns the current pressure or the mean of the recent readings, whichever is greater. Callers
// compare instances, and a report that recovered during each short lull would attract all of them at once.
func (c *Controller) sustainedPressure(now time.Duration) float64 {
	return max(c.pressure(now), c.gauges.meanPressure(now-readingHistorySize*c.sampleInterval()))
}

// minLatencyObjective returns the shortest latency objective of all classes.
func (c *Controller) minLatencyObjective() time.Duration {
	least := time.Duration(math.MaxInt64)
	for _, class := range c.classes {
		least = min(least, class.LatencyObjective)
	}
	return least
}

// publishLoad converts the acceptance into the configured load signal, and publishes it if it has changed.
func (c *Controller) publishLoad(now time.Duration) {
	var level float64
	steps := float64(loadReportSteps)
	warmingUp := c.slowStart.speedShare(now) < 1
	switch c.settings.LoadSignal {
	case LoadSignalChance:
		level = c.acceptance()
	case LoadSignalLeastRank:
		level = c.leastRank(c.acceptance(), warmingUp)
	case LoadSignalTokens:
		if warmingUp {
			level, steps = c.warmUpTokens(now), warmUpLoadReportSteps
		} else {
			level = c.tokens(now)
		}
	default:
		return
	}
	level = math.Round(level*steps) / steps
	if level != c.publishedLoad {
		c.publishedLoad = level
		c.executor.PublishLoad(level)
	}
}

// leastRank returns the rank below which requests are not accepted, chosen such that the acceptance is the share of
// the arrivals at or above it. During slow start the first reports matter although there are few arrivals, so ranks
// are assumed to be uniformly distributed until there are enough.
func (c *Controller) leastRank(acceptance float64, warmingUp bool) float64 {
	if warmingUp && c.arrivals.hasTooFew() {
		return 1 - acceptance
	}
	ranks := c.arrivals.sortedRanks()
	rejected := int((1 - acceptance) * float64(len(ranks)))
	if rejected <= 0 {
		return 0
	}
	return ranks[min(rejected, len(ranks)-1)]
}

// tokens returns the number of requests that each caller may have on this instance. If the capacity is less than
// one request per caller, it returns the acceptance, because callers use a fraction as a probability.
func (c *Controller) tokens(now time.Duration) float64 {
	return c.acceptance() * max(1, c.capacity(now)/c.arrivals.callerSpread(c.settings.Callers))
}

// warmUpTokens returns each caller's part of the capacity, multiplied by the acceptance. The sum of the requests of all
// callers, including those that have not sent any yet, would otherwise overload an instance during slow start.
func (c *Controller) warmUpTokens(now time.Duration) float64 {
	callers := max(c.arrivals.callerSpread(c.settings.Callers), c.settings.Callers)
	return c.acceptance() * c.capacity(now) / callers
}

// capacity returns the number of requests that can be on this instance and still be answered within their
// objective: the limit on concurrent runs, plus the requests that can wait for half an objective.
func (c *Controller) capacity(now time.Duration) float64 {
	var objective, work time.Duration
	for _, class := range c.classes {
		objective += class.LatencyObjective
		work += c.classWork(class, 0, now)
	}
	waiting := float64(c.cores) * float64(objective) / 2 / float64(max(work, time.Millisecond))
	return float64(c.concurrencyLimit(now)) + waiting
}

package admission

import (
	"math"
	"time"
)

const (
	// failingAcceptance lets some traffic come while the instance is failing.
	failingAcceptance = 0.05
	// pressureWeight is how fast acceptance falls with pressure.
	pressureWeight = 4
	// A load report is rounded to these steps to one, not to be published for each request.
	loadReportSteps       = 20
	warmUpLoadReportSteps = 200
	// unpublished is below any load report.
	unpublished = -1
)

// acceptance is how much of its usual traffic the instance wants, 0 to 1.
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

// pressure is the wait, unread and then queued, as a multiple of half a latency objective: as much as can still be done
// in time.
func (c *Controller) pressure(now time.Duration) float64 {
	var queued time.Duration
	for _, r := range c.requests.queue {
		queued += c.estimatedWork(r, now)
	}
	wait := float64(queued)/float64(c.cores) + float64(c.arrivals.maxRecentQueueDelay(now))
	return wait / float64(c.minLatencyObjective()/2)
}

// sustainedPressure is the pressure now or the mean of the last readings, whichever is more: callers compare instances,
// and a report that jumps back at each lull would draw them all at once.
func (c *Controller) sustainedPressure(now time.Duration) float64 {
	return max(c.pressure(now), c.gauges.meanPressure(now-readingHistorySize*c.sampleInterval()))
}

// minLatencyObjective is the least objective of all classes.
func (c *Controller) minLatencyObjective() time.Duration {
	least := time.Duration(math.MaxInt64)
	for _, class := range c.classes {
		least = min(least, class.LatencyObjective)
	}
	return least
}

// publishLoad turns the acceptance into the value that callers go by, and publishes a change.
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

// leastRank is the rank under which the share of the arrivals lies that is not accepted. With few arrivals while
// warming up, when the first answers count, it assumes ranks that are evenly spread.
func (c *Controller) leastRank(acceptance float64, warmingUp bool) float64 {
	if warmingUp && c.arrivals.hasTooFew() {
		return 1 - acceptance
	}
	ranks := c.arrivals.sortedRanks()
	below := int((1 - acceptance) * float64(len(ranks)))
	if below <= 0 {
		return 0
	}
	return ranks[min(below, len(ranks)-1)]
}

// tokens is how many requests each caller may have here. Callers that seldom have more than one get the acceptance: a
// fraction counts by chance.
func (c *Controller) tokens(now time.Duration) float64 {
	return c.acceptance() * max(1, c.capacity(now)/c.arrivals.callerSpread(c.settings.Callers))
}

// warmUpTokens is each caller's part of the capacity. An instance that warms up would be overloaded by the sum of what
// all callers send, those that have not come yet included.
func (c *Controller) warmUpTokens(now time.Duration) float64 {
	callers := max(c.arrivals.callerSpread(c.settings.Callers), c.settings.Callers)
	return c.acceptance() * c.capacity(now) / callers
}

// capacity is how many requests could be here and still be in time: those that run, and half an objective of waiting.
func (c *Controller) capacity(now time.Duration) float64 {
	var objective, work time.Duration
	for _, class := range c.classes {
		objective += class.LatencyObjective
		work += c.classWork(class, 0, now)
	}
	waiting := float64(c.cores) * float64(objective) / 2 / float64(max(work, time.Millisecond))
	return float64(c.concurrencyLimit(now)) + waiting
}

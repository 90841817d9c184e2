package admission

import (
	"math"
	"time"
)

const (
	// saturatedBusyShare is the share of busy cores above which none is taken for idle, where runs that want a
	// core are not measured.
	saturatedBusyShare = 0.95
	// usableConcurrencyShare is the part of the survivable runs that may run or be in a call.
	usableConcurrencyShare = 0.9
	// usableRunningShare is the part of the survivable runs that are started. It leaves room for runs that come back from
	// calls.
	usableRunningShare = 0.75
	// defaultRunsPerCore bounds the runs where it is not known how many are survived.
	defaultRunsPerCore = 2
)

// adaptiveLimit is how far idle cores have let the number of runs grow.
type adaptiveLimit struct {
	runs              int // runs
	completionsAtGrowth int // completions when it last grew
	completions        int // runs that ended, well or not
}

// shrink takes one run back where more than the cores are wanted by a sixth: beyond it runs only slow each other down.
func (l *adaptiveLimit) shrink(reading gaugeReading, cores int) {
	if reading.runnable > float64(cores)*7/6 {
		l.runs = max(cores, l.runs-1)
	}
}

// concurrencyLimit is the largest number of runs with which, by the fit, each class running meets the least slack of
// those running. It stays within what idle cores have let it grow to, floors at the cores with the runs on top that
// wait for something else, and stays under the ceiling.
func (c *Controller) concurrencyLimit(now time.Duration) int {
	least := time.Duration(math.MaxInt64)
	classes := map[*classState]bool{}
	for _, r := range c.requests.running {
		if slack := r.slack(now); slack > 0 {
			least = min(least, slack)
			classes[r.class] = true
		}
	}
	limit := c.limit.runs
	for limit > c.cores && !c.allWithinSlack(classes, limit, least, now) {
		limit--
	}
	return min(max(limit, c.cores+c.gauges.blockedRuns()), c.concurrencyCeiling())
}

// allWithinSlack tells whether with so many running each class meets the slack.
func (c *Controller) allWithinSlack(classes map[*classState]bool, running int, slack, now time.Duration) bool {
	meets := true
	for class := range classes { // the result does not depend on their order
		meets = meets && c.fittedRunTime(class, running, now) <= slack
	}
	return meets
}

// raiseLimit lets one more run than the limit while cores idle and work waits. It needs a completion since it last
// did: a hang looks like idle cores, and would take in all that waits.
func (c *Controller) raiseLimit(now time.Duration) bool {
	reading, measured := c.gauges.last()
	running := len(c.requests.running)
	if !measured || c.limit.completions <= c.limit.completionsAtGrowth || running >= c.concurrencyCeiling() {
		return false
	}
	if reading.runnable >= 0 && !c.coreFree(now) || reading.runnable < 0 && reading.busy > saturatedBusyShare {
		return false
	}
	c.limit.runs = running + 1
	c.limit.completionsAtGrowth = c.limit.completions
	return true
}

// concurrencyCeiling is how many runs on the cores the instance survives, less in proportion while it warms up.
//
// Runs that are in a call come back when the upstream does, all at once, and those that wait for a call go on without
// it when their slack is spent: both count. Beside those that wait, as many are started as there are cores, and a place
// is left for the next call while half of the cores are kept at work.
func (c *Controller) concurrencyCeiling() int {
	survivable := c.survivableConcurrency()
	if survivable <= 0 {
		return defaultRunsPerCore * c.cores
	}
	open := c.upstream.open
	room := int(c.maxConcurrency()) - open
	waiting := len(c.requests.atCall) - open
	floor := room
	if waiting > 0 && (open == 0 || room > c.halfCores()) {
		floor--
	}
	return max(min(1, floor), min(int(usableRunningShare*survivable), max(room-waiting, min(c.cores, floor))))
}

func (c *Controller) halfCores() int { return (c.cores + 1) / 2 }

// maxConcurrency is how many may run and be in a call: a part of what is survived, or one more than the cores.
func (c *Controller) maxConcurrency() float64 {
	survivable := c.survivableConcurrency()
	return max(usableConcurrencyShare*survivable, min(survivable, float64(c.cores+1)))
}

// allowsOneMore tells whether beside so many on the cores one more may go there, or to a call that it comes back
// from. One alone always may.
func (c *Controller) allowsOneMore(running int) bool {
	if c.survivableConcurrency() <= 0 || len(c.requests.running)+c.upstream.open == 0 {
		return true
	}
	return float64(running+c.upstream.open+1) <= c.maxConcurrency()
}

// survivableConcurrency is how many runs on the cores are survived now, 0 if that is not known.
func (c *Controller) survivableConcurrency() float64 {
	perCore := c.settings.SurvivableRunsPerCore
	if perCore <= 0 {
		return 0
	}
	return float64(c.cores) * (1 + (perCore-1)*c.slowStart.speedShare(c.executor.Now()))
}

package admission

import (
	"math"
	"time"
)

const (
	// saturatedBusyShare is the share of busy cores above which no core counts as idle. It applies if the number
	// of runnable runs is not measured.
	saturatedBusyShare = 0.95
	// usableConcurrencyShare is the share of the survivable runs that may be on the cores or in a call.
	usableConcurrencyShare = 0.9
	// usableRunningShare is the share of the survivable runs up to which requests are started. The rest is reserved
	// for runs that return from calls.
	usableRunningShare = 0.75
	// defaultRunsPerCore limits the runs per core if the survivable number is not known.
	defaultRunsPerCore = 2
)

// adaptiveLimit is the limit on concurrent runs. It grows while cores are idle.
type adaptiveLimit struct {
	runs                int // the limit
	completionsAtGrowth int // completions when the limit last grew
	completions         int // runs that succeeded or failed
}

// shrink lowers the limit by one, but not below the cores, if more than 7/6 as many runs as there are cores are
// runnable. Beyond this excess of a sixth, additional runs only slow each other down.
func (l *adaptiveLimit) shrink(reading gaugeReading, cores int) {
	if reading.runnable > float64(cores)*7/6 {
		l.runs = max(cores, l.runs-1)
	}
}

// concurrencyLimit returns the largest number of runs at which the fitted run time of each class with running
// requests is within the least positive slack of these requests. The result is at most the adaptive limit, but at
// least the number of cores plus the number of blocked runs, and never above the ceiling.
func (c *Controller) concurrencyLimit(now time.Duration) int {
	leastSlack := time.Duration(math.MaxInt64)
	classes := map[*classState]bool{}
	for _, r := range c.requests.running {
		if slack := r.slack(now); slack > 0 {
			leastSlack = min(leastSlack, slack)
			classes[r.class] = true
		}
	}
	limit := c.limit.runs
	for limit > c.cores && !c.allWithinSlack(classes, limit, leastSlack, now) {
		limit--
	}
	return min(max(limit, c.cores+c.gauges.blockedRuns()), c.concurrencyCeiling())
}

// allWithinSlack reports whether the fitted run time of each class, at the given number of running requests, is within
// the slack.
func (c *Controller) allWithinSlack(classes map[*classState]bool, running int, slack, now time.Duration) bool {
	meets := true
	for class := range classes { // the result does not depend on the iteration order
		meets = meets && c.fittedRunTime(class, running, now) <= slack
	}
	return meets
}

// raiseLimit raises the limit to one more than the number of running requests if cores are idle, and reports whether it
// did. It is called while requests are queued. It requires a completion since it last raised the limit: the cores
// also look idle during a hang, and the limit would otherwise grow until all queued requests had started.
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

// concurrencyCeiling returns the maximum number of runs on the cores at which the instance still survives when the
// runs at calls return. During slow start, the survivable runs beyond one per core are reduced in proportion to
// speedShare. If the survivable number is not known, the result is defaultRunsPerCore for each core.
//
// When the upstream recovers, all runs in a call return at once, and runs that wait for a call go on without it
// when their slack is used up. Both kinds therefore reduce the result. However many runs wait, as many runs as there
// are cores are still allowed if the open calls leave room for them. While runs wait, one place of that room is
// reserved for the next call, provided that no call is open or half of the cores can still be kept busy.
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

// maxConcurrency returns the maximum number of runs on the cores and in calls: a share of the survivable runs, but
// at least one more than the cores, or all survivable runs if these are fewer.
func (c *Controller) maxConcurrency() float64 {
	survivable := c.survivableConcurrency()
	return max(usableConcurrencyShare*survivable, min(survivable, float64(c.cores+1)))
}

// allowsOneMore reports whether one more run may be on the cores or in a call, in addition to the open calls and the
// given number of runs on the cores. A run is always allowed if no other run is on the cores or in a call. There is no
// limit if the survivable number is not known.
func (c *Controller) allowsOneMore(running int) bool {
	if c.survivableConcurrency() <= 0 || len(c.requests.running)+c.upstream.open == 0 {
		return true
	}
	return float64(running+c.upstream.open+1) <= c.maxConcurrency()
}

// survivableConcurrency returns the number of runs on the cores that the instance survives now, 0 if it is not
// known.
func (c *Controller) survivableConcurrency() float64 {
	perCore := c.settings.SurvivableRunsPerCore
	if perCore <= 0 {
		return 0
	}
	return float64(c.cores) * (1 + (perCore-1)*c.slowStart.speedShare(c.executor.Now()))
}

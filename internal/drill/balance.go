package drill

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"lanewheel/internal/config"
)

const (
	// warmUpSeconds is the number of seconds that are excluded from the measurement after instances have started.
	warmUpSeconds = 8

	// minCalmSeconds is the minimum number of calm seconds that the balance is measured over.
	minCalmSeconds = 3
)

// balanceCheck measures how the load was spread over the instances during the calm seconds, which are the seconds
// that no event affects.
type balanceCheck struct {
	cluster           *cluster
	calm              []bool          // by second
	faulty            map[int]bool    // instances whose runs failed or were lost; senders eject them temporarily
	runs              [][]int         // by second and instance
	totalRuns         int             // in calm seconds
	lastRun           []time.Duration // by instance; 0: none yet
	longestIdle       []float64       // by instance, its longest idle time, s
	longestIdleDetail string          // the instance with the longest idle time of all, and when that ended
}

// instanceRun is a run of a request on a process.
type instanceRun struct {
	at      time.Duration // since the start of the load
	process int           // index
}

// checkBalance returns the metrics of the load balance, and the violations of the script's limits.
func checkBalance(
	c *cluster, log *requestLog, events []Event, startedAt, endedAt time.Time,
) (metrics []metric, violations []violation) {
	script := c.script
	check := newBalanceCheck(c, int(min(endedAt.Sub(startedAt), script.LoadDuration).Seconds()))
	for i := range events {
		check.excludeEvent(&events[i])
	}
	runs, forwarded := log.instanceRuns(startedAt)
	for _, run := range runs {
		check.countRun(run)
	}
	if script.SpilloverEnabled && script.Proxies == 0 {
		metrics = append(metrics, metric{"ops handed over and run", float64(forwarded)})
	}
	spread := check.spread()
	alwaysOut := script.Coordinators > 0 // coordinators grant permits, so some instance is always out
	if spread.seconds < minCalmSeconds || check.totalRuns == 0 || alwaysOut {
		return metrics, nil
	}
	perInstance := float64(check.totalRuns) / float64(spread.seconds) / float64(script.Instances)
	meanGap := float64(spread.seconds) * float64(script.Instances) / float64(check.totalRuns)
	longestIdleGaps := slices.Max(check.longestIdle) / meanGap
	metrics = append(metrics,
		metric{"calm seconds", float64(spread.seconds)},
		metric{"ops a second of an instance, calm", perInstance},
		metric{"most loaded of a second, of what chance gives", spread.imbalance},
		metric{"... in the worst second", spread.worst},
		metric{"longest idle, expected gaps", longestIdleGaps})
	c.print("longest idle: " + check.longestIdleDetail)
	return metrics, check.violations(spread.imbalance, longestIdleGaps)
}

func newBalanceCheck(c *cluster, seconds int) *balanceCheck {
	instances := c.script.Instances
	check := &balanceCheck{
		cluster:     c,
		calm:        make([]bool, max(0, seconds)),
		faulty:      map[int]bool{},
		runs:        make([][]int, max(0, seconds)),
		lastRun:     make([]time.Duration, instances),
		longestIdle: make([]float64, instances),
	}
	for second := range check.calm {
		check.calm[second] = second >= warmUpSeconds
		check.runs[second] = make([]int, instances)
	}
	return check
}

// excludeEvent marks the seconds that an event affects as not calm.
func (b *balanceCheck) excludeEvent(event *Event) {
	fault := event.Fault
	if fault.Action == config.ActionFailRuns || fault.Action == config.ActionLoseRuns {
		for _, index := range event.Targets {
			b.faulty[index] = true
		}
	}
	from, to := event.At, event.At+b.cluster.script.Balance.RecoveryTime
	if fault.Duration > 0 && !event.Undo {
		to += fault.Duration
	}
	if len(event.Targets) > 0 { // the targets may have restarted
		to += warmUpSeconds * time.Second
	}
	for second := range b.calm {
		if time.Duration(second+1)*time.Second > from && time.Duration(second)*time.Second < to {
			b.calm[second] = false
		}
	}
}

// instanceRuns returns all runs in order of time, and the number of runs on a process other than the target of the
// request.
func (l *requestLog) instanceRuns(startedAt time.Time) (runs []instanceRun, forwarded int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, request := range l.requests {
		for _, execution := range request.executions {
			runs = append(runs, instanceRun{execution.at.Sub(startedAt), execution.process})
			if execution.process != request.process {
				forwarded++
			}
		}
	}
	slices.SortFunc(runs, func(a, b instanceRun) int { return cmp.Compare(a.at, b.at) })
	return runs, forwarded
}

// countRun counts a run if it was on an instance and in a calm second.
func (b *balanceCheck) countRun(run instanceRun) {
	second := int(run.at / time.Second)
	if run.process >= len(b.lastRun) || second < 0 || second >= len(b.calm) || !b.calm[second] {
		return
	}
	b.runs[second][run.process]++
	b.totalRuns++
	last := b.lastRun[run.process]
	b.lastRun[run.process] = run.at
	// An idle time counts only if all of it is calm.
	if last == 0 || b.faulty[run.process] || slices.Contains(b.calm[int(last/time.Second):second], false) {
		return
	}
	idle := (run.at - last).Seconds()
	if idle <= b.longestIdle[run.process] {
		return
	}
	b.longestIdle[run.process] = idle
	if idle == slices.Max(b.longestIdle) {
		b.longestIdleDetail = fmt.Sprintf("%s until %.1f s", b.cluster.processes[run.process].name, run.at.Seconds())
	}
}

// loadSpread describes how the runs in the calm seconds were spread over the instances.
type loadSpread struct {
	seconds   int
	imbalance float64 // runs of the most loaded instance per second, relative to the maximum expected by chance
	worst     float64 // the same ratio in the worst second
}

func (b *balanceCheck) spread() (spread loadSpread) {
	peaks, expectedPeaks := 0.0, 0.0
	for second, runs := range b.runs {
		if !b.calm[second] {
			continue
		}
		spread.seconds++
		total := 0
		for _, count := range runs {
			total += count
		}
		peak, expected := float64(slices.Max(runs)), expectedMaximum(total, len(runs))
		peaks += peak
		expectedPeaks += expected
		if expected > 0 {
			spread.worst = max(spread.worst, peak/expected)
		}
	}
	spread.imbalance = peaks / expectedPeaks
	return spread
}

func (b *balanceCheck) violations(imbalance, longestIdleGaps float64) (violations []violation) {
	script := b.cluster.script
	limits := script.Balance
	if !limits.Enabled {
		return nil
	}
	if imbalance > limits.MaxImbalance {
		detail := fmt.Sprintf("the most loaded of a second had %.2f of what chance gives, %.2f is told",
			imbalance, limits.MaxImbalance)
		violations = append(violations, violation{script.LoadDuration, ruleLoadEven, detail})
	}
	if longestIdleGaps > limits.MaxIdleGaps {
		detail := fmt.Sprintf("one waited for %.1f expected gaps, %.1f is told", longestIdleGaps, limits.MaxIdleGaps)
		violations = append(violations, violation{script.LoadDuration, ruleNoneIdle, detail})
	}
	return violations
}

// expectedMaximum returns the expected number of requests on the most loaded process if each request goes to a
// process drawn uniformly at random.
func expectedMaximum(requests, processes int) float64 {
	const negligible = 1e-12
	mean := float64(requests) / float64(processes)
	expected, atMost, probability := 0.0, 0.0, math.Exp(-mean)
	for count := 0; count <= requests; count++ {
		atMost += probability // that a Poisson variable is at most count
		expected += 1 - math.Pow(min(1, atMost), float64(processes))
		probability *= mean / float64(count+1)
		if float64(count) > mean && probability < negligible {
			break
		}
	}
	return expected
}

package admission

import (
	"fmt"
	"slices"
	"time"
)

const (
	resultHistorySize = 16
	// resultLifetime is how long a result counts; that failures are forgotten is the way back from failing.
	resultLifetime = 5 * time.Second
	// minFailures is the number of failures under which they are the usual errors.
	minFailures = 3
	// failingFailureRate is the share of failed runs from which the instance is failing.
	failingFailureRate = 0.5
	// probeInterval is how often a failing instance lets one request through, to see whether runs still fail.
	probeInterval = 500 * time.Millisecond
	// Runs are stalled when none has made progress for this multiple of their mean run time, with the second constant
	// divided by their number on top: a lone run may be far longer than its hint.
	stalledRunTimes    = 2
	stalledExtraRunTimes = 6
)

// State is the health of an instance as its Controller sees it.
type State int

// Each has its way back to StateHealthy but draining.
const (
	StateHealthy  State = iota // runs end, and few fail
	StateStalled               // work goes in and none comes out; the next run that ends is the way back
	StateFailing               // half or more of the last runs failed; failures are forgotten after a while
	StateDraining              // notified to drain
)

var stateNames = [...]string{
	StateHealthy:  "healthy",
	StateStalled:  "stalled",
	StateFailing:  "failing",
	StateDraining: "draining",
}

func (s State) String() string { return enumString("State", stateNames[:], int(s)) }

// Transition is a change of State, with the number of requests at that moment.
type Transition struct {
	From, To        State
	Queued, Running int
}

func (t Transition) String() string {
	return fmt.Sprintf("%v -> %v: queued %d, running %d", t.From, t.To, t.Queued, t.Running)
}

// healthMonitor holds what the state is concluded from.
type healthMonitor struct {
	state        State
	recentResults      []runResult   // the last runs that succeeded or failed
	lastProgress time.Duration // when a run last ended, or reached or left a call
	lastProbeAt     time.Duration // when a request was last let through while failing
}

type runResult struct {
	at     time.Duration
	failed bool
}

func (h *healthMonitor) addResult(result runResult) {
	h.recentResults = appendRecent(h.recentResults, result, resultHistorySize)
}

// failureRate is the share of the recent runs that failed, 0 while that are few.
func (h *healthMonitor) failureRate(now time.Duration) float64 {
	n, failed := 0, 0
	for _, result := range h.recentResults {
		if result.at > now-resultLifetime {
			n++
			if result.failed {
				failed++
			}
		}
	}
	if failed < minFailures {
		return 0
	}
	return float64(failed) / float64(n)
}

// isStalled tells whether work goes in and none comes out: no run has ended, reached or left a call for far longer than
// those on the cores should take. It detects hangs, a dead disk, a lost core, a lock held for ever.
func (c *Controller) isStalled(now time.Duration) bool {
	running := c.requests.running
	if len(running) == 0 {
		return false
	}
	oldest := now
	var runTime time.Duration
	for _, r := range running {
		oldest = min(oldest, r.startedAt)
		runTime += c.estimatedRunTime(r, len(running), now)
	}
	runTime /= time.Duration(len(running))
	quiet := now - max(oldest, c.health.lastProgress)
	return float64(quiet) > float64(runTime)*(stalledRunTimes+stalledExtraRunTimes/float64(len(running)))
}

// updateState concludes the state and announces a change, once.
func (c *Controller) updateState(now time.Duration) {
	was := c.health.state
	c.health.state = c.currentState(now)
	if c.health.state == was {
		return
	}
	c.executor.LogTransition(Transition{
		From:    was,
		To:      c.health.state,
		Queued:  len(c.requests.queue),
		Running: len(c.requests.running),
	})
	c.executor.SetHealth(Health{Healthy: c.health.state == StateHealthy, FromState: true})
}

func (c *Controller) currentState(now time.Duration) State {
	switch {
	case c.drain.notified:
		return StateDraining
	case c.isStalled(now):
		return StateStalled
	case c.health.failureRate(now) >= failingFailureRate:
		return StateFailing
	}
	return StateHealthy
}

// rejectWhileUnhealthy rejects what should not be started here in the present state.
func (c *Controller) rejectWhileUnhealthy(now time.Duration) {
	if c.health.state == StateHealthy {
		return
	}
	for _, r := range slices.Clone(c.requests.queue) {
		switch c.health.state {
		case StateDraining:
			c.rejectWhileDraining(r, now)
		case StateStalled:
			c.reject(r)
		case StateFailing:
			c.probeOrReject(r, now)
		}
	}
	if c.health.state == StateStalled {
		c.rejectStalledRuns()
	}
}

// probeOrReject lets one queued request through each probeInterval.
func (c *Controller) probeOrReject(r *trackedRequest, now time.Duration) {
	if now-c.health.lastProbeAt < probeInterval {
		c.reject(r)
		return
	}
	c.health.lastProbeAt = now
}

// rejectStalledRuns answers the idempotent among the runs that may never end, while their callers have time to try
// elsewhere.
func (c *Controller) rejectStalledRuns() {
	for _, r := range c.requests.running {
		if r.class.Idempotency == Idempotent && !r.answered {
			r.answered = true
			c.executor.Reject(r.ID, c.retryAfter(), false)
		}
	}
}

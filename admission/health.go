package admission

import (
	"fmt"
	"slices"
	"time"
)

const (
	resultHistorySize = 16
	// resultLifetime is how long a result counts. A failing instance recovers because its failures expire.
	resultLifetime = 5 * time.Second
	// minFailures is the number of failures below which they count as ordinary errors.
	minFailures = 3
	// failingFailureRate is the share of failed runs at which the instance is failing.
	failingFailureRate = 0.5
	// probeInterval is how often a failing instance starts one request, to check whether runs still fail.
	probeInterval = 500 * time.Millisecond
	// Runs are stalled when none has made progress for a multiple of their mean run time. The multiple is the sum
	// of stalledRunTimes and of stalledExtraRunTimes divided by the number of runs. The extra part is large for a
	// single run because it may take far longer than its hint.
	stalledRunTimes      = 2
	stalledExtraRunTimes = 6
)

// State is the health of an instance as its Controller determines it.
type State int

// Every state except StateDraining can return to StateHealthy.
const (
	StateHealthy  State = iota // runs end, and few fail
	StateStalled               // requests start but none completes; ends when a run ends or makes other progress
	StateFailing               // half or more of the recent runs failed; ends when failures expire or probes succeed
	StateDraining              // the instance was notified to drain
)

var stateNames = [...]string{
	StateHealthy:  "healthy",
	StateStalled:  "stalled",
	StateFailing:  "failing",
	StateDraining: "draining",
}

func (s State) String() string { return enumString("State", stateNames[:], int(s)) }

// Transition is a change of State, with the number of requests at that time.
type Transition struct {
	From, To        State
	Queued, Running int
}

func (t Transition) String() string {
	return fmt.Sprintf("%v -> %v: queued %d, running %d", t.From, t.To, t.Queued, t.Running)
}

// healthMonitor holds the state and the data from which it is derived.
type healthMonitor struct {
	state         State
	recentResults []runResult   // the most recent runs that succeeded or failed
	lastProgress  time.Duration // when a run last ended or reached a call, or a call last succeeded
	lastProbeAt   time.Duration // when a failing instance last kept a request as a probe
}

type runResult struct {
	at     time.Duration
	failed bool
}

func (h *healthMonitor) addResult(result runResult) {
	h.recentResults = appendRecent(h.recentResults, result, resultHistorySize)
}

// failureRate returns the share of recent runs that failed, 0 if there were fewer than minFailures failures.
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

// isStalled reports whether requests start but none completes: no run has ended or reached a call, and no call has
// succeeded, for much longer than the runs on the cores should take. It detects hangs, such as a failed disk, a lost
// core or a lock that is never released.
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
	sinceProgress := now - max(oldest, c.health.lastProgress)
	return float64(sinceProgress) > float64(runTime)*(stalledRunTimes+stalledExtraRunTimes/float64(len(running)))
}

// updateState updates the state. If it has changed, updateState logs the change and sets the result of health checks.
func (c *Controller) updateState(now time.Duration) {
	previous := c.health.state
	c.health.state = c.currentState(now)
	if c.health.state == previous {
		return
	}
	c.executor.LogTransition(Transition{
		From:    previous,
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

// rejectWhileUnhealthy rejects the requests that should not run on this instance in its present state.
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

// probeOrReject keeps a request queued as a probe if none was kept within probeInterval, and rejects it otherwise.
func (c *Controller) probeOrReject(r *trackedRequest, now time.Duration) {
	if now-c.health.lastProbeAt < probeInterval {
		c.reject(r)
		return
	}
	c.health.lastProbeAt = now
}

// rejectStalledRuns rejects the idempotent requests among the stalled runs while their callers have time to try
// another instance.
func (c *Controller) rejectStalledRuns() {
	for _, r := range c.requests.running {
		if r.class.Idempotency == Idempotent && !r.answered {
			r.answered = true
			c.executor.Reject(r.ID, c.retryAfter(), false)
		}
	}
}

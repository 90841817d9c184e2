package admission

import "time"

const (
	// The time between gauge samples is the least latency objective divided by sampleIntervalDivisor, so that a run
	// of that length is sampled several times. With much shorter intervals, the cost of the timers would outweigh
	// the benefit of the samples. With much longer ones, a hang would go unnoticed.
	sampleIntervalDivisor = 20
	minSampleInterval     = 5 * time.Millisecond
	maxSampleInterval     = 100 * time.Millisecond
	minSampleTicks        = 2
)

// Controller decides for one instance which requests are admitted, in which order they run, and which are rejected.
// It has no goroutine, clock or I/O of its own. The goroutine that owns it calls its methods and the functions that
// it passes to the Executor.
type Controller struct {
	executor Executor
	settings Settings
	cores    int // whole cores, 1 or more
	random   randomSource

	classes  map[Class]*classState
	requests requestTable
	records  idempotencyRecords
	arrivals arrivalHistory
	quotas   tenantQuotas

	order    startOrder
	gauges   gaugeHistory
	limit    adaptiveLimit
	upstream upstreamCalls

	health    healthMonitor
	slowStart slowStart
	drain     drainState

	publishedLoad float64 // the last load report, or unpublished
	idle          idleTimeoutState
	wakeAt        time.Duration // when the timer that was set last fires or fired; 0: none was set
}

// New returns the Controller of an instance that has just started, and sets its health to healthy through the
// Executor. The settings must be valid, see Settings.Validate. The same seed, settings and events result in the same
// decisions.
func New(seed uint64, settings Settings, executor Executor) *Controller {
	cores := max(1, int(settings.Cores))
	c := &Controller{
		executor:      executor,
		settings:      settings,
		cores:         cores,
		random:        randomSource{seed: seed},
		classes:       map[Class]*classState{},
		requests:      requestTable{byID: map[RequestID]*trackedRequest{}},
		records:       idempotencyRecords{recordKB: settings.RecordKB, tick: settings.Tick},
		quotas:        newTenantQuotas(&settings),
		limit:         adaptiveLimit{runs: cores},
		slowStart:     newSlowStart(&settings, executor.Now()),
		publishedLoad: unpublished,
	}
	for _, class := range settings.Classes {
		c.classes[class.Name] = &classState{ClassSettings: class, runs: runHistory{cores: cores}}
	}
	c.order = newStartOrder(c.classes)
	// Health checks that do real work and call the upstream would add to an overload. They are answered from the
	// state instead.
	executor.SetHealth(Health{Healthy: true, FromState: true})
	return c
}

// Decide makes the decisions that follow from a batch of events: it answers due requests, updates the state, starts
// queued requests, grants upstream calls and publishes the load report. It must be called after each batch of calls
// of other methods and of functions that were passed to the Executor.
func (c *Controller) Decide() {
	now := c.executor.Now()
	c.answerDueRequests(now)
	c.updateState(now)
	c.rejectWhileUnhealthy(now)
	c.startRequests(now)
	c.scheduleCalls(now)
	c.publishLoad(now)
	if c.gauges.sampledAt(now) {
		c.adjustIdleTimeout(now)
	}
	c.scheduleWake(now)
}

// scheduleWake sets a timer for the next gauge sample or for the next due answer, whichever is earlier, unless the
// timer that was set last is pending and fires no later. It sets none if there are no requests, the state is
// StateHealthy and loadIsReduced returns false.
func (c *Controller) scheduleWake(now time.Duration) {
	next := time.Duration(0)
	if len(c.requests.byID) > 0 || c.health.state != StateHealthy || c.loadIsReduced() {
		next = now + c.sampleInterval()
	}
	for _, r := range c.requests.awaitingAnswer() {
		next = min(next, max(c.latestAnswerAt(r), now+c.settings.Tick))
	}
	if next == 0 || c.wakeAt > now && c.wakeAt <= next {
		return
	}
	c.wakeAt = next
	c.executor.WakeAt(next, c.recordGauges)
}

// loadIsReduced reports whether load reports are published and the instance currently accepts less than its usual
// traffic.
func (c *Controller) loadIsReduced() bool { return c.publishedLoad >= 0 && c.acceptance() < 1 }

// sampleInterval returns the time between samples of the gauges.
func (c *Controller) sampleInterval() time.Duration {
	return min(maxSampleInterval,
		max(c.minLatencyObjective()/sampleIntervalDivisor, minSampleTicks*c.settings.Tick, minSampleInterval))
}

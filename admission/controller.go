package admission

import "time"

const (
	// The time between samples of the gauges is a part of the least latency objective, as a divisor: several in a run
	// that is worth its objective. It is not so short that timers cost more than they tell, nor so long that a hang
	// goes unseen.
	sampleIntervalDivisor = 20
	minSampleInterval   = 5 * time.Millisecond
	maxSampleInterval   = 100 * time.Millisecond
	minSampleTicks      = 2
)

// Controller decides for one instance which requests are admitted, in which order they run, and what is rejected. It
// has no goroutine, clock or I/O of its own: the goroutine that owns it calls its methods and, later, the functions
// that it hands to the Executor.
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
	wakeAt        time.Duration // the timer that is set; 0: none
}

// New makes the Controller of an instance that has just come up, and has the Executor report it as healthy. The
// settings must be valid, see Settings.Validate. With the same seed the same events give the same decisions.
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
	// Health checks that do real work and call the upstream would add to an overload, so they are answered from here.
	executor.SetHealth(Health{Healthy: true, FromState: true})
	return c
}

// Decide runs one round, after all events of a batch are in: it answers what is due, concludes the state, starts what
// may run and grants upstream calls, and tells callers how much is welcome. It must follow each batch of calls of other
// methods and of functions that were handed to the Executor.
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

// scheduleWake keeps one timer: for the next answer that is due and, while there is work, for the next sample of the
// gauges.
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

// loadIsReduced tells whether callers were last asked for less than their usual traffic.
func (c *Controller) loadIsReduced() bool { return c.publishedLoad >= 0 && c.acceptance() < 1 }

// sampleInterval is the time between samples of the gauges.
func (c *Controller) sampleInterval() time.Duration {
	return min(maxSampleInterval,
		max(c.minLatencyObjective()/sampleIntervalDivisor, minSampleTicks*c.settings.Tick, minSampleInterval))
}

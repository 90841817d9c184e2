package admission

import "time"

// Executor carries out the decisions of a Controller. The server and the simulator's host implement it.
//
// All methods are called by the goroutine that calls the Controller, from within one of its methods. They must not
// block and must not call the Controller. The functions passed to them are to be called later, by the same goroutine.
type Executor interface {
	// Now returns the time since an origin of the Executor's choice. It never decreases, and does not change while
	// the Controller handles a batch.
	Now() time.Duration

	// Start runs a queued request. onCall is called each time the run reaches an upstream call. onEnd is called
	// once when the run has ended, with its elapsed time.
	Start(id RequestID, onCall func(), onEnd func(outcome Outcome, elapsed time.Duration))
	// Stop removes a run from the cores. The onEnd function passed to Start confirms it.
	Stop(id RequestID)
	// Coalesce answers a request with the result of the request that it duplicates. onEnd is called once
	// afterwards.
	Coalesce(id RequestID, onEnd func(outcome Outcome, elapsed time.Duration))
	// Reject rejects a request. The caller is asked to send nothing to this instance for retryAfter (0: no advice)
	// and, if noFailover is set, not to try another instance either.
	Reject(id RequestID, retryAfter time.Duration, noFailover bool)
	// Fail answers a request with an error unless it has been answered. If its run is at a call, Fail ends the run.
	Fail(id RequestID)

	// Call makes the upstream call of a run that has reached one, and abandons the call at the deadline. done is
	// called once. Unless the outcome is Succeeded, the run remains at the call.
	Call(id RequestID, deadline time.Duration, done func(outcome Outcome, elapsed time.Duration))
	// SkipCall lets a run that is at an upstream call continue without making it.
	SkipCall(id RequestID)

	// KeepRecord stores a request's idempotency record for the given window from now on, so that duplicates of the
	// request are recognized. DropRecord removes the record.
	KeepRecord(id RequestID, window time.Duration)
	DropRecord(id RequestID)

	// SetHealth sets the result of health checks.
	SetHealth(health Health)
	// PublishLoad sets the value of the load report. Settings.LoadSignal determines the kind of value.
	PublishLoad(level float64)
	// SetIdleTimeout sets how long an unused connection may stay open.
	SetIdleTimeout(timeout time.Duration)
	// WakeAt calls then at the given time or shortly afterwards, with the gauges measured at that moment. It does not
	// replace timers that were set earlier.
	WakeAt(at time.Duration, then func(Gauges))
	// LogTransition logs a change of state.
	LogTransition(change Transition)
}

// Health determines how health checks are answered.
type Health struct {
	Healthy   bool
	FromState bool // answer with Healthy immediately; otherwise run a check that does the real work
}

// Gauge names a measurement of the machine that the instance runs on.
type Gauge string

// Gauges that this package defines. Others may be passed and are ignored.
const (
	GaugeRunnable    Gauge = "runnable"    // runs that are on a core or wait for one
	GaugeBusyCores   Gauge = "busy cores"  // share of the cores that is busy, 0 to 1
	GaugeUsedMemory  Gauge = "used memory" // not used by the Controller
	GaugeConnections Gauge = "connections" // not used by the Controller
)

// Gauges holds the values measured at one moment. An absent gauge was not measured.
type Gauges map[Gauge]float64

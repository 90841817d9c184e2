package admission

import "time"

// Executor carries out what a Controller decides. It is implemented by the server, and by the simulator's host.
//
// All methods are called by the goroutine that calls the Controller, from within one of its methods. They must not call
// the Controller; the functions that they are handed are to be called later, by the same goroutine. None may block.
type Executor interface {
	// Now is the time since an origin of the Executor's choice. It never goes back, and stands still while the
	// Controller handles a batch.
	Now() time.Duration

	// Start runs a queued request. onCall is called each time the run stands at an upstream call, onEnd once, when it
	// has ended, with the time that it took.
	Start(id RequestID, onCall func(), onEnd func(outcome Outcome, elapsed time.Duration))
	// Stop takes a run off the cores. The onEnd of its Start confirms that.
	Stop(id RequestID)
	// Coalesce answers a request with the result of the one that it duplicates; onEnd is called once, after that.
	Coalesce(id RequestID, onEnd func(outcome Outcome, elapsed time.Duration))
	// Reject turns a request away. The caller is asked to send nothing here for retryAfter (0: no such advice), and,
	// with noFailover, not to try another instance either.
	Reject(id RequestID, retryAfter time.Duration, noFailover bool)
	// Fail answers a request with an error, unless it has been answered. Where its run stands at a call, it ends the run.
	Fail(id RequestID)

	// Call lets a run that stands at an upstream call make it, and abandons the call at the deadline. done is called
	// once. After another outcome than Succeeded the run still stands at the call.
	Call(id RequestID, deadline time.Duration, done func(outcome Outcome, elapsed time.Duration))
	// SkipCall lets a run that stands at an upstream call go on without it.
	SkipCall(id RequestID)

	// KeepRecord stores a request's idempotency record for the window from now on, so that duplicates of it are
	// recognized; DropRecord removes it.
	KeepRecord(id RequestID, window time.Duration)
	DropRecord(id RequestID)

	// SetHealth sets how health checks are answered.
	SetHealth(health Health)
	// PublishLoad sets the value of the load report, of the kind that Settings.LoadSignal names.
	PublishLoad(level float64)
	// SetIdleTimeout sets how long an unused connection may stay open.
	SetIdleTimeout(timeout time.Duration)
	// WakeAt calls then at the time given, or soon after it, with the gauges of that moment.
	WakeAt(at time.Duration, then func(Gauges))
	// LogTransition records a change of state.
	LogTransition(change Transition)
}

// Health is how health checks are answered.
type Health struct {
	Healthy   bool
	FromState bool // by Healthy at once; otherwise by a run that tries the real work
}

// Gauge names a measurement of the instance's machine.
type Gauge string

// The gauges with a meaning here. Others may be handed in and are ignored.
const (
	GaugeRunnable    Gauge = "runnable"    // runs that want a core, those on one included
	GaugeBusyCores   Gauge = "busy cores"  // share of the cores that was busy, 0 to 1
	GaugeUsedMemory  Gauge = "used memory" // not used by the Controller
	GaugeConnections Gauge = "connections" // not used by the Controller
)

// Gauges are the values of one moment; a gauge that is absent was not measured.
type Gauges map[Gauge]float64

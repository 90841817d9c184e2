package admission

import (
	"fmt"
	"time"
)

// Ids are opaque: they say nothing of age, order or place.
type (
	RequestID string
	CallerID  int
	TenantID  string
	Class     string
)

// Outcome tells how a run or a call came out.
type Outcome int

const (
	Succeeded      Outcome = iota // it went well
	Failed                        // the run failed, or the call failed below; an effect is possible
	Rejected                      // the call was turned away unseen: it never ran
	TimedOut                      // the call was given up; an effect is possible
	Unreachable                   // what lies below could not be reached: it never ran
	ConnectionLost                // the call broke off; an effect is possible
	Stopped                       // the run was stopped
	NotStarted                    // nothing started: the op was over already
)

// Request is an op that has just been read.
type Request struct {
	ID          RequestID
	Class       Class
	Rank        float64 // 0 to under 1, an equal band for each importance
	IsRetry     bool    // a further try, where tries are marked
	IsWrite     bool
	Resource    string // empty where ops name none
	Caller      CallerID
	HasDeadline bool          // whether the caller says how long it waits
	Deadline    time.Duration // when it stops waiting, a time since the start
	WorkHint    time.Duration // rough work, 0 where none is given
	MemoryKB    float64       // memory while held
	QueueDelay  time.Duration // time since it came to the machine
	Tenant      TenantID      // empty where there are none
	DuplicateOf RequestID     // the kept op that this one repeats, or empty
}

// Executor is all that an instance can do. Each step names the closures that its result is handed to.
type Executor interface {
	Now() time.Duration

	// Run starts a held op. atCall is called each time it stands at a call, ended once.
	Start(id RequestID, atCall func(), ended func(how Outcome, took time.Duration))
	// Stop takes a running op off the cores; ended of its Run confirms.
	Stop(id RequestID)
	// Share answers a held op with the result of the op that it repeats.
	Coalesce(id RequestID, ended func(how Outcome, took time.Duration))
	// Nack turns an op away; Fail answers it with an error.
	Reject(id RequestID, stayAway time.Duration, nowhereElse bool)
	Fail(id RequestID)

	// Call lets an op that stands at a call make it; SkipCall leaves the call out.
	Call(id RequestID, until time.Duration, done func(how Outcome, took time.Duration))
	SkipCall(id RequestID)

	// KeepKey remembers an op so that repeats of it are known; DropKey forgets it.
	KeepRecord(id RequestID, span time.Duration)
	DropRecord(id RequestID)

	SetHealth(good, fromState bool)
	PublishLoad(level float64)
	SetIdleTimeout(span time.Duration) // how long an unused connection may stay
	WakeAt(at time.Duration, then func(Gauges))
	LogTransition(change Transition)
}

// State is the health of an instance as its Controller sees it.
type State int

const (
	StateHealthy  State = iota // runs end, and few fail
	StateStalled               // work goes in and none comes out
	StateFailing               // half or more of the last runs failed
	StateDraining              // notified to drain
)

func (s State) String() string {
	switch s {
	case StateHealthy:
		return "healthy"
	case StateStalled:
		return "stalled"
	case StateFailing:
		return "failing"
	case StateDraining:
		return "draining"
	}
	return fmt.Sprintf("State(%d)", int(s))
}

// Transition is a change of State, with the number of requests at that moment.
type Transition struct {
	From, To        State
	Queued, Running int
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

func (t Transition) String() string {
	return fmt.Sprintf("%v -> %v: queued %d, running %d", t.From, t.To, t.Queued, t.Running)
}

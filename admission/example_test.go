package admission_test

import (
	"fmt"
	"time"

	"lanewheel/admission"
)

// executor starts each run immediately, and has no upstream, records or timers.
type executor struct {
	now     time.Duration
	running map[admission.RequestID]func(admission.Outcome, time.Duration)
}

func (e *executor) Now() time.Duration { return e.now }

func (e *executor) Start(id admission.RequestID, _ func(), onEnd func(admission.Outcome, time.Duration)) {
	fmt.Println("start", id)
	e.running[id] = onEnd
}

func (e *executor) Reject(id admission.RequestID, retryAfter time.Duration, noFailover bool) {
	fmt.Println("reject", id, retryAfter, noFailover)
}

func (e *executor) Fail(id admission.RequestID) { fmt.Println("fail", id) }

func (e *executor) LogTransition(change admission.Transition) { fmt.Println(change) }

func (*executor) Stop(admission.RequestID)                                             {}
func (*executor) Coalesce(admission.RequestID, func(admission.Outcome, time.Duration)) {}
func (*executor) SkipCall(admission.RequestID)                                         {}
func (*executor) KeepRecord(admission.RequestID, time.Duration)                        {}
func (*executor) DropRecord(admission.RequestID)                                       {}
func (*executor) SetHealth(admission.Health)                                           {}
func (*executor) PublishLoad(float64)                                                  {}
func (*executor) SetIdleTimeout(time.Duration)                                         {}
func (*executor) WakeAt(time.Duration, func(admission.Gauges))                         {}
func (*executor) Call(admission.RequestID, time.Duration, func(admission.Outcome, time.Duration)) {
}

// An instance with one core runs one request at a time. The second request waits. The third is rejected because it
// cannot be completed before its deadline.
func Example() {
	settings := admission.Settings{
		Cores: 1,
		Classes: []admission.ClassSettings{
			{Name: "view", LatencyObjective: time.Second, Timeout: 2 * time.Second, Idempotency: admission.Idempotent},
		},
	}
	settings.ApplyDefaults()
	if err := settings.Validate(); err != nil {
		fmt.Println(err)
		return
	}
	e := &executor{running: map[admission.RequestID]func(admission.Outcome, time.Duration){}}
	controller := admission.New(1, settings, e)

	controller.Submit(admission.Request{ID: "first", Class: "view", WorkHint: 100 * time.Millisecond})
	controller.Submit(admission.Request{ID: "second", Class: "view", WorkHint: 100 * time.Millisecond})
	controller.Submit(admission.Request{
		ID:          "third",
		Class:       "view",
		WorkHint:    100 * time.Millisecond,
		HasDeadline: true,
		Deadline:    150 * time.Millisecond,
	})
	controller.Decide()

	e.now += 100 * time.Millisecond
	e.running["first"](admission.Succeeded, 100*time.Millisecond)
	controller.Decide()
	// Output:
	// start first
	// reject third 0s false
	// start second
}

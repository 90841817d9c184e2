package settings

import (
	"fmt"
	"strconv"
	"time"

	"lanewheel/admission"
)

// fakeExecutor carries out the decisions of a Controller. A run takes 30 ms. Every second run first makes an upstream
// call of 5 ms, after which it takes 20 ms.
type fakeExecutor struct {
	now       time.Duration
	scheduled map[time.Duration][]func()
	answered  map[admission.RequestID]bool
	finished  map[admission.RequestID]bool
	onEnd     map[admission.RequestID]func(admission.Outcome, time.Duration)
	started   int
	problems  []string
}

const (
	stepTime         = 2 * time.Millisecond
	runTime          = 30 * time.Millisecond
	callTime         = 5 * time.Millisecond
	runTimeAfterCall = 20 * time.Millisecond
	arrivalGap       = 8 * time.Millisecond
	callerTimeout    = 500 * time.Millisecond
)

func newFakeExecutor() *fakeExecutor {
	return &fakeExecutor{
		scheduled: map[time.Duration][]func(){},
		answered:  map[admission.RequestID]bool{},
		finished:  map[admission.RequestID]bool{},
		onEnd:     map[admission.RequestID]func(admission.Outcome, time.Duration){},
	}
}

func (e *fakeExecutor) schedule(at time.Duration, callback func()) {
	at = max(at, e.now+stepTime).Truncate(stepTime)
	e.scheduled[at] = append(e.scheduled[at], callback)
}

func (e *fakeExecutor) finish(id admission.RequestID, outcome admission.Outcome, elapsed time.Duration) {
	if !e.finished[id] {
		e.finished[id] = true
		e.onEnd[id](outcome, elapsed)
	}
}

func (e *fakeExecutor) finishAfter(id admission.RequestID, elapsed time.Duration) {
	e.schedule(e.now+elapsed, func() {
		if !e.finished[id] {
			e.answered[id] = true
			e.finish(id, admission.Succeeded, elapsed)
		}
	})
}

func (e *fakeExecutor) Now() time.Duration { return e.now }

func (e *fakeExecutor) Start(id admission.RequestID, onCall func(), onEnd func(admission.Outcome, time.Duration)) {
	e.started++
	e.onEnd[id] = onEnd
	if e.started%2 == 0 {
		e.schedule(e.now+stepTime, onCall)
		return
	}
	e.finishAfter(id, runTime)
}

func (e *fakeExecutor) Stop(id admission.RequestID) {
	e.schedule(e.now+time.Millisecond, func() { e.finish(id, admission.Stopped, time.Millisecond) })
}

func (e *fakeExecutor) Call(id admission.RequestID, _ time.Duration, done func(admission.Outcome, time.Duration)) {
	e.schedule(e.now+callTime, func() {
		done(admission.Succeeded, callTime)
		e.finishAfter(id, runTimeAfterCall)
	})
}

func (e *fakeExecutor) SkipCall(id admission.RequestID) { e.finishAfter(id, runTime) }
func (e *fakeExecutor) Fail(id admission.RequestID)     { e.answered[id] = true }

func (e *fakeExecutor) Reject(id admission.RequestID, retryAfter time.Duration, _ bool) {
	e.answered[id] = true
	if retryAfter < 0 {
		e.problems = append(e.problems, "negative Retry-After: "+retryAfter.String())
	}
}

func (e *fakeExecutor) Coalesce(admission.RequestID, func(admission.Outcome, time.Duration)) {
	e.problems = append(e.problems, "request coalesced although there are no duplicates")
}

func (e *fakeExecutor) WakeAt(at time.Duration, callback func(admission.Gauges)) {
	e.schedule(at, func() { callback(admission.Gauges{admission.GaugeRunnable: 2, admission.GaugeBusyCores: 0.9}) })
}

func (e *fakeExecutor) KeepRecord(admission.RequestID, time.Duration) {}
func (e *fakeExecutor) DropRecord(admission.RequestID)                {}
func (e *fakeExecutor) SetHealth(admission.Health)                    {}
func (e *fakeExecutor) PublishLoad(float64)                           {}
func (e *fakeExecutor) SetIdleTimeout(time.Duration)                  {}
func (e *fakeExecutor) LogTransition(admission.Transition)            {}

// simulate runs a controller with the settings for two simulated seconds and returns the problems, such as a request
// that was not answered in time. Further answers to an answered request are ignored, as an instance ignores them.
func simulate(settings admission.Settings) []string {
	e := newFakeExecutor()
	controller := admission.New(1, settings, e)
	arrived := 0
	for ; e.now < 2*time.Second; e.now += stepTime {
		if e.now < time.Second && e.now%arrivalGap == 0 {
			arrived++
			controller.Submit(simulatedRequest(arrived, e.now))
		}
		if e.now == 1500*time.Millisecond {
			controller.Drain(e.now + 400*time.Millisecond)
		}
		for _, callback := range e.scheduled[e.now] {
			callback()
		}
		delete(e.scheduled, e.now)
		controller.Decide()
		if e.now%(50*time.Millisecond) == 0 {
			e.checkAnswered(arrived)
		}
		if len(e.problems) > 0 {
			break
		}
	}
	return e.problems
}

func simulatedRequest(n int, now time.Duration) admission.Request {
	return admission.Request{
		ID:          simulatedID(n),
		Class:       admission.Class("abc"[n%3 : n%3+1]),
		Rank:        float64(n%10) / 10,
		IsWrite:     n%3 > 0,
		Caller:      admission.CallerID(n % 5),
		HasDeadline: true,
		Deadline:    now + callerTimeout,
		WorkHint:    30 * time.Millisecond,
		MemoryKB:    20,
		Tenant:      admission.TenantID("xy"[n%2 : n%2+1]),
	}
}

func simulatedID(n int) admission.RequestID { return admission.RequestID(strconv.Itoa(n)) }

// checkAnswered records a problem if a request has not been answered within its caller's timeout and a margin.
func (e *fakeExecutor) checkAnswered(arrived int) {
	const margin = 30 * time.Millisecond
	for n := 1; time.Duration(n)*arrivalGap < e.now-callerTimeout-margin && n <= arrived; n++ {
		if id := simulatedID(n); !e.answered[id] {
			e.problems = append(e.problems, fmt.Sprintf("request %s is still unanswered at %v", id, e.now))
			return
		}
	}
}

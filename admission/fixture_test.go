package admission

import (
	"fmt"
	"io"
	"os"
	"reflect"
	"slices"
	"time"
)

const ms = time.Millisecond

// fixture is an Executor that prints the decisions of its Controller and keeps the functions passed to it.
type fixture struct {
	controller   *Controller
	now          time.Duration
	quiet        bool
	out          io.Writer
	onCall       map[RequestID]func()
	onEnd        map[RequestID]func(Outcome, time.Duration)
	onCallDone   map[RequestID]func(Outcome, time.Duration)
	timers       []timer
	callDeadline time.Duration // of the last call
}

type timer struct {
	at   time.Duration
	then func(Gauges)
}

// newFixture starts an instance with two cores. Settings that are not zero in overrides replace the defaults.
func newFixture(overrides Settings) *fixture {
	s := &fixture{
		onCall:     map[RequestID]func(){},
		onEnd:      map[RequestID]func(Outcome, time.Duration){},
		onCallDone: map[RequestID]func(Outcome, time.Duration){},
		quiet:      true,
		out:        os.Stdout,
	}
	settings := Settings{
		Classes:               testClasses(),
		Cores:                 2,
		RunMemoryFactor:       4,
		MemoryKB:              1200,
		Tick:                  2 * ms,
		SurvivableRunsPerCore: 8,
		DrainGrace:            time.Second,
	}
	to, from := reflect.ValueOf(&settings).Elem(), reflect.ValueOf(overrides)
	for i := range from.NumField() {
		if !from.Field(i).IsZero() {
			to.Field(i).Set(from.Field(i))
		}
	}
	s.controller = New(7, settings, s)
	s.quiet = false
	return s
}

// testClasses returns the classes of a fixture, low and high.
func testClasses() []ClassSettings {
	low := ClassSettings{
		Name:             "low",
		Weight:           1,
		LatencyObjective: time.Second,
		Timeout:          3 * time.Second,
		Idempotency:      Idempotent,
	}
	high := low
	high.Name, high.Weight = "high", 3
	return []ClassSettings{low, high}
}

// withSkippedCallValue returns testClasses with the given values of answers without the upstream call.
func withSkippedCallValue(low, high float64) []ClassSettings {
	classes := testClasses()
	classes[0].SkippedCallValue, classes[1].SkippedCallValue = low, high
	return classes
}

func (s *fixture) printf(format string, args ...any) {
	if !s.quiet {
		line := fmt.Sprintf("%dms "+format+"\n", append([]any{s.now.Milliseconds()}, args...)...)
		_, _ = io.WriteString(s.out, line) // a missing line fails the example
	}
}

func (s *fixture) Now() time.Duration { return s.now }

func (s *fixture) Start(id RequestID, onCall func(), onEnd func(Outcome, time.Duration)) {
	s.printf("start %s", id)
	s.onCall[id], s.onEnd[id] = onCall, onEnd
}

func (s *fixture) Stop(id RequestID) { s.printf("stop %s", id) }
func (s *fixture) Fail(id RequestID) { s.printf("fail %s", id) }

func (s *fixture) Reject(id RequestID, retryAfter time.Duration, noFailover bool) {
	advice := ""
	if retryAfter > 0 {
		advice = fmt.Sprint(", retry after ", retryAfter)
	}
	if noFailover {
		advice += ", no failover"
	}
	s.printf("reject %s%s", id, advice)
}

func (s *fixture) Coalesce(id RequestID, onEnd func(Outcome, time.Duration)) {
	s.printf("coalesce %s", id)
	s.onEnd[id] = onEnd
}

func (s *fixture) Call(id RequestID, deadline time.Duration, done func(Outcome, time.Duration)) {
	s.printf("call %s", id)
	s.callDeadline = deadline
	s.onCallDone[id] = done
}

func (s *fixture) SkipCall(id RequestID) { s.printf("skip call %s", id) }

func (s *fixture) KeepRecord(id RequestID, window time.Duration) {
	s.printf("keep record %s %v", id, window)
}

func (s *fixture) DropRecord(id RequestID)              { s.printf("drop record %s", id) }
func (s *fixture) SetHealth(health Health)              { s.printf("health %v", health.Healthy) }
func (s *fixture) PublishLoad(level float64)            { s.printf("load %.2f", level) }
func (s *fixture) SetIdleTimeout(timeout time.Duration) { s.printf("idle timeout %v", timeout) }
func (s *fixture) LogTransition(change Transition)      { s.printf("state %v", change) }

func (s *fixture) WakeAt(at time.Duration, then func(Gauges)) {
	s.timers = append(s.timers, timer{at, then})
}

// newRequest returns a request of the class low, or high if its rank is at least 0.5.
func newRequest(id string, hint time.Duration, rank float64) Request {
	r := Request{ID: RequestID(id), Class: "low", WorkHint: hint, Rank: rank}
	if rank >= 0.5 {
		r.Class = "high"
	}
	return r
}

// submit submits requests as one batch. Requests without a memory size get 10 KB.
func (s *fixture) submit(requests ...Request) {
	for _, r := range requests {
		if r.MemoryKB == 0 {
			r.MemoryKB = 10
		}
		s.controller.Submit(r)
	}
	s.controller.Decide()
}

// finish ends runs with the given outcome and elapsed time, as one batch.
func (s *fixture) finish(outcome Outcome, elapsed time.Duration, ids ...RequestID) {
	for _, id := range ids {
		if s.onEnd[id] == nil {
			s.printf("%s does not run", id)
			continue
		}
		onEnd := s.onEnd[id]
		delete(s.onEnd, id)
		onEnd(outcome, elapsed)
	}
	s.controller.Decide()
}

// finishCall ends a call and removes its done function.
func (s *fixture) finishCall(id RequestID, outcome Outcome, elapsed time.Duration) {
	done := s.onCallDone[id]
	delete(s.onCallDone, id)
	done(outcome, elapsed)
}

// advance advances the clock by the duration, and fires due timers with the given gauges.
func (s *fixture) advance(duration time.Duration, gauges Gauges) {
	for until := s.now + duration; s.now < until; {
		s.now += 2 * ms
		if s.fireTimers(gauges) {
			s.controller.Decide()
		}
	}
}

// fireTimers fires the timers that are due and reports whether there were any.
func (s *fixture) fireTimers(gauges Gauges) bool {
	timers := s.timers
	s.timers = nil
	for _, t := range timers {
		if t.at <= s.now {
			t.then(gauges)
		} else {
			s.timers = append(s.timers, t)
		}
	}
	return len(s.timers) < len(timers)
}

// warmUp runs enough requests of each class for a fit, all with the same elapsed time, without printing.
func (s *fixture) warmUp(elapsed time.Duration) {
	s.quiet = true
	for i := range 16 {
		id := fmt.Sprint("warm", i)
		s.submit(newRequest(id, elapsed, float64(i%2)*0.6))
		s.now += elapsed
		s.finish(Succeeded, elapsed, RequestID(id))
	}
	s.quiet = false
}

// runningIDs returns the IDs of the requests on the cores.
func (s *fixture) runningIDs() []RequestID {
	var ids []RequestID
	for _, r := range s.controller.requests.running {
		ids = append(ids, r.ID)
	}
	return ids
}

// awaitedCalls returns the sorted IDs of the requests whose call is not done.
func (s *fixture) awaitedCalls() []RequestID {
	var ids []RequestID
	for id := range s.onCallDone {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

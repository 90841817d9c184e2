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

// fixture is an Executor that prints what its Controller decides, and keeps the functions that it is handed.
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

// newFixture starts an instance of two cores; each setting that extra has replaces the default one.
func newFixture(extra Settings) *fixture {
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
	to, from := reflect.ValueOf(&settings).Elem(), reflect.ValueOf(extra)
	for i := range from.NumField() {
		if !from.Field(i).IsZero() {
			to.Field(i).Set(from.Field(i))
		}
	}
	s.controller = New(7, settings, s)
	s.quiet = false
	return s
}

// testClasses are the classes of a fixture: the low and the high one.
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

// withSkippedCallValue gives testClasses the values of answers without the upstream call.
func withSkippedCallValue(low, high float64) []ClassSettings {
	classes := testClasses()
	classes[0].SkippedCallValue, classes[1].SkippedCallValue = low, high
	return classes
}

func (s *fixture) printf(format string, args ...any) {
	if !s.quiet {
		line := fmt.Sprintf("%dms "+format+"\n", append([]any{s.now.Milliseconds()}, args...)...)
		_, _ = io.WriteString(s.out, line) // a lost line fails the example
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

// newRequest is of the low class, or of the high one by its rank.
func newRequest(id string, hint time.Duration, rank float64) Request {
	r := Request{ID: RequestID(id), Class: "low", WorkHint: hint, Rank: rank}
	if rank >= 0.5 {
		r.Class = "high"
	}
	return r
}

// submit takes requests, of 10 KB unless they say otherwise, as one batch.
func (s *fixture) submit(requests ...Request) {
	for _, r := range requests {
		if r.MemoryKB == 0 {
			r.MemoryKB = 10
		}
		s.controller.Submit(r)
	}
	s.controller.Decide()
}

// finish ends runs after the time they took, as one batch.
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

// finishCall ends a call and takes its function.
func (s *fixture) finishCall(id RequestID, outcome Outcome, elapsed time.Duration) {
	done := s.onCallDone[id]
	delete(s.onCallDone, id)
	done(outcome, elapsed)
}

// advance moves the clock on, firing the timers with these gauges.
func (s *fixture) advance(duration time.Duration, gauges Gauges) {
	for until := s.now + duration; s.now < until; {
		s.now += 2 * ms
		if s.fireTimers(gauges) {
			s.controller.Decide()
		}
	}
}

// fireTimers fires those that are due and tells whether there were any.
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

// warmUp gives each class the runs that it needs for a fit, all of one length, unprinted.
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

// runningIDs are the requests on the cores.
func (s *fixture) runningIDs() []RequestID {
	var ids []RequestID
	for _, r := range s.controller.requests.running {
		ids = append(ids, r.ID)
	}
	return ids
}

// awaitedCalls are the requests whose call is not done, in the order of their names.
func (s *fixture) awaitedCalls() []RequestID {
	var ids []RequestID
	for id := range s.onCallDone {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

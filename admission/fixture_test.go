package admission

import (
	"fmt"
	"io"
	"os"
	"reflect"
	"time"
)

const ms = time.Millisecond

// bench-free stand-in for the port: it prints what the module does and keeps the closures it leaves.
type scene struct {
	now    time.Duration
	desk   *Controller
	quiet  bool
	out    io.Writer
	atCall map[RequestID]func()
	ended  map[RequestID]func(Outcome, time.Duration)
	called map[RequestID]func(Outcome, time.Duration)
	wakes  []wake
	until  time.Duration // when the last call is given up
}

type wake struct {
	at   time.Duration
	then func(Gauges)
}

func (s *scene) say(format string, a ...any) {
	if !s.quiet {
		fmt.Fprintf(s.out, "%dms "+format+"\n", append([]any{s.now.Milliseconds()}, a...)...)
	}
}

func (s *scene) Now() time.Duration { return s.now }
func (s *scene) Start(id RequestID, atCall func(), ended func(Outcome, time.Duration)) {
	s.say("run %s", id)
	s.atCall[id], s.ended[id] = atCall, ended
}
func (s *scene) Stop(id RequestID) { s.say("stop %s", id) }
func (s *scene) Fail(id RequestID) { s.say("fail %s", id) }
func (s *scene) Reject(id RequestID, stayAway time.Duration, nowhereElse bool) {
	s.say("nack %s%s%s", id, map[bool]string{true: fmt.Sprint(", away ", stayAway)}[stayAway > 0], map[bool]string{true: ", nowhere else"}[nowhereElse])
}
func (s *scene) Coalesce(id RequestID, ended func(Outcome, time.Duration)) {
	s.say("share %s", id)
	s.ended[id] = ended
}
func (s *scene) Call(id RequestID, until time.Duration, done func(Outcome, time.Duration)) {
	s.say("call %s", id)
	s.until = until
	s.called[id] = done
}
func (s *scene) SkipCall(id RequestID)                       { s.say("skip call %s", id) }
func (s *scene) KeepRecord(id RequestID, span time.Duration) { s.say("keep %s %v", id, span) }
func (s *scene) DropRecord(id RequestID)                     { s.say("drop key %s", id) }
func (s *scene) SetHealth(good, _ bool)                      { s.say("health %v", good) }
func (s *scene) PublishLoad(level float64)                   { s.say("signal %.2f", level) }
func (s *scene) SetIdleTimeout(span time.Duration)           { s.say("idle connections stay %v", span) }
func (s *scene) LogTransition(change Transition)             { s.say("state %v", change) }
func (s *scene) WakeAt(at time.Duration, f func(Gauges)) {
	s.wakes = append(s.wakes, wake{at, f})
}

// testClasses are the two classes of open.
func testClasses() []ClassSettings {
	low := ClassSettings{Name: "low", Weight: 1.0, LatencyObjective: time.Second, Timeout: 3 * time.Second,
		Idempotency: Idempotent}
	high := ClassSettings{Name: "high", Weight: 3.0, LatencyObjective: time.Second, Timeout: 3 * time.Second,
		Idempotency: Idempotent}
	return []ClassSettings{low, high}
}

// withSkippedCallValue gives testClasses the values of answers without the upstream call.
func withSkippedCallValue(low, high float64) []ClassSettings {
	classes := testClasses()
	classes[0].SkippedCallValue, classes[1].SkippedCallValue = low, high
	return classes
}

// overlay replaces each setting that extra has.
func overlay(settings *Settings, extra Settings) {
	to, from := reflect.ValueOf(settings).Elem(), reflect.ValueOf(extra)
	for i := range from.NumField() {
		if !from.Field(i).IsZero() {
			to.Field(i).Set(from.Field(i))
		}
	}
}

// open starts an instance of two cores; extra facts replace the usual ones.
func open(extra Settings) *scene {
	s := &scene{atCall: map[RequestID]func(){}, ended: map[RequestID]func(Outcome, time.Duration){},
		called: map[RequestID]func(Outcome, time.Duration){}, quiet: true, out: os.Stdout}
	facts := Settings{Classes: testClasses(), Cores: 2.0, RunMemoryFactor: 4.0, MemoryKB: 1200.0,
		Tick: 2 * time.Millisecond, SurvivableRunsPerCore: 8.0, DrainGrace: time.Second}
	overlay(&facts, extra)
	s.desk = New(7, facts, s)
	s.quiet = false
	return s
}

// read takes ops of 10 kB with a hint, and settles the batch.
func (s *scene) read(arrivals ...Request) {
	for _, a := range arrivals {
		if a.MemoryKB == 0 {
			a.MemoryKB = 10
		}
		s.desk.Submit(a)
	}
	s.desk.Decide()
}

// op is an arrival of the low type, or of the high one by its rank.
func newRequest(id string, hint time.Duration, rank float64) Request {
	a := Request{ID: RequestID(id), Class: "low", WorkHint: hint, Rank: rank}
	if rank >= 0.5 {
		a.Class = "high"
	}
	return a
}

// end ends runs after the time they took, in one batch.
func (s *scene) end(how Outcome, took time.Duration, ids ...RequestID) {
	for _, id := range ids {
		if s.ended[id] == nil {
			s.say("%s does not run", id)
			continue
		}
		done := s.ended[id]
		delete(s.ended, id)
		done(how, took)
	}
	s.desk.Decide()
}

// pass moves the clock on, firing the timers with these gauges.
func (s *scene) pass(span time.Duration, gauges Gauges) {
	for until := s.now + span; s.now < until; {
		s.now += 2 * time.Millisecond
		due := s.wakes
		s.wakes = nil
		fired := false
		for _, w := range due {
			if w.at <= s.now {
				w.then(gauges)
				fired = true
			} else {
				s.wakes = append(s.wakes, w)
			}
		}
		if fired {
			s.desk.Decide()
		}
	}
}

// warm gives each type the runs it needs for a fit, all of one length, unprinted.
func (s *scene) warm(took time.Duration) {
	s.quiet = true
	for i := range 16 {
		id := fmt.Sprint("warm", i)
		s.read(newRequest(id, took, float64(i%2)*0.6))
		s.now += took
		s.end(Succeeded, took, RequestID(id))
	}
	s.quiet = false
}

package admission

import (
	"fmt"
	"hash"
	"hash/fnv"
	"time"
)

// recorder is an Executor that hashes all calls it receives, with times in nanoseconds. Its texts are part of the
// digests in testdata and must not change.
type recorder struct {
	controller *Controller
	now        time.Duration
	hash       hash.Hash64
	lines      int
	onCall     map[RequestID]func()
	onEnd      map[RequestID]func(Outcome, time.Duration)
	onCallDone map[RequestID]func(Outcome, time.Duration)
	timers     []timer
}

func newRecorder() *recorder {
	return &recorder{
		hash:       fnv.New64a(),
		onCall:     map[RequestID]func(){},
		onEnd:      map[RequestID]func(Outcome, time.Duration){},
		onCallDone: map[RequestID]func(Outcome, time.Duration){},
	}
}

func (r *recorder) record(format string, args ...any) {
	r.lines++
	line := fmt.Sprintf("%d "+format+"\n", append([]any{r.now}, args...)...)
	_, _ = r.hash.Write([]byte(line)) // writing to a hash never fails
}

func (r *recorder) Now() time.Duration { return r.now }

func (r *recorder) Start(id RequestID, onCall func(), onEnd func(Outcome, time.Duration)) {
	r.record("run %s", id)
	r.onCall[id], r.onEnd[id] = onCall, onEnd
}

func (r *recorder) Stop(id RequestID) { r.record("stop %s", id) }
func (r *recorder) Fail(id RequestID) { r.record("fail %s", id) }

func (r *recorder) Coalesce(id RequestID, onEnd func(Outcome, time.Duration)) {
	r.record("share %s", id)
	r.onEnd[id] = onEnd
}

func (r *recorder) Reject(id RequestID, retryAfter time.Duration, noFailover bool) {
	r.record("nack %s %d %v", id, retryAfter, noFailover)
}

func (r *recorder) Call(id RequestID, deadline time.Duration, done func(Outcome, time.Duration)) {
	r.record("call %s %d", id, deadline)
	r.onCallDone[id] = done
}

func (r *recorder) SkipCall(id RequestID) { r.record("skip %s", id) }

func (r *recorder) KeepRecord(id RequestID, window time.Duration) {
	r.record("keep %s %d", id, window)
}

func (r *recorder) DropRecord(id RequestID) { r.record("drop %s", id) }
func (r *recorder) SetHealth(health Health) {
	r.record("health %v %v", health.Healthy, health.FromState)
}
func (r *recorder) PublishLoad(level float64)            { r.record("signal %v", level) }
func (r *recorder) SetIdleTimeout(timeout time.Duration) { r.record("idle %d", timeout) }

func (r *recorder) LogTransition(change Transition) {
	names := map[State]string{
		StateHealthy:  "well",
		StateStalled:  "stuck",
		StateFailing:  "failing",
		StateDraining: "leaving",
	}
	r.record("note %s -> %s: held %d, running %d", names[change.From], names[change.To], change.Queued, change.Running)
}

func (r *recorder) WakeAt(at time.Duration, then func(Gauges)) {
	r.record("wake %d", at)
	r.timers = append(r.timers, timer{at, then})
}

// fireTimers fires the timers that are due, each with newly drawn gauges.
func (r *recorder) fireTimers(gauges func() Gauges) {
	timers := r.timers
	r.timers = nil
	for _, t := range timers {
		if t.at <= r.now {
			t.then(gauges())
		} else {
			r.timers = append(r.timers, t)
		}
	}
}

package admission

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// pickOne returns one of the values at random.
func pickOne[T any](rng *rand.Rand, values ...T) T { return values[rng.IntN(len(values))] }

// pickKey returns a random key of a map, independent of the map's iteration order, and whether the map has any.
func pickKey[T any](rng *rand.Rand, m map[RequestID]T) (RequestID, bool) {
	if len(m) == 0 {
		return "", false
	}
	return pickOne(rng, slices.Sorted(maps.Keys(m))...), true
}

// scenario plays random events with random settings: classes, tenants, quotas, calls, hints, drains, overloads, cold
// starts, and jumps of times and gauges. The digests in testdata depend on the order in which it draws random numbers.
type scenario struct {
	rng      *rand.Rand
	recorder *recorder
	settings Settings
	cores    int
	runTime  time.Duration // approximate run time of one request
	arrived  int
	drained  bool
}

// play plays the scenario of a seed, and returns the digest and the number of decisions.
func play(seed uint64) (digest uint64, lines int) {
	s := &scenario{rng: rand.New(rand.NewPCG(seed, 18)), recorder: newRecorder()}
	s.drawSettings()
	s.recorder.controller = New(seed, s.settings, s.recorder)
	s.runTime = time.Duration(5+s.rng.IntN(60)) * time.Millisecond
	for range 150 {
		s.step()
	}
	return s.recorder.hash.Sum64(), s.recorder.lines
}

// duration returns a random duration between two numbers of milliseconds.
func (s *scenario) duration(minimum, maximum int) time.Duration {
	return time.Duration(minimum+s.rng.IntN(maximum-minimum+1)) * time.Millisecond
}

func (s *scenario) drawSettings() {
	rng := s.rng
	for i := range 1 + rng.IntN(3) {
		s.settings.Classes = append(s.settings.Classes, s.drawClass(i))
	}
	for i := range rng.IntN(4) {
		tenant := TenantSettings{Name: TenantID(fmt.Sprint("w", i)), QuotaPerSecond: float64(1 + rng.IntN(50))}
		s.settings.Tenants = append(s.settings.Tenants, tenant)
	}
	s.cores = 1 + rng.IntN(8)
	s.settings.Cores = float64(s.cores)
	s.settings.RunMemoryFactor = float64(1 + rng.IntN(4))
	s.settings.MemoryKB = float64(200 + rng.IntN(4000))
	s.settings.Tick = 2 * time.Millisecond
	s.settings.SurvivableRunsPerCore = pickOne(rng, 0.0, 4, 8)
	s.settings.DrainGrace = s.duration(0, 1000)
	s.settings.Upstream = pickOne(rng, UpstreamShared, UpstreamNextTier, UpstreamNone)
	s.settings.UpstreamShare = pickOne(rng, 0, 0.3, 2, 8)
	s.settings.UpstreamWindow = s.duration(1000, 5000)
	s.settings.TimedOutCallLinger = s.duration(0, 300)
	if rng.IntN(3) > 0 && len(s.settings.Classes) > 1 {
		s.settings.Classes[1].SkippedCallValue = 0.5
	}
	s.settings.Halt = pickOne(rng, HaltDrop, HaltPause, HaltNone)
	s.settings.RetryAfterAllowed = rng.IntN(2) == 0
	s.settings.MaxRetryAfter = s.duration(500, 3000)
	s.settings.LoadSignal = pickOne(rng, LoadSignalChance, LoadSignalLeastRank, LoadSignalTokens, LoadSignalNone)
	s.settings.JustStarted = rng.IntN(3) == 0
	s.settings.WarmUp = s.duration(0, 5000)
	s.settings.WarmUpSpeedShare = 0.3
	s.settings.RecordKB = float64(rng.IntN(3))
	s.settings.FleetSize = float64(1 + rng.IntN(5))
	s.settings.Callers = 4
	s.settings.MaxIdleTimeout = s.duration(1000, 30000)
	s.settings.CoalescedReadWindow = pickOne(rng, 0, 0, time.Second)
}

func (s *scenario) drawClass(i int) ClassSettings {
	rng := s.rng
	objective := s.duration(200, 2000)
	return ClassSettings{
		Name:              Class(fmt.Sprint("t", i)),
		Weight:            float64(1 + rng.IntN(3)),
		LatencyObjective:  objective,
		Timeout:           objective + s.duration(0, 3000),
		LateValue:         pickOne(rng, 0, 0, 0.3, 0.6),
		Idempotency:       pickOne(rng, Idempotent, Idempotent, IdempotentByKey, NotIdempotent),
		IdempotencyWindow: s.duration(500, 5000),
		ObjectivePerWork:  pickOne(rng, 0.0, 0, 4),
	}
}

// step plays one batch of events, then the decisions, then the timers that are due.
func (s *scenario) step() {
	r, rng := s.recorder, s.rng
	s.stepArrivals()
	r.now += s.duration(0, 20)
	for range rng.IntN(s.cores + 2) {
		s.stepRun()
	}
	for range rng.IntN(3) {
		s.stepCall()
	}
	if s.arrived > 0 && rng.IntN(10) == 0 {
		r.controller.Cancel(RequestID(fmt.Sprintf("%016x", 1+rng.IntN(s.arrived))))
	}
	r.controller.Decide()
	r.fireTimers(s.drawGauges)
	r.controller.Decide()
}

// stepArrivals plays the arrival of a few or many requests, a jump of the clock, or the notice to drain.
func (s *scenario) stepArrivals() {
	r, rng := s.recorder, s.rng
	switch rng.IntN(40) {
	case 0:
		s.submit(20 + rng.IntN(150))
	case 1:
		r.now += s.duration(100, 2000)
	case 2:
		if rng.IntN(20) == 0 {
			r.now += time.Minute
		}
	case 3:
		if !s.drained && rng.IntN(25) == 0 {
			s.drained = true
			r.controller.Drain(r.now + s.duration(500, 3000))
		}
	default:
		s.submit(rng.IntN(6))
	}
}

func (s *scenario) submit(batch int) {
	for range batch {
		s.arrived++
		s.recorder.controller.Submit(s.drawRequest())
	}
}

func (s *scenario) drawRequest() Request {
	rng, now := s.rng, s.recorder.now
	request := Request{
		ID:       RequestID(fmt.Sprintf("%016x", s.arrived)),
		Class:    pickOne(rng, s.settings.Classes...).Name,
		Rank:     rng.Float64(),
		IsRetry:  rng.IntN(5) == 0,
		IsWrite:  rng.IntN(2) == 0,
		Caller:   CallerID(rng.IntN(6)),
		WorkHint: time.Duration(rng.ExpFloat64() * float64(s.runTime)),
		MemoryKB: 1 + 20*rng.Float64(),
	}
	if rng.IntN(3) == 0 {
		request.WorkHint = pickOne(rng, 0, s.runTime, 100*s.runTime)
	}
	if rng.IntN(3) == 0 {
		request.QueueDelay = s.duration(0, 400)
	}
	if rng.IntN(2) == 0 {
		request.HasDeadline = true
		request.Deadline = now - request.QueueDelay + s.duration(10, 3000)
	}
	if !request.IsWrite {
		request.Resource = pickOne(rng, "", "k1", "k2")
	}
	if len(s.settings.Tenants) > 0 {
		request.Tenant = pickOne(rng, s.settings.Tenants...).Name
	}
	return request
}

// stepRun makes a run that is not in a call reach a call or end.
func (s *scenario) stepRun() {
	r, rng := s.recorder, s.rng
	id, exists := pickKey(rng, r.onEnd)
	if !exists {
		return
	}
	onEnd, onCall := r.onEnd[id], r.onCall[id]
	switch {
	case onCall != nil && rng.IntN(4) == 0 && r.onCallDone[id] == nil:
		onCall()
	case r.onCallDone[id] == nil:
		delete(r.onEnd, id)
		outcome := Succeeded
		if rng.IntN(10) == 0 {
			outcome = pickOne(rng, Failed, Stopped, NotStarted)
		}
		onEnd(outcome, time.Duration((0.2+rng.ExpFloat64())*float64(s.runTime)))
	}
}

// stepCall ends a call.
func (s *scenario) stepCall() {
	r, rng := s.recorder, s.rng
	id, exists := pickKey(rng, r.onCallDone)
	if !exists {
		return
	}
	done := r.onCallDone[id]
	delete(r.onCallDone, id)
	done(pickOne(rng, Succeeded, Succeeded, Succeeded, Failed, Rejected, TimedOut, Unreachable, ConnectionLost),
		s.duration(1, 100))
}

func (s *scenario) drawGauges() Gauges {
	rng := s.rng
	switch rng.IntN(8) {
	case 0:
		return nil
	case 1:
		return Gauges{GaugeBusyCores: rng.Float64()}
	}
	return Gauges{GaugeRunnable: float64(rng.IntN(3 * s.cores)), GaugeBusyCores: rng.Float64()}
}

package admission

import (
	"bufio"
	"flag"
	"fmt"
	"hash"
	"hash/fnv"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

// The decisions of some thousands of random scenes, as digests: a change that is to decide the same has to give the same. Each
// digest is that of a block of scenes. All blocks:  go test -run SameDecisions ./admission -blocks 60
// Recorded anew, when decisions are meant to change:  go test -run SameDecisions ./admission -blocks 60 -record
var (
	blocks = flag.Int("blocks", 6, "how many blocks of scenes TestSameDecisions plays")
	record = flag.Bool("record", false, "write the digests of TestSameDecisions instead of comparing them")
)

const blockOf, decisionsFile = 50, "testdata/decisions"

// recorder is a port that writes down all it is told, to the nanosecond.
type recorder struct {
	hash   hash.Hash64
	now    time.Duration
	desk   *Controller
	atCall map[RequestID]func()
	ended  map[RequestID]func(Outcome, time.Duration)
	called map[RequestID]func(Outcome, time.Duration)
	wakes  []wake
	said   int
}

func (r *recorder) say(format string, a ...any) {
	r.said++
	fmt.Fprintf(r.hash, "%d "+format+"\n", append([]any{r.now}, a...)...)
}

func (r *recorder) Now() time.Duration { return r.now }
func (r *recorder) Start(id RequestID, atCall func(), ended func(Outcome, time.Duration)) {
	r.say("run %s", id)
	r.atCall[id], r.ended[id] = atCall, ended
}
func (r *recorder) Stop(id RequestID) { r.say("stop %s", id) }
func (r *recorder) Fail(id RequestID) { r.say("fail %s", id) }
func (r *recorder) Coalesce(id RequestID, ended func(Outcome, time.Duration)) {
	r.say("share %s", id)
	r.ended[id] = ended
}
func (r *recorder) Reject(id RequestID, away time.Duration, nowhere bool) {
	r.say("nack %s %d %v", id, away, nowhere)
}
func (r *recorder) Call(id RequestID, until time.Duration, done func(Outcome, time.Duration)) {
	r.say("call %s %d", id, until)
	r.called[id] = done
}
func (r *recorder) SkipCall(id RequestID)                       { r.say("skip %s", id) }
func (r *recorder) KeepRecord(id RequestID, span time.Duration) { r.say("keep %s %d", id, span) }
func (r *recorder) DropRecord(id RequestID)                     { r.say("drop %s", id) }
func (r *recorder) SetHealth(good, stored bool)                 { r.say("health %v %v", good, stored) }
func (r *recorder) PublishLoad(level float64)                   { r.say("signal %v", level) }
func (r *recorder) SetIdleTimeout(span time.Duration)           { r.say("idle %d", span) }
func (r *recorder) LogTransition(change Transition) {
	name := map[State]string{StateHealthy: "well", StateStalled: "stuck", StateFailing: "failing", StateDraining: "leaving"}
	r.say("note %s -> %s: held %d, running %d", name[change.From], name[change.To], change.Queued, change.Running)
}
func (r *recorder) WakeAt(at time.Duration, then func(Gauges)) {
	r.say("wake %d", at)
	r.wakes = append(r.wakes, wake{at, then})
}

// pick gives one of a map's keys, by chance but not by the map's order.
func pick[T any](chance *rand.Rand, m map[RequestID]T) (RequestID, bool) {
	if len(m) == 0 {
		return "", false
	}
	ids := slices.Sorted(maps.Keys(m))
	return ids[chance.IntN(len(ids))], true
}

// one picks one of the values by chance.
func one[T any](chance *rand.Rand, values ...T) T { return values[chance.IntN(len(values))] }

// play plays one scene: types, tenants, quotas, calls, hints, drains, crowds, cold starts, times and gauges that jump.
func play(seed uint64) (uint64, int) {
	c := rand.New(rand.NewPCG(seed, 18))
	r := &recorder{hash: fnv.New64a(), atCall: map[RequestID]func(){}, ended: map[RequestID]func(Outcome, time.Duration){},
		called: map[RequestID]func(Outcome, time.Duration){}}
	ms := func(least, most int) time.Duration {
		return time.Duration(least+c.IntN(most-least+1)) * time.Millisecond
	}
	var types []ClassSettings
	for i := range 1 + c.IntN(3) {
		target := ms(200, 2000)
		types = append(types, ClassSettings{Name: Class(fmt.Sprint("t", i)), Weight: float64(1 + c.IntN(3)), LatencyObjective: target,
			Timeout: target + ms(0, 3000), LateValue: []float64{0, 0, 0.3, 0.6}[c.IntN(4)], Idempotency: one(c, Idempotent, Idempotent, IdempotentByKey, NotIdempotent),
			IdempotencyWindow: ms(500, 5000), ObjectivePerWork: []float64{0, 0, 4}[c.IntN(3)]})
	}
	var tenants []TenantSettings
	for i := range c.IntN(4) {
		tenants = append(tenants, TenantSettings{Name: TenantID(fmt.Sprint("w", i)), QuotaPerSecond: float64(1 + c.IntN(50))})
	}
	cores := 1 + c.IntN(8)
	settings := Settings{Classes: types, Tenants: tenants, Cores: float64(cores), RunMemoryFactor: float64(1 + c.IntN(4)),
		MemoryKB: float64(200 + c.IntN(4000)), Tick: 2 * time.Millisecond, SurvivableRunsPerCore: []float64{0, 4, 8}[c.IntN(3)],
		DrainGrace: ms(0, 1000), Upstream: one(c, UpstreamShared, UpstreamNextTier, UpstreamNone), UpstreamShare: []float64{0, 0.3, 2, 8}[c.IntN(4)],
		UpstreamWindow: ms(1000, 5000), TimedOutCallLinger: ms(0, 300)}
	if c.IntN(3) > 0 && len(types) > 1 {
		types[1].SkippedCallValue = 0.5
	}
	settings.Halt = one(c, HaltDrop, HaltPause, HaltNone)
	settings.RetryAfterAllowed = c.IntN(2) == 0
	settings.MaxRetryAfter = ms(500, 3000)
	settings.LoadSignal = one(c, LoadSignalChance, LoadSignalLeastRank, LoadSignalTokens, LoadSignalNone)
	settings.JustStarted = c.IntN(3) == 0
	settings.WarmUp = ms(0, 5000)
	settings.WarmUpSpeedShare = 0.3
	settings.RecordKB = float64(c.IntN(3))
	settings.FleetSize = float64(1 + c.IntN(5))
	settings.Callers = 4
	settings.MaxIdleTimeout = ms(1000, 30000)
	settings.CoalescedReadWindow = one(c, 0, 0, time.Second)
	r.desk = New(seed, settings, r)
	runs := time.Duration(5+c.IntN(60)) * time.Millisecond // of one op, about
	gauges := func() Gauges {
		switch c.IntN(8) {
		case 0:
			return nil
		case 1:
			return Gauges{GaugeBusyCores: c.Float64()}
		}
		return Gauges{GaugeRunnable: float64(c.IntN(3 * cores)), GaugeBusyCores: c.Float64()}
	}
	n, left := 0, false
	read := func(batch int) {
		for range batch {
			n++
			t := types[c.IntN(len(types))]
			a := Request{ID: RequestID(fmt.Sprintf("%016x", n)), Class: t.Name, Rank: c.Float64(), IsRetry: c.IntN(5) == 0,
				IsWrite: c.IntN(2) == 0, Caller: CallerID(c.IntN(6)), WorkHint: time.Duration(c.ExpFloat64() * float64(runs)), MemoryKB: 1 + 20*c.Float64()}
			if c.IntN(3) == 0 {
				a.WorkHint = []time.Duration{0, runs, 100 * runs}[c.IntN(3)]
			}
			if c.IntN(3) == 0 {
				a.QueueDelay = ms(0, 400)
			}
			if c.IntN(2) == 0 {
				a.HasDeadline, a.Deadline = true, r.now-a.QueueDelay+ms(10, 3000)
			}
			if !a.IsWrite {
				a.Resource = one(c, "", "k1", "k2")
			}
			if len(tenants) > 0 {
				a.Tenant = tenants[c.IntN(len(tenants))].Name
			}
			r.desk.Submit(a)
		}
	}
	for range 150 {
		switch c.IntN(40) {
		case 0:
			read(20 + c.IntN(150))
		case 1:
			r.now += ms(100, 2000)
		case 2:
			if c.IntN(20) == 0 {
				r.now += time.Minute
			}
		case 3:
			if !left && c.IntN(25) == 0 {
				left = true
				r.desk.Drain(r.now + ms(500, 3000))
			}
		default:
			read(c.IntN(6))
		}
		r.now += ms(0, 20)
		for range c.IntN(cores + 2) {
			if id, any := pick(c, r.ended); any {
				switch done, at := r.ended[id], r.atCall[id]; {
				case at != nil && c.IntN(4) == 0 && r.called[id] == nil:
					at()
				case r.called[id] == nil:
					delete(r.ended, id)
					how := Succeeded
					if c.IntN(10) == 0 {
						how = []Outcome{Failed, Stopped, NotStarted}[c.IntN(3)]
					}
					done(how, time.Duration((0.2+c.ExpFloat64())*float64(runs)))
				}
			}
		}
		for range c.IntN(3) {
			if id, any := pick(c, r.called); any {
				done := r.called[id]
				delete(r.called, id)
				done([]Outcome{Succeeded, Succeeded, Succeeded, Failed, Rejected, TimedOut, Unreachable, ConnectionLost}[c.IntN(8)], ms(1, 100))
			}
		}
		if n > 0 && c.IntN(10) == 0 {
			r.desk.Cancel(RequestID(fmt.Sprintf("%016x", 1+c.IntN(n))))
		}
		r.desk.Decide()
		due := r.wakes
		r.wakes = nil
		for _, w := range due {
			if w.at <= r.now {
				w.then(gauges())
			} else {
				r.wakes = append(r.wakes, w)
			}
		}
		r.desk.Decide()
	}
	return r.hash.Sum64(), r.said
}

func TestSameDecisions(t *testing.T) {
	digests, said := make([]uint64, *blocks), make([]int, *blocks)
	var all sync.WaitGroup
	for b := range *blocks {
		all.Add(1)
		go func() {
			defer all.Done()
			h := fnv.New64a()
			for i := range blockOf {
				digest, n := play(uint64(b*blockOf + i))
				fmt.Fprintln(h, digest)
				said[b] += n
			}
			digests[b] = h.Sum64()
		}()
	}
	all.Wait()
	if *record {
		var text strings.Builder
		for b, d := range digests {
			fmt.Fprintf(&text, "%d %016x %d\n", b, d, said[b])
		}
		if err := os.WriteFile(decisionsFile, []byte(text.String()), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	f, err := os.Open(decisionsFile)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	lines := bufio.NewScanner(f)
	for b := range *blocks {
		if !lines.Scan() {
			t.Fatalf("%s has %d blocks, wants %d", decisionsFile, b, *blocks)
		}
		if want, is := lines.Text(), fmt.Sprintf("%d %016x %d", b, digests[b], said[b]); is != want {
			t.Errorf("block %s, was %s", is, want)
		}
	}
}

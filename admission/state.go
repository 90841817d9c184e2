package admission

// State and helpers of the module: no decisions and no tuned values stand here.

import (
	"encoding/binary"
	"hash/fnv"
	"math"
	"slices"
	"time"
)

// Controller holds the decisions of one instance.
type Controller struct {
	executor    Executor
	settings    Settings
	seed        uint64
	randomDraws uint64 // the counter behind chance
	startedAt   time.Duration
	cores       int
	tick        time.Duration
	weightBands int // importances that differ
	classes     map[Class]*classState
	tenants     map[TenantID]*tenantState

	answerable      []*trackedRequest             // as owed last gave them
	candidates      []candidate                   // as order last gave them
	requests        map[RequestID]*trackedRequest // all that is owed an answer or still on the cores
	queue           []*trackedRequest             // read and unstarted, by arrival
	running         []*trackedRequest             // started and not at a call
	calling         []*trackedRequest             // started and standing at a call, or in one
	coalesced       []*trackedRequest             // waiting for the result of the op they repeat
	records         []idempotencyRecord           // keys that use memory
	calls           []upstreamCall                // the last calls made, for the mean in hand
	openCalls       int                           // of these, those that are open
	lingeringCalls  []time.Duration               // when those that were given up are over
	callTimeSum     time.Duration                 // how long calls were in hand, and at which moment that was summed
	callTimeSumAt   time.Duration
	recentCallTimes []time.Duration // how long the last calls took that went well

	grownLimit         int             // the running count that idle cores have let us reach
	grownAtCompletions int             // endings seen when it last grew
	completions        int             // endings seen
	readings           []gaugeReading  // the last gauges
	recentResults      []runResult     // the last endings, for the share that failed
	recentArrivals     []recentArrival // the last arrivals, for their spread over callers and ranks
	recentRejections   []bool          // what became of the last ops decided on: nacked, else started
	lastProgress       time.Duration

	draining        bool
	drainNotifiedAt time.Duration // when it was told to leave
	killAt          time.Duration
	state           State
	probedAt        time.Duration
	loadLevel       float64       // the signal last given
	idleTimeout     time.Duration // how long unused connections may stay, as last said
	wakeAt          time.Duration // the timer that is set, 0 for none
}

type trackedRequest struct {
	Request
	class              *classState
	arrivedAt          time.Duration // at the machine, not when read: the paper's a
	deadline           time.Duration // when its answer is owed
	latencyObjective   time.Duration // its target latency
	startedAt          time.Duration
	concurrencyAtStart int // running when it started
	callAttempts       int // calls made at the call where it stands
	inCall             bool
	answered           bool
	overQuota          bool
	onDeadline         func() // what its present step does when the answer falls due
}

type classState struct {
	ClassSettings
	recentRuns []runSample // the last runs
	successes  int         // runs ever seen that went well
	estimate   runTimeEstimate
}

// runTimeEstimate is a type's last runs in figures, as of a moment.
type runTimeEstimate struct {
	known      bool
	at         time.Duration
	acked      int
	runs       int
	sum        time.Duration // of their times over running per core
	hint, bend float64       // their mean hint in seconds, and how far a run follows its hint
	crowd      float64       // their mean crowd; took, slope and spread are the line through times and crowds
	took       float64
	slope      float64
	spread     float64
}

type tenantState struct {
	quota          float64
	recentArrivals []time.Duration // the last arrivals
}

type runSample struct {
	at, took, hint time.Duration
	concurrency    float64 // running, mean of its start and end
}
type idempotencyRecord struct {
	id    RequestID
	until time.Duration
}
type upstreamCall struct {
	id          RequestID
	from, until time.Duration
	open        bool
}
type gaugeReading struct {
	at       time.Duration
	runnable float64 // things that want a core, by gauge; -1 where there is none
	busy     float64
	pressure float64
	running  int
}
type runResult struct {
	at     time.Duration
	failed bool
}
type recentArrival struct {
	at            time.Duration
	queueDelay    time.Duration
	caller        CallerID
	rank          float64
	deadlineShare float64 // the told wait as a share of the op timeout
	isRetry       bool    // a further try, where these are marked
}

// lastOf appends and keeps the last n.
func lastOf[T any](list []T, x T, n int) []T {
	list = append(list, x)
	if len(list) > n {
		list = slices.Delete(list, 0, len(list)-n)
	}
	return list
}

func without(list []*trackedRequest, o *trackedRequest) []*trackedRequest {
	return slices.DeleteFunc(list, func(x *trackedRequest) bool { return x == o })
}

// random draws from 0 to 1 by the instance's seed and a counter.
func (d *Controller) random() float64 {
	d.randomDraws++
	h := fnv.New64a()
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], d.seed)
	binary.LittleEndian.PutUint64(b[8:], d.randomDraws)
	h.Write(b[:])
	return float64(h.Sum64()>>11) / (1 << 53)
}

type point struct{ x, y float64 }

// fitLine fits by least squares: the mean of y, the slope, and the variance of x that it stands on.
func fitLine(points []point) (mean, slope, variance float64) {
	n := float64(len(points))
	var sx, sy, sxx, sxy float64
	for _, p := range points {
		sx, sy, sxx, sxy = sx+p.x, sy+p.y, sxx+p.x*p.x, sxy+p.x*p.y
	}
	spread := sxx*n - sx*sx
	if n == 0 || spread <= 0 {
		return 0, 0, 0
	}
	return sy / n, (sxy*n - sx*sy) / spread, spread / (n * n)
}

func (d *Controller) recordMemory() float64 {
	now := d.executor.Now()
	d.records = slices.DeleteFunc(d.records, func(e idempotencyRecord) bool { return e.until+d.settings.Tick < now })
	return float64(len(d.records)) * d.settings.RecordKB
}

// memoryInUse is what held and running ops and keys use now.
func (d *Controller) memoryInUse() float64 {
	kb := d.recordMemory()
	factor := max(1, d.settings.RunMemoryFactor)
	for _, o := range d.queue {
		kb += o.MemoryKB
	}
	for _, o := range d.coalesced {
		kb += o.MemoryKB
	}
	for _, o := range d.running {
		kb += o.MemoryKB * factor
	}
	for _, o := range d.calling {
		kb += o.MemoryKB * factor
	}
	return kb
}

func (d *Controller) forget(o *trackedRequest) {
	d.queue, d.coalesced = without(d.queue, o), without(d.coalesced, o)
	d.running, d.calling = without(d.running, o), without(d.calling, o)
	delete(d.requests, o.ID)
}

// callsInHand counts the open calls, and those that were given up and linger.
func (d *Controller) callsInHand(now time.Duration) int {
	d.lingeringCalls = slices.DeleteFunc(d.lingeringCalls, func(until time.Duration) bool { return until <= now })
	return d.openCalls + len(d.lingeringCalls)
}

// openCall notes that one call goes out.
func (d *Controller) openCall(o *trackedRequest, now, over time.Duration) {
	gone := 0
	for gone < len(d.calls) && !d.calls[gone].open && d.calls[gone].until < now-over {
		gone++
	}
	d.calls = append(d.calls[gone:], upstreamCall{id: o.ID, from: now, open: true})
	d.openCalls++
	o.inCall = true
	o.callAttempts++
}

// closeCall notes that one call is no longer open.
func (d *Controller) closeCall(o *trackedRequest, until time.Duration) {
	if !o.inCall {
		return
	}
	o.inCall = false
	for i := len(d.calls) - 1; i >= 0; i-- {
		if d.calls[i].open && d.calls[i].id == o.ID {
			d.calls[i].open, d.calls[i].until = false, until
			d.openCalls--
			if until > d.executor.Now() {
				d.lingeringCalls = append(d.lingeringCalls, until)
			}
			return
		}
	}
}

// answerableRequests are the ops that wait for an answer, in a fixed order; they stay valid until it is called again.
func (d *Controller) answerableRequests() []*trackedRequest {
	d.answerable = d.answerable[:0]
	for _, list := range [...][]*trackedRequest{d.queue, d.coalesced, d.running, d.calling} {
		for _, o := range list {
			if !o.answered {
				d.answerable = append(d.answerable, o)
			}
		}
	}
	return d.answerable
}

// callerSpread is over how many callers the last arrivals were spread; a caller with most of them counts most.
func (d *Controller) callerSpread() float64 {
	counts := map[CallerID]float64{}
	for _, c := range d.recentArrivals {
		counts[c.caller]++
	}
	var squares float64
	for _, n := range counts { // whole numbers: their sum does not depend on the order
		squares += n * n
	}
	if squares == 0 {
		return max(1, d.settings.Callers)
	}
	total := float64(len(d.recentArrivals))
	return total * total / squares
}

// connectionReuse counts, over the last arrivals, how often a caller came again within the span, and how long its
// connection waited for that, the span at most.
func (d *Controller) connectionReuse(now, span time.Duration) (used int, waited time.Duration) {
	next := map[CallerID]time.Duration{}
	for i := len(d.recentArrivals) - 1; i >= 0; i-- {
		c := d.recentArrivals[i]
		again, came := next[c.caller]
		if !came {
			again = now
		} else if again-c.at <= span {
			used++
		}
		waited += min(again-c.at, span)
		next[c.caller] = c.at
	}
	return used, waited
}

func meanHint(ran []runSample) time.Duration {
	var sum time.Duration
	for _, s := range ran {
		sum += s.hint
	}
	return sum / time.Duration(max(1, len(ran)))
}

func (d *Controller) perCore(running float64) float64 { return max(1, running/float64(d.cores)) }

// slack is the paper's s: arrival plus target latency minus now.
func (d *Controller) slack(o *trackedRequest, now time.Duration) time.Duration {
	return o.arrivedAt + o.latencyObjective - now
}

// minLatencyObjective is the least target latency.
func (d *Controller) minLatencyObjective() time.Duration {
	least := time.Duration(math.MaxInt64)
	for _, k := range d.classes {
		least = min(least, k.LatencyObjective)
	}
	return least
}

func (d *Controller) skipValue(k *classState) float64 {
	return k.SkippedCallValue
}

// since counts a tenant's arrivals.
func (t *tenantState) since(from time.Duration) (n int) {
	for _, at := range t.recentArrivals {
		if at > from {
			n++
		}
	}
	return n
}

// tenantArrivalsSince counts the arrivals of all tenants and sums their quotas, in the order told.
func (d *Controller) tenantArrivalsSince(from time.Duration) (came, quotas float64) {
	for _, tenant := range d.settings.Tenants {
		t := d.tenants[tenant.Name]
		came, quotas = came+float64(t.since(from)), quotas+t.quota
	}
	return came, quotas
}

// maxQueueDelay is the longest time that an arrival lay unread.
func (d *Controller) maxQueueDelay(from time.Duration) (lay time.Duration) {
	for _, c := range d.recentArrivals {
		if c.at > from {
			lay = max(lay, c.queueDelay)
		}
	}
	return lay
}

// retryShare is the share of the last arrivals that are marked as further tries.
func (d *Controller) retryShare() float64 {
	again := 0
	for _, c := range d.recentArrivals {
		if c.isRetry {
			again++
		}
	}
	return float64(again) / float64(max(1, len(d.recentArrivals)))
}

// callTimeInHand sums how long calls were in hand. What begins or ends at this moment does not change it: it is summed
// once a moment.
func (d *Controller) callTimeInHand(from, now time.Duration) time.Duration {
	if d.callTimeSumAt == now && now > 0 {
		return d.callTimeSum
	}
	d.callTimeSumAt, d.callTimeSum = now, 0
	for _, c := range d.calls {
		until := c.until
		if c.open {
			until = now
		}
		d.callTimeSum += max(0, min(until, now)-max(c.from, from))
	}
	return d.callTimeSum
}

// rejectionRate is the share of the last ops that were nacked unstarted.
func (d *Controller) rejectionRate() float64 {
	n := 0
	for _, nacked := range d.recentRejections {
		if nacked {
			n++
		}
	}
	return float64(n) / float64(max(1, len(d.recentRejections)))
}

// meanPressure is the mean over the last looks.
func (d *Controller) meanPressure(from time.Duration) float64 {
	var sum float64
	n := 0
	for _, l := range d.readings {
		if l.at > from {
			sum += l.pressure
			n++
		}
	}
	return sum / float64(max(1, n))
}

// canStop tells whether runs can be taken off the cores.
func (d *Controller) canStop() bool {
	return d.settings.Halt == HaltDrop || d.settings.Halt == HaltPause
}

// meanBusy is the mean share of the cores that was busy at the last looks.
func (d *Controller) meanBusy() (busy float64) {
	for _, l := range d.readings {
		busy += l.busy / float64(len(d.readings))
	}
	return busy
}

// blockedRuns is how many runs wait for something else than a core, by the last gauges. Without them the floor
// would leave cores idle wherever ops wait on disk.
func (d *Controller) blockedRuns() int {
	var sum float64
	n := 0
	for _, l := range d.readings {
		if l.runnable >= 0 {
			sum += max(0, float64(l.running)-l.runnable)
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return int(math.Ceil(sum / float64(n)))
}

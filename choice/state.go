package choice

// State and helpers of the module: no decisions and no tuned values stand here.

import (
	"encoding/binary"
	"hash/fnv"
	"math"
	"slices"
	"time"
)

func (f Facts) num(name string) float64        { x, _ := f[name].(float64); return x }
func (f Facts) span(name string) time.Duration { x, _ := f[name].(time.Duration); return x }
func (f Facts) flag(name string) bool          { x, _ := f[name].(bool); return x }
func (f Facts) text(name string) string        { x, _ := f[name].(string); return x }

// Desk holds the decisions of one instance.
type Desk struct {
	port   Port
	facts  Facts
	seed   uint64
	drawn  uint64 // the counter behind chance
	began  time.Duration
	cores  int
	tick   time.Duration
	bands  int // importances that differ
	types  map[OpType]*opType
	tenant map[TenantID]*tenant

	all     []*op           // as owed last gave them
	keys    []key           // as order last gave them
	ops     map[OpID]*op    // all that is owed an answer or still on the cores
	hold    []*op           // read and unstarted, by arrival
	running []*op           // started and not at a call
	calling []*op           // started and standing at a call, or in one
	sharing []*op           // waiting for the result of the op they repeat
	kept    []entry         // keys that use memory
	calls   []call          // the last calls made, for the mean in hand
	open    int             // of these, those that are open
	linger  []time.Duration // when those that were given up are over
	held    time.Duration   // how long calls were in hand, and at which moment that was summed
	heldAt  time.Duration
	callRan []time.Duration // how long the last calls took that went well

	grown    int     // the running count that idle cores have let us reach
	grownAt  int     // endings seen when it last grew
	endings  int     // endings seen
	looks    []look  // the last gauges
	results  []ended // the last endings, for the share that failed
	callers  []from  // the last arrivals, for their spread over callers and ranks
	nacked   []bool  // what became of the last ops decided on: nacked, else started
	lastLife time.Duration

	leaving  bool
	toldAt   time.Duration // when it was told to leave
	killAt   time.Duration
	state    string
	probedAt time.Duration
	level    float64       // the signal last given
	idleFor  time.Duration // how long unused connections may stay, as last said
	wakeAt   time.Duration // the timer that is set, 0 for none
}

type op struct {
	Arrival
	kind      *opType
	came      time.Duration // at the machine, not when read: the paper's a
	due       time.Duration // when its answer is owed
	target    time.Duration // its target latency
	started   time.Duration
	crowd     int // running when it started
	tries     int // calls made at the call where it stands
	inCall    bool
	answered  bool
	overShare bool
	giveUp    func() // what its present step does when the answer falls due
}

type opType struct {
	name       OpType
	index      int
	importance float64
	target     time.Duration
	stretch    float64 // the target grows by so many times the work
	timeout    time.Duration
	lateShare  float64
	repeats    string
	window     time.Duration
	ran        []sample // the last runs
	acked      int      // runs ever seen that went well
	fit        fit
}

// fit is a type's last runs in figures, as of a moment.
type fit struct {
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

type tenant struct {
	quota float64
	came  []time.Duration // the last arrivals
}

type sample struct {
	at, took, hint time.Duration
	crowd          float64 // running, mean of its start and end
}
type entry struct {
	id    OpID
	until time.Duration
}
type call struct {
	id          OpID
	from, until time.Duration
	open        bool
}
type look struct {
	at       time.Duration
	wanting  float64 // things that want a core, by gauge; -1 where there is none
	busy     float64
	pressure float64
	running  int
}
type ended struct {
	at     time.Duration
	failed bool
}
type from struct {
	at     time.Duration
	lay    time.Duration
	caller CallerID
	rank   float64
	waits  float64 // the told wait as a share of the op timeout
	again  bool    // a further try, where these are marked
}

// lastOf appends and keeps the last n.
func lastOf[T any](list []T, x T, n int) []T {
	list = append(list, x)
	if len(list) > n {
		list = slices.Delete(list, 0, len(list)-n)
	}
	return list
}

func without(list []*op, o *op) []*op {
	return slices.DeleteFunc(list, func(x *op) bool { return x == o })
}

// chance draws from 0 to 1 by the instance's seed and a counter.
func (d *Desk) chance() float64 {
	d.drawn++
	h := fnv.New64a()
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], d.seed)
	binary.LittleEndian.PutUint64(b[8:], d.drawn)
	h.Write(b[:])
	return float64(h.Sum64()>>11) / (1 << 53)
}

type point struct{ x, y float64 }

// line fits by least squares: the mean of y, the slope, and the variance of x that it stands on.
func line(points []point) (mean, slope, variance float64) {
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

func (d *Desk) keyMemory() float64 {
	now := d.port.Now()
	d.kept = slices.DeleteFunc(d.kept, func(e entry) bool { return e.until+d.facts.span("tick") < now })
	return float64(len(d.kept)) * d.facts.num("key KB")
}

// memory is what held and running ops and keys use now.
func (d *Desk) memory() float64 {
	kb := d.keyMemory()
	factor := max(1, d.facts.num("run memory factor"))
	for _, o := range d.hold {
		kb += o.KB
	}
	for _, o := range d.sharing {
		kb += o.KB
	}
	for _, o := range d.running {
		kb += o.KB * factor
	}
	for _, o := range d.calling {
		kb += o.KB * factor
	}
	return kb
}

func (d *Desk) forget(o *op) {
	d.hold, d.sharing = without(d.hold, o), without(d.sharing, o)
	d.running, d.calling = without(d.running, o), without(d.calling, o)
	delete(d.ops, o.ID)
}

// callsInHand counts the open calls, and those that were given up and linger.
func (d *Desk) callsInHand(now time.Duration) int {
	d.linger = slices.DeleteFunc(d.linger, func(until time.Duration) bool { return until <= now })
	return d.open + len(d.linger)
}

// openCall notes that one call goes out.
func (d *Desk) openCall(o *op, now, over time.Duration) {
	gone := 0
	for gone < len(d.calls) && !d.calls[gone].open && d.calls[gone].until < now-over {
		gone++
	}
	d.calls = append(d.calls[gone:], call{id: o.ID, from: now, open: true})
	d.open++
	o.inCall = true
	o.tries++
}

// closeCall notes that one call is no longer open.
func (d *Desk) closeCall(o *op, until time.Duration) {
	if !o.inCall {
		return
	}
	o.inCall = false
	for i := len(d.calls) - 1; i >= 0; i-- {
		if d.calls[i].open && d.calls[i].id == o.ID {
			d.calls[i].open, d.calls[i].until = false, until
			d.open--
			if until > d.port.Now() {
				d.linger = append(d.linger, until)
			}
			return
		}
	}
}

// owed are the ops that wait for an answer, in a fixed order; they stay valid until it is called again.
func (d *Desk) owed() []*op {
	d.all = d.all[:0]
	for _, list := range [...][]*op{d.hold, d.sharing, d.running, d.calling} {
		for _, o := range list {
			if !o.answered {
				d.all = append(d.all, o)
			}
		}
	}
	return d.all
}

// spread is over how many callers the last arrivals were spread; a caller with most of them counts most.
func (d *Desk) spread() float64 {
	counts := map[CallerID]float64{}
	for _, c := range d.callers {
		counts[c.caller]++
	}
	var squares float64
	for _, n := range counts { // whole numbers: their sum does not depend on the order
		squares += n * n
	}
	if squares == 0 {
		return max(1, d.facts.num("callers"))
	}
	total := float64(len(d.callers))
	return total * total / squares
}

// reuse counts, over the last arrivals, how often a caller came again within the span, and how long its
// connection waited for that, the span at most.
func (d *Desk) reuse(now, span time.Duration) (used int, waited time.Duration) {
	next := map[CallerID]time.Duration{}
	for i := len(d.callers) - 1; i >= 0; i-- {
		c := d.callers[i]
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

func meanHint(ran []sample) time.Duration {
	var sum time.Duration
	for _, s := range ran {
		sum += s.hint
	}
	return sum / time.Duration(max(1, len(ran)))
}

func (d *Desk) perCore(running float64) float64 { return max(1, running/float64(d.cores)) }

// slack is the paper's s: arrival plus target latency minus now.
func (d *Desk) slack(o *op, now time.Duration) time.Duration { return o.came + o.target - now }

// target is the least target latency.
func (d *Desk) target() time.Duration {
	least := time.Duration(math.MaxInt64)
	for _, k := range d.types {
		least = min(least, k.target)
	}
	return least
}

func (d *Desk) skipShare(k *opType) float64 {
	shares, _ := d.facts["skip share by type"].([]float64)
	if k.index < len(shares) {
		return shares[k.index]
	}
	return 0
}

// since counts a tenant's arrivals.
func (t *tenant) since(from time.Duration) (n int) {
	for _, at := range t.came {
		if at > from {
			n++
		}
	}
	return n
}

// tenantsSince counts the arrivals of all tenants and sums their quotas, in the order told.
func (d *Desk) tenantsSince(from time.Duration) (came, quotas float64) {
	told, _ := d.facts["tenants"].([]Facts)
	for _, f := range told {
		t := d.tenant[TenantID(f.text("name"))]
		came, quotas = came+float64(t.since(from)), quotas+t.quota
	}
	return came, quotas
}

// mostLay is the longest time that an arrival lay unread.
func (d *Desk) mostLay(from time.Duration) (lay time.Duration) {
	for _, c := range d.callers {
		if c.at > from {
			lay = max(lay, c.lay)
		}
	}
	return lay
}

// triesAgain is the share of the last arrivals that are marked as further tries.
func (d *Desk) triesAgain() float64 {
	again := 0
	for _, c := range d.callers {
		if c.again {
			again++
		}
	}
	return float64(again) / float64(max(1, len(d.callers)))
}

// heldCalls sums how long calls were in hand. What begins or ends at this moment does not change it: it is summed
// once a moment.
func (d *Desk) heldCalls(from, now time.Duration) time.Duration {
	if d.heldAt == now && now > 0 {
		return d.held
	}
	d.heldAt, d.held = now, 0
	for _, c := range d.calls {
		until := c.until
		if c.open {
			until = now
		}
		d.held += max(0, min(until, now)-max(c.from, from))
	}
	return d.held
}

// nackedShare is the share of the last ops that were nacked unstarted.
func (d *Desk) nackedShare() float64 {
	n := 0
	for _, nacked := range d.nacked {
		if nacked {
			n++
		}
	}
	return float64(n) / float64(max(1, len(d.nacked)))
}

// meanPressure is the mean over the last looks.
func (d *Desk) meanPressure(from time.Duration) float64 {
	var sum float64
	n := 0
	for _, l := range d.looks {
		if l.at > from {
			sum += l.pressure
			n++
		}
	}
	return sum / float64(max(1, n))
}

// canStop tells whether runs can be taken off the cores.
func (d *Desk) canStop() bool {
	return d.facts.text("halt") == "drop" || d.facts.text("halt") == "pause"
}

// meanBusy is the mean share of the cores that was busy at the last looks.
func (d *Desk) meanBusy() (busy float64) {
	for _, l := range d.looks {
		busy += l.busy / float64(len(d.looks))
	}
	return busy
}

// offCores is how many runs wait for something else than a core, by the last gauges. Without them the floor
// would leave cores idle wherever ops wait on disk.
func (d *Desk) offCores() int {
	var sum float64
	n := 0
	for _, l := range d.looks {
		if l.wanting >= 0 {
			sum += max(0, float64(l.running)-l.wanting)
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return int(math.Ceil(sum / float64(n)))
}

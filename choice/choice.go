// Package choice decides, for one service instance, which ops it holds, starts, nacks and gives up.
//
// How to invoke it: Open a Desk at the start of the process with its seed, its start facts and a Port; call
// Read for each op read, Gone when a caller has left, Leave when the instance is told to go, and Settle once
// after each batch of these. What an op does next is handed to the Port as closures. The interface is in
// port.go, the state in state.go; the reasons are in docs/design.md, which cites the paper by its symbols.
package choice

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
)

// Open makes the desk of an instance that has just come up.
func Open(seed uint64, facts Facts, port Port) *Desk {
	d := &Desk{port: port, facts: facts, seed: seed, began: port.Now(), state: "well", level: -1,
		types: map[OpType]*opType{}, tenant: map[TenantID]*tenant{}, ops: map[OpID]*op{},
		cores: max(1, int(facts.num("cores")))}
	d.grown, d.tick = d.cores, facts.span("tick")
	kinds, _ := facts["op types"].([]Facts)
	for i, k := range kinds {
		t := &opType{name: OpType(k.text("name")), index: i, importance: k.num("importance"),
			target: k.span("target latency"), stretch: k.num("target stretch"),
			timeout: k.span("op timeout"), lateShare: k.num("late share"),
			repeats: k.text("repeats"), window: k.span("repeat window")}
		d.types[t.name] = t
	}
	bands := map[float64]bool{}
	for _, k := range d.types {
		bands[k.importance] = true
	}
	d.bands = len(bands)
	tenants, _ := facts["tenants"].([]Facts)
	for _, t := range tenants {
		d.tenant[TenantID(t.text("name"))] = &tenant{quota: t.num("quota a second")}
	}
	// Danger: checks that do real work and call below, while we are crowded. They are answered from store.
	port.Health(true, true)
	return d
}

// ---- Ops come in

// Read takes an op that has just been read.
func (d *Desk) Read(a Arrival) {
	now := d.port.Now()
	kind := d.types[a.Type]
	if kind == nil { // a type we were not told of: held to the terms of the first
		kinds, _ := d.facts["op types"].([]Facts)
		kind = d.types[OpType(kinds[0].text("name"))]
	}
	o := &op{Arrival: a, kind: kind, came: now - a.Lay}
	o.due = o.came + kind.timeout
	if a.Waits {
		o.due = a.ToldWait
	}
	o.due = max(o.due, now)
	o.target = kind.target
	if kind.stretch > 0 {
		o.target = min(kind.timeout, o.target+time.Duration(kind.stretch*float64(d.work(o))))
	}
	d.ops[a.ID] = o
	d.hold = append(d.hold, o)
	o.giveUp = func() { d.nack(o) }
	waits := float64(o.due-o.came) / float64(max(kind.timeout, 1))
	o.target -= d.spent(o, waits)
	d.callers = lastOf(d.callers, from{now, a.Lay, a.Caller, a.Rank, waits, a.Retry}, 64)
	o.overShare = d.beyondQuota(o, now)

	switch {
	case a.RepeatsOf != "": // Danger: an effect that happens twice. A repeat gets the first one's result.
		d.share(o)
	case d.memory() > d.memoryRoom() || !d.keep(o, now): // Danger: more memory than there is.
		d.nack(o)
	}
}

// spent is the time that an op's earlier tries took, as far as it shows. Callers tell the same share of the
// op timeout for each first try, but what is left of it for a last one; so a told wait that none of the last
// arrivals had is the rest. A try with its own full wait shows nothing.
// Danger: further tries whose target latency is past take the cores from those that can still earn.
func (d *Desk) spent(o *op, waits float64) time.Duration {
	const alike = 0.005 // clocks are in microseconds; two ages this near are rare among 64
	if !o.Waits || len(d.callers) < 16 {
		return 0
	}
	same := 0
	for _, c := range d.callers {
		if math.Abs(c.waits-waits) < alike {
			same++
		}
	}
	if same >= 2 {
		return 0
	}
	return max(0, o.kind.timeout-(o.due-o.came))
}

// beyondQuota tells whether the op's tenant now sends this instance more than its part of the quota. Further
// tries are left out where they are marked, or a nack would count against the tenant.
func (d *Desk) beyondQuota(o *op, now time.Duration) bool {
	t := d.tenant[o.Tenant]
	if t == nil || t.quota <= 0 {
		return false
	}
	if !o.Retry {
		t.came = lastOf(t.came, now, 2048) // 500 a second, twice what came of one at the fastest
	}
	const over = 4 * time.Second // some tens of arrivals at the usual loads
	came, quotas := d.tenantsSince(now - over)
	share := over.Seconds() / max(1, d.facts.num("fleet size"))
	// Danger: in a storm of unmarked tries all tenants are beyond; the quotas then grow with all that comes.
	part := t.quota * share * max(1, came/(quotas*share))
	// Danger: where few ops come a tenant within its quota is beyond it by chance; two deviations are allowed.
	return float64(t.since(now-over)) > part+2*math.Sqrt(part)
}

// keep stores the key of an op that may be repeated, before it can run.
func (d *Desk) keep(o *op, now time.Duration) bool {
	span := o.came + o.kind.window - now
	switch {
	case o.kind.repeats == "keyed":
		// until the window from its arrival is over, with two ticks to spare
		span += 2 * d.facts.span("tick")
	case o.kind.repeats == "retryable" && !o.Write && o.Subject != "" && d.facts.span("shared reads for") > 0:
		span = o.due - now + d.facts.span("shared reads for")
		// Shared reads may use a fifth of the memory; keyed ops need theirs more.
		if d.keyMemory()+d.facts.num("key KB") > d.facts.num("memory KB")/5 {
			return true
		}
	default:
		return true
	}
	if span <= 0 {
		return true
	}
	if d.memory()+d.facts.num("key KB") > d.memoryRoom() {
		return false
	}
	d.kept = append(d.kept, entry{o.ID, now + span})
	d.port.KeepKey(o.ID, span)
	return true
}

// memoryRoom leaves a twelfth free, for what is read while a reply is on its way.
func (d *Desk) memoryRoom() float64 {
	if kb := d.facts.num("memory KB"); kb > 0 {
		return kb * 11 / 12
	}
	return math.Inf(1)
}

// Gone hears that the caller of an op has given up: nothing is owed any more.
func (d *Desk) Gone(id OpID) {
	o := d.ops[id]
	if o == nil {
		return
	}
	o.answered = true
	switch {
	case slices.Contains(d.hold, o), slices.Contains(d.sharing, o):
		d.forget(o)
	case slices.Contains(d.running, o):
		d.stop(o)
	}
}

// Leave hears that the instance is killed at the time given.
func (d *Desk) Leave(at time.Duration) {
	d.leaving, d.toldAt, d.killAt = true, d.port.Now(), at
}

// ---- Answers

// nack turns away an op that has not run, with advice on how long to keep away.
func (d *Desk) nack(o *op) {
	if o.answered {
		return
	}
	o.answered = true
	if i := slices.IndexFunc(d.kept, func(e entry) bool { return e.id == o.ID }); i >= 0 {
		d.port.DropKey(o.ID) // it never ran here: a later try is free to
		d.kept = slices.Delete(d.kept, i, i+1)
	}
	d.port.Nack(o.ID, d.stayAway(), d.crowdedOut())
	if !o.overShare { // what is beyond a quota is nacked on a good day too
		d.nacked = lastOf(d.nacked, true, 64)
	}
	d.forget(o)
}

// stayAway is how long a nacked op's caller should send nothing here: the longer the less is welcome, and
// drawn in half its length, so that callers do not come back all at once.
// Danger: where ops lie unread, advice is heard late; all callers keep away and come back together, with idle
// cores in between. From a well instance it is then cut to an eighth, and the signal does the rest.
func (d *Desk) stayAway() time.Duration {
	if !d.facts.flag("stay away is passed on") {
		return 0
	}
	span := float64(d.facts.span("longest stay away")) * (1 - d.welcome())
	if d.state == "well" && d.unread(d.port.Now()) > d.target()/32 {
		span /= 8
	}
	return time.Duration(span * (0.5 + 0.5*d.chance()))
}

// abandon answers an op whose run is under way and frees its core where that is allowed.
// Danger: a keyed or non-retryable op that ran and is nacked would be run again elsewhere; it fails instead.
func (d *Desk) abandon(o *op) {
	if o.answered {
		return
	}
	o.answered = true
	if o.kind.repeats == "retryable" {
		d.port.Nack(o.ID, d.stayAway(), false)
	} else {
		d.port.Fail(o.ID)
	}
	if slices.Contains(d.running, o) {
		d.stop(o)
	}
}

// stop takes off the cores a run that nobody waits for.
func (d *Desk) stop(o *op) {
	if d.canStop() {
		d.port.Stop(o.ID)
	}
}

// stopWorthless stops retryable runs that can earn nothing any more, while others wait and no core is free.
func (d *Desk) stopWorthless(now time.Duration) {
	if !d.canStop() || d.coreFree(now) {
		return
	}
	for _, o := range slices.Clone(d.running) {
		if o.kind.repeats == "retryable" && o.kind.lateShare == 0 && d.slack(o, now) < 0 {
			d.abandon(o)
		}
	}
}

// share answers a repeat by the first one's result.
func (d *Desk) share(o *op) {
	d.hold = without(d.hold, o)
	d.sharing = append(d.sharing, o)
	o.giveUp = func() {
		o.answered = true
		d.port.Fail(o.ID)
		d.forget(o)
	}
	d.port.Share(o.ID, func(Ending, time.Duration) { d.forget(o) })
}

// start runs a held op.
func (d *Desk) start(o *op) {
	now := d.port.Now()
	d.hold = without(d.hold, o)
	d.running = append(d.running, o)
	d.nacked = lastOf(d.nacked, false, 64)
	o.started, o.crowd = now, len(d.running)
	o.giveUp = func() { d.abandon(o) }
	d.port.Run(o.ID, func() { d.atCall(o) }, func(how Ending, took time.Duration) { d.ended(o, how, took) })
}

func (d *Desk) ended(o *op, how Ending, took time.Duration) {
	now := d.port.Now()
	crowd := float64(o.crowd+len(d.running)) / 2
	d.closeCall(o, now)
	d.forget(o)
	if how != Moot { // one that never started tells nothing of those that run
		d.lastLife = now
	}
	if how == Acked || how == Failed {
		d.endings++
		d.results = lastOf(d.results, ended{now, how == Failed}, 16)
	}
	if how == Acked {
		// 24 runs: a second or two of work at the usual rates, enough for a line through them.
		o.kind.ran = lastOf(o.kind.ran, sample{now, took, o.Hint, crowd}, 24)
		o.kind.acked++
	}
	if how == Cancelled && !o.answered { // stopped by no wish of ours: the answer is still owed
		o.answered = true
		d.port.Fail(o.ID)
	}
}

// ---- Calls to what lies below

func (d *Desk) atCall(o *op) {
	d.lastLife = d.port.Now()
	d.running = without(d.running, o)
	if !slices.Contains(d.calling, o) {
		d.calling = append(d.calling, o)
	}
	d.closeCall(o, d.lastLife) // one that it no longer waits for would count for ever
	o.tries = 0
}

// grantCalls lets the ops with the least slack call first, within the bound.
func (d *Desk) grantCalls(now time.Duration) {
	waiting := slices.DeleteFunc(slices.Clone(d.calling), func(o *op) bool { return o.inCall })
	slices.SortStableFunc(waiting, func(a, b *op) int { return cmp.Compare(a.came+a.target, b.came+b.target) })
	full := false // what has no room for one has none for the next
	for _, o := range waiting {
		switch {
		case o.answered:
			d.port.Fail(o.ID) // ends the run, nobody waits for it
		case !full && d.callRoom(now):
			d.call(o, now)
		default:
			full = true
			// Danger: where calls are scarce many wait, and leave for the cores together when their slack is spent.
			spent := d.skipShare(o.kind) > 0 && d.slack(o, now) < d.timeFor(o, len(d.running))/2
			if spent && d.crowdRoom(len(d.running)) {
				d.skip(o)
			}
		}
	}
}

// callRoom bounds the calls in hand by nine tenths of the told share, as all instances start some at once; a
// share under one call is a part of the time, in the mean over the told span. With a tier below no share is
// told; two calls a core keep the cores busy while calls are no slower than runs.
// Danger: what all instances call falls over. Given-up calls linger there and are counted for as long.
// Danger: time that earlier calls used up must not cut the next ones short where several are allowed at once:
// they are given up, linger and use up more, until none is answered, long after what is below is well again.
// Danger: more calls in hand than the cores survive beside what runs on them, when all come back together;
// and calls that leave no room for runs on half of the cores, or none starts until they are back.
func (d *Desk) callRoom(now time.Duration) bool {
	if !d.crowdRoom(max(len(d.running), min(d.halfCores(), int(d.crowdMost())-1))) {
		return false
	}
	share := d.facts.num("call share")
	if d.facts.text("below") != "shared" || share <= 0 {
		return d.callsInHand(now) < 2*d.cores
	}
	ease, latest := d.callEase()
	most, held := d.callTime(now)
	return float64(d.callsInHand(now)+1) <= max(1, 0.9*ease*share) && (most == 0 || held == 0 ||
		held+4*latest+d.facts.span("given-up call lingers") < time.Duration(ease*float64(most)))
}

// callTime is how long calls may be in hand, summed over the told span, and how long they were, where the
// share is a part of the time: a tenth less than the share.
func (d *Desk) callTime(now time.Duration) (most, held time.Duration) {
	share, over := d.facts.num("call share"), max(d.facts.span("calls over"), time.Second)
	if share >= 1 {
		return 0, 0
	}
	return time.Duration(0.9 * share * float64(over)), d.heldCalls(now-over, now)
}

// callEase is under 1 while calls take over four times their quickest quarter, about twice the usual time, in
// proportion; with it the time they take now. A quarter is still quick when most have been slow for a while.
// Danger: what is below gets less done the more it holds, so calls pile up there long after a burst has gone.
// It should also catch a slow network below; it can hurt where calls are slow but not crowded, so a quarter
// of the share stays.
func (d *Desk) callEase() (ease float64, latest time.Duration) {
	n := len(d.callRan)
	if n < 16 {
		return 1, 0
	}
	sorted := slices.Sorted(slices.Values(d.callRan))
	latest = slices.Sorted(slices.Values(d.callRan[n-8:]))[4]
	return min(1, max(0.25, 4*float64(sorted[n/4])/float64(max(latest, 1)))), latest
}

func (d *Desk) call(o *op, now time.Duration) {
	until := o.due - 2*d.facts.span("tick")
	if d.skipShare(o.kind) > 0 && d.slack(o, now) > 0 {
		until = now + d.slack(o, now)*2/3 // leaves time for the poorer answer
	}
	if most, held := d.callTime(now); most > 0 { // a slow call may take what is left of the share, no more
		linger := d.facts.span("given-up call lingers")
		until = min(until, now+(most-held)/time.Duration(d.callsInHand(now)+1)-linger)
	}
	// Danger: a reply that never comes holds its op until the slack is spent. Four times the slowest of the last
	// calls is past what chance brings; a second call is given all the time there is.
	if len(d.callRan) >= 16 && o.tries == 0 && o.kind.repeats == "retryable" {
		until = min(until, now+4*slices.Max(d.callRan))
	}
	until = max(until, now+d.facts.span("tick"))
	d.openCall(o, now, max(d.facts.span("calls over"), time.Second))
	d.port.Call(o.ID, until, func(how Ending, took time.Duration) { d.called(o, how, took) })
}

func (d *Desk) called(o *op, how Ending, took time.Duration) {
	now := d.port.Now()
	until := now
	if how == GivenUp || how == Broken {
		until += d.facts.span("given-up call lingers")
	}
	d.closeCall(o, until)
	if how == Acked {
		d.lastLife = now
		// 128 calls: the usual time is still seen through ten seconds of crowding.
		d.callRan = lastOf(d.callRan, took, 128)
		d.calling = without(d.calling, o)
		d.running = append(d.running, o)
		return
	}
	// Danger: a call that had its effect is sent again. Only an outcome that proves that it never ran, or an op
	// that may run again, allows another try; three are enough to outlast a crowded moment.
	again := how == Full || how == Unreached || o.kind.repeats == "retryable"
	ease, usual := d.callEase()
	switch {
	case o.answered:
		d.port.Fail(o.ID)
	// Danger: one spoilt reply, or one that never comes, costs the better answer while there is time for another
	// call: that of a whole run. A crowd below is not such a case, and is spared the second call.
	case again && o.tries < 3 && (how == Broken || how == GivenUp && ease == 1 && usual > 0) &&
		d.slack(o, now) > d.timeFor(o, len(d.running)+1):
	case d.skipShare(o.kind) > 0:
		d.skip(o)
	case !again || o.tries >= 3 || d.slack(o, now) <= 0:
		o.answered = true
		d.port.Fail(o.ID)
	}
}

func (d *Desk) skip(o *op) {
	d.calling = without(d.calling, o)
	d.running = append(d.running, o)
	d.port.SkipCall(o.ID)
}

// ---- Predictions: the paper's section 3.2, fitted on the last runs

// recent leaves out runs of over 8 s ago: a cold start or a slow spell must not rate the runs after it.
func (k *opType) recent(now time.Duration) []sample {
	for i, s := range k.ran {
		if s.at > now-8*time.Second || i == len(k.ran)-4 {
			return k.ran[i:]
		}
	}
	return k.ran
}

// fit is what the last runs of a type say, worked out once a moment and not for each op.
func (d *Desk) fit(k *opType) *fit {
	now := d.port.Now()
	if f := &k.fit; f.known && f.at == now && f.acked == k.acked {
		return f
	}
	ran := k.recent(now)
	f := fit{known: true, at: now, acked: k.acked, runs: len(ran), bend: 1, hint: meanHint(ran).Seconds()}
	hints, crowds := make([]point, len(ran)), make([]point, len(ran))
	for i, s := range ran {
		f.sum += time.Duration(float64(s.took) / d.perCore(s.crowd))
		f.crowd += s.crowd / float64(len(ran))
		hints[i] = point{s.hint.Seconds() / f.hint, s.took.Seconds() / d.perCore(s.crowd)}
		crowds[i] = point{s.crowd, s.took.Seconds()}
	}
	if at, slope, spread := line(hints); len(ran) >= 8 && spread > 0.01 && at > 0 {
		f.bend = min(1, max(0.25, slope/at))
	}
	f.took, f.slope, f.spread = line(crowds)
	k.fit = f
	return &k.fit
}

// work is the paper's r: the mean run time over running per core, scaled by the hint over the mean hint.
func (d *Desk) work(o *op) time.Duration {
	f := d.fit(o.kind)
	if f.runs == 0 {
		if o.Hint > 0 {
			return time.Duration(float64(o.Hint) / d.speedShare())
		}
		return o.kind.target / 8 // nothing is known: an eighth of the target lets the first runs in
	}
	return time.Duration(float64(f.sum) / float64(f.runs) * f.scale(o.Hint))
}

// scale is how much longer than the mean an op of this hint runs: a line through the last runs, as a part of
// each, waits on disk and calls above all, does not grow with the hint; in proportion while they are under
// eight or their hints nearly alike. It is held to a quarter and eight times, since a hint may be rough.
func (f *fit) scale(hint time.Duration) float64 {
	if f.hint <= 0 || hint <= 0 {
		return 1
	}
	return min(8, max(0.25, 1+(hint.Seconds()/f.hint-1)*f.bend))
}

// timeFor is the paper's T: r times running per core, with so many running.
func (d *Desk) timeFor(o *op, running int) time.Duration {
	return time.Duration(float64(d.work(o)) * d.perCore(float64(running)))
}

// fitted is the run time of a type against the running count: a line by least squares over its last runs, or,
// while these are few or all of one crowd, in proportion to running per core.
func (d *Desk) fitted(k *opType, running int) time.Duration {
	f := d.fit(k)
	if f.runs < 8 || f.spread < 1 { // eight runs and a deviation of one op: less gives no slope
		return d.timeFor(&op{kind: k}, running)
	}
	return time.Duration(max(f.took+max(0, f.slope)*(float64(running)-f.crowd), 0) * float64(time.Second))
}

// left is the time in which an op can still earn: to its target latency, or to the answer that is owed where
// a late one earns half or more; never past the kill.
func (d *Desk) left(o *op, now time.Duration) time.Duration {
	left := d.slack(o, now)
	if o.kind.lateShare >= 0.5 {
		left = o.due - now
	}
	left = min(left, o.due-now)
	if d.leaving {
		left = min(left, d.lastAnswers()-now)
	}
	return left
}

// speedShare is the share of its speed that a cold instance has: evenly rising from the told start.
func (d *Desk) speedShare() float64 {
	warm := d.facts.span("warm within")
	age := d.port.Now() - d.began
	if !d.facts.flag("just started") || warm <= 0 || age >= warm {
		return 1
	}
	from := max(0.05, d.facts.num("cold speed share"))
	return from + (1-from)*float64(age)/float64(warm)
}

// ---- The limit on how many run

// limit is the largest running count whose fit meets the least running slack. It floors at the core count,
// with the runs that wait off the cores on top, stays at what idle cores have let it grow to, and under the
// survivable crowd.
func (d *Desk) limit(now time.Duration) int {
	least := time.Duration(math.MaxInt64)
	kinds := map[*opType]bool{}
	for _, o := range d.running {
		if s := d.slack(o, now); s > 0 {
			least = min(least, s)
			kinds[o.kind] = true
		}
	}
	n := d.grown
	for ; n > d.cores; n-- {
		meets := true
		for k := range kinds { // only whether all meet it counts, not their order
			meets = meets && d.fitted(k, n) <= least
		}
		if meets {
			break
		}
	}
	return min(max(n, d.cores+d.offCores()), d.crowdCeiling())
}

// crowdCeiling is the crowd on the cores that is survived, less in proportion while cold.
// Danger: the instance falls over. Three quarters leave room for runs that come back from calls.
// Danger: those that are in a call come back when what is below does, all at once, and those that wait for
// one go on without it when their slack is spent. Both count; as many starts as there are cores go on beside
// those that wait, and leave a place for the next call while half of the cores are kept at work.
func (d *Desk) crowdCeiling() int {
	crowd := d.survived()
	if crowd <= 0 {
		return 2 * d.cores
	}
	room, waits := int(d.crowdMost())-d.open, len(d.calling)-d.open
	floor := room
	if waits > 0 && (d.open == 0 || room > d.halfCores()) {
		floor--
	}
	return max(min(1, floor), min(int(0.75*crowd), max(room-waits, min(d.cores, floor))))
}

func (d *Desk) halfCores() int { return (d.cores + 1) / 2 }

// crowdMost is how many may run and be in a call: nine tenths of what is survived, or one more than the
// cores.
func (d *Desk) crowdMost() float64 {
	return max(0.9*d.survived(), min(d.survived(), float64(d.cores+1)))
}

// crowdRoom tells whether one more may go to the cores, or to a call that it comes back from, beside so many.
func (d *Desk) crowdRoom(running int) bool {
	return d.survived() <= 0 || len(d.running)+d.open == 0 || float64(running+d.open+1) <= d.crowdMost()
}

// survived is the crowd on the cores that is survived, 0 if that is not told.
func (d *Desk) survived() float64 {
	crowd := d.facts.num("crowd a core")
	if crowd <= 0 {
		return 0
	}
	return float64(d.cores) * (1 + (crowd-1)*d.speedShare())
}

// onCores estimates what wants a core now: the last gauge and what has started or ended since.
func (d *Desk) onCores(now time.Duration) float64 {
	if len(d.looks) > 0 {
		l := d.looks[len(d.looks)-1]
		if l.wanting >= 0 && now-l.at < 3*d.beat() { // three looks; older ones tell nothing
			return max(0, l.wanting+float64(len(d.running)-l.running))
		}
	}
	return float64(len(d.running))
}

func (d *Desk) coreFree(now time.Duration) bool { return d.onCores(now) < float64(d.cores) }

// grow lets one more run than the limit while cores idle and work waits.
// Danger: a hang looks like idle cores and would swallow all that waits. No growth without an ending.
func (d *Desk) grow(now time.Duration) bool {
	if len(d.looks) == 0 || d.endings <= d.grownAt || len(d.running) >= d.crowdCeiling() {
		return false
	}
	if l := d.looks[len(d.looks)-1]; l.wanting >= 0 && !d.coreFree(now) || l.wanting < 0 && l.busy > 0.95 {
		return false
	}
	d.grown, d.grownAt = len(d.running)+1, d.endings
	return true
}

// look takes the gauges of a moment.
func (d *Desk) look(gauges map[string]float64) {
	now := d.port.Now()
	l := look{at: now, wanting: -1, busy: 1, running: len(d.running), pressure: d.pressure(now)}
	if w, told := gauges["want a core"]; told {
		l.wanting = w
	}
	if b, told := gauges["cores busy"]; told {
		l.busy = b
	}
	d.looks = lastOf(d.looks, l, 10)
	// A sixth over the cores: beyond it runs only slow each other down.
	if l.wanting > float64(d.cores)*7/6 {
		d.grown = max(d.cores, d.grown-1)
	}
}

// ---- The order of the hold: the paper's section 3.3

// alpha is the urgency from which an op is urgent; at 1 it would already be one that misses.
const alpha = 0.5

// epsilon keeps the division whole when no slack is left.
const epsilon = time.Millisecond

// protected is the paper's g, from the rank: the band of the highest importance, as ranks give each
// importance an equal band; with one importance only the top fifth.
func (d *Desk) protected(o *op) bool {
	if d.bands < 2 {
		return o.Rank >= 0.8
	}
	return o.Rank >= 1-1/float64(d.bands)
}

// key is one held op with its place in the order, worked out once.
type key struct {
	o       *op
	level   int // 1-g, and one more for a tenant beyond its quota
	calm    int // 1-urgent
	r, s, t time.Duration
}

// order sorts the hold by (1-g, 1-urgent, r).
func (d *Desk) order(now time.Duration) []key {
	keys := d.keys[:0] // one list, used again: it is done with when the batch is settled
	for _, o := range d.hold {
		k := key{o: o, level: 1, calm: 1, r: d.work(o), s: d.slack(o, now)}
		k.t = time.Duration(float64(k.r) * d.perCore(float64(len(d.running))))
		if float64(k.t)/float64(max(k.s, epsilon)) > alpha {
			k.calm--
		}
		if d.protected(o) {
			k.level--
		}
		if o.overShare {
			k.level++
		}
		keys = append(keys, k)
	}
	slices.SortStableFunc(keys, func(a, b key) int {
		return cmp.Or(cmp.Compare(a.level, b.level), cmp.Compare(a.calm, b.calm), cmp.Compare(a.r, b.r))
	})
	d.keys = keys
	return keys
}

// weed nacks, while no core is free, what cannot be done in the time left: by its own T before any start, and
// after the starts by the wait for the work before it in the order as well, which the paper's T leaves out.
// Danger: what will clearly not start in time is nacked late, and comes back with its slack spent.
func (d *Desk) weed(keys []key, now time.Duration, waits bool) []key {
	if d.coreFree(now) {
		return keys
	}
	var ahead time.Duration
	for _, o := range d.running {
		ahead += max(0, d.work(o)-time.Duration(float64(now-o.started)/d.perCore(float64(len(d.running)))))
	}
	return slices.DeleteFunc(keys, func(k key) bool {
		wait := time.Duration(0)
		if waits {
			wait = ahead / time.Duration(d.cores)
		}
		if wait+k.t > d.left(k.o, now) {
			d.nack(k.o)
			return true
		}
		ahead += k.r
		return false
	})
}

// ---- The knapsack: the paper's section 3.5

// plan picks what to start into the room that the limit leaves. It follows the key, unless no core is free
// and starting the head would make another miss its slack; then the best plan around an at-risk anchor.
func (d *Desk) plan(keys []key, room int, now time.Duration) []key {
	byKey := keys[:min(room, len(keys))]
	if d.coreFree(now) || len(keys) < 2 {
		return byKey[:min(1, len(byKey))]
	}
	// With the head started, the next start comes when one of those running ends.
	after := len(d.running) + 1
	gap := d.timeFor(keys[0].o, after) / time.Duration(after)
	var best []key
	var bestValue float64
	for _, a := range keys[1:] {
		t := d.timeFor(a.o, after)
		if a.level > max(1, keys[0].level) || a.s >= t+gap || a.s < t {
			continue // beyond its quota, not at risk, or lost already
		}
		count := d.startCount(a, room, now)
		if count < 1 {
			continue
		}
		set, value := d.around(a, keys, count)
		if len(set) > len(best) || len(set) == len(best) && value > bestValue {
			best, bestValue = set, value
		}
	}
	if best == nil {
		return byKey[:min(1, len(byKey))]
	}
	return best
}

// startCount turns the anchor's slack into a running count, less those running, within the room.
func (d *Desk) startCount(a key, room int, now time.Duration) int {
	count := 0
	for count < room && d.timeFor(a.o, len(d.running)+count+1) <= a.s {
		count++
	}
	return count
}

// around fills the count with the anchor and those of highest value whose slack is no earlier than its own.
func (d *Desk) around(a key, keys []key, count int) ([]key, float64) {
	var set []key
	var sumR, sumS float64
	for _, k := range keys {
		if k.o == a.o || k.s >= a.s && k.s > 0 {
			set = append(set, k)
			sumR, sumS = sumR+float64(k.r), sumS+float64(k.s)
		}
	}
	value := func(k key) float64 { return 1 / (float64(k.r)/sumR + float64(k.s)/sumS) }
	slices.SortStableFunc(set, func(x, y key) int { return cmp.Compare(value(y), value(x)) })
	set = slices.DeleteFunc(set, func(k key) bool { return k.o == a.o })
	set = slices.Insert(set, 0, a)
	set = set[:min(count, len(set))]
	var total float64
	for _, k := range set {
		total += value(k)
	}
	return set, total
}

// ---- Health from what is observed

// stuck sees that work goes in and none comes out: no run has ended, reached or left a call for far longer
// than those on the cores should take. It should catch hangs, a dead disk, a lost core, a lock held for ever;
// it can hurt where one op is far longer than its hint, so a lone run gets eight times its T.
func (d *Desk) stuck(now time.Duration) bool {
	if len(d.running) == 0 {
		return false
	}
	oldest := now
	var t time.Duration
	for _, o := range d.running {
		oldest = min(oldest, o.started)
		t += d.timeFor(o, len(d.running))
	}
	t /= time.Duration(len(d.running))
	quiet := now - max(oldest, d.lastLife)
	return float64(quiet) > float64(t)*(2+6/float64(len(d.running)))
}

// failShare is the share of the last endings that failed; those of over 5 s ago are forgotten, which is the
// way back.
func (d *Desk) failShare(now time.Duration) float64 {
	n, failed := 0, 0
	for _, r := range d.results {
		if r.at > now-5*time.Second {
			n++
			if r.failed {
				failed++
			}
		}
	}
	if failed < 3 { // fewer are the usual errors
		return 0
	}
	return float64(failed) / float64(n)
}

// judge names the state of the instance and tells of a change, once.
func (d *Desk) judge(now time.Duration) {
	was := d.state
	switch {
	case d.leaving:
		d.state = "leaving"
	case d.stuck(now):
		d.state = "stuck"
	case d.failShare(now) >= 0.5:
		d.state = "failing"
	default:
		d.state = "well"
	}
	if d.state != was {
		d.port.Note(fmt.Sprintf("%s -> %s: held %d, running %d", was, d.state, len(d.hold), len(d.running)))
		d.port.Health(d.state == "well", true)
	}
}

// shelter nacks what should not be started here in the present state.
func (d *Desk) shelter(now time.Duration) {
	if d.state == "well" {
		return
	}
	for _, o := range slices.Clone(d.hold) {
		switch d.state {
		case "leaving":
			// Danger: running what came after the grace, or what the kill would cut off.
			late := o.came > d.toldAt+d.facts.span("drain grace")-2*d.facts.span("tick")
			if late || d.timeFor(o, len(d.running)) > d.left(o, now) {
				d.nack(o)
			}
		case "stuck":
			d.nack(o)
		case "failing":
			// One op each half second goes through, to see whether runs still fail.
			if now-d.probedAt < 500*time.Millisecond {
				d.nack(o)
			} else {
				d.probedAt = now
			}
		}
	}
	for _, o := range d.running {
		// Danger: callers wait for runs that will not end. Retryable ones are told now, while they have time.
		if d.state == "stuck" && o.kind.repeats == "retryable" && !o.answered {
			o.answered = true
			d.port.Nack(o.ID, d.stayAway(), false)
		}
	}
}

// ---- What callers are told

// welcome is how much of its usual traffic the instance wants, 0 to 1.
func (d *Desk) welcome() float64 {
	now := d.port.Now()
	switch d.state {
	case "leaving", "stuck":
		return 0
	case "failing":
		return 0.05
	}
	well := 1 - d.failShare(now)
	return well * well * d.speedShare() / (1 + 4*d.pressed(now))
}

// pressure is the waiting, unread then held, against half a target latency: as much as can still be done in
// time.
func (d *Desk) pressure(now time.Duration) float64 {
	var waiting time.Duration
	for _, o := range d.hold {
		waiting += d.work(o)
	}
	return (float64(waiting)/float64(d.cores) + float64(d.unread(now))) / float64(d.target()/2)
}

// pressed is the pressure now or in the mean of the last ten looks, whichever is more: callers compare us
// with others, and a signal that jumps back at each lull draws them all at once.
func (d *Desk) pressed(now time.Duration) float64 {
	return max(d.pressure(now), d.meanPressure(now-10*d.beat()))
}

// crowdedOut tells that the pressure has lasted for ten looks in spite of the signal: then the others are no
// better off, and a nacked op that walks on through them only costs each its reading. It can hurt where few
// callers heed the signal and the others are idle.
func (d *Desk) crowdedOut() bool {
	if d.state == "well" && d.triesAgain() > 1.0/6 {
		return true
	}
	for _, l := range d.looks {
		if l.pressure < 0.4 {
			return false
		}
	}
	return len(d.looks) == 10 && d.state == "well"
}

// unread is how long ops have lately lain unread, the worst of the last half second.
// Danger: reading eats the cores while the hold is short, and what is read has spent its time already.
func (d *Desk) unread(now time.Duration) time.Duration { return d.mostLay(now - 500*time.Millisecond) }

// signal turns the welcome into the value that the site's callers go by.
func (d *Desk) signal(now time.Duration) {
	level, steps := 0.0, 20.0 // to one, not to talk at each op
	w, cold := d.welcome(), d.speedShare() < 1
	switch d.facts.text("signal") {
	case "chance":
		level = w
	case "least rank":
		ranks := []float64{}
		for _, c := range d.callers {
			ranks = append(ranks, c.rank)
		}
		slices.Sort(ranks)
		if cold && len(ranks) < 16 { // too few to go by, and the first answers count: ranks are spread evenly
			level = 1 - w
		} else if out := int((1 - w) * float64(len(ranks))); out > 0 {
			level = ranks[min(out, len(ranks)-1)]
		}
	case "tokens":
		// Callers that seldom have more than one op here are told the chance: a fraction counts by chance.
		level = w * max(1, d.room(now)/d.spread())
		// Danger: a cold instance falls under the sum of what all send that may heed this, also those that have not
		// come yet. Each is told its part of the room.
		if cold {
			level, steps = w*d.room(now)/max(d.spread(), d.facts.num("callers")), 200
		}
	default:
		return
	}
	level = math.Round(level*steps) / steps
	if level != d.level {
		d.level = level
		d.port.Signal(level)
	}
}

// room is how many ops could be here and still be in time: those that run, and half a target of waiting.
func (d *Desk) room(now time.Duration) float64 {
	var target, work time.Duration
	for _, k := range d.types {
		target += k.target
		work += d.work(&op{kind: k})
	}
	return float64(d.limit(now)) + float64(d.cores)*float64(target)/2/float64(max(work, time.Millisecond))
}

// idle says how long an unused connection may stay: the longest span, halved from the usual one, in which an
// unused one is taken up again once in five seconds of waiting or sooner, longer as far as the cores idle. A
// new one is taken to cost as much as five seconds of an idle one: part of an op against part of busy cores.
// Danger: a table full of connections that are hardly used takes capacity and turns new callers back unseen.
// It should also catch callers that come and go; it can hurt where a handshake costs far more than an op.
// While three of five are nacked a full table is the lesser evil: each try nacked has cost a connection.
func (d *Desk) idle(now time.Duration) {
	most := d.facts.span("connections idle")
	span := most
	for ; span > d.beat() && len(d.callers) >= 16 && d.nackedShare() < 0.6; span /= 2 {
		if used, waited := d.reuse(now, span); float64(used)*5 >= waited.Seconds()*d.meanBusy() {
			break
		}
	}
	if span > d.idleFor && d.idleFor > 0 { // one step a look: one moment must not close all
		span = min(most, d.idleFor*2)
	} else if span < d.idleFor {
		span = d.idleFor / 2
	}
	if span > 0 && span != d.idleFor {
		d.idleFor = span
		d.port.IdleFor(span)
	}
}

// ---- The round

// lastAnswers is when all is answered before the kill: 150 ms, or a twelfth of the whole drain.
// Danger: the process stands still in between, or did when it was told; a long drain can spare the time.
func (d *Desk) lastAnswers() time.Duration {
	return d.killAt - max(150*time.Millisecond, (d.killAt-d.toldAt)/12)
}

// Settle decides, once all events of a batch are in.
func (d *Desk) Settle() {
	now := d.port.Now()
	d.answerDue(now)
	d.judge(now)
	d.shelter(now)
	d.startOps(now)
	d.grantCalls(now)
	d.signal(now)
	if len(d.looks) > 0 && d.looks[len(d.looks)-1].at == now { // at each look, not at each op
		d.idle(now)
	}
	d.setWake(now)
}

// dueAt is when an answer is sent at the latest: two ticks before it is owed, and before the kill.
func (d *Desk) dueAt(o *op) time.Duration {
	at := o.due - 2*d.tick
	if d.leaving {
		at = min(at, d.lastAnswers())
	}
	return at
}

// answerDue gives up on what is owed an answer now. Danger: an op that is lost, whatever holds it up.
func (d *Desk) answerDue(now time.Duration) {
	for _, o := range d.owed() {
		if d.dueAt(o) <= now {
			o.giveUp()
		}
	}
}

func (d *Desk) startOps(now time.Duration) {
	keys := d.weed(d.order(now), now, false)
	factor := max(1, d.facts.num("run memory factor"))
	for len(keys) > 0 {
		room := d.limit(now) - len(d.running)
		if room < 1 && d.grow(now) {
			room = 1
		}
		if room < 1 {
			if keys = d.weed(keys, now, true); len(keys) > 0 {
				d.stopWorthless(now)
			}
			return
		}
		for _, k := range d.plan(keys, room, now) {
			// Danger: more memory than there is. A run needs several times what it held.
			if d.memory()+k.o.KB*(factor-1) > d.memoryRoom() {
				return
			}
			d.start(k.o)
			keys = slices.DeleteFunc(keys, func(x key) bool { return x.o == k.o })
		}
	}
}

// beat is the time between looks: a twentieth of the least target latency, several in a run that is worth its
// target; not so short that timers cost more than they tell, nor so long that a hang goes unseen.
func (d *Desk) beat() time.Duration {
	return min(100*time.Millisecond, max(d.target()/20, 2*d.facts.span("tick"), 5*time.Millisecond))
}

// setWake keeps one timer: for the next answer due, and while work is here for the next look.
func (d *Desk) setWake(now time.Duration) {
	next := time.Duration(0)
	if len(d.ops) > 0 || d.state != "well" || d.level >= 0 && d.welcome() < 1 {
		next = now + d.beat()
	}
	for _, o := range d.owed() {
		next = min(next, max(d.dueAt(o), now+d.tick))
	}
	if next == 0 || d.wakeAt > now && d.wakeAt <= next {
		return
	}
	d.wakeAt = next
	d.port.Wake(next, d.look)
}

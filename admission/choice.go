// Package admission decides, for one service instance, which ops it holds, starts, nacks and gives up.
//
// How to invoke it: Open a Desk at the start of the process with its seed, its start facts and a Port; call
// Read for each op read, Gone when a caller has left, Leave when the instance is told to go, and Settle once
// after each batch of these. What an op does next is handed to the Port as closures. The interface is in
// port.go, the state in state.go; the reasons are in docs/design.md, which cites the paper by its symbols.
package admission

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// New makes the desk of an instance that has just come up.
func New(seed uint64, settings Settings, executor Executor) *Controller {
	d := &Controller{executor: executor, settings: settings, seed: seed, startedAt: executor.Now(), state: StateHealthy, loadLevel: -1,
		classes: map[Class]*classState{}, tenants: map[TenantID]*tenantState{}, requests: map[RequestID]*trackedRequest{},
		cores: max(1, int(settings.Cores))}
	d.grownLimit, d.tick = d.cores, settings.Tick
	for _, class := range settings.Classes {
		d.classes[class.Name] = &classState{ClassSettings: class}
	}
	bands := map[float64]bool{}
	for _, k := range d.classes {
		bands[k.Weight] = true
	}
	d.weightBands = len(bands)
	for _, tenant := range settings.Tenants {
		d.tenants[tenant.Name] = &tenantState{quota: tenant.QuotaPerSecond}
	}
	// Danger: checks that do real work and call below, while we are crowded. They are answered from store.
	executor.SetHealth(true, true)
	return d
}

// ---- Ops come in

// Submit takes an op that has just been read.
func (d *Controller) Submit(a Request) {
	now := d.executor.Now()
	kind := d.classes[a.Class]
	if kind == nil { // a type we were not told of: held to the terms of the first
		kind = d.classes[d.settings.Classes[0].Name]
	}
	o := &trackedRequest{Request: a, class: kind, arrivedAt: now - a.QueueDelay}
	o.deadline = o.arrivedAt + kind.Timeout
	if a.HasDeadline {
		o.deadline = a.Deadline
	}
	o.deadline = max(o.deadline, now)
	o.latencyObjective = kind.LatencyObjective
	if kind.ObjectivePerWork > 0 {
		o.latencyObjective = min(kind.Timeout, o.latencyObjective+time.Duration(kind.ObjectivePerWork*float64(d.estimatedWork(o))))
	}
	d.requests[a.ID] = o
	d.queue = append(d.queue, o)
	o.onDeadline = func() { d.reject(o) }
	waits := float64(o.deadline-o.arrivedAt) / float64(max(kind.Timeout, 1))
	o.latencyObjective -= d.timeSpentBefore(o, waits)
	d.recentArrivals = lastOf(d.recentArrivals, recentArrival{now, a.QueueDelay, a.Caller, a.Rank, waits, a.IsRetry}, 64)
	o.overQuota = d.exceedsQuota(o, now)

	switch {
	case a.DuplicateOf != "": // Danger: an effect that happens twice. A repeat gets the first one's result.
		d.coalesce(o)
	case d.memoryInUse() > d.memoryLimit() || !d.remember(o, now): // Danger: more memory than there is.
		d.reject(o)
	}
}

// timeSpentBefore is the time that an op's earlier tries took, as far as it shows. Callers tell the same share of the
// op timeout for each first try, but what is left of it for a last one; so a told wait that none of the last
// arrivals had is the rest. A try with its own full wait shows nothing.
// Danger: further tries whose target latency is past take the cores from those that can still earn.
func (d *Controller) timeSpentBefore(o *trackedRequest, waits float64) time.Duration {
	const alike = 0.005 // clocks are in microseconds; two ages this near are rare among 64
	if !o.HasDeadline || len(d.recentArrivals) < 16 {
		return 0
	}
	same := 0
	for _, c := range d.recentArrivals {
		if math.Abs(c.deadlineShare-waits) < alike {
			same++
		}
	}
	if same >= 2 {
		return 0
	}
	return max(0, o.class.Timeout-(o.deadline-o.arrivedAt))
}

// exceedsQuota tells whether the op's tenant now sends this instance more than its part of the quota. Further
// tries are left out where they are marked, or a nack would count against the tenant.
func (d *Controller) exceedsQuota(o *trackedRequest, now time.Duration) bool {
	t := d.tenants[o.Tenant]
	if t == nil || t.quota <= 0 {
		return false
	}
	if !o.IsRetry {
		t.recentArrivals = lastOf(t.recentArrivals, now, 2048) // 500 a second, twice what came of one at the fastest
	}
	const over = 4 * time.Second // some tens of arrivals at the usual loads
	came, quotas := d.tenantArrivalsSince(now - over)
	share := over.Seconds() / max(1, d.settings.FleetSize)
	// Danger: in a storm of unmarked tries all tenants are beyond; the quotas then grow with all that comes.
	part := t.quota * share * max(1, came/(quotas*share))
	// Danger: where few ops come a tenant within its quota is beyond it by chance; two deviations are allowed.
	return float64(t.since(now-over)) > part+2*math.Sqrt(part)
}

// remember stores the key of an op that may be repeated, before it can run.
func (d *Controller) remember(o *trackedRequest, now time.Duration) bool {
	span := o.arrivedAt + o.class.IdempotencyWindow - now
	switch {
	case o.class.Idempotency == IdempotentByKey:
		// until the window from its arrival is over, with two ticks to spare
		span += 2 * d.settings.Tick
	case o.class.Idempotency == Idempotent && !o.IsWrite && o.Resource != "" && d.settings.CoalescedReadWindow > 0:
		span = o.deadline - now + d.settings.CoalescedReadWindow
		// Shared reads may use a fifth of the memory; keyed ops need theirs more.
		if d.recordMemory()+d.settings.RecordKB > d.settings.MemoryKB/5 {
			return true
		}
	default:
		return true
	}
	if span <= 0 {
		return true
	}
	if d.memoryInUse()+d.settings.RecordKB > d.memoryLimit() {
		return false
	}
	d.records = append(d.records, idempotencyRecord{o.ID, now + span})
	d.executor.KeepRecord(o.ID, span)
	return true
}

// memoryLimit leaves a twelfth free, for what is read while a reply is on its way.
func (d *Controller) memoryLimit() float64 {
	if kb := d.settings.MemoryKB; kb > 0 {
		return kb * 11 / 12
	}
	return math.Inf(1)
}

// Cancel hears that the caller of an op has given up: nothing is owed any more.
func (d *Controller) Cancel(id RequestID) {
	o := d.requests[id]
	if o == nil {
		return
	}
	o.answered = true
	switch {
	case slices.Contains(d.queue, o), slices.Contains(d.coalesced, o):
		d.forget(o)
	case slices.Contains(d.running, o):
		d.stopRun(o)
	}
}

// Drain hears that the instance is killed at the time given.
func (d *Controller) Drain(at time.Duration) {
	d.draining, d.drainNotifiedAt, d.killAt = true, d.executor.Now(), at
}

// ---- Answers

// reject turns away an op that has not run, with advice on how long to keep away.
func (d *Controller) reject(o *trackedRequest) {
	if o.answered {
		return
	}
	o.answered = true
	if i := slices.IndexFunc(d.records, func(e idempotencyRecord) bool { return e.id == o.ID }); i >= 0 {
		d.executor.DropRecord(o.ID) // it never ran here: a later try is free to
		d.records = slices.Delete(d.records, i, i+1)
	}
	d.executor.Reject(o.ID, d.retryAfter(), d.saturatedElsewhere())
	if !o.overQuota { // what is beyond a quota is nacked on a good day too
		d.recentRejections = lastOf(d.recentRejections, true, 64)
	}
	d.forget(o)
}

// retryAfter is how long a nacked op's caller should send nothing here: the longer the less is welcome, and
// drawn in half its length, so that callers do not come back all at once.
// Danger: where ops lie unread, advice is heard late; all callers keep away and come back together, with idle
// cores in between. From a well instance it is then cut to an eighth, and the signal does the rest.
func (d *Controller) retryAfter() time.Duration {
	if !d.settings.RetryAfterAllowed {
		return 0
	}
	span := float64(d.settings.MaxRetryAfter) * (1 - d.acceptance())
	if d.state == StateHealthy && d.recentQueueDelay(d.executor.Now()) > d.minLatencyObjective()/32 {
		span /= 8
	}
	return time.Duration(span * (0.5 + 0.5*d.random()))
}

// abandon answers an op whose run is under way and frees its core where that is allowed.
// Danger: a keyed or non-retryable op that ran and is nacked would be run again elsewhere; it fails instead.
func (d *Controller) abandon(o *trackedRequest) {
	if o.answered {
		return
	}
	o.answered = true
	if o.class.Idempotency == Idempotent {
		d.executor.Reject(o.ID, d.retryAfter(), false)
	} else {
		d.executor.Fail(o.ID)
	}
	if slices.Contains(d.running, o) {
		d.stopRun(o)
	}
}

// stopRun takes off the cores a run that nobody waits for.
func (d *Controller) stopRun(o *trackedRequest) {
	if d.canStop() {
		d.executor.Stop(o.ID)
	}
}

// stopHopelessRuns stops retryable runs that can earn nothing any more, while others wait and no core is free.
func (d *Controller) stopHopelessRuns(now time.Duration) {
	if !d.canStop() || d.coreFree(now) {
		return
	}
	for _, o := range slices.Clone(d.running) {
		if o.class.Idempotency == Idempotent && o.class.LateValue == 0 && d.slack(o, now) < 0 {
			d.abandon(o)
		}
	}
}

// coalesce answers a repeat by the first one's result.
func (d *Controller) coalesce(o *trackedRequest) {
	d.queue = without(d.queue, o)
	d.coalesced = append(d.coalesced, o)
	o.onDeadline = func() {
		o.answered = true
		d.executor.Fail(o.ID)
		d.forget(o)
	}
	d.executor.Coalesce(o.ID, func(Outcome, time.Duration) { d.forget(o) })
}

// start runs a held op.
func (d *Controller) start(o *trackedRequest) {
	now := d.executor.Now()
	d.queue = without(d.queue, o)
	d.running = append(d.running, o)
	d.recentRejections = lastOf(d.recentRejections, false, 64)
	o.startedAt, o.concurrencyAtStart = now, len(d.running)
	o.onDeadline = func() { d.abandon(o) }
	d.executor.Start(o.ID, func() { d.reachedCall(o) }, func(how Outcome, took time.Duration) { d.finished(o, how, took) })
}

func (d *Controller) finished(o *trackedRequest, how Outcome, took time.Duration) {
	now := d.executor.Now()
	crowd := float64(o.concurrencyAtStart+len(d.running)) / 2
	d.closeCall(o, now)
	d.forget(o)
	if how != NotStarted { // one that never started tells nothing of those that run
		d.lastProgress = now
	}
	if how == Succeeded || how == Failed {
		d.completions++
		d.recentResults = lastOf(d.recentResults, runResult{now, how == Failed}, 16)
	}
	if how == Succeeded {
		// 24 runs: a second or two of work at the usual rates, enough for a line through them.
		o.class.recentRuns = lastOf(o.class.recentRuns, runSample{now, took, o.WorkHint, crowd}, 24)
		o.class.successes++
	}
	if how == Stopped && !o.answered { // stopped by no wish of ours: the answer is still owed
		o.answered = true
		d.executor.Fail(o.ID)
	}
}

// ---- Calls to what lies below

func (d *Controller) reachedCall(o *trackedRequest) {
	d.lastProgress = d.executor.Now()
	d.running = without(d.running, o)
	if !slices.Contains(d.calling, o) {
		d.calling = append(d.calling, o)
	}
	d.closeCall(o, d.lastProgress) // one that it no longer waits for would count for ever
	o.callAttempts = 0
}

// scheduleCalls lets the ops with the least slack call first, within the bound.
func (d *Controller) scheduleCalls(now time.Duration) {
	waiting := slices.DeleteFunc(slices.Clone(d.calling), func(o *trackedRequest) bool { return o.inCall })
	slices.SortStableFunc(waiting, func(a, b *trackedRequest) int {
		return cmp.Compare(a.arrivedAt+a.latencyObjective, b.arrivedAt+b.latencyObjective)
	})
	full := false // what has no room for one has none for the next
	for _, o := range waiting {
		switch {
		case o.answered:
			d.executor.Fail(o.ID) // ends the run, nobody waits for it
		case !full && d.callAllowed(now):
			d.call(o, now)
		default:
			full = true
			// Danger: where calls are scarce many wait, and leave for the cores together when their slack is spent.
			spent := d.skipValue(o.class) > 0 && d.slack(o, now) < d.estimatedRunTime(o, len(d.running))/2
			if spent && d.concurrencyAllows(len(d.running)) {
				d.skipCall(o)
			}
		}
	}
}

// callAllowed bounds the calls in hand by nine tenths of the told share, as all instances start some at once; a
// share under one call is a part of the time, in the mean over the told span. With a tier below no share is
// told; two calls a core keep the cores busy while calls are no slower than runs.
// Danger: what all instances call falls over. Given-up calls linger there and are counted for as long.
// Danger: time that earlier calls used up must not cut the next ones short where several are allowed at once:
// they are given up, linger and use up more, until none is answered, long after what is below is well again.
// Danger: more calls in hand than the cores survive beside what runs on them, when all come back together;
// and calls that leave no room for runs on half of the cores, or none starts until they are back.
func (d *Controller) callAllowed(now time.Duration) bool {
	if !d.concurrencyAllows(max(len(d.running), min(d.halfCores(), int(d.maxConcurrency())-1))) {
		return false
	}
	share := d.settings.UpstreamShare
	if d.settings.Upstream != UpstreamShared || share <= 0 {
		return d.callsInHand(now) < 2*d.cores
	}
	ease, latest := d.callThrottle()
	most, held := d.callTimeBudget(now)
	return float64(d.callsInHand(now)+1) <= max(1, 0.9*ease*share) && (most == 0 || held == 0 ||
		held+4*latest+d.settings.TimedOutCallLinger < time.Duration(ease*float64(most)))
}

// callTimeBudget is how long calls may be in hand, summed over the told span, and how long they were, where the
// share is a part of the time: a tenth less than the share.
func (d *Controller) callTimeBudget(now time.Duration) (most, held time.Duration) {
	share, over := d.settings.UpstreamShare, max(d.settings.UpstreamWindow, time.Second)
	if share >= 1 {
		return 0, 0
	}
	return time.Duration(0.9 * share * float64(over)), d.callTimeInHand(now-over, now)
}

// callThrottle is under 1 while calls take over four times their quickest quarter, about twice the usual time, in
// proportion; with it the time they take now. A quarter is still quick when most have been slow for a while.
// Danger: what is below gets less done the more it holds, so calls pile up there long after a burst has gone.
// It should also catch a slow network below; it can hurt where calls are slow but not crowded, so a quarter
// of the share stays.
func (d *Controller) callThrottle() (ease float64, latest time.Duration) {
	n := len(d.recentCallTimes)
	if n < 16 {
		return 1, 0
	}
	sorted := slices.Sorted(slices.Values(d.recentCallTimes))
	latest = slices.Sorted(slices.Values(d.recentCallTimes[n-8:]))[4]
	return min(1, max(0.25, 4*float64(sorted[n/4])/float64(max(latest, 1)))), latest
}

func (d *Controller) call(o *trackedRequest, now time.Duration) {
	until := o.deadline - 2*d.settings.Tick
	if d.skipValue(o.class) > 0 && d.slack(o, now) > 0 {
		until = now + d.slack(o, now)*2/3 // leaves time for the poorer answer
	}
	if most, held := d.callTimeBudget(now); most > 0 { // a slow call may take what is left of the share, no more
		linger := d.settings.TimedOutCallLinger
		until = min(until, now+(most-held)/time.Duration(d.callsInHand(now)+1)-linger)
	}
	// Danger: a reply that never comes holds its op until the slack is spent. Four times the slowest of the last
	// calls is past what chance brings; a second call is given all the time there is.
	if len(d.recentCallTimes) >= 16 && o.callAttempts == 0 && o.class.Idempotency == Idempotent {
		until = min(until, now+4*slices.Max(d.recentCallTimes))
	}
	until = max(until, now+d.settings.Tick)
	d.openCall(o, now, max(d.settings.UpstreamWindow, time.Second))
	d.executor.Call(o.ID, until, func(how Outcome, took time.Duration) { d.callFinished(o, how, took) })
}

func (d *Controller) callFinished(o *trackedRequest, how Outcome, took time.Duration) {
	now := d.executor.Now()
	until := now
	if how == TimedOut || how == ConnectionLost {
		until += d.settings.TimedOutCallLinger
	}
	d.closeCall(o, until)
	if how == Succeeded {
		d.lastProgress = now
		// 128 calls: the usual time is still seen through ten seconds of crowding.
		d.recentCallTimes = lastOf(d.recentCallTimes, took, 128)
		d.calling = without(d.calling, o)
		d.running = append(d.running, o)
		return
	}
	// Danger: a call that had its effect is sent again. Only an outcome that proves that it never ran, or an op
	// that may run again, allows another try; three are enough to outlast a crowded moment.
	again := how == Rejected || how == Unreachable || o.class.Idempotency == Idempotent
	ease, usual := d.callThrottle()
	switch {
	case o.answered:
		d.executor.Fail(o.ID)
	// Danger: one spoilt reply, or one that never comes, costs the better answer while there is time for another
	// call: that of a whole run. A crowd below is not such a case, and is spared the second call.
	case again && o.callAttempts < 3 && (how == ConnectionLost || how == TimedOut && ease == 1 && usual > 0) &&
		d.slack(o, now) > d.estimatedRunTime(o, len(d.running)+1):
	case d.skipValue(o.class) > 0:
		d.skipCall(o)
	case !again || o.callAttempts >= 3 || d.slack(o, now) <= 0:
		o.answered = true
		d.executor.Fail(o.ID)
	}
}

func (d *Controller) skipCall(o *trackedRequest) {
	d.calling = without(d.calling, o)
	d.running = append(d.running, o)
	d.executor.SkipCall(o.ID)
}

// ---- Predictions: the paper's section 3.2, fitted on the last runs

// recentSince leaves out runs of over 8 s ago: a cold start or a slow spell must not rate the runs after it.
func (k *classState) recentSince(now time.Duration) []runSample {
	for i, s := range k.recentRuns {
		if s.at > now-8*time.Second || i == len(k.recentRuns)-4 {
			return k.recentRuns[i:]
		}
	}
	return k.recentRuns
}

// estimateFor is what the last runs of a type say, worked out once a moment and not for each op.
func (d *Controller) estimateFor(k *classState) *runTimeEstimate {
	now := d.executor.Now()
	if f := &k.estimate; f.known && f.at == now && f.acked == k.successes {
		return f
	}
	ran := k.recentSince(now)
	f := runTimeEstimate{known: true, at: now, acked: k.successes, runs: len(ran), bend: 1, hint: meanHint(ran).Seconds()}
	hints, crowds := make([]point, len(ran)), make([]point, len(ran))
	for i, s := range ran {
		f.sum += time.Duration(float64(s.took) / d.perCore(s.concurrency))
		f.crowd += s.concurrency / float64(len(ran))
		hints[i] = point{s.hint.Seconds() / f.hint, s.took.Seconds() / d.perCore(s.concurrency)}
		crowds[i] = point{s.concurrency, s.took.Seconds()}
	}
	if at, slope, spread := fitLine(hints); len(ran) >= 8 && spread > 0.01 && at > 0 {
		f.bend = min(1, max(0.25, slope/at))
	}
	f.took, f.slope, f.spread = fitLine(crowds)
	k.estimate = f
	return &k.estimate
}

// estimatedWork is the paper's r: the mean run time over running per core, scaled by the hint over the mean hint.
func (d *Controller) estimatedWork(o *trackedRequest) time.Duration {
	f := d.estimateFor(o.class)
	if f.runs == 0 {
		if o.WorkHint > 0 {
			return time.Duration(float64(o.WorkHint) / d.warmUpShare())
		}
		return o.class.LatencyObjective / 8 // nothing is known: an eighth of the target lets the first runs in
	}
	return time.Duration(float64(f.sum) / float64(f.runs) * f.scale(o.WorkHint))
}

// scale is how much longer than the mean an op of this hint runs: a line through the last runs, as a part of
// each, waits on disk and calls above all, does not grow with the hint; in proportion while they are under
// eight or their hints nearly alike. It is held to a quarter and eight times, since a hint may be rough.
func (f *runTimeEstimate) scale(hint time.Duration) float64 {
	if f.hint <= 0 || hint <= 0 {
		return 1
	}
	return min(8, max(0.25, 1+(hint.Seconds()/f.hint-1)*f.bend))
}

// estimatedRunTime is the paper's T: r times running per core, with so many running.
func (d *Controller) estimatedRunTime(o *trackedRequest, running int) time.Duration {
	return time.Duration(float64(d.estimatedWork(o)) * d.perCore(float64(running)))
}

// fittedRunTime is the run time of a type against the running count: a line by least squares over its last runs, or,
// while these are few or all of one crowd, in proportion to running per core.
func (d *Controller) fittedRunTime(k *classState, running int) time.Duration {
	f := d.estimateFor(k)
	if f.runs < 8 || f.spread < 1 { // eight runs and a deviation of one op: less gives no slope
		return d.estimatedRunTime(&trackedRequest{class: k}, running)
	}
	return time.Duration(max(f.took+max(0, f.slope)*(float64(running)-f.crowd), 0) * float64(time.Second))
}

// timeLeft is the time in which an op can still earn: to its target latency, or to the answer that is owed where
// a late one earns half or more; never past the kill.
func (d *Controller) timeLeft(o *trackedRequest, now time.Duration) time.Duration {
	left := d.slack(o, now)
	if o.class.LateValue >= 0.5 {
		left = o.deadline - now
	}
	left = min(left, o.deadline-now)
	if d.draining {
		left = min(left, d.lastAnswerAt()-now)
	}
	return left
}

// warmUpShare is the share of its speed that a cold instance has: evenly rising from the told start.
func (d *Controller) warmUpShare() float64 {
	warm := d.settings.WarmUp
	age := d.executor.Now() - d.startedAt
	if !d.settings.JustStarted || warm <= 0 || age >= warm {
		return 1
	}
	from := max(0.05, d.settings.WarmUpSpeedShare)
	return from + (1-from)*float64(age)/float64(warm)
}

// ---- The limit on how many run

// concurrencyLimit is the largest running count whose fit meets the least running slack. It floors at the core count,
// with the runs that wait off the cores on top, stays at what idle cores have let it grow to, and under the
// survivable crowd.
func (d *Controller) concurrencyLimit(now time.Duration) int {
	least := time.Duration(math.MaxInt64)
	kinds := map[*classState]bool{}
	for _, o := range d.running {
		if s := d.slack(o, now); s > 0 {
			least = min(least, s)
			kinds[o.class] = true
		}
	}
	n := d.grownLimit
	for ; n > d.cores; n-- {
		meets := true
		for k := range kinds { // only whether all meet it counts, not their order
			meets = meets && d.fittedRunTime(k, n) <= least
		}
		if meets {
			break
		}
	}
	return min(max(n, d.cores+d.blockedRuns()), d.concurrencyCeiling())
}

// concurrencyCeiling is the crowd on the cores that is survived, less in proportion while cold.
// Danger: the instance falls over. Three quarters leave room for runs that come back from calls.
// Danger: those that are in a call come back when what is below does, all at once, and those that wait for
// one go on without it when their slack is spent. Both count; as many starts as there are cores go on beside
// those that wait, and leave a place for the next call while half of the cores are kept at work.
func (d *Controller) concurrencyCeiling() int {
	crowd := d.survivableConcurrency()
	if crowd <= 0 {
		return 2 * d.cores
	}
	room, waits := int(d.maxConcurrency())-d.openCalls, len(d.calling)-d.openCalls
	floor := room
	if waits > 0 && (d.openCalls == 0 || room > d.halfCores()) {
		floor--
	}
	return max(min(1, floor), min(int(0.75*crowd), max(room-waits, min(d.cores, floor))))
}

func (d *Controller) halfCores() int { return (d.cores + 1) / 2 }

// maxConcurrency is how many may run and be in a call: nine tenths of what is survived, or one more than the
// cores.
func (d *Controller) maxConcurrency() float64 {
	return max(0.9*d.survivableConcurrency(), min(d.survivableConcurrency(), float64(d.cores+1)))
}

// concurrencyAllows tells whether one more may go to the cores, or to a call that it comes back from, beside so many.
func (d *Controller) concurrencyAllows(running int) bool {
	return d.survivableConcurrency() <= 0 || len(d.running)+d.openCalls == 0 || float64(running+d.openCalls+1) <= d.maxConcurrency()
}

// survivableConcurrency is the crowd on the cores that is survived, 0 if that is not told.
func (d *Controller) survivableConcurrency() float64 {
	crowd := d.settings.SurvivableRunsPerCore
	if crowd <= 0 {
		return 0
	}
	return float64(d.cores) * (1 + (crowd-1)*d.warmUpShare())
}

// estimatedRunnable estimates what wants a core now: the last gauge and what has started or ended since.
func (d *Controller) estimatedRunnable(now time.Duration) float64 {
	if len(d.readings) > 0 {
		l := d.readings[len(d.readings)-1]
		if l.runnable >= 0 && now-l.at < 3*d.sampleInterval() { // three looks; older ones tell nothing
			return max(0, l.runnable+float64(len(d.running)-l.running))
		}
	}
	return float64(len(d.running))
}

func (d *Controller) coreFree(now time.Duration) bool {
	return d.estimatedRunnable(now) < float64(d.cores)
}

// raiseLimit lets one more run than the limit while cores idle and work waits.
// Danger: a hang looks like idle cores and would swallow all that waits. No growth without an ending.
func (d *Controller) raiseLimit(now time.Duration) bool {
	if len(d.readings) == 0 || d.completions <= d.grownAtCompletions || len(d.running) >= d.concurrencyCeiling() {
		return false
	}
	if l := d.readings[len(d.readings)-1]; l.runnable >= 0 && !d.coreFree(now) || l.runnable < 0 && l.busy > 0.95 {
		return false
	}
	d.grownLimit, d.grownAtCompletions = len(d.running)+1, d.completions
	return true
}

// recordGauges takes the gauges of a moment.
func (d *Controller) recordGauges(gauges Gauges) {
	now := d.executor.Now()
	l := gaugeReading{at: now, runnable: -1, busy: 1, running: len(d.running), pressure: d.pressure(now)}
	if w, told := gauges[GaugeRunnable]; told {
		l.runnable = w
	}
	if b, told := gauges[GaugeBusyCores]; told {
		l.busy = b
	}
	d.readings = lastOf(d.readings, l, 10)
	// A sixth over the cores: beyond it runs only slow each other down.
	if l.runnable > float64(d.cores)*7/6 {
		d.grownLimit = max(d.cores, d.grownLimit-1)
	}
}

// ---- The order of the hold: the paper's section 3.3

// alpha is the urgency from which an op is urgent; at 1 it would already be one that misses.
const alpha = 0.5

// epsilon keeps the division whole when no slack is left.
const epsilon = time.Millisecond

// protected is the paper's g, from the rank: the band of the highest importance, as ranks give each
// importance an equal band; with one importance only the top fifth.
func (d *Controller) protected(o *trackedRequest) bool {
	if d.weightBands < 2 {
		return o.Rank >= 0.8
	}
	return o.Rank >= 1-1/float64(d.weightBands)
}

// candidate is one held op with its place in the order, worked out once.
type candidate struct {
	o                    *trackedRequest
	level                int // 1-g, and one more for a tenant beyond its quota
	relaxed              int // 1-urgent
	work, slack, runTime time.Duration
}

// sortQueue sorts the hold by (1-g, 1-urgent, r).
func (d *Controller) sortQueue(now time.Duration) []candidate {
	keys := d.candidates[:0] // one list, used again: it is done with when the batch is settled
	for _, o := range d.queue {
		k := candidate{o: o, level: 1, relaxed: 1, work: d.estimatedWork(o), slack: d.slack(o, now)}
		k.runTime = time.Duration(float64(k.work) * d.perCore(float64(len(d.running))))
		if float64(k.runTime)/float64(max(k.slack, epsilon)) > alpha {
			k.relaxed--
		}
		if d.protected(o) {
			k.level--
		}
		if o.overQuota {
			k.level++
		}
		keys = append(keys, k)
	}
	slices.SortStableFunc(keys, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.level, b.level), cmp.Compare(a.relaxed, b.relaxed), cmp.Compare(a.work, b.work))
	})
	d.candidates = keys
	return keys
}

// shedHopeless nacks, while no core is free, what cannot be done in the time left: by its own T before any start, and
// after the starts by the wait for the work before it in the order as well, which the paper's T leaves out.
// Danger: what will clearly not start in time is nacked late, and comes back with its slack spent.
func (d *Controller) shedHopeless(keys []candidate, now time.Duration, waits bool) []candidate {
	if d.coreFree(now) {
		return keys
	}
	var ahead time.Duration
	for _, o := range d.running {
		ahead += max(0, d.estimatedWork(o)-time.Duration(float64(now-o.startedAt)/d.perCore(float64(len(d.running)))))
	}
	return slices.DeleteFunc(keys, func(k candidate) bool {
		wait := time.Duration(0)
		if waits {
			wait = ahead / time.Duration(d.cores)
		}
		if wait+k.runTime > d.timeLeft(k.o, now) {
			d.reject(k.o)
			return true
		}
		ahead += k.work
		return false
	})
}

// ---- The knapsack: the paper's section 3.5

// selectBatch picks what to start into the room that the limit leaves. It follows the key, unless no core is free
// and starting the head would make another miss its slack; then the best plan around an at-risk anchor.
func (d *Controller) selectBatch(keys []candidate, room int, now time.Duration) []candidate {
	byKey := keys[:min(room, len(keys))]
	if d.coreFree(now) || len(keys) < 2 {
		return byKey[:min(1, len(byKey))]
	}
	// With the head started, the next start comes when one of those running ends.
	after := len(d.running) + 1
	gap := d.estimatedRunTime(keys[0].o, after) / time.Duration(after)
	var best []candidate
	var bestValue float64
	for _, a := range keys[1:] {
		t := d.estimatedRunTime(a.o, after)
		if a.level > max(1, keys[0].level) || a.slack >= t+gap || a.slack < t {
			continue // beyond its quota, not at risk, or lost already
		}
		count := d.startCount(a, room, now)
		if count < 1 {
			continue
		}
		set, value := d.batchAround(a, keys, count)
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
func (d *Controller) startCount(a candidate, room int, now time.Duration) int {
	count := 0
	for count < room && d.estimatedRunTime(a.o, len(d.running)+count+1) <= a.slack {
		count++
	}
	return count
}

// batchAround fills the count with the anchor and those of highest value whose slack is no earlier than its own.
func (d *Controller) batchAround(a candidate, keys []candidate, count int) ([]candidate, float64) {
	var set []candidate
	var sumR, sumS float64
	for _, k := range keys {
		if k.o == a.o || k.slack >= a.slack && k.slack > 0 {
			set = append(set, k)
			sumR, sumS = sumR+float64(k.work), sumS+float64(k.slack)
		}
	}
	value := func(k candidate) float64 { return 1 / (float64(k.work)/sumR + float64(k.slack)/sumS) }
	slices.SortStableFunc(set, func(x, y candidate) int { return cmp.Compare(value(y), value(x)) })
	set = slices.DeleteFunc(set, func(k candidate) bool { return k.o == a.o })
	set = slices.Insert(set, 0, a)
	set = set[:min(count, len(set))]
	var total float64
	for _, k := range set {
		total += value(k)
	}
	return set, total
}

// ---- Health from what is observed

// stalled sees that work goes in and none comes out: no run has ended, reached or left a call for far longer
// than those on the cores should take. It should catch hangs, a dead disk, a lost core, a lock held for ever;
// it can hurt where one op is far longer than its hint, so a lone run gets eight times its T.
func (d *Controller) stalled(now time.Duration) bool {
	if len(d.running) == 0 {
		return false
	}
	oldest := now
	var t time.Duration
	for _, o := range d.running {
		oldest = min(oldest, o.startedAt)
		t += d.estimatedRunTime(o, len(d.running))
	}
	t /= time.Duration(len(d.running))
	quiet := now - max(oldest, d.lastProgress)
	return float64(quiet) > float64(t)*(2+6/float64(len(d.running)))
}

// failureRate is the share of the last endings that failed; those of over 5 s ago are forgotten, which is the
// way back.
func (d *Controller) failureRate(now time.Duration) float64 {
	n, failed := 0, 0
	for _, r := range d.recentResults {
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

// updateState names the state of the instance and tells of a change, once.
func (d *Controller) updateState(now time.Duration) {
	was := d.state
	switch {
	case d.draining:
		d.state = StateDraining
	case d.stalled(now):
		d.state = StateStalled
	case d.failureRate(now) >= 0.5:
		d.state = StateFailing
	default:
		d.state = StateHealthy
	}
	if d.state != was {
		d.executor.LogTransition(Transition{From: was, To: d.state, Queued: len(d.queue), Running: len(d.running)})
		d.executor.SetHealth(d.state == StateHealthy, true)
	}
}

// protect nacks what should not be started here in the present state.
func (d *Controller) protect(now time.Duration) {
	if d.state == StateHealthy {
		return
	}
	for _, o := range slices.Clone(d.queue) {
		switch d.state {
		case StateDraining:
			// Danger: running what came after the grace, or what the kill would cut off.
			late := o.arrivedAt > d.drainNotifiedAt+d.settings.DrainGrace-2*d.settings.Tick
			if late || d.estimatedRunTime(o, len(d.running)) > d.timeLeft(o, now) {
				d.reject(o)
			}
		case StateStalled:
			d.reject(o)
		case StateFailing:
			// One op each half second goes through, to see whether runs still fail.
			if now-d.probedAt < 500*time.Millisecond {
				d.reject(o)
			} else {
				d.probedAt = now
			}
		}
	}
	for _, o := range d.running {
		// Danger: callers wait for runs that will not end. Retryable ones are told now, while they have time.
		if d.state == StateStalled && o.class.Idempotency == Idempotent && !o.answered {
			o.answered = true
			d.executor.Reject(o.ID, d.retryAfter(), false)
		}
	}
}

// ---- What callers are told

// acceptance is how much of its usual traffic the instance wants, 0 to 1.
func (d *Controller) acceptance() float64 {
	now := d.executor.Now()
	switch d.state {
	case StateDraining, StateStalled:
		return 0
	case StateFailing:
		return 0.05
	}
	well := 1 - d.failureRate(now)
	return well * well * d.warmUpShare() / (1 + 4*d.sustainedPressure(now))
}

// pressure is the waiting, unread then held, against half a target latency: as much as can still be done in
// time.
func (d *Controller) pressure(now time.Duration) float64 {
	var waiting time.Duration
	for _, o := range d.queue {
		waiting += d.estimatedWork(o)
	}
	return (float64(waiting)/float64(d.cores) + float64(d.recentQueueDelay(now))) / float64(d.minLatencyObjective()/2)
}

// sustainedPressure is the pressure now or in the mean of the last ten looks, whichever is more: callers compare us
// with others, and a signal that jumps back at each lull draws them all at once.
func (d *Controller) sustainedPressure(now time.Duration) float64 {
	return max(d.pressure(now), d.meanPressure(now-10*d.sampleInterval()))
}

// saturatedElsewhere tells that the pressure has lasted for ten looks in spite of the signal: then the others are no
// better off, and a nacked op that walks on through them only costs each its reading. It can hurt where few
// callers heed the signal and the others are idle.
func (d *Controller) saturatedElsewhere() bool {
	if d.state == StateHealthy && d.retryShare() > 1.0/6 {
		return true
	}
	for _, l := range d.readings {
		if l.pressure < 0.4 {
			return false
		}
	}
	return len(d.readings) == 10 && d.state == StateHealthy
}

// recentQueueDelay is how long ops have lately lain unread, the worst of the last half second.
// Danger: reading eats the cores while the hold is short, and what is read has spent its time already.
func (d *Controller) recentQueueDelay(now time.Duration) time.Duration {
	return d.maxQueueDelay(now - 500*time.Millisecond)
}

// publishLoad turns the welcome into the value that the site's callers go by.
func (d *Controller) publishLoad(now time.Duration) {
	level, steps := 0.0, 20.0 // to one, not to talk at each op
	w, cold := d.acceptance(), d.warmUpShare() < 1
	switch d.settings.LoadSignal {
	case LoadSignalChance:
		level = w
	case LoadSignalLeastRank:
		ranks := []float64{}
		for _, c := range d.recentArrivals {
			ranks = append(ranks, c.rank)
		}
		slices.Sort(ranks)
		if cold && len(ranks) < 16 { // too few to go by, and the first answers count: ranks are spread evenly
			level = 1 - w
		} else if out := int((1 - w) * float64(len(ranks))); out > 0 {
			level = ranks[min(out, len(ranks)-1)]
		}
	case LoadSignalTokens:
		// Callers that seldom have more than one op here are told the chance: a fraction counts by chance.
		level = w * max(1, d.capacity(now)/d.callerSpread())
		// Danger: a cold instance falls under the sum of what all send that may heed this, also those that have not
		// come yet. Each is told its part of the room.
		if cold {
			level, steps = w*d.capacity(now)/max(d.callerSpread(), d.settings.Callers), 200
		}
	default:
		return
	}
	level = math.Round(level*steps) / steps
	if level != d.loadLevel {
		d.loadLevel = level
		d.executor.PublishLoad(level)
	}
}

// capacity is how many ops could be here and still be in time: those that run, and half a target of waiting.
func (d *Controller) capacity(now time.Duration) float64 {
	var target, work time.Duration
	for _, k := range d.classes {
		target += k.LatencyObjective
		work += d.estimatedWork(&trackedRequest{class: k})
	}
	return float64(d.concurrencyLimit(now)) + float64(d.cores)*float64(target)/2/float64(max(work, time.Millisecond))
}

// adjustIdleTimeout says how long an unused connection may stay: the longest span, halved from the usual one, in which an
// unused one is taken up again once in five seconds of waiting or sooner, longer as far as the cores idle. A
// new one is taken to cost as much as five seconds of an idle one: part of an op against part of busy cores.
// Danger: a table full of connections that are hardly used takes capacity and turns new callers back unseen.
// It should also catch callers that come and go; it can hurt where a handshake costs far more than an op.
// While three of five are nacked a full table is the lesser evil: each try nacked has cost a connection.
func (d *Controller) adjustIdleTimeout(now time.Duration) {
	most := d.settings.MaxIdleTimeout
	span := most
	for ; span > d.sampleInterval() && len(d.recentArrivals) >= 16 && d.rejectionRate() < 0.6; span /= 2 {
		if used, waited := d.connectionReuse(now, span); float64(used)*5 >= waited.Seconds()*d.meanBusy() {
			break
		}
	}
	if span > d.idleTimeout && d.idleTimeout > 0 { // one step a look: one moment must not close all
		span = min(most, d.idleTimeout*2)
	} else if span < d.idleTimeout {
		span = d.idleTimeout / 2
	}
	if span > 0 && span != d.idleTimeout {
		d.idleTimeout = span
		d.executor.SetIdleTimeout(span)
	}
}

// ---- The round

// lastAnswerAt is when all is answered before the kill: 150 ms, or a twelfth of the whole drain.
// Danger: the process stands still in between, or did when it was told; a long drain can spare the time.
func (d *Controller) lastAnswerAt() time.Duration {
	return d.killAt - max(150*time.Millisecond, (d.killAt-d.drainNotifiedAt)/12)
}

// Decide decides, once all events of a batch are in.
func (d *Controller) Decide() {
	now := d.executor.Now()
	d.answerExpired(now)
	d.updateState(now)
	d.protect(now)
	d.startRequests(now)
	d.scheduleCalls(now)
	d.publishLoad(now)
	if len(d.readings) > 0 && d.readings[len(d.readings)-1].at == now { // at each look, not at each op
		d.adjustIdleTimeout(now)
	}
	d.scheduleWake(now)
}

// dueAt is when an answer is sent at the latest: two ticks before it is owed, and before the kill.
func (d *Controller) dueAt(o *trackedRequest) time.Duration {
	at := o.deadline - 2*d.tick
	if d.draining {
		at = min(at, d.lastAnswerAt())
	}
	return at
}

// answerExpired gives up on what is owed an answer now. Danger: an op that is lost, whatever holds it up.
func (d *Controller) answerExpired(now time.Duration) {
	for _, o := range d.answerableRequests() {
		if d.dueAt(o) <= now {
			o.onDeadline()
		}
	}
}

func (d *Controller) startRequests(now time.Duration) {
	keys := d.shedHopeless(d.sortQueue(now), now, false)
	factor := max(1, d.settings.RunMemoryFactor)
	for len(keys) > 0 {
		room := d.concurrencyLimit(now) - len(d.running)
		if room < 1 && d.raiseLimit(now) {
			room = 1
		}
		if room < 1 {
			if keys = d.shedHopeless(keys, now, true); len(keys) > 0 {
				d.stopHopelessRuns(now)
			}
			return
		}
		for _, k := range d.selectBatch(keys, room, now) {
			// Danger: more memory than there is. A run needs several times what it held.
			if d.memoryInUse()+k.o.MemoryKB*(factor-1) > d.memoryLimit() {
				return
			}
			d.start(k.o)
			keys = slices.DeleteFunc(keys, func(x candidate) bool { return x.o == k.o })
		}
	}
}

// sampleInterval is the time between looks: a twentieth of the least target latency, several in a run that is worth its
// target; not so short that timers cost more than they tell, nor so long that a hang goes unseen.
func (d *Controller) sampleInterval() time.Duration {
	return min(100*time.Millisecond, max(d.minLatencyObjective()/20, 2*d.settings.Tick, 5*time.Millisecond))
}

// scheduleWake keeps one timer: for the next answer due, and while work is here for the next look.
func (d *Controller) scheduleWake(now time.Duration) {
	next := time.Duration(0)
	if len(d.requests) > 0 || d.state != StateHealthy || d.loadLevel >= 0 && d.acceptance() < 1 {
		next = now + d.sampleInterval()
	}
	for _, o := range d.answerableRequests() {
		next = min(next, max(d.dueAt(o), now+d.tick))
	}
	if next == 0 || d.wakeAt > now && d.wakeAt <= next {
		return
	}
	d.wakeAt = next
	d.executor.WakeAt(next, d.recordGauges)
}

package admission

import (
	"slices"
	"time"
)

const (
	// callTimesKept still shows the usual time through ten seconds of overload.
	callTimesKept = 128
	// latestCalls are those whose median is the time that calls take now.
	latestCalls = 8
	// minCallTimes is the number of calls under which their times say nothing.
	minCallTimes = 16
	// slowCallFactor is over the quickest quarter; that is about twice the usual time.
	slowCallFactor = 4
	// minThrottle is the part of the share that always stays, as calls may be slow and the upstream not overloaded.
	minThrottle = 0.25
)

// upstreamCall is a call that was made.
type upstreamCall struct {
	id          RequestID
	from, until time.Duration // until: where it is not open
	open        bool
}

// upstreamCalls holds the calls that occupy the upstream, and the times of the last ones.
type upstreamCalls struct {
	calls     []upstreamCall  // the last ones, for the mean in hand
	open      int             // of these
	lingering []time.Duration // when calls that were abandoned no longer occupy the upstream
	times     []time.Duration // of the last calls that succeeded

	sum   time.Duration // see timeInHand
	sumAt time.Duration
}

// inHand counts the open calls, and those that were abandoned and linger.
func (u *upstreamCalls) inHand(now time.Duration) int {
	u.lingering = slices.DeleteFunc(u.lingering, func(until time.Duration) bool { return until <= now })
	return u.open + len(u.lingering)
}

// begin notes a call that goes out. Calls that ended before the window are dropped.
func (u *upstreamCalls) begin(r *trackedRequest, now, window time.Duration) {
	old := 0
	for old < len(u.calls) && !u.calls[old].open && u.calls[old].until < now-window {
		old++
	}
	u.calls = append(u.calls[old:], upstreamCall{id: r.ID, from: now, open: true})
	u.open++
	r.inCall = true
	r.callAttempts++
}

// end notes that a request's call is no longer open, but occupies the upstream until the time given.
func (u *upstreamCalls) end(r *trackedRequest, now, until time.Duration) {
	if !r.inCall {
		return
	}
	r.inCall = false
	for i := len(u.calls) - 1; i >= 0; i-- {
		if call := &u.calls[i]; call.open && call.id == r.ID {
			call.open, call.until = false, until
			u.open--
			if until > now {
				u.lingering = append(u.lingering, until)
			}
			return
		}
	}
}

// succeeded notes how long a call took.
func (u *upstreamCalls) succeeded(elapsed time.Duration) {
	u.times = appendRecent(u.times, elapsed, callTimesKept)
}

// timed tells whether the times of calls are known well enough to go by.
func (u *upstreamCalls) timed() bool { return len(u.times) >= minCallTimes }

// timeInHand sums how long calls were in hand since a moment. It is summed once for each now: what begins or ends at
// this moment does not change it.
func (u *upstreamCalls) timeInHand(from, now time.Duration) time.Duration {
	if u.sumAt == now && now > 0 {
		return u.sum
	}
	u.sumAt, u.sum = now, 0
	for _, call := range u.calls {
		until := call.until
		if call.open {
			until = now
		}
		u.sum += max(0, min(until, now)-max(call.from, from))
	}
	return u.sum
}

// callThrottle is how far calls are held back.
type callThrottle struct {
	share  float64       // of the usual number, minThrottle to 1
	latest time.Duration // what calls take now; 0 while that is not known
}

// throttle is under 1 while calls take over slowCallFactor times their quickest quarter, in proportion. A quarter is
// still quick when most have been slow for a while. An overloaded upstream gets less done the more calls it holds, so
// calls would pile up there long after a burst has gone.
func (u *upstreamCalls) throttle() callThrottle {
	if !u.timed() {
		return callThrottle{share: 1}
	}
	n := len(u.times)
	sorted := slices.Sorted(slices.Values(u.times))
	latest := slices.Sorted(slices.Values(u.times[n-latestCalls:]))[latestCalls/2]
	share := min(1, max(minThrottle, slowCallFactor*float64(sorted[n/4])/float64(max(latest, 1))))
	return callThrottle{share: share, latest: latest}
}

package admission

import (
	"slices"
	"time"
)

const (
	// callTimeHistorySize still shows the usual time through ten seconds of overload.
	callTimeHistorySize = 128
	// latestCallCount are those whose median is the time that calls take now.
	latestCallCount = 8
	// minCallTimes is the number of calls under which their times say nothing.
	minCallTimes = 16
	// slowCallFactor is over the quickest quarter; that is about twice the usual time.
	slowCallFactor = 4
	// minThrottleShare is the part of the share that always stays, as calls may be slow and the upstream not overloaded.
	minThrottleShare = 0.25
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
	callTimes []time.Duration // of the last calls that succeeded

	cachedTime time.Duration // see timeInHand
	cachedAt   time.Duration
}

// outstanding counts the open calls, and those that were abandoned and linger.
func (u *upstreamCalls) outstanding(now time.Duration) int {
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

// recordCallTime notes how long a call took.
func (u *upstreamCalls) recordCallTime(elapsed time.Duration) {
	u.callTimes = appendRecent(u.callTimes, elapsed, callTimeHistorySize)
}

// hasEnoughCallTimes tells whether the times of calls are known well enough to go by.
func (u *upstreamCalls) hasEnoughCallTimes() bool { return len(u.callTimes) >= minCallTimes }

// outstandingTime sums how long calls were in hand since a moment. It is summed once for each now: what begins or ends at
// this moment does not change it.
func (u *upstreamCalls) outstandingTime(from, now time.Duration) time.Duration {
	if u.cachedAt == now && now > 0 {
		return u.cachedTime
	}
	u.cachedAt, u.cachedTime = now, 0
	for _, call := range u.calls {
		until := call.until
		if call.open {
			until = now
		}
		u.cachedTime += max(0, min(until, now)-max(call.from, from))
	}
	return u.cachedTime
}

// callThrottle is how far calls are held back.
type callThrottle struct {
	share    float64       // of the usual number, minThrottle to 1
	callTime time.Duration // what calls take now; 0 while that is not known
}

// throttle is under 1 while calls take over slowCallFactor times their quickest quarter, in proportion. A quarter is
// still quick when most have been slow for a while. An overloaded upstream gets less done the more calls it holds, so
// calls would pile up there long after a burst has gone.
func (u *upstreamCalls) throttle() callThrottle {
	if !u.hasEnoughCallTimes() {
		return callThrottle{share: 1}
	}
	n := len(u.callTimes)
	sorted := slices.Sorted(slices.Values(u.callTimes))
	latest := slices.Sorted(slices.Values(u.callTimes[n-latestCallCount:]))[latestCallCount/2]
	share := min(1, max(minThrottleShare, slowCallFactor*float64(sorted[n/4])/float64(max(latest, 1))))
	return callThrottle{share: share, callTime: latest}
}

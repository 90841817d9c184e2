package admission

import (
	"slices"
	"time"
)

const (
	// callTimeHistorySize is large enough to still contain the usual call times after ten seconds of overload.
	callTimeHistorySize = 128
	// latestCallCount is the number of most recent calls whose median time is the current call time.
	latestCallCount = 8
	// minCallTimes is the minimum number of call times for an estimate.
	minCallTimes = 16
	// slowCallFactor times the fastest quartile of call times is the call time above which calls are throttled.
	// This product is about twice the usual call time.
	slowCallFactor = 4
	// minThrottleShare is the minimum of callThrottle.share. It is not 0, because calls may be slow without overload.
	minThrottleShare = 0.25
)

// upstreamCall records a call.
type upstreamCall struct {
	id          RequestID
	from, until time.Duration // until is 0 while the call is open
	open        bool
}

// upstreamCalls holds the calls that occupy the upstream, and the times of the most recent ones.
type upstreamCalls struct {
	calls     []upstreamCall  // the most recent calls, for outstandingTime
	open      int             // number of open calls
	lingering []time.Duration // times at which abandoned calls cease to occupy the upstream
	callTimes []time.Duration // of the most recent successful calls

	cachedTime time.Duration // the last result of outstandingTime
	cachedAt   time.Duration
}

// outstanding returns the number of calls that are open, or were abandoned and linger at the upstream.
func (u *upstreamCalls) outstanding(now time.Duration) int {
	u.lingering = slices.DeleteFunc(u.lingering, func(until time.Duration) bool { return until <= now })
	return u.open + len(u.lingering)
}

// begin records a call that is being made. It removes old calls that ended before the window.
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

// end records that a request's call is no longer open, but occupies the upstream until the given time.
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

// recordCallTime records the time of a successful call.
func (u *upstreamCalls) recordCallTime(elapsed time.Duration) {
	u.callTimes = appendRecent(u.callTimes, elapsed, callTimeHistorySize)
}

// hasEnoughCallTimes reports whether there are enough call times for an estimate.
func (u *upstreamCalls) hasEnoughCallTimes() bool { return len(u.callTimes) >= minCallTimes }

// outstandingTime returns the sum of the times for which calls were outstanding between from and now. It is
// computed once for each now, because calls that begin or end at that time do not change it.
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

// callThrottle describes how much calls are throttled.
type callThrottle struct {
	share    float64       // share of the usual number of calls, minThrottleShare to 1
	callTime time.Duration // current call time; 0 while it is not known
}

// throttle returns a share below 1 while the current call time is longer than slowCallFactor times the fastest
// quartile of call times. The share is inversely proportional to the current call time. The fastest quartile remains
// fast for a while even if most calls are slow. The more calls an overloaded upstream holds, the fewer it completes,
// so that calls would accumulate there long after a burst has ended.
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

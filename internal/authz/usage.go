package authz

import "time"

// unknownDuration is taken for a request's duration where none is known.
const unknownDuration = 100 * time.Millisecond

// usage is what one identity uses of one role's bounds.
type usage struct {
	tokens    float64       // in the bucket, in requests
	filledAt  time.Duration // when that was so
	rate      float64       // of the role that it was refilled by last, in requests a second
	burst     float64       // likewise, in requests
	inFlight  int
	durations [4]time.Duration // of the last requests; a handful shows about when one ends
	finished  int
}

// take counts a request, or gives the time after which the role's bounds are likely to allow it.
func (u *usage) take(now time.Duration, role *Role) (wait time.Duration, limited bool) {
	u.refill(now, role)
	if role.MaxInFlight > 0 && u.inFlight >= role.MaxInFlight {
		return u.averageDuration() / time.Duration(u.inFlight), true
	}
	if role.RatePerSecond > 0 {
		if u.tokens < 1 {
			return time.Duration((1 - u.tokens) / role.RatePerSecond * float64(time.Second)), true
		}
		u.tokens--
	}
	u.inFlight++
	return 0, false
}

// release counts a request as done that took so long.
func (u *usage) release(duration time.Duration) {
	u.inFlight--
	u.durations[u.finished%len(u.durations)] = duration
	u.finished++
}

// refill brings the bucket up to now. A time before the last one fills nothing. Where the role's bounds have changed,
// what was used stays used.
func (u *usage) refill(now time.Duration, role *Role) {
	if role.RatePerSecond != u.rate || role.Burst != u.burst {
		if u.burst > 0 {
			u.tokens += role.Burst - u.burst
		} else if u.rate == 0 {
			u.tokens = role.Burst
		}
		u.rate = role.RatePerSecond
		u.burst = role.Burst
	}
	elapsed := max(0, (now - u.filledAt).Seconds())
	u.tokens = min(role.Burst, u.tokens+elapsed*role.RatePerSecond)
	u.filledAt = max(u.filledAt, now)
}

// averageDuration is about how long a request of this entry takes.
func (u *usage) averageDuration() time.Duration {
	count := min(u.finished, len(u.durations))
	if count == 0 {
		return unknownDuration
	}
	var sum time.Duration
	for _, duration := range u.durations[:count] {
		sum += duration
	}
	return sum / time.Duration(count)
}

// idle tells whether dropping the entry changes nothing: a new one would be like it.
func (u *usage) idle(now time.Duration) bool {
	if u.inFlight > 0 {
		return false
	}
	return u.rate <= 0 || u.tokens+(now-u.filledAt).Seconds()*u.rate >= u.burst
}

package authz

import "time"

// defaultDuration is the assumed duration of a request until the first one has finished.
const defaultDuration = 100 * time.Millisecond

// usage is the state of one identity under the limits of one role.
type usage struct {
	tokens     float64       // tokens in the bucket at refilledAt; one admits one request
	refilledAt time.Duration // time of the last refill
	rate       float64       // rate of the role at the last refill, in requests per second
	burst      float64       // burst of the role at the last refill, in requests
	inFlight   int
	durations  [4]time.Duration // durations of the latest requests; 4 are enough to estimate when one ends
	finished   int              // total number of finished requests
}

// take counts a request, or returns the delay after which the role's limits are likely to allow it.
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

// release ends a request in flight and records its duration.
func (u *usage) release(duration time.Duration) {
	u.inFlight--
	u.durations[u.finished%len(u.durations)] = duration
	u.finished++
}

// refill adds the tokens for the time since the last refill. A time before the last refill adds none. If the role's
// limits have changed, the tokens that were already used remain used.
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
	elapsed := max(0, (now - u.refilledAt).Seconds())
	u.tokens = min(role.Burst, u.tokens+elapsed*role.RatePerSecond)
	u.refilledAt = max(u.refilledAt, now)
}

// averageDuration returns the average of the latest durations, or defaultDuration if there is none.
func (u *usage) averageDuration() time.Duration {
	count := min(u.finished, len(u.durations))
	if count == 0 {
		return defaultDuration
	}
	var sum time.Duration
	for _, duration := range u.durations[:count] {
		sum += duration
	}
	return sum / time.Duration(count)
}

// idle reports whether the entry may be evicted without any effect, because a new entry would be equivalent.
func (u *usage) idle(now time.Duration) bool {
	if u.inFlight > 0 {
		return false
	}
	return u.rate <= 0 || u.tokens+(now-u.refilledAt).Seconds()*u.rate >= u.burst
}

package authz

import (
	"time"
)

// RateLimiter keeps what identities have used of their rates, and how many of their ops are in hand.
type RateLimiter struct {
	maxEntries    int // entries at a time
	entries       map[usageKey]*usage
	evictionOrder []usageKey // in the order in which they are looked at to make room
	evictionHand  int
}

// usageKey is one identity under one role: each role's bounds count for themselves.
type usageKey struct {
	identity Identity
	role     RoleName
}

type usage struct {
	tokens    float64       // of the bucket, in ops
	filledAt  time.Duration // when that was so
	rate      float64       // as last told, to know when the bucket is full
	burst     float64
	inFlight  int
	durations [4]time.Duration // the last ops' time in hand; a handful shows about when one ends
	finished  int
}

// newRateLimiter keeps at most so many entries, one for each identity and role that uses a bound.
func newRateLimiter(maxEntries int) *RateLimiter {
	return &RateLimiter{maxEntries: max(1, maxEntries), entries: map[usageKey]*usage{}}
}

// Resize gives a gate for so many entries that goes on with what this one keeps; on a nil one, a new gate.
func (g *RateLimiter) Resize(maxEntries int) *RateLimiter {
	if g == nil {
		return newRateLimiter(maxEntries)
	}
	g.maxEntries = max(1, maxEntries)
	return g
}

// Permission is one op let in by a gate, to be given back.
type Permission struct {
	key       usageKey
	grantedAt time.Duration
	counted   bool
}

// MinRetryAfter is the least time that whoever is beyond a bound is told to stay away; a client's timers are no finer.
const MinRetryAfter = time.Millisecond

// fullRetryAfter is for how long whoever finds no entry is told to stay away: entries fall free as buckets fill, within seconds.
const fullRetryAfter = time.Second

// Acquire lets an op in by the first of its roles that has room, or tells when to come back.
func (g *RateLimiter) Acquire(now time.Duration, principal *Principal, roles []*Role) (Permission, time.Duration, bool) {
	retryAfter := time.Duration(-1)
	for _, role := range roles {
		if role.RatePerSecond <= 0 && role.MaxInFlight <= 0 {
			return Permission{}, 0, true
		}
		key := usageKey{principal.Identity, role.Name}
		entry := g.entries[key]
		if entry == nil {
			if !g.makeRoom(now) {
				retryAfter = earlier(retryAfter, fullRetryAfter)
				continue
			}
			entry = &usage{tokens: role.Burst, filledAt: now}
			g.entries[key] = entry
			g.evictionOrder = append(g.evictionOrder, key)
		}
		entry.refill(now, role)
		switch {
		case role.MaxInFlight > 0 && entry.inFlight >= role.MaxInFlight:
			retryAfter = earlier(retryAfter, entry.averageDuration()/time.Duration(entry.inFlight))
		case role.RatePerSecond > 0 && entry.tokens < 1:
			retryAfter = earlier(retryAfter, time.Duration((1-entry.tokens)/role.RatePerSecond*float64(time.Second)))
		default:
			if role.RatePerSecond > 0 {
				entry.tokens--
			}
			entry.inFlight++
			return Permission{key: key, grantedAt: now, counted: true}, 0, true
		}
	}
	return Permission{}, max(retryAfter, MinRetryAfter), false
}

func earlier(a, b time.Duration) time.Duration {
	if a < 0 {
		return b
	}
	return min(a, b)
}

// Release takes a pass back: its op is no longer in hand.
func (g *RateLimiter) Release(now time.Duration, permission *Permission) {
	if !permission.counted {
		return
	}
	permission.counted = false
	if entry := g.entries[permission.key]; entry != nil && entry.inFlight > 0 {
		entry.inFlight--
		entry.durations[entry.finished%len(entry.durations)] = now - permission.grantedAt
		entry.finished++
	}
}

// refill brings a bucket up to now by the role as it is told now. Danger: a clock that stands or steps back; time is the
// program's own, and less than nothing fills nothing.
func (e *usage) refill(now time.Duration, role *Role) {
	if role.RatePerSecond != e.rate || role.Burst != e.burst { // told anew: what was used stays used
		if e.burst > 0 {
			e.tokens += role.Burst - e.burst
		} else if e.rate == 0 {
			e.tokens = role.Burst
		}
		e.rate, e.burst = role.RatePerSecond, role.Burst
	}
	e.tokens = min(role.Burst, e.tokens+max(0, (now-e.filledAt).Seconds())*role.RatePerSecond)
	e.filledAt = max(e.filledAt, now)
}

// averageDuration is how long an op of this entry is about in hand.
func (e *usage) averageDuration() time.Duration {
	n := min(e.finished, len(e.durations))
	if n == 0 {
		return 100 * time.Millisecond // nothing is known; an op of a fraction of a second
	}
	var sum time.Duration
	for _, duration := range e.durations[:n] {
		sum += duration
	}
	return sum / time.Duration(n)
}

// idle tells whether forgetting the entry changes nothing: a new one would be like it.
func (e *usage) idle(now time.Duration) bool {
	return e.inFlight == 0 && (e.rate <= 0 || e.tokens+(now-e.filledAt).Seconds()*e.rate >= e.burst)
}

// Each entry that wants room has a few others looked at: two, so that the hand goes round faster than the table fills, and
// more when it is full, but never so many that the loop feels it.
const evictionScan, evictionScanFull = 2, 64

// makeRoom makes room for one more entry. Danger: a table that grows with each identity ever seen. What is as good as new is
// forgotten, a few looked at each time; if all are in use, the newcomer has to wait.
func (g *RateLimiter) makeRoom(now time.Duration) bool {
	for n := 0; len(g.evictionOrder) > 0 && n < evictionScanFull && (n < evictionScan || len(g.entries) >= g.maxEntries); n++ {
		g.evictionHand %= len(g.evictionOrder)
		if key := g.evictionOrder[g.evictionHand]; g.entries[key].idle(now) {
			delete(g.entries, key)
			last := len(g.evictionOrder) - 1
			g.evictionOrder[g.evictionHand] = g.evictionOrder[last]
			g.evictionOrder = g.evictionOrder[:last]
		} else {
			g.evictionHand++
		}
	}
	return len(g.entries) < g.maxEntries
}

// Len is how many entries there are.
func (g *RateLimiter) Len() int { return len(g.entries) }

// inFlight is how many ops of an identity are in hand under a role.
func (g *RateLimiter) inFlight(identity Identity, role RoleName) int {
	if entry := g.entries[usageKey{identity, role}]; entry != nil {
		return entry.inFlight
	}
	return 0
}

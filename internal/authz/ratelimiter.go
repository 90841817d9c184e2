package authz

import "time"

const (
	// MinRetryAfter is the shortest retry delay that is answered; the timers of clients are no finer.
	MinRetryAfter = time.Millisecond
	// tableFullRetryAfter is the retry delay where no entry is free: entries become so within seconds, as buckets fill.
	tableFullRetryAfter = time.Second

	// An entry that is added has some others looked at: more than one, so that the table is gone through faster than it
	// fills, and more when it is full, but never so many that the event loop is held up.
	evictionScan     = 2
	evictionScanFull = 64
)

// RateLimiter counts what identities use of the bounds of their roles: a token bucket for the rate, and the requests in
// flight. It belongs to one goroutine.
type RateLimiter struct {
	maxEntries   int
	entries      map[usageKey]*usage
	evictionRing []usageKey // the keys of entries, in the order in which they are looked at
	evictionHand int        // index of the next one to look at
}

// usageKey is one identity under one role: the bounds of each role count separately.
type usageKey struct {
	identity Identity
	role     RoleName
}

// newRateLimiter makes one for at most so many entries, one for each identity and role with a bound.
func newRateLimiter(maxEntries int) *RateLimiter {
	return &RateLimiter{
		maxEntries: max(1, maxEntries),
		entries:    map[usageKey]*usage{},
	}
}

// Resize gives a limiter for so many entries that keeps what this one has counted; a nil one gives a new limiter.
func (l *RateLimiter) Resize(maxEntries int) *RateLimiter {
	if l == nil {
		return newRateLimiter(maxEntries)
	}
	l.maxEntries = max(1, maxEntries)
	return l
}

// Permission is one admitted request, to be given to Release when it is done. The zero value is none that is counted.
type Permission struct {
	key       usageKey
	grantedAt time.Duration
	counted   bool
}

// Acquire admits a request by the first of the roles whose bounds have capacity left. If none has, it gives the time
// after which to retry.
func (l *RateLimiter) Acquire(
	now time.Duration, principal *Principal, roles []*Role,
) (permission Permission, retryAfter time.Duration, admitted bool) {
	retryAfter = -1
	for _, role := range roles {
		if role.unlimited() {
			return Permission{}, 0, true
		}
		key := usageKey{principal.Identity, role.Name}
		entry := l.entry(now, key, role)
		if entry == nil {
			retryAfter = earlier(retryAfter, tableFullRetryAfter)
			continue
		}
		if wait, limited := entry.take(now, role); limited {
			retryAfter = earlier(retryAfter, wait)
			continue
		}
		return Permission{key: key, grantedAt: now, counted: true}, 0, true
	}
	return Permission{}, max(retryAfter, MinRetryAfter), false
}

// Release takes a permission back: its request is done. A second time does nothing.
func (l *RateLimiter) Release(now time.Duration, permission *Permission) {
	if !permission.counted {
		return
	}
	permission.counted = false
	if entry := l.entries[permission.key]; entry != nil && entry.inFlight > 0 {
		entry.release(now - permission.grantedAt)
	}
}

// Len is how many entries there are.
func (l *RateLimiter) Len() int { return len(l.entries) }

// entry gives the entry of a key, a new one if need be; nil if the table is full.
func (l *RateLimiter) entry(now time.Duration, key usageKey, role *Role) *usage {
	if known := l.entries[key]; known != nil {
		return known
	}
	if !l.makeRoom(now) {
		return nil
	}
	added := &usage{tokens: role.Burst, filledAt: now}
	l.entries[key] = added
	l.evictionRing = append(l.evictionRing, key)
	return added
}

// makeRoom tells whether one more entry fits. Entries that are as good as new are dropped, a few looked at each
// time, so that the table does not grow with every identity ever seen. One that is in use is never dropped for a
// newcomer.
func (l *RateLimiter) makeRoom(now time.Duration) bool {
	for scanned := 0; len(l.evictionRing) > 0 && scanned < l.scanLimit(); scanned++ {
		l.evictionHand %= len(l.evictionRing)
		key := l.evictionRing[l.evictionHand]
		if !l.entries[key].idle(now) {
			l.evictionHand++
			continue
		}
		delete(l.entries, key)
		last := len(l.evictionRing) - 1
		l.evictionRing[l.evictionHand] = l.evictionRing[last]
		l.evictionRing = l.evictionRing[:last]
	}
	return len(l.entries) < l.maxEntries
}

func (l *RateLimiter) scanLimit() int {
	if len(l.entries) >= l.maxEntries {
		return evictionScanFull
	}
	return evictionScan
}

// earlier gives the shorter of two delays; a negative first one is none yet.
func earlier(a, b time.Duration) time.Duration {
	if a < 0 {
		return b
	}
	return min(a, b)
}

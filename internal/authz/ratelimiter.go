package authz

import "time"

const (
	// MinRetryAfter is the shortest retry delay in a response; the timers of clients have no finer resolution.
	MinRetryAfter = time.Millisecond
	// tableFullRetryAfter is the retry delay while the table is full. Entries are freed within seconds, as their token
	// buckets fill up.
	tableFullRetryAfter = time.Second

	// evictionScan is the maximum number of entries that are checked for eviction when an entry is added. It is greater
	// than one so that the scan goes through the table faster than the table fills. evictionScanFull is the maximum
	// while the table is full. It is larger, but limited so that the event loop is not blocked.
	evictionScan     = 2
	evictionScanFull = 64
)

// RateLimiter limits each identity to the rate and the number of requests in flight that its roles allow. It has a
// token bucket and a count of requests in flight for each identity and role. It must be used from one goroutine.
type RateLimiter struct {
	maxEntries   int
	entries      map[usageKey]*usage
	evictionRing []usageKey // the keys of entries, in the order of the eviction scan
	evictionHand int        // index in evictionRing at which the next scan starts
}

// usageKey is an identity and a role. The limits of each role are counted separately.
type usageKey struct {
	identity Identity
	role     RoleName
}

// newRateLimiter returns a limiter with at most maxEntries entries, one for each identity and role that has a limit.
func newRateLimiter(maxEntries int) *RateLimiter {
	return &RateLimiter{
		maxEntries: max(1, maxEntries),
		entries:    map[usageKey]*usage{},
	}
}

// Resize changes the maximum number of entries, keeps all counts and returns the limiter. If the limiter is nil, it
// returns a new one.
func (l *RateLimiter) Resize(maxEntries int) *RateLimiter {
	if l == nil {
		return newRateLimiter(maxEntries)
	}
	l.maxEntries = max(1, maxEntries)
	return l
}

// Permission allows one admitted request. The caller passes it to Release when the request is done. The zero value
// belongs to no counted request.
type Permission struct {
	key       usageKey
	grantedAt time.Duration
	counted   bool
}

// Acquire admits a request under the first of the roles whose limits have capacity left. If there is none, it returns
// the delay after which to retry.
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
			retryAfter = shorterDelay(retryAfter, tableFullRetryAfter)
			continue
		}
		if wait, limited := entry.take(now, role); limited {
			retryAfter = shorterDelay(retryAfter, wait)
			continue
		}
		return Permission{key: key, grantedAt: now, counted: true}, 0, true
	}
	return Permission{}, max(retryAfter, MinRetryAfter), false
}

// Release ends a permission when its request is done. A second call with the same permission does nothing.
func (l *RateLimiter) Release(now time.Duration, permission *Permission) {
	if !permission.counted {
		return
	}
	permission.counted = false
	if entry := l.entries[permission.key]; entry != nil && entry.inFlight > 0 {
		entry.release(now - permission.grantedAt)
	}
}

// Len returns the number of entries.
func (l *RateLimiter) Len() int { return len(l.entries) }

// entry returns the entry of a key and creates it if necessary. It returns nil if the table is full.
func (l *RateLimiter) entry(now time.Duration, key usageKey, role *Role) *usage {
	if existing := l.entries[key]; existing != nil {
		return existing
	}
	if !l.makeRoom(now) {
		return nil
	}
	added := &usage{tokens: role.Burst, refilledAt: now}
	l.entries[key] = added
	l.evictionRing = append(l.evictionRing, key)
	return added
}

// makeRoom reports whether there is room for one more entry. Each call checks a few entries and evicts the idle ones,
// so that the table does not grow with every identity ever seen. An entry in use is never evicted.
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

// shorterDelay returns the shorter of two delays. A negative a means that there is no delay yet.
func shorterDelay(a, b time.Duration) time.Duration {
	if a < 0 {
		return b
	}
	return min(a, b)
}

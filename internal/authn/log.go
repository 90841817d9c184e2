package authn

import (
	"log/slog"
	"maps"
	"slices"
	"time"

	"lanewheel/internal/authz"
)

const (
	logInterval    = time.Minute // between two lines with the counters
	maxLoggedBytes = 128         // of what a caller can write into the log
)

// counters count decisions since the start, and say which were logged.
type counters struct {
	admitted uint64
	deferred uint64
	denied   map[authz.Denial]uint64

	loggedTotal uint64        // total when they were logged last
	loggedAt    time.Duration // when that was, by the event loop's time
}

func (c *counters) total() uint64 {
	total := c.admitted + c.deferred
	for _, count := range c.denied {
		total += count
	}
	return total
}

// logDenial logs a denial; some of each reason a second, the rest is counted.
func (a *Authenticator) logDenial(identity authz.Identity, request Request, denial authz.Denial) {
	_, wall := a.clock()
	if !a.denialLog.Allow(denial, wall) {
		return
	}
	slog.Warn("request denied",
		"reason", denial,
		"identity", truncate(string(identity)),
		"class", truncate(string(request.Class)),
		"tenant", truncate(string(request.Tenant)),
	)
}

// logSweep logs how many denials were not logged one by one, and once in a while the counters.
func (a *Authenticator) logSweep(now time.Duration, wall time.Time) {
	a.denialLog.FlushSuppressed(wall, func(denial authz.Denial, suppressed int) {
		slog.Warn("requests denied", "reason", denial, "suppressed", suppressed)
	})
	if now-a.counters.loggedAt >= logInterval {
		a.counters.loggedAt = now
		a.logCounters()
	}
}

// logCounters logs the counters if they have changed since they were logged last.
func (a *Authenticator) logCounters() {
	total := a.counters.total()
	if total == a.counters.loggedTotal {
		return
	}
	a.counters.loggedTotal = total
	cachedTokens, cachedDenials := 0, 0
	if a.verifier != nil {
		cachedTokens, cachedDenials = a.verifier.CacheSizes()
	}
	attributes := []any{
		"admitted", a.counters.admitted,
		"deferred", a.counters.deferred,
		"cached_tokens", cachedTokens,
		"cached_denials", cachedDenials,
		"rate_entries", a.limiter.Len(),
	}
	for _, denial := range slices.Sorted(maps.Keys(a.counters.denied)) {
		attributes = append(attributes, string(denial), a.counters.denied[denial])
	}
	slog.Info("authentication counters", attributes...)
}

// truncate bounds what a caller can write into the log.
func truncate(s string) string { return s[:min(len(s), maxLoggedBytes)] }

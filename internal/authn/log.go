package authn

import (
	"log/slog"
	"maps"
	"slices"
	"time"

	"lanewheel/internal/authz"
)

const (
	logInterval    = time.Minute // minimum interval between two log lines with the counters, except when draining
	maxLoggedBytes = 128         // maximum length of a logged value that a caller controls
)

// counters counts the decisions since the start and records when and at which total they were last logged.
type counters struct {
	admitted uint64
	deferred uint64
	denied   map[authz.Denial]uint64

	loggedTotal uint64        // value of total when the counters were last logged
	loggedAt    time.Duration // event loop time at which logging the counters was last due
}

func (c *counters) total() uint64 {
	total := c.admitted + c.deferred
	for _, count := range c.denied {
		total += count
	}
	return total
}

// logDenial logs a denial. Only a few denials of each reason are logged per second; the others are counted.
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

// logSweep logs how many denials were suppressed, and logs the counters at most once per logInterval.
func (a *Authenticator) logSweep(now time.Duration, wall time.Time) {
	a.denialLog.FlushSuppressed(wall, func(denial authz.Denial, suppressed int) {
		slog.Warn("requests denied", "reason", denial, "suppressed", suppressed)
	})
	if now-a.counters.loggedAt >= logInterval {
		a.counters.loggedAt = now
		a.logCounters()
	}
}

// logCounters logs the counters if they have changed since they were last logged.
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

// truncate limits a value that a caller controls to maxLoggedBytes.
func truncate(s string) string { return s[:min(len(s), maxLoggedBytes)] }

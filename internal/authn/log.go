package authn

import (
	"log/slog"
	"maps"
	"slices"
	"time"

	"lanewheel/internal/authz"
)

// deny counts a denial and leaves its line.
func (d *Authenticator) deny(name authz.Identity, request Request, denial authz.Denial) Decision {
	d.denials[denial]++
	if _, wall := d.clock(); d.denialLog.Allow(denial, wall) {
		slog.Warn("denied", "why", denial, "caller", truncate(string(name)), "type", truncate(string(request.Class)), "tenant", truncate(string(request.Tenant)))
	}
	return Decision{Denial: denial}
}

// truncate bounds what a caller can write into the log.
func truncate(s string) string { return s[:min(len(s), 128)] }

// logInterval is how often the counters are said while they move.
const logInterval = time.Minute

// logCounters leaves a line with the counters, if they have moved since the last one.
func (d *Authenticator) logCounters() {
	total := d.admitted + d.deferred
	var attributes []any
	for _, denial := range slices.Sorted(maps.Keys(d.denials)) {
		total += d.denials[denial]
		attributes = append(attributes, string(denial), d.denials[denial])
	}
	if total == d.loggedTotal {
		return
	}
	d.loggedTotal = total
	cached, denied := 0, 0
	if d.verifier != nil {
		cached, denied = d.verifier.CacheSizes()
	}
	slog.Info("callers", append([]any{"admitted", d.admitted, "later", d.deferred, "tokens", cached, "bad_tokens", denied, "rates", d.limiter.Len()}, attributes...)...)
}

package upstream

import (
	"log/slog"
	"time"

	"lanewheel/internal/balancer"
	"lanewheel/internal/concurrencylease"
	"lanewheel/internal/membership"
)

// service is an upstream service. It is owned by the client's event loop.
type service struct {
	name            balancer.EndpointName
	addr            string
	allocatorBootID membership.BootID // identifies the member that allocates its leases; 0: its calls are not leased
	limiter         callLimiter
	openCalls       int // calls that may be running at the service
}

// callLimiter limits the calls to a service and their duration.
type callLimiter interface {
	// limit returns the maximum number of concurrent calls.
	limit(now time.Duration) int
	// maxCallDuration returns the maximum duration of a call.
	maxCallDuration() time.Duration
	// recordDemand records the number of concurrent calls that are wanted, including the open ones.
	recordDemand(now time.Duration, calls int)
	// inForce reports whether the limit is configured or granted by a lease that has not expired.
	inForce(now time.Duration) bool
}

// freeCapacity returns the number of further calls that the service may receive. It is negative if more calls are open
// than the limit allows.
func (s *service) freeCapacity(now time.Duration) int { return s.limiter.limit(now) - s.openCalls }

// fixedLimit is the configured limit of a service at a configured address.
type fixedLimit struct {
	maxCalls    int
	maxDuration time.Duration
}

func (l fixedLimit) limit(time.Duration) int         { return l.maxCalls }
func (l fixedLimit) maxCallDuration() time.Duration  { return l.maxDuration }
func (l fixedLimit) recordDemand(time.Duration, int) {}
func (l fixedLimit) inForce(time.Duration) bool      { return true }

// leasedLimit is the limit granted by the leases of a service's allocator.
type leasedLimit struct {
	holder      *concurrencylease.Holder
	loggedLimit int // limit at the last call of logChange
}

func (l *leasedLimit) limit(now time.Duration) int    { return l.holder.Limit(now) }
func (l *leasedLimit) maxCallDuration() time.Duration { return l.holder.MaxCallDuration }

func (l *leasedLimit) recordDemand(now time.Duration, calls int) { l.holder.RecordDemand(now, calls) }

func (l *leasedLimit) inForce(now time.Duration) bool {
	return l.holder.Limit(now) > l.holder.UnleasedCalls
}

// logChange logs if the limit has changed from 0 to a positive number, or back to 0, since its last call.
func (l *leasedLimit) logChange(now time.Duration, name balancer.EndpointName, openCalls int) {
	previous := l.loggedLimit
	l.loggedLimit = l.holder.Limit(now)
	if (previous == 0) != (l.loggedLimit == 0) {
		slog.Info("upstream lease changed", "service", string(name), "limit", l.loggedLimit, "open_calls", openCalls)
	}
}

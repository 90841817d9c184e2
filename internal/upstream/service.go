package upstream

import (
	"log/slog"
	"time"

	"lanewheel/internal/balancer"
	"lanewheel/internal/concurrencylease"
	"lanewheel/internal/membership"
)

// service is one upstream service. It is owned by the client's event loop.
type service struct {
	name            balancer.EndpointName
	addr            string
	allocatorBootID membership.BootID // of the member beside it, where its calls are leased
	limiter         callLimiter
	openCalls       int // calls that may be running there
}

// callLimiter is how many calls a service may be given, and for how long each.
type callLimiter interface {
	limit(now time.Duration) int
	maxCallDuration() time.Duration
	// recordDemand notes how many calls are wanted at a time.
	recordDemand(now time.Duration, calls int)
	// inForce reports whether what it has granted is still in force.
	inForce(now time.Duration) bool
}

// freeCapacity is how many more calls a service may be given.
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

// leasedLimit is the limit by the leases of the allocator beside a service.
type leasedLimit struct {
	holder      *concurrencylease.Holder
	loggedLimit int // as last logged
}

func (l *leasedLimit) limit(now time.Duration) int    { return l.holder.Limit(now) }
func (l *leasedLimit) maxCallDuration() time.Duration { return l.holder.MaxCallDuration }

func (l *leasedLimit) recordDemand(now time.Duration, calls int) { l.holder.RecordDemand(now, calls) }

func (l *leasedLimit) inForce(now time.Duration) bool {
	return l.holder.Limit(now) > l.holder.UnleasedCalls
}

// logChange logs when there begin or cease to be any calls.
func (l *leasedLimit) logChange(now time.Duration, name balancer.EndpointName, openCalls int) {
	previous := l.loggedLimit
	l.loggedLimit = l.holder.Limit(now)
	if (previous == 0) != (l.loggedLimit == 0) {
		slog.Info("upstream lease changed", "service", string(name), "limit", l.loggedLimit, "open_calls", openCalls)
	}
}

package balancer

import (
	"fmt"
	"math"
	"time"
)

// SpilloverConfig is what spilling over goes by.
type SpilloverConfig struct {
	BudgetRatio   float64 // spilled requests earned by each request that arrives
	BudgetBurst   float64 // spilled requests that may be saved up
	SaturatedLoad float64 // requests in progress a core from which on an endpoint is saturated

	// MaxSaturatedFraction is the share of the endpoints that may be saturated: past it spilling over is itself the
	// overload.
	MaxSaturatedFraction float64

	ReportMaxAge time.Duration // age from which on a load report is not believed
}

// DefaultSpilloverConfig returns the values that apply unless configured.
func DefaultSpilloverConfig() SpilloverConfig {
	return SpilloverConfig{
		BudgetRatio:          0.2,
		BudgetBurst:          20,
		SaturatedLoad:        2,
		MaxSaturatedFraction: 0.5,
		ReportMaxAge:         time.Second,
	}
}

// SpilloverReason is what keeps a request from being spilled over.
type SpilloverReason uint8

// The reasons.
const (
	Allowed          SpilloverReason = iota // nothing does
	BudgetExhausted                         // as many were spilled over as may be
	DeadlineTooClose                        // its deadline does not allow a further hop
	NoReports                               // no endpoint has reported its load of late
	FleetSaturated                          // too many endpoints are saturated
	NoCapacity                              // none that was drawn has capacity and is much less loaded than we are
	BackingOff                              // most that were spilled over were rejected there, too
	AlreadyForwarded                        // it was forwarded to us: never by two hops, and so never in a circle
	Draining                                // we drain: what we reject, its client retries elsewhere
)

var spilloverReasons = [...]string{
	"allowed", "budget-exhausted", "deadline-too-close", "no-reports", "fleet-saturated", "no-capacity", "backing-off",
	"already-forwarded", "draining",
}

// String returns the reason as it is logged.
func (r SpilloverReason) String() string {
	if int(r) < len(spilloverReasons) {
		return spilloverReasons[r]
	}
	return fmt.Sprintf("SpilloverReason(%d)", uint8(r))
}

const (
	// initialLatency is what a request is taken to need elsewhere until one came back.
	initialLatency = 100 * time.Millisecond

	// saturationMaxAge is how long the count of saturated endpoints holds.
	saturationMaxAge = 50 * time.Millisecond

	// minRejections is the decayed number of rejections from which on spilling over may pause; fewer may be chance.
	minRejections = 3

	// backoffDuration is how long spilling over pauses.
	backoffDuration = time.Second
)

// SpilloverPolicy decides whether a request that is rejected here goes to another endpoint, once. It uses a Balancer's
// knowledge of the endpoints, and belongs to the same goroutine.
type SpilloverPolicy struct {
	config   SpilloverConfig
	balancer *Balancer

	budget float64 // requests that may be spilled over

	// What became of those that were spilled over, decaying with the balancer's OutcomeHalfLife.
	succeeded    float64
	rejected     float64
	decayedAt    time.Duration
	backoffUntil time.Duration

	saturation saturation
}

// saturation is how many endpoints are saturated.
type saturation struct {
	counted   bool
	countedAt time.Duration
	reporting int // endpoints with a recent report
	saturated int // those of them that are saturated
}

// NewSpilloverPolicy returns a policy that uses a balancer's knowledge.
func NewSpilloverPolicy(config SpilloverConfig, balancer *Balancer) *SpilloverPolicy {
	return &SpilloverPolicy{config: config, balancer: balancer, budget: config.BudgetBurst}
}

// SetConfig replaces the configuration.
func (p *SpilloverPolicy) SetConfig(config SpilloverConfig) {
	p.config = config
	p.budget = min(p.budget, config.BudgetBurst)
}

// RecordArrival notes that a request has arrived here, which earns a part of the budget.
func (p *SpilloverPolicy) RecordArrival() {
	p.budget = min(p.config.BudgetBurst, p.budget+p.config.BudgetRatio)
}

// Pick returns the index of the endpoint that a request which is rejected here goes to: of a few that are drawn by
// weight the least loaded one, if it has capacity and is much less loaded than we are. remaining is the time until
// the request's deadline, ownLoad our own requests in progress a core. The index holds only where the reason is
// Allowed.
func (p *SpilloverPolicy) Pick(
	now, remaining time.Duration, ownLoad float64, random func() float64,
) (index int, reason SpilloverReason) {
	if reason := p.checkPreconditions(now, remaining); reason != Allowed {
		return 0, reason
	}
	p.balancer.refreshWeights(now)
	p.balancer.pickCount++
	best, leastLoad := -1, math.Inf(1)
	compare := func(state *endpointState) {
		if state == nil || !p.isEligible(now, state) || !p.balancer.slowStartAllows(now, state, random) {
			return
		}
		// What we know is old and others spill over, too: so the load that it would have with this request counts, and a
		// hop has to be worth half of our own load.
		load := p.estimatedLoad(now, state)
		if load < leastLoad && load < p.config.SaturatedLoad && load <= ownLoad/2 {
			best, leastLoad = state.index, load
		}
	}
	for _, state := range p.balancer.probePool {
		compare(state)
	}
	for range p.balancer.config.ChoiceCount {
		compare(p.balancer.endpoints[p.balancer.drawByWeight(random())])
	}
	if best < 0 {
		return 0, NoCapacity
	}
	p.budget--
	return best, Allowed
}

// checkPreconditions returns what keeps a request here before any endpoint is looked at.
func (p *SpilloverPolicy) checkPreconditions(now, remaining time.Duration) SpilloverReason {
	latency := initialLatency
	if p.balancer.meanLatency > 0 {
		latency = seconds(p.balancer.meanLatency)
	}
	switch {
	case p.budget < 1:
		return BudgetExhausted
	case now < p.backoffUntil:
		return BackingOff
	case remaining < 2*latency: // twice: what takes as long as usual here comes too late there
		return DeadlineTooClose
	case p.balancer.Len() == 0:
		return NoReports
	}
	p.refreshSaturation(now)
	switch {
	case p.saturation.reporting == 0:
		return NoReports
	case float64(p.saturation.saturated) > p.config.MaxSaturatedFraction*float64(p.saturation.reporting):
		return FleetSaturated
	}
	return Allowed
}

func (p *SpilloverPolicy) isEligible(now time.Duration, state *endpointState) bool {
	return !state.removed && !state.outlier && !state.Suspect && state.hasRecentReport(now, p.config.ReportMaxAge)
}

// estimatedLoad returns the load that an endpoint is likely to have with one more request. Other than
// Balancer.estimatedLoad it decays a report over ReportMaxAge, and not over a request's latency: few requests are
// spilled over, so an idle endpoint stays idle for longer.
func (p *SpilloverPolicy) estimatedLoad(now time.Duration, state *endpointState) float64 {
	meanLoad := p.balancer.meanLoad
	factor := decayFactor(now-state.reportedAt, p.config.ReportMaxAge)
	return meanLoad + (state.reportedLoad-meanLoad)*factor + state.startedSinceReport + 1/state.Capacity
}

// refreshSaturation recounts the endpoints with a recent report and those of them that are saturated, at most every
// saturationMaxAge. It goes by the reports alone: an endpoint is not saturated because we send much to it.
func (p *SpilloverPolicy) refreshSaturation(now time.Duration) {
	if p.saturation.counted && now-p.saturation.countedAt < saturationMaxAge {
		return
	}
	p.saturation = saturation{counted: true, countedAt: now}
	for _, state := range p.balancer.endpoints {
		if !state.hasRecentReport(now, p.config.ReportMaxAge) {
			continue
		}
		p.saturation.reporting++
		if state.reportedLoad >= p.config.SaturatedLoad {
			p.saturation.saturated++
		}
	}
}

// RecordOutcome notes what became of a request that was spilled over. Where most are rejected there, too, spilling over
// pauses; after the pause a few are tried before it pauses again.
func (p *SpilloverPolicy) RecordOutcome(now time.Duration, outcome Outcome) {
	factor := decayFactor(now-p.decayedAt, p.balancer.config.OutcomeHalfLife)
	p.succeeded *= factor
	p.rejected *= factor
	p.decayedAt = now
	if outcome == Succeeded {
		p.succeeded++
	} else {
		p.rejected++
	}
	if p.rejected >= minRejections && p.rejected > p.succeeded {
		p.backoffUntil = now + backoffDuration
		p.rejected /= 2
	}
}

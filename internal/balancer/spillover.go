package balancer

import (
	"fmt"
	"math"
	"time"
)

// SpilloverConfig is the configuration of a SpilloverPolicy.
type SpilloverConfig struct {
	BudgetRatio   float64 // number of requests that may be spilled over for each request that arrives
	BudgetBurst   float64 // maximum number of requests that can be saved up in the budget
	SaturatedLoad float64 // requests in progress per core at and above which an endpoint is saturated

	// MaxSaturatedFraction is the maximum fraction of the endpoints that may be saturated. Beyond it no requests are
	// spilled over, because spillover itself would cause overload.
	MaxSaturatedFraction float64

	ReportMaxAge time.Duration // age beyond which a load report is ignored
}

// DefaultSpilloverConfig returns the default configuration.
func DefaultSpilloverConfig() SpilloverConfig {
	return SpilloverConfig{
		BudgetRatio:          0.2,
		BudgetBurst:          20,
		SaturatedLoad:        2,
		MaxSaturatedFraction: 0.5,
		ReportMaxAge:         time.Second,
	}
}

// SpilloverReason is Allowed, or the reason why a request is not spilled over.
type SpilloverReason uint8

// The reasons.
const (
	Allowed          SpilloverReason = iota // the request may be spilled over
	BudgetExhausted                         // the spillover budget is used up
	DeadlineTooClose                        // the deadline does not allow a further hop
	NoReports                               // no endpoint has reported its load recently
	FleetSaturated                          // too many endpoints are saturated
	NoCapacity                              // no drawn endpoint has spare capacity and much less load than this instance
	BackingOff                              // most requests spilled over recently were rejected again
	AlreadyForwarded                        // the request was forwarded once; a single hop rules out loops
	Draining                                // this instance is draining; clients retry rejected requests elsewhere
	TooLarge                                // other instances do not read a request of this size
)

var spilloverReasons = [...]string{
	"allowed", "budget-exhausted", "deadline-too-close", "no-reports", "fleet-saturated", "no-capacity", "backing-off",
	"already-forwarded", "draining", "too-large",
}

// String returns the reason as it appears in the log.
func (r SpilloverReason) String() string {
	if int(r) < len(spilloverReasons) {
		return spilloverReasons[r]
	}
	return fmt.Sprintf("SpilloverReason(%d)", uint8(r))
}

const (
	// initialLatency is the assumed latency of a request at another endpoint until there are samples.
	initialLatency = 100 * time.Millisecond

	// saturationMaxAge is the age at which the count of saturated endpoints is refreshed.
	saturationMaxAge = 50 * time.Millisecond

	// minRejections is the minimum decayed number of rejections for a pause of spillover. Fewer may be due to chance.
	minRejections = 3

	// backoffDuration is how long spillover pauses.
	backoffDuration = time.Second
)

// SpilloverPolicy decides whether a request that this instance rejects is forwarded, once, to another endpoint. It uses
// the state of a Balancer, and its methods must be called from the Balancer's goroutine.
type SpilloverPolicy struct {
	config   SpilloverConfig
	balancer *Balancer

	budget float64 // number of requests that may be spilled over

	// Outcomes of the requests that were spilled over, decaying with the balancer's OutcomeHalfLife.
	succeeded    float64
	rejected     float64
	decayedAt    time.Duration
	backoffUntil time.Duration

	saturation saturation
}

// saturation is a count of the saturated endpoints.
type saturation struct {
	counted   bool
	countedAt time.Duration
	reporting int // endpoints with a recent report
	saturated int // those of them that are saturated
}

// NewSpilloverPolicy returns a policy that uses the state of a balancer.
func NewSpilloverPolicy(config SpilloverConfig, balancer *Balancer) *SpilloverPolicy {
	return &SpilloverPolicy{config: config, balancer: balancer, budget: config.BudgetBurst}
}

// SetConfig replaces the configuration.
func (p *SpilloverPolicy) SetConfig(config SpilloverConfig) {
	p.config = config
	p.budget = min(p.budget, config.BudgetBurst)
}

// RecordArrival records that a request has arrived at this instance, which adds BudgetRatio to the budget.
func (p *SpilloverPolicy) RecordArrival() {
	p.budget = min(p.config.BudgetBurst, p.budget+p.config.BudgetRatio)
}

// Pick returns the index of the endpoint that a request rejected by this instance is spilled over to: the least loaded
// of a few that were recently probed or are drawn by weight, if it has spare capacity and is much less loaded than this
// instance. remaining is the time until the request's deadline. ownLoad is the load of this instance in requests in
// progress per core. The index is valid only if the reason is Allowed.
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
		// Load reports are outdated, and other instances spill over, too. Therefore the estimate includes this request,
		// and must be at most half of this instance's own load to justify a hop.
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

// checkPreconditions returns the reason why a request must not be spilled over to any endpoint, or Allowed.
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
	case remaining < 2*latency: // twice, because after a hop a response with the mean latency would be too late
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

// estimatedLoad estimates the load of an endpoint with one more request, in requests in progress per core. Unlike
// Balancer.estimatedLoad it decays a report over ReportMaxAge instead of a request's latency: few requests are spilled
// over, so an idle endpoint stays idle for longer.
func (p *SpilloverPolicy) estimatedLoad(now time.Duration, state *endpointState) float64 {
	meanLoad := p.balancer.meanLoad
	factor := decayFactor(now-state.reportedAt, p.config.ReportMaxAge)
	return meanLoad + (state.reportedLoad-meanLoad)*factor + state.startedSinceReport + 1/state.Capacity
}

// refreshSaturation recounts the endpoints with a recent report and those of them that are saturated, at most once per
// saturationMaxAge. It uses only reported loads: many requests from this instance do not mean that an endpoint is
// saturated.
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

// RecordOutcome records the outcome of a request that was spilled over. Any outcome but Succeeded counts as a
// rejection. If most requests are rejected again, spillover pauses for backoffDuration. After the pause, a few requests
// are tried before it can pause again.
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

package balancer

import (
	"math"
	"time"
)

// SpilloverConfig is what handing over goes by.
type SpilloverConfig struct {
	BudgetRatio          float64       // of the ops that come, so many may be handed over
	BudgetBurst          float64       // of them that may be saved up
	SaturatedLoad        float64       // ops in hand a core from which on a member counts as full
	MaxSaturatedFraction float64       // share of the members that may be full: past it handing over is itself the overload
	ReportMaxAge         time.Duration // how old a member's word on its load may be
}

// DefaultSpilloverConfig is what holds without being told; docs/spread.md has the measurements.
func DefaultSpilloverConfig() SpilloverConfig {
	return SpilloverConfig{BudgetRatio: 0.2, BudgetBurst: 20, SaturatedLoad: 2, MaxSaturatedFraction: 0.5, ReportMaxAge: time.Second}
}

// SpilloverReason is what keeps an op here, in one word.
type SpilloverReason string

const (
	Allowed          SpilloverReason = ""
	BudgetExhausted  SpilloverReason = "budget"   // as many have been handed over as may be
	DeadlineTooClose SpilloverReason = "late"     // its time does not allow it
	NoReports        SpilloverReason = "unknown"  // nobody has said of late how it stands
	FleetSaturated   SpilloverReason = "most"     // most of them are full
	NoCapacity       SpilloverReason = "no-room"  // none of those drawn has room, or is much better off than we are
	BackingOff       SpilloverReason = "turned"   // those that were handed over were mostly turned away there too
	AlreadyForwarded SpilloverReason = "handed"   // it was handed over to us: never by two hops, and so never in a circle
	Draining         SpilloverReason = "leaving"  // we leave: what we let go, its caller takes elsewhere
	NoCredentials    SpilloverReason = "no-proof" // who asks is known by his connection alone, which the other does not see
)

// SpilloverPolicy decides whether an op that is turned away here goes to another member, once. It goes by a chooser's words, and belongs to
// its goroutine.
type SpilloverPolicy struct {
	config          SpilloverConfig
	balancer        *Balancer
	budget          float64
	succeeded       float64 // of those handed over, fading: taken there
	rejected        float64 // and turned away
	decayedAt       time.Duration
	backoffUntil    time.Duration
	saturationAt    time.Duration // when the full ones were counted
	reportingCount  int
	saturatedCount  int
	saturationKnown bool
}

// NewSpilloverPolicy makes one that goes by a chooser's words.
func NewSpilloverPolicy(config SpilloverConfig, balancer *Balancer) *SpilloverPolicy {
	return &SpilloverPolicy{config: config, balancer: balancer, budget: config.BudgetBurst}
}

// SetConfig takes values that were told anew.
func (h *SpilloverPolicy) SetConfig(config SpilloverConfig) {
	h.config, h.budget = config, min(h.budget, config.BudgetBurst)
}

// RecordArrival notes that an op came here.
func (h *SpilloverPolicy) RecordArrival() {
	h.budget = min(h.config.BudgetBurst, h.budget+h.config.BudgetRatio)
}

// initialLatency is what an op is taken to take elsewhere before one came back.
const initialLatency = 100 * time.Millisecond

// Pick tells whom an op that is turned away here goes to: one of a few drawn by their shares who has room and is far better off. left is the
// time that it still has, own our load in ops a core.
func (h *SpilloverPolicy) Pick(now, remaining time.Duration, ownLoad float64, random func() float64) (index int, reason SpilloverReason) {
	latency := initialLatency
	if h.balancer.meanLatency > 0 {
		latency = time.Duration(h.balancer.meanLatency * float64(time.Second))
	}
	switch {
	case h.budget < 1:
		return 0, BudgetExhausted
	case now < h.backoffUntil:
		return 0, BackingOff
	case remaining < 2*latency: // twice: what takes as long as usual here comes too late there
		return 0, DeadlineTooClose
	case h.balancer.Len() == 0:
		return 0, NoReports
	}
	h.refreshSaturation(now)
	switch {
	case h.reportingCount == 0:
		return 0, NoReports
	case float64(h.saturatedCount) > h.config.MaxSaturatedFraction*float64(h.reportingCount):
		return 0, FleetSaturated
	}
	if h.balancer.weightsStale && now-h.balancer.weightsAt >= weightsMaxAge || h.balancer.weightsAt == 0 && h.balancer.weightsStale {
		h.balancer.recomputeWeights(now)
	}
	h.balancer.pickCount++
	best, leastLoad := -1, math.Inf(1)
	consider := func(state *endpointState) {
		if state == nil || state.removed || state.outlier || state.Suspect || !h.hasRecentReport(now, state) || !h.balancer.slowStartAllows(now, state, random) {
			return
		}
		// Danger: what we know is old and others hand over too: what it would have with this op counts, and half of our own load is the
		// least that a hop is worth. A word fades over its time and not, as a relay's, over an op's: few ops are handed over, so an idle
		// member stays so for longer.
		remaining := math.Exp2(-float64(now-state.reportedAt) / float64(h.config.ReportMaxAge))
		if load := h.balancer.meanLoad + (state.reportedLoad-h.balancer.meanLoad)*remaining + state.startedSinceReport + 1/state.Capacity; load < leastLoad && load < h.config.SaturatedLoad && load <= ownLoad/2 {
			best, leastLoad = state.index, load
		}
	}
	for _, state := range h.balancer.probePool {
		consider(state)
	}
	total := h.balancer.cumulativeWeights[len(h.balancer.cumulativeWeights)-1]
	for range h.balancer.config.ChoiceCount {
		consider(h.balancer.endpoints[h.balancer.drawByWeight(random()*total)])
	}
	if best < 0 {
		return 0, NoCapacity
	}
	h.budget--
	return best, Allowed
}

func (h *SpilloverPolicy) hasRecentReport(now time.Duration, state *endpointState) bool {
	return state.hasReport && now-state.reportedAt <= h.config.ReportMaxAge
}

// refreshSaturation counts the full ones among those whose words are fresh, a few times a second.
func (h *SpilloverPolicy) refreshSaturation(now time.Duration) {
	if h.saturationKnown && now-h.saturationAt < 50*time.Millisecond {
		return
	}
	h.saturationKnown, h.saturationAt, h.reportingCount, h.saturatedCount = true, now, 0, 0
	for _, state := range h.balancer.endpoints {
		if h.hasRecentReport(now, state) {
			h.reportingCount++
			if state.reportedLoad >= h.config.SaturatedLoad { // its word, not what we make of it: one that we send much to is not full by that
				h.saturatedCount++
			}
		}
	}
}

// RecordOutcome notes what became of one that was handed over. Where they are mostly turned away as well, none is handed over for a while.
func (h *SpilloverPolicy) RecordOutcome(now time.Duration, outcome Outcome) {
	remaining := math.Exp2(-float64(now-h.decayedAt) / float64(h.balancer.config.OutcomeHalfLife))
	h.succeeded, h.rejected, h.decayedAt = h.succeeded*remaining, h.rejected*remaining, now
	if outcome == Succeeded {
		h.succeeded++
	} else {
		h.rejected++
	}
	const minRejections = 3 // of a hand over's bad luck
	if h.rejected >= minRejections && h.rejected > h.succeeded {
		h.backoffUntil = now + time.Second
		h.rejected /= 2 // after the rest a few are tried before it rests again
	}
}

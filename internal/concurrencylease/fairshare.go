package concurrencylease

import (
	"slices"
	"time"
)

const (
	// lotteryPeriod is how long a holder keeps the one call that it has by lot, where there are fewer calls than holders
	// that want one.
	lotteryPeriod = 3 * time.Second
	// From so many holders on the level is worked out once in a levelInterval and not for each request.
	recomputeThrottleHolders = 64
	recomputeInterval        = 20 * time.Millisecond
)

// fairShare is how the leasable calls are shared: each holder gets as much as it wants up to a level that is the same
// for all. What is left over goes, one call each, to the holders that are drawn by lot, and others in each lottery
// period, so that none is without a call for ever.
type fairShare struct {
	level        int
	extraHolders int           // holders that get one more than the level
	computedAt   time.Duration // when the level was worked out
	stale        bool          // something it depends on has changed since
}

// fairLimit is how many calls a holder gets at the most.
func (a *Allocator) fairLimit(now time.Duration, holder *holderState) int {
	recent := now-a.share.computedAt < recomputeInterval && len(a.holders) >= recomputeThrottleHolders
	if a.share.stale && !recent || a.share.computedAt/lotteryPeriod != now/lotteryPeriod {
		a.updateFairShare(now)
	}
	if holder.wantedCalls > a.share.level && a.winsLottery(now, holder) {
		return a.share.level + 1
	}
	return a.share.level
}

func (a *Allocator) updateFairShare(now time.Duration) {
	demands := make([]int, 0, len(a.holders))
	for _, holder := range a.holders {
		if holder.wantedCalls > 0 {
			demands = append(demands, holder.wantedCalls)
		}
	}
	slices.Sort(demands)
	available := a.config.LeasableCalls()
	a.share = fairShare{level: available, computedAt: now}
	for i, demand := range demands {
		if remaining := len(demands) - i; demand*remaining > available {
			a.share.level = available / remaining
			a.share.extraHolders = available % remaining
			return
		}
		available -= demand
	}
}

// winsLottery reports whether a holder gets one more than the level: those with the least rank do, of the holders that
// want more.
func (a *Allocator) winsLottery(now time.Duration, holder *holderState) bool {
	if a.share.extraHolders == 0 {
		return false
	}
	period := uint64(now / lotteryPeriod)
	ownRank := lotteryRank(holder, period)
	ahead := 0
	for _, other := range a.holders {
		if other.wantedCalls > a.share.level && lotteryRank(other, period) < ownRank {
			ahead++
		}
	}
	return ahead < a.share.extraHolders
}

// lotteryRank orders holders, differently in each period.
func lotteryRank(holder *holderState, period uint64) uint64 {
	const multiplier = 0x9e3779b97f4a7c15 // 2^64 divided by the golden ratio, which spreads the periods over all bits
	return holder.hash ^ period*multiplier
}

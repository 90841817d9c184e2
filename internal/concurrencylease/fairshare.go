package concurrencylease

import (
	"slices"
	"time"
)

const (
	// lotteryPeriod is how long a holder keeps the extra call that it won in the lottery. If more holders want calls
	// than there are leasable calls, the extra call is the holder's only call.
	lotteryPeriod = 3 * time.Second
	// With at least minHoldersToDelayUpdate holders, changed demands lead to a new fair share at most once per
	// minUpdateInterval instead of at each request. At the start of a lottery period it is always recomputed.
	minHoldersToDelayUpdate = 64
	minUpdateInterval       = 20 * time.Millisecond
)

// fairShare is the max-min fair division of the leasable calls: each holder gets as many as it wants, up to a level
// that is the same for all. The remainder goes, one call each, to holders drawn by lottery. Each lottery period draws
// anew, so that no holder is without a call forever.
type fairShare struct {
	level        int
	extraHolders int           // number of holders that get one call more than the level
	computedAt   time.Duration // when the level was computed
	stale        bool          // whether an input has changed since computedAt
}

// fairLimit returns the maximum number of calls that a holder gets by its fair share.
func (a *Allocator) fairLimit(now time.Duration, holder *holderState) int {
	recent := now-a.share.computedAt < minUpdateInterval && len(a.holders) >= minHoldersToDelayUpdate
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

// winsLottery reports whether a holder gets one call more than the level. Of the holders that want more than the level,
// the extraHolders with the lowest ranks win.
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

// lotteryRank returns the rank of a holder in the lottery of a period. The order differs between periods.
func lotteryRank(holder *holderState, period uint64) uint64 {
	const multiplier = 0x9e3779b97f4a7c15 // 2^64 divided by the golden ratio, to spread the period over all bits
	return holder.hash ^ period*multiplier
}

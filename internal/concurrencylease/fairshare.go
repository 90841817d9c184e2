package concurrencylease

import (
	"cmp"
	"slices"
	"time"
)

// lotteryPeriod is how long a holder keeps the one call that it has by lot, where there are fewer calls than who want
// one.
const lotteryPeriod = 3 * time.Second

// fairShare is what a holder gets of the room: as much as it wants, up to a level that is the same for all; what is
// left over goes, one each, to those that the lot falls on, another lot each turn, so that nobody is without for
// ever.
func (d *Allocator) fairShare(now time.Duration, holder *holderState) int {
	// The level of hundreds is worked out for each moment once, not for each ask.
	if d.levelStale && (now-d.levelAt >= 20*time.Millisecond || len(d.holders) < 64) || d.levelAt/lotteryPeriod != now/lotteryPeriod {
		d.updateFairLevel(now)
	}
	if holder.wantedCalls > d.level && d.winsLottery(now, holder) {
		return d.level + 1
	}
	return d.level
}

func (d *Allocator) updateFairLevel(now time.Duration) {
	d.levelAt, d.levelStale = now, false
	demands := make([]int, 0, len(d.holders))
	for _, holder := range d.holders {
		if holder.wantedCalls > 0 {
			demands = append(demands, holder.wantedCalls)
		}
	}
	slices.Sort(demands)
	available := d.config.LeasableCalls()
	d.level, d.extraHolders = available, 0
	for i, demand := range demands {
		if remaining := len(demands) - i; demand*remaining > available {
			d.level, d.extraHolders = available/remaining, available%remaining
			break
		}
		available -= demand
	}
}

// winsLottery draws who gets one more: the holders with the least hashes, of those that want more.
func (d *Allocator) winsLottery(now time.Duration, holder *holderState) bool {
	if d.extraHolders == 0 {
		return false
	}
	round := uint64(now / lotteryPeriod)
	rank := func(holder *holderState) uint64 { return holder.hash ^ round*0x9e3779b97f4a7c15 }
	ownRank, ahead := rank(holder), 0
	for _, other := range d.holders {
		if other.wantedCalls > d.level && cmp.Less(rank(other), ownRank) {
			ahead++
		}
	}
	return ahead < d.extraHolders
}

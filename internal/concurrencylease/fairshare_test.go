package concurrencylease

import (
	"fmt"
	"testing"
	"time"
)

// Example_lottery divides five calls among twenty holders that want one each: every holder gets a call at some time.
func Example_lottery() {
	config := DefaultConfig()
	config.Capacity, config.LeaseDuration, config.MaxCallDuration = 5, 500*time.Millisecond, 100*time.Millisecond
	allocator := NewAllocator(config, 1, 0)
	holders := newHolders(20)
	served := map[*Holder]bool{}
	maxLeased := 0
	for now := time.Second; now < time.Minute; now += 125 * time.Millisecond {
		leased := 0
		for _, holder := range holders {
			holder.RecordDemand(now, 1)
			renew(allocator, holder, now, 0)
			if limit := holder.Limit(now); limit > 0 {
				served[holder] = true
				leased += limit
			}
		}
		maxLeased = max(maxLeased, leased)
	}
	fmt.Println(len(holders), len(served) == len(holders), maxLeased)
	// Output: 20 true 5
}

// limitSummary is the smallest, the largest and the sum of the limits of some holders.
type limitSummary struct{ smallest, largest, sum int }

func summarizeLimits(holders []*Holder, now time.Duration) limitSummary {
	summary := limitSummary{smallest: 1 << 30}
	for _, holder := range holders {
		limit := holder.Limit(now)
		summary.smallest = min(summary.smallest, limit)
		summary.largest = max(summary.largest, limit)
		summary.sum += limit
	}
	return summary
}

// TestFairShares checks that without faults and with sufficient demand, at least nine tenths of the capacity are
// leased, also after some holders have left, and that the limits of the remaining holders differ by at most 5.
func TestFairShares(t *testing.T) {
	config := DefaultConfig()
	config.Capacity = 200
	allocator := NewAllocator(config, 1, 0)
	holders := newHolders(50)
	remaining := holders[15:] // the others send no requests after 20 s
	for now := 8 * time.Second; now < 60*time.Second; now += 500 * time.Millisecond {
		active := holders
		if now > 20*time.Second {
			active = remaining
		}
		for _, holder := range active {
			holder.RecordDemand(now, unevenDemand(holders, holder))
			renew(allocator, holder, now, holder.Limit(now))
		}
		all, remainingLimits := summarizeLimits(holders, now), summarizeLimits(remaining, now)
		if now == 18*time.Second && (all.sum < 180 || all.sum > 200 || remainingLimits.largest-remainingLimits.smallest > 5) {
			t.Fatal("limits of all and of the remaining holders at", now, all, remainingLimits)
		}
		// The remaining holders use the calls of the ones that left.
		if now > 32*time.Second && (remainingLimits.sum < 180 || remainingLimits.sum > 200) {
			t.Fatal("limits of the remaining holders at", now, remainingLimits)
		}
	}
}

// unevenDemand returns 1 call for every fifth holder and 50 for the others.
func unevenDemand(holders []*Holder, holder *Holder) int {
	for i := 0; i < len(holders); i += 5 {
		if holders[i] == holder {
			return 1
		}
	}
	return 50
}

package concurrencylease

import (
	"fmt"
	"testing"
	"time"
)

// Five calls among twenty holders that want one each: each has its turn.
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

// limitSummary is the least, the greatest and the sum of what holders may do.
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

// Where nothing fails the capacity is used up, within a tenth, as long as enough is wanted, and each holder has what
// the others have.
func TestFairShares(t *testing.T) {
	config := DefaultConfig()
	config.Capacity = 200
	allocator := NewAllocator(config, 1, 0)
	holders := newHolders(50)
	persistent := holders[15:] // the others are gone after 20 s
	for now := 8 * time.Second; now < 60*time.Second; now += 500 * time.Millisecond {
		active := holders
		if now > 20*time.Second {
			active = persistent
		}
		for _, holder := range active {
			holder.RecordDemand(now, unevenDemand(holders, holder))
			renew(allocator, holder, now, holder.Limit(now))
		}
		all, persisting := summarizeLimits(holders, now), summarizeLimits(persistent, now)
		if now == 18*time.Second && (all.sum < 180 || all.sum > 200 || persisting.largest-persisting.smallest > 5) {
			t.Fatal(now, all, persisting)
		}
		// What the others had is used by those that stay.
		if now > 32*time.Second && (persisting.sum < 180 || persisting.sum > 200) {
			t.Fatal(now, persisting)
		}
	}
}

// unevenDemand is 1 call for each fifth holder and 50 for the others.
func unevenDemand(holders []*Holder, holder *Holder) int {
	for i := 0; i < len(holders); i += 5 {
		if holders[i] == holder {
			return 1
		}
	}
	return 50
}

package concurrencylease

import (
	"fmt"
	"testing"
	"time"
)

// Five calls among twenty holders that want one each: each has its turn.
func Example_turns() {
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

// limits is the least, the greatest and the sum of what holders may do.
type limits struct{ least, most, sum int }

func limitsOf(holders []*Holder, now time.Duration) limits {
	found := limits{least: 1 << 30}
	for _, holder := range holders {
		limit := holder.Limit(now)
		found.least = min(found.least, limit)
		found.most = max(found.most, limit)
		found.sum += limit
	}
	return found
}

// Where nothing fails the capacity is used up, within a tenth, as long as enough is wanted, and each holder has what
// the others have.
func TestFair(t *testing.T) {
	config := DefaultConfig()
	config.Capacity = 200
	allocator := NewAllocator(config, 1, 0)
	holders := newHolders(50)
	staying := holders[15:] // the others are gone after 20 s
	for now := 8 * time.Second; now < 60*time.Second; now += 500 * time.Millisecond {
		active := holders
		if now > 20*time.Second {
			active = staying
		}
		for _, holder := range active {
			holder.RecordDemand(now, wantedInTestFair(holders, holder))
			renew(allocator, holder, now, holder.Limit(now))
		}
		all, stayed := limitsOf(holders, now), limitsOf(staying, now)
		if now == 18*time.Second && (all.sum < 180 || all.sum > 200 || stayed.most-stayed.least > 5) {
			t.Fatal(now, all, stayed)
		}
		// What the others had is used by those that stay.
		if now > 32*time.Second && (stayed.sum < 180 || stayed.sum > 200) {
			t.Fatal(now, stayed)
		}
	}
}

// wantedInTestFair is 1 call for each fifth holder and 50 for the others.
func wantedInTestFair(holders []*Holder, holder *Holder) int {
	for i := 0; i < len(holders); i += 5 {
		if holders[i] == holder {
			return 1
		}
	}
	return 50
}

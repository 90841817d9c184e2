package concurrencylease

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"lanewheel/internal/membership"
)

// Five calls among twenty that want one each: each has its turn.
func Example_turns() {
	told := DefaultConfig()
	told.Capacity, told.LeaseDuration, told.MaxCallDuration = 5, 500*time.Millisecond, 100*time.Millisecond
	d := NewAllocator(told, 1, 0)
	had := map[int]bool{}
	var all []*Holder
	for i := range 20 {
		all = append(all, &Holder{ID: membership.ID{Name: membership.Name(fmt.Sprint("h", i)), BootID: 1}, MaxCallDuration: time.Minute})
	}
	most := 0
	for now := time.Second; now < time.Minute; now += 125 * time.Millisecond {
		sum := 0
		for i, h := range all {
			h.RecordDemand(now, 1)
			if g, ok := d.HandleRequest(now, h.NextRequest(now, 1, 0)); ok {
				h.Accept(now, g)
			}
			sum += h.Limit(now)
			had[i] = had[i] || h.Limit(now) > 0
		}
		most = max(most, sum)
	}
	fmt.Println(len(had), !slices.Contains(values(had), false), most)
	// Output: 20 true 5
}

func values(m map[int]bool) (all []bool) {
	for _, v := range m {
		all = append(all, v)
	}
	return all
}

// With nothing wrong the cap is used up, within a tenth, as long as enough is wanted, and each has what the others
// have.
func TestFair(t *testing.T) {
	told := DefaultConfig()
	told.Capacity = 200
	d := NewAllocator(told, 1, 0)
	var all []*Holder
	for i := range 50 {
		all = append(all, &Holder{ID: membership.ID{Name: membership.Name(fmt.Sprint("h", i)), BootID: 1}, MaxCallDuration: time.Minute})
	}
	sum := func(now time.Duration, from int) (least, most, sum int) {
		least = 1 << 30
		for _, h := range all[from:] {
			l := h.Limit(now)
			least, most, sum = min(least, l), max(most, l), sum+l
		}
		return
	}
	for now := 8 * time.Second; now < 60*time.Second; now += 500 * time.Millisecond {
		for i, h := range all {
			if i < 15 && now > 20*time.Second { // these are gone
				continue
			}
			calls := 50
			if i%5 == 0 {
				calls = 1
			}
			h.RecordDemand(now, calls)
			if g, ok := d.HandleRequest(now, h.NextRequest(now, 1, h.Limit(now))); ok {
				h.Accept(now, g)
			}
		}
		least, most, of := sum(now, 15)
		if all := of; now == 18*time.Second {
			_, _, all = sum(now, 0)
			if all < 180 || all > 200 || most-least > 5 {
				t.Fatal(now, least, most, all)
			}
		}
		if now > 32*time.Second && (of < 180 || of > 200) { // the share of those that are gone is used by the others
			t.Fatal(now, least, most, of)
		}
	}
}

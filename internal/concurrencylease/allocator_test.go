package concurrencylease

import (
	"fmt"
	"testing"
	"time"

	"lanewheel/internal/membership"
)

// A grant from the first ask to its end: a cold desk renews and grants nothing new, then shares by what is wanted; a
// holder that asks no more has its share back in the room once the last call may be over.
func Example() {
	told := DefaultConfig()
	told.Capacity, told.MaxClockDrift = 10, 0
	d := NewAllocator(told, 1, 0)
	a := &Holder{ID: membership.ID{Name: "a", BootID: 1}, MaxCallDuration: time.Minute}
	b := &Holder{ID: membership.ID{Name: "b", BootID: 1}, MaxCallDuration: time.Minute}
	ask := func(now time.Duration, h *Holder, calls int) {
		h.RecordDemand(now, calls)
		g, ok := d.HandleRequest(now, h.NextRequest(now, 1, 0))
		took := ok && h.Accept(now, g)
		granted, holders := d.Committed(now)
		fmt.Println(now, h.ID.Name, took, h.Limit(now), h.MaxCallDuration, "granted", granted, "to", holders)
	}
	ask(time.Second, a, 3)
	ask(7*time.Second, a, 3)
	ask(7*time.Second, b, 100)
	ask(7500*time.Millisecond, a, 100)
	ask(8*time.Second, b, 100)
	ask(8*time.Second, a, 100)
	fmt.Println(a.Limit(10*time.Second), b.Limit(10*time.Second))
	ask(14*time.Second, b, 100)
	ask(15*time.Second, b, 100)
	// Output:
	// 1s a true 0 5s granted 0 to 1
	// 7s a true 5 5s granted 5 to 1
	// 7s b true 5 5s granted 10 to 2
	// 7.5s a true 5 5s granted 10 to 2
	// 8s b true 5 5s granted 10 to 2
	// 8s a true 5 5s granted 10 to 2
	// 0 0
	// 14s b true 5 5s granted 10 to 2
	// 15s b true 10 5s granted 10 to 1
}

// What is late, twice, of another desk or nonsense changes nothing; past its table a desk knows nobody new.
func Example_bad() {
	told := DefaultConfig()
	told.Capacity, told.MaxHolders, told.LeaseDuration, told.MaxCallDuration = 4, 2, time.Second, time.Second
	d := NewAllocator(told, 7, 0)
	now := 10 * time.Second
	h := &Holder{ID: membership.ID{Name: "a", BootID: 1}, MaxUnleasedCalls: 9, MaxCallDuration: time.Minute}
	h.RecordDemand(now, 12)
	first := h.NextRequest(now, 7, 0)
	g, _ := d.HandleRequest(now, first)
	fmt.Println(h.Limit(now), h.Accept(now, g), h.Limit(now), h.UnleasedCalls)
	_, twice := d.HandleRequest(now, first)
	fmt.Println(twice, d.ignoredRequests, h.Accept(now, g))
	second := h.NextRequest(now, 7, 0)
	g2, _ := d.HandleRequest(now, second)
	fmt.Println(h.Accept(now, Lease{AllocatorBootID: 8, Sequence: second.Sequence, Limit: 100, Duration: time.Hour}), h.Accept(now, Lease{AllocatorBootID: 7, Sequence: 99, Limit: 100, Duration: time.Hour}),
		h.Accept(now, g2), h.Accept(now, g), h.Limit(now+999*time.Millisecond), h.Limit(now+time.Second))
	g, ok := d.HandleRequest(now, Request{Holder: membership.ID{Name: "b", BootID: 1}, Sequence: 1, OpenCalls: -5, WantedCalls: 1 << 60, Held: HeldLease{AllocatorBootID: 7, Sequence: 9, Limit: 1 << 60}})
	fmt.Println(g.Limit, ok)
	_, ok = d.HandleRequest(now, Request{Holder: membership.ID{Name: "c", BootID: 1}, Sequence: 1, WantedCalls: 1})
	fmt.Println(ok, d.rejectedRequests)
	d.Fence()
	_, ok = d.HandleRequest(now+time.Minute, Request{Holder: membership.ID{Name: "c", BootID: 1}, Sequence: 2, WantedCalls: 1})
	fmt.Println(ok)
	// Output:
	// 0 true 4 0
	// false 1 false
	// false false true false 4 0
	// 0 true
	// false 1
	// false
}

// A holder whose clock is slow as told and a desk's that is as fast: the desk's part is free no sooner than the
// holder's last call is over, by the true time. A holder that hears nothing more counts by the greatest grant that it
// may have taken, however many it is sent; and by calls as long as they were allowed to last when it was granted.
func Example_late() {
	told := DefaultConfig()
	told.Capacity, told.MaxClockDrift = 10, 0.1
	last := (told.LeaseDuration + told.MaxCallDuration).Seconds() / (1 - told.MaxClockDrift)
	fmt.Println(told.expiredBy(0).Seconds()/(1+told.MaxClockDrift) >= last-1e-6)

	d := NewAllocator(told, 1, 0)
	now := time.Minute
	ask := func(seq uint64, wants int) {
		d.HandleRequest(now, Request{Holder: membership.ID{Name: "a", BootID: 1}, Sequence: seq, WantedCalls: wants})
	}
	ask(1, 9)
	for seq := uint64(2); seq < 30; seq++ {
		ask(seq, 1)
	}
	fmt.Println(d.Committed(now))
	told.MaxCallDuration = time.Hour
	d.SetConfig(told, now)
	fmt.Println(d.Committed(now + time.Minute))
	told.MaxCallDuration = time.Second
	d.SetConfig(told, now)
	fmt.Println(d.Committed(now + time.Minute))
	fmt.Println(d.Committed(now + 2*time.Hour))
	// Output:
	// true
	// 9 1
	// 9 1
	// 9 1
	// 0 0
}

// An ask at a desk of 300 holders that all want more than there is.
func BenchmarkAsked(b *testing.B) {
	told := DefaultConfig()
	told.Capacity = 200
	d := NewAllocator(told, 1, 0)
	var all []*Holder
	for i := range 300 {
		all = append(all, &Holder{ID: membership.ID{Name: membership.Name(fmt.Sprint("h", i)), BootID: 1}, MaxCallDuration: time.Minute})
	}
	now := time.Minute
	for i := range b.N {
		now += time.Millisecond
		h := all[i%300]
		h.RecordDemand(now, 5)
		if g, ok := d.HandleRequest(now, h.NextRequest(now, 1, 0)); ok {
			h.Accept(now, g)
		}
	}
}

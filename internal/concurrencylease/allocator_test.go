package concurrencylease

import (
	"fmt"
	"testing"
	"time"

	"lanewheel/internal/membership"
)

// newHolder returns a holder that has not received a lease.
func newHolder(name membership.Name) *Holder {
	return &Holder{ID: membership.ID{Name: name, BootID: 1}, MaxCallDuration: time.Minute}
}

func newHolders(count int) (holders []*Holder) {
	for i := range count {
		holders = append(holders, newHolder(membership.Name(fmt.Sprint("h", i))))
	}
	return holders
}

// renew requests a lease for a holder from an allocator, and reports whether the holder accepts it.
func renew(allocator *Allocator, holder *Holder, now time.Duration, openCalls int) bool {
	lease, ok := allocator.HandleRequest(now, holder.NextRequest(now, allocator.bootID, openCalls))
	return ok && holder.Accept(lease)
}

// Example shows leases from the first request to their expiry. A new allocator at first only renews leases. Later it
// divides the calls by demand. The calls of a holder that sends no more requests are leased to others once its last
// call must have ended.
func Example() {
	config := DefaultConfig()
	config.Capacity, config.MaxClockDrift = 10, 0
	allocator := NewAllocator(config, 1, 0)
	a := newHolder("a")
	b := newHolder("b")
	request := func(now time.Duration, holder *Holder, calls int) {
		holder.RecordDemand(now, calls)
		accepted := renew(allocator, holder, now, 0)
		committed, holders := allocator.Committed(now)
		fmt.Println(now, holder.ID.Name, accepted, holder.Limit(now), holder.MaxCallDuration,
			"granted", committed, "to", holders)
	}
	request(time.Second, a, 3)
	request(7*time.Second, a, 3)
	request(7*time.Second, b, 100)
	request(7500*time.Millisecond, a, 100)
	request(8*time.Second, b, 100)
	request(8*time.Second, a, 100)
	fmt.Println(a.Limit(10*time.Second), b.Limit(10*time.Second))
	request(14*time.Second, b, 100)
	request(15*time.Second, b, 100)
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

// Example_invalidMessages shows that messages that are late, duplicated, from another allocator or out of range have no
// effect, and that an allocator accepts no new holder beyond MaxHolders.
func Example_invalidMessages() {
	config := DefaultConfig()
	config.Capacity, config.MaxHolders = 4, 2
	config.LeaseDuration, config.MaxCallDuration = time.Second, time.Second
	allocator := NewAllocator(config, 7, 0)
	now := 10 * time.Second
	holder := newHolder("a")
	holder.MaxUnleasedCalls = 9
	holder.RecordDemand(now, 12)
	first := holder.NextRequest(now, 7, 0)
	firstLease, _ := allocator.HandleRequest(now, first)
	fmt.Println(holder.Limit(now), holder.Accept(firstLease), holder.Limit(now), holder.UnleasedCalls)
	_, answeredTwice := allocator.HandleRequest(now, first)
	fmt.Println(answeredTwice, allocator.ignoredRequests, holder.Accept(firstLease))

	second := holder.NextRequest(now, 7, 0)
	secondLease, _ := allocator.HandleRequest(now, second)
	otherAllocatorLease := Lease{AllocatorBootID: 8, Sequence: second.Sequence, Limit: 100, Duration: time.Hour}
	unrequestedLease := Lease{AllocatorBootID: 7, Sequence: 99, Limit: 100, Duration: time.Hour}
	fmt.Println(holder.Accept(otherAllocatorLease), holder.Accept(unrequestedLease), holder.Accept(secondLease),
		holder.Accept(firstLease), holder.Limit(now+999*time.Millisecond), holder.Limit(now+time.Second))

	outOfRange, ok := allocator.HandleRequest(now, Request{
		Holder:      membership.ID{Name: "b", BootID: 1},
		Sequence:    1,
		Held:        HeldLease{AllocatorBootID: 7, Sequence: 9, Limit: 1 << 60},
		OpenCalls:   -5,
		WantedCalls: 1 << 60,
	})
	fmt.Println(outOfRange.Limit, ok)
	third := Request{Holder: membership.ID{Name: "c", BootID: 1}, Sequence: 1, WantedCalls: 1}
	_, ok = allocator.HandleRequest(now, third)
	fmt.Println(ok, allocator.rejectedRequests)
	allocator.Fence()
	third.Sequence = 2
	_, ok = allocator.HandleRequest(now+time.Minute, third)
	fmt.Println(ok)
	// Output:
	// 0 true 4 0
	// false 1 false
	// false false true false 4 0
	// 0 true
	// false 1
	// false
}

// Example_expiry checks the expiry of leases where the holder's clock is as slow, and the allocator's as fast, as
// MaxClockDrift allows: by true time, leased calls become free no earlier than the holder's last call ends. A holder
// that receives no leases is counted with the largest lease that it may have accepted, however many it is sent, and
// with the longest call duration in force since the grant.
func Example_expiry() {
	config := DefaultConfig()
	config.Capacity, config.MaxClockDrift = 10, 0.1
	lastCallEnd := (config.LeaseDuration + config.MaxCallDuration).Seconds() / (1 - config.MaxClockDrift)
	fmt.Println(config.latestCallEnd(0).Seconds()/(1+config.MaxClockDrift) >= lastCallEnd-1e-6)

	allocator := NewAllocator(config, 1, 0)
	now := time.Minute
	request := func(sequence uint64, calls int) {
		id := membership.ID{Name: "a", BootID: 1}
		allocator.HandleRequest(now, Request{Holder: id, Sequence: sequence, WantedCalls: calls})
	}
	request(1, 9)
	for sequence := uint64(2); sequence < 30; sequence++ {
		request(sequence, 1)
	}
	fmt.Println(allocator.Committed(now))
	config.MaxCallDuration = time.Hour
	allocator.SetConfig(config)
	fmt.Println(allocator.Committed(now + time.Minute))
	config.MaxCallDuration = time.Second
	allocator.SetConfig(config)
	fmt.Println(allocator.Committed(now + time.Minute))
	fmt.Println(allocator.Committed(now + 2*time.Hour))
	// Output:
	// true
	// 9 1
	// 9 1
	// 9 1
	// 0 0
}

// BenchmarkHandleRequest measures a request to an allocator with 300 holders whose demand exceeds the capacity.
func BenchmarkHandleRequest(b *testing.B) {
	config := DefaultConfig()
	config.Capacity = 200
	allocator := NewAllocator(config, 1, 0)
	holders := newHolders(300)
	now := time.Minute
	for i := range b.N {
		now += time.Millisecond
		holder := holders[i%len(holders)]
		holder.RecordDemand(now, 5)
		renew(allocator, holder, now, 0)
	}
}

// Package concurrencylease shares a hard cap on the concurrent calls to one upstream service among all processes of a
// fleet. An allocator beside the service leases each holder so many calls at a time, for a while. Whatever views the
// processes have of each other, and whatever messages between them are lost, late, duplicated or out of order, the
// calls of all together never exceed the cap. It has no I/O: messages are handed in with their time. docs/upstreams.md
// says which designs were weighed, and why this one holds.
package concurrencylease

import (
	"time"

	"lanewheel/internal/membership"
)

// Config is what an allocator goes by.
type Config struct {
	Capacity        int           // concurrent calls that the service takes from all processes together
	UnleasedCalls   int           // of them, how many each process may make without a lease
	MaxProcesses    int           // that may be up at once; UnleasedCalls is set aside for each
	LeaseDuration   time.Duration // of a lease, by its holder's clock from when it was requested
	MaxCallDuration time.Duration // that a call takes at the most
	MaxClockDrift   float64       // the fraction by which a clock may run too fast or too slow
	MaxHolders      int           // that are known at a time
}

// DefaultConfig is what holds unless configured otherwise, less the capacity.
func DefaultConfig() Config {
	return Config{
		MaxProcesses:    100,
		LeaseDuration:   2 * time.Second,
		MaxCallDuration: 5 * time.Second,
		MaxClockDrift:   0.01,
		MaxHolders:      1000,
	}
}

// LeasableCalls is how many calls are left for leases once each process has what it may make without one.
func (c Config) LeasableCalls() int { return max(0, c.Capacity-c.UnleasedCalls*c.MaxProcesses) }

// latestCallEnd is when all is over that was leased up to now, by the allocator's clock: the last call begins just before
// its lease ends and takes as long as any may.
func (c Config) latestCallEnd(now time.Duration) time.Duration {
	return now + c.worstCase(c.LeaseDuration+c.MaxCallDuration)
}

// worstCase is the longest that a duration by a holder's clock takes by the allocator's: the one runs too slow and the
// other too fast.
func (c Config) worstCase(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + c.MaxClockDrift) / (1 - c.MaxClockDrift))
}

// HeldLease is the lease that a holder goes by.
type HeldLease struct {
	AllocatorBootID membership.BootID // of the allocator that granted it; 0 for none
	Sequence        uint64            // of the request that it answered
	Limit           int               // concurrent calls beyond UnleasedCalls; 0 once it is over
}

// Request is what a holder has, and wants. The one with the greatest sequence counts.
type Request struct {
	Holder      membership.ID
	Sequence    uint64
	Held        HeldLease
	OpenCalls   int // calls that may be running, beyond UnleasedCalls
	WantedCalls int // concurrent calls that it could use, beyond UnleasedCalls
}

// Lease is an allocator's answer to a request.
type Lease struct {
	AllocatorBootID membership.BootID
	Sequence        uint64 // of the request
	Limit           int    // concurrent calls beyond UnleasedCalls
	Duration        time.Duration
	UnleasedCalls   int           // calls that the holder may make without a lease
	MaxCallDuration time.Duration // that a call may take
}

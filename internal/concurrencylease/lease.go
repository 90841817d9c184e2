// Package concurrencylease shares a hard cap on the concurrent calls to one upstream service among all processes of a
// fleet. An allocator next to the service grants each holder a lease: a number of concurrent calls for a limited time.
// The total number of concurrent calls never exceeds the cap, even if the processes have different views of the fleet
// and messages between them are lost, delayed, duplicated or reordered. The package does no I/O: the caller passes in
// messages and the current time. docs/upstreams.md compares the designs considered and explains why this one is safe.
package concurrencylease

import (
	"time"

	"lanewheel/internal/membership"
)

// Config is the configuration of an Allocator.
type Config struct {
	Capacity        int           // maximum number of concurrent calls to the service from all processes together
	UnleasedCalls   int           // number of these concurrent calls that each process may make without a lease
	MaxProcesses    int           // maximum number of processes running at once; UnleasedCalls is set aside for each
	LeaseDuration   time.Duration // duration of a lease, by the holder's clock, from the time of the request
	MaxCallDuration time.Duration // maximum duration of a call
	MaxClockDrift   float64       // maximum fraction by which a clock runs too fast or too slow
	MaxHolders      int           // maximum number of holders tracked at a time
}

// DefaultConfig returns the default configuration, without a capacity.
func DefaultConfig() Config {
	return Config{
		MaxProcesses:    100,
		LeaseDuration:   2 * time.Second,
		MaxCallDuration: 5 * time.Second,
		MaxClockDrift:   0.01,
		MaxHolders:      1000,
	}
}

// LeasableCalls returns the number of calls that remain for leases after UnleasedCalls is set aside for each process.
func (c Config) LeasableCalls() int { return max(0, c.Capacity-c.UnleasedCalls*c.MaxProcesses) }

// latestCallEnd returns the time, by the allocator's clock, at which all calls under leases granted up to now have
// ended: the last call starts just before its lease expires and takes MaxCallDuration.
func (c Config) latestCallEnd(now time.Duration) time.Duration {
	return now + c.worstCase(c.LeaseDuration+c.MaxCallDuration)
}

// worstCase returns the longest time that a duration measured by a holder's clock can take by the allocator's clock:
// the holder's clock runs too slow and the allocator's too fast.
func (c Config) worstCase(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + c.MaxClockDrift) / (1 - c.MaxClockDrift))
}

// HeldLease is the lease that a holder currently uses.
type HeldLease struct {
	AllocatorBootID membership.BootID // of the allocator that granted the lease; 0: no lease
	Sequence        uint64            // of the request that the lease answered
	Limit           int               // concurrent calls beyond UnleasedCalls; 0 once the lease has expired
}

// Request asks an allocator for a lease, and reports the holder's current lease and calls. Of a holder's requests,
// the one with the highest sequence is in effect.
type Request struct {
	Holder      membership.ID
	Sequence    uint64
	Held        HeldLease
	OpenCalls   int // calls that may be running, beyond UnleasedCalls
	WantedCalls int // concurrent calls that the holder can use, beyond UnleasedCalls
}

// Lease is an allocator's answer to a request.
type Lease struct {
	AllocatorBootID membership.BootID
	Sequence        uint64 // of the request
	Limit           int    // concurrent calls beyond UnleasedCalls
	Duration        time.Duration
	UnleasedCalls   int           // concurrent calls that the holder may make without a lease
	MaxCallDuration time.Duration // maximum duration of a call
}

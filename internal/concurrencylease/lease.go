package concurrencylease

import (
	"time"

	"lanewheel/internal/membership"
)

// Config is what a desk goes by.
type Config struct {
	Capacity        int           // calls at a time that the service is given by all together
	UnleasedCalls   int           // of them, what each process may make without a grant
	MaxProcesses    int           // as many may be up at once; Alone for each is set aside
	LeaseDuration   time.Duration // how long a grant holds, by its holder's clock from when it asked
	MaxCallDuration time.Duration // that a call lasts below, at the most
	MaxClockDrift   float64       // by which share a clock may run too fast or too slow
	MaxHolders      int           // known at a time
}

// DefaultConfig is what holds without being told, but for Cap.
func DefaultConfig() Config {
	return Config{MaxProcesses: 100, LeaseDuration: 2 * time.Second, MaxCallDuration: 5 * time.Second, MaxClockDrift: 0.01, MaxHolders: 1000}
}

// LeasableCalls is what is left to be granted once each process has what it may make alone.
func (t Config) LeasableCalls() int { return max(0, t.Capacity-t.UnleasedCalls*t.MaxProcesses) }

// worstCase is the longest that a span of another's clock can take by ours.
func (t Config) worstCase(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + t.MaxClockDrift) / (1 - t.MaxClockDrift))
}

// Over is when all is over that was granted up to a moment: the last call is begun just before the grant ends, and
// lasts as long as any may.
func (t Config) expiredBy(now time.Duration) time.Duration {
	return now + t.worstCase(t.LeaseDuration+t.MaxCallDuration)
}

// HeldLease is the grant that a holder goes by.
type HeldLease struct {
	AllocatorBootID membership.BootID // who granted it
	Sequence        uint64            // the ask that it answered
	Limit           int               // calls at a time beyond those that it may make alone; 0 once it is over
}

// Request is what a holder says of itself, and wants. A later one counts.
type Request struct {
	Holder      membership.ID
	Sequence    uint64
	Held        HeldLease
	OpenCalls   int // calls that may be running below, beyond those that it may make alone
	WantedCalls int // that it could use, beyond those
}

// Lease is the answer to an ask.
type Lease struct {
	AllocatorBootID membership.BootID
	Sequence        uint64 // of the ask
	Limit           int
	Duration        time.Duration
	// The rest is what a holder goes by beside it: calls that it may make without a grant, and the longest that a call
	// may last.
	UnleasedCalls   int
	MaxCallDuration time.Duration
}

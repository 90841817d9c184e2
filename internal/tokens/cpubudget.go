package tokens

import (
	"time"
)

// cpuBudget is the time that checks may take: a bucket that fills with a share of the time that passes. It has two parts, one
// for connections that have brought nothing bad and one for the others.
type cpuBudget struct {
	fraction  float64
	remaining [2]time.Duration // clean, suspect
	filledAt  time.Duration
}

const (
	cleanPool   = 0
	suspectPool = 1
)

// burstWindow is what a part may save up, as time of the clock: a second's worth, so that a shift that signs on at once is let in.
const burstWindow = time.Second

func newCPUBudget(fraction float64) cpuBudget {
	budget := cpuBudget{fraction: fraction}
	for i := range budget.remaining {
		budget.remaining[i] = budget.capacity()
	}
	return budget
}

func (b *cpuBudget) capacity() time.Duration {
	return time.Duration(b.fraction / 2 * float64(burstWindow))
}

func (b *cpuBudget) refill(now time.Duration) {
	for i := range b.remaining {
		b.remaining[i] = min(b.capacity(), b.remaining[i]+time.Duration(b.fraction/2*float64(max(0, now-b.filledAt))))
	}
	b.filledAt = max(b.filledAt, now)
}

func poolOf(suspect bool) int {
	if suspect {
		return suspectPool
	}
	return cleanPool
}

// waitTime is for how long no check may begin for such a connection, 0 if one may now.
func (b *cpuBudget) waitTime(now time.Duration, suspect bool) time.Duration {
	b.refill(now)
	if remaining := b.remaining[poolOf(suspect)]; remaining <= 0 && b.fraction > 0 {
		return max(time.Millisecond, time.Duration(float64(-remaining)/(b.fraction/2)))
	}
	return 0
}

// minRetryAfter is when whoever found no room is told to come again, at the least.
func (b *cpuBudget) minRetryAfter(now time.Duration, suspect bool) time.Duration {
	return max(b.waitTime(now, suspect), 20*time.Millisecond) // some dozen checks
}

// spend takes off what a check took. It may go below nothing: a check is not cut short.
func (b *cpuBudget) spend(now, duration time.Duration, suspect bool) {
	b.refill(now)
	b.remaining[poolOf(suspect)] -= duration
}

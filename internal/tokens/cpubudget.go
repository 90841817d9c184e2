package tokens

import "time"

const (
	// burstWindow bounds what a pool saves up: what it is given in so much time.
	burstWindow = time.Second
	// minRetryDelay is the shortest delay after which whoever found no capacity retries: some dozen checks.
	minRetryDelay = 20 * time.Millisecond
	// minPoolWait is the shortest wait for a pool that is used up.
	minPoolWait = time.Millisecond
)

// pool is a part of the budget. Each gets half of it.
type pool int

const (
	cleanPool   pool = iota // for connections that have brought no forged token
	suspectPool             // for the others
	poolCount
)

func poolOf(suspect bool) pool {
	if suspect {
		return suspectPool
	}
	return cleanPool
}

// cpuBudget is the time that checks may take: buckets that fill with a fraction of the time that passes.
type cpuBudget struct {
	fraction   float64 // of a core
	remaining  [poolCount]time.Duration
	refilledAt time.Duration
}

func newCPUBudget(fraction float64) cpuBudget {
	budget := cpuBudget{fraction: fraction}
	for i := range budget.remaining {
		budget.remaining[i] = budget.refillAmount(burstWindow)
	}
	return budget
}

// refillAmount is what a pool is given in some time.
func (b *cpuBudget) refillAmount(elapsed time.Duration) time.Duration {
	return time.Duration(b.fraction / float64(poolCount) * float64(elapsed))
}

func (b *cpuBudget) refill(now time.Duration) {
	added := b.refillAmount(max(0, now-b.refilledAt))
	for i := range b.remaining {
		b.remaining[i] = min(b.refillAmount(burstWindow), b.remaining[i]+added)
	}
	b.refilledAt = max(b.refilledAt, now)
}

// waitTime is for how long no check may begin for such a connection, 0 if one may now.
func (b *cpuBudget) waitTime(now time.Duration, suspect bool) time.Duration {
	b.refill(now)
	remaining := b.remaining[poolOf(suspect)]
	if remaining > 0 || b.fraction <= 0 {
		return 0
	}
	return max(minPoolWait, time.Duration(float64(-remaining)/(b.fraction/float64(poolCount))))
}

// minRetryAfter is the shortest delay after which whoever found no capacity retries.
func (b *cpuBudget) minRetryAfter(now time.Duration, suspect bool) time.Duration {
	return max(b.waitTime(now, suspect), minRetryDelay)
}

// spend takes off what a check took. A check is not cut short, so a pool may become negative.
func (b *cpuBudget) spend(now, duration time.Duration, suspect bool) {
	b.refill(now)
	b.remaining[poolOf(suspect)] -= duration
}

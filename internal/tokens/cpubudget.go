package tokens

import "time"

const (
	// burstWindow limits the unused CPU time of a pool: a pool holds at most the CPU time that it gains in one window.
	burstWindow = time.Second
	// minRetryDelay is the shortest delay after which a request that found no capacity may retry. It corresponds to about
	// a dozen checks.
	minRetryDelay = 20 * time.Millisecond
	// minPoolWait is the shortest wait for an exhausted pool.
	minPoolWait = time.Millisecond
)

// pool is one of the two equal parts of the budget.
type pool int

const (
	cleanPool   pool = iota // for connections that have sent no forged token
	suspectPool             // for connections that have sent forged tokens
	poolCount
)

func poolOf(suspect bool) pool {
	if suspect {
		return suspectPool
	}
	return cleanPool
}

// cpuBudget limits the CPU time of checks. It has one bucket for each pool, which fills with a fraction of the
// elapsed time.
type cpuBudget struct {
	fraction   float64                  // fraction of a CPU core, for all pools together
	remaining  [poolCount]time.Duration // CPU time; negative after a check that took more than the remaining time
	refilledAt time.Duration
}

func newCPUBudget(fraction float64) cpuBudget {
	budget := cpuBudget{fraction: fraction}
	for i := range budget.remaining {
		budget.remaining[i] = budget.refillAmount(burstWindow)
	}
	return budget
}

// refillAmount returns the CPU time that one pool gains in the elapsed time.
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

// waitTime returns the time until a check for a connection may start, and 0 if it may start now. suspect selects the
// pool.
func (b *cpuBudget) waitTime(now time.Duration, suspect bool) time.Duration {
	b.refill(now)
	remaining := b.remaining[poolOf(suspect)]
	if remaining > 0 || b.fraction <= 0 {
		return 0
	}
	return max(minPoolWait, time.Duration(float64(-remaining)/(b.fraction/float64(poolCount))))
}

// minRetryAfter returns the shortest delay after which a request that found no capacity may retry.
func (b *cpuBudget) minRetryAfter(now time.Duration, suspect bool) time.Duration {
	return max(b.waitTime(now, suspect), minRetryDelay)
}

// spend deducts the CPU time of a check from its pool. Checks are not interrupted, so a pool may become negative.
func (b *cpuBudget) spend(now, duration time.Duration, suspect bool) {
	b.refill(now)
	b.remaining[poolOf(suspect)] -= duration
}

package tokens

import (
	"container/heap"
	"time"

	"lanewheel/internal/authz"
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

// singleUseIDs remembers the ids of tokens that count for one op, until they expire.
type singleUseIDs struct {
	limit           int
	latestForgotten time.Time            // the latest expiry of those that are forgotten
	expiresAt       map[string]time.Time // expiry
	byExpiry        expiryHeap
}

// expiry is an id and when it may be forgotten.
type expiry struct {
	expiresAt time.Time
	id        string
}

type expiryHeap []expiry

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].expiresAt.Before(h[j].expiresAt) }
func (h expiryHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *expiryHeap) Push(x any)        { *h = append(*h, x.(expiry)) }
func (h *expiryHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	old[len(old)-1] = expiry{}
	*h = old[:len(old)-1]
	return x
}

func newSingleUseIDs(limit int) singleUseIDs {
	return singleUseIDs{limit: limit, expiresAt: map[string]time.Time{}}
}

// use notes an id. Danger: forgetting one before it expires lets it be used again. When the bound is reached nothing is
// forgotten; the newcomer is told to come again when the first one expires.
func (o *singleUseIDs) use(wall time.Time, id string, expiresAt time.Time) (authz.Denial, time.Duration) {
	if _, used := o.expiresAt[id]; used {
		return replayed, 0
	}
	for len(o.byExpiry) > 0 && !wall.Before(o.byExpiry[0].expiresAt) {
		first := heap.Pop(&o.byExpiry).(expiry)
		delete(o.expiresAt, first.id)
		o.latestForgotten = first.expiresAt
	}
	// Danger: a wall clock that steps back makes a token good again whose id is forgotten.
	if !expiresAt.After(o.latestForgotten) {
		return expired, 0
	}
	if len(o.expiresAt) >= o.limit {
		if len(o.byExpiry) == 0 {
			return "", time.Second
		}
		return "", max(time.Millisecond, o.byExpiry[0].expiresAt.Sub(wall))
	}
	o.expiresAt[id] = expiresAt
	heap.Push(&o.byExpiry, expiry{expiresAt, id})
	return "", 0
}

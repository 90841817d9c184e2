package tokens

import (
	"container/heap"
	"time"

	"lanewheel/internal/rights"
)

// budget is the time that checks may take: a bucket that fills with a share of the time that passes. It has two parts, one
// for connections that have brought nothing bad and one for the others.
type budget struct {
	share float64
	left  [2]time.Duration // clean, suspect
	at    time.Duration
}

const (
	clean   = 0
	suspect = 1
)

// depth is what a part may save up, as time of the clock: a second's worth, so that a shift that signs on at once is let in.
const depth = time.Second

func newBudget(share float64) budget {
	b := budget{share: share}
	for i := range b.left {
		b.left[i] = b.full()
	}
	return b
}

func (b *budget) full() time.Duration { return time.Duration(b.share / 2 * float64(depth)) }

func (b *budget) fill(now time.Duration) {
	for i := range b.left {
		b.left[i] = min(b.full(), b.left[i]+time.Duration(b.share/2*float64(max(0, now-b.at))))
	}
	b.at = max(b.at, now)
}

func part(isSuspect bool) int {
	if isSuspect {
		return suspect
	}
	return clean
}

// wait is for how long no check may begin for such a connection, 0 if one may now.
func (b *budget) wait(now time.Duration, isSuspect bool) time.Duration {
	b.fill(now)
	if left := b.left[part(isSuspect)]; left <= 0 && b.share > 0 {
		return max(time.Millisecond, time.Duration(float64(-left)/(b.share/2)))
	}
	return 0
}

// soonest is when whoever found no room is told to come again, at the least.
func (b *budget) soonest(now time.Duration, isSuspect bool) time.Duration {
	return max(b.wait(now, isSuspect), 20*time.Millisecond) // some dozen checks
}

// spend takes off what a check took. It may go below nothing: a check is not cut short.
func (b *budget) spend(now, took time.Duration, isSuspect bool) {
	b.fill(now)
	b.left[part(isSuspect)] -= took
}

// once remembers the ids of tokens that count for one op, until they expire.
type once struct {
	most int
	gone time.Time            // the latest expiry of those that are forgotten
	at   map[string]time.Time // expiry
	heap expiries
}

// expiry is an id and when it may be forgotten.
type expiry struct {
	at time.Time
	id string
}

type expiries []expiry

func (h expiries) Len() int           { return len(h) }
func (h expiries) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h expiries) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *expiries) Push(x any)        { *h = append(*h, x.(expiry)) }
func (h *expiries) Pop() any {
	old := *h
	x := old[len(old)-1]
	old[len(old)-1] = expiry{}
	*h = old[:len(old)-1]
	return x
}

func newOnce(most int) once { return once{most: most, at: map[string]time.Time{}} }

// use notes an id. Danger: forgetting one before it expires lets it be used again. When the bound is reached nothing is
// forgotten; the newcomer is told to come again when the first one expires.
func (o *once) use(wall time.Time, id string, expires time.Time) (rights.Denial, time.Duration) {
	if _, used := o.at[id]; used {
		return Replayed, 0
	}
	for len(o.heap) > 0 && !wall.Before(o.heap[0].at) {
		first := heap.Pop(&o.heap).(expiry)
		delete(o.at, first.id)
		o.gone = first.at
	}
	// Danger: a wall clock that steps back makes a token good again whose id is forgotten.
	if !expires.After(o.gone) {
		return Expired, 0
	}
	if len(o.at) >= o.most {
		if len(o.heap) == 0 {
			return "", time.Second
		}
		return "", max(time.Millisecond, o.heap[0].at.Sub(wall))
	}
	o.at[id] = expires
	heap.Push(&o.heap, expiry{expires, id})
	return "", 0
}

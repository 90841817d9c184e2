package tokens

import (
	"container/heap"
	"time"

	"lanewheel/internal/authz"
)

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

func (h expiryHeap) Len() int { return len(h) }

func (h expiryHeap) Less(i, j int) bool { return h[i].expiresAt.Before(h[j].expiresAt) }

func (h expiryHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *expiryHeap) Push(x any) { *h = append(*h, x.(expiry)) }

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

package tokens

import (
	"container/heap"
	"time"

	"lanewheel/internal/authz"
)

const (
	minSingleUseDelay = time.Millisecond // the shortest wait for an id to expire
	zeroLimitDelay    = time.Second      // where no id may be remembered at all
)

// singleUseIDs remembers the ids of tokens that count for one request, until they expire.
type singleUseIDs struct {
	limit                 int
	expiries              map[string]time.Time
	byExpiry              expiryHeap
	latestForgottenExpiry time.Time // the latest expiry of an id that was forgotten
}

func newSingleUseIDs(limit int) singleUseIDs {
	return singleUseIDs{limit: limit, expiries: map[string]time.Time{}}
}

// use notes an id. Forgetting one before it expires would let it be used again: at the limit nothing is forgotten,
// and a new id has to wait until the first one expires.
func (s *singleUseIDs) use(wall time.Time, id string, expiresAt time.Time) (denial authz.Denial, wait time.Duration) {
	if _, used := s.expiries[id]; used {
		return replayed, 0
	}
	s.forgetExpired(wall)
	// A wall clock that steps back must not make a token good again whose id is forgotten.
	if !expiresAt.After(s.latestForgottenExpiry) {
		return expired, 0
	}
	if len(s.expiries) >= s.limit {
		if len(s.byExpiry) == 0 {
			return "", zeroLimitDelay
		}
		return "", max(minSingleUseDelay, s.byExpiry[0].expiresAt.Sub(wall))
	}
	s.expiries[id] = expiresAt
	heap.Push(&s.byExpiry, expiry{expiresAt, id})
	return "", 0
}

func (s *singleUseIDs) forgetExpired(wall time.Time) {
	for len(s.byExpiry) > 0 && !wall.Before(s.byExpiry[0].expiresAt) {
		first := heap.Pop(&s.byExpiry).(expiry)
		delete(s.expiries, first.id)
		s.latestForgottenExpiry = first.expiresAt
	}
}

// expiry is an id and when it may be forgotten.
type expiry struct {
	expiresAt time.Time
	id        string
}

// expiryHeap is a container/heap with the earliest expiry first.
type expiryHeap []expiry

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].expiresAt.Before(h[j].expiresAt) }
func (h expiryHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push is called by container/heap.
func (h *expiryHeap) Push(x any) { *h = append(*h, x.(expiry)) }

// Pop is called by container/heap.
func (h *expiryHeap) Pop() any {
	last := len(*h) - 1
	popped := (*h)[last]
	(*h)[last] = expiry{}
	*h = (*h)[:last]
	return popped
}

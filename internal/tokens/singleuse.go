package tokens

import (
	"container/heap"
	"time"

	"lanewheel/internal/authz"
)

const (
	minSingleUseDelay = time.Millisecond // the shortest wait for a remembered ID to expire
	zeroLimitDelay    = time.Second      // the wait if the limit is zero and therefore no ID can be remembered
)

// singleUseIDs remembers the IDs of used single-use tokens until the tokens expire.
type singleUseIDs struct {
	limit                 int
	expiries              map[string]time.Time
	byExpiry              expiryHeap
	latestForgottenExpiry time.Time // the latest expiry of all forgotten IDs
}

func newSingleUseIDs(limit int) singleUseIDs {
	return singleUseIDs{limit: limit, expiries: map[string]time.Time{}}
}

// use records the use of an ID. It returns a denial if the ID is already recorded, or if the token expires no later
// than one whose ID is forgotten. An ID that is forgotten before it expires could be used again, so no ID is forgotten
// early: at the limit, use records nothing and returns the time until the first remembered ID expires.
func (s *singleUseIDs) use(wall time.Time, id string, expiresAt time.Time) (denial authz.Denial, wait time.Duration) {
	if _, used := s.expiries[id]; used {
		return replayed, 0
	}
	s.forgetExpired(wall)
	// If the wall clock steps back, a token whose ID is already forgotten must not become valid again.
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

// forgetExpired forgets the IDs of tokens that have expired at the given time.
func (s *singleUseIDs) forgetExpired(wall time.Time) {
	for len(s.byExpiry) > 0 && !wall.Before(s.byExpiry[0].expiresAt) {
		first := heap.Pop(&s.byExpiry).(expiry)
		delete(s.expiries, first.id)
		s.latestForgottenExpiry = first.expiresAt
	}
}

// expiry is a remembered ID and the time from which it may be forgotten.
type expiry struct {
	expiresAt time.Time
	id        string
}

// expiryHeap implements heap.Interface with the earliest expiry first.
type expiryHeap []expiry

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].expiresAt.Before(h[j].expiresAt) }
func (h expiryHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *expiryHeap) Push(x any) { *h = append(*h, x.(expiry)) }

// Pop implements heap.Interface.
func (h *expiryHeap) Pop() any {
	last := len(*h) - 1
	popped := (*h)[last]
	(*h)[last] = expiry{}
	*h = (*h)[:last]
	return popped
}

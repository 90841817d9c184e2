package concurrencylease

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"lanewheel/internal/membership"
)

// maxUnconfirmed is how many leases of a holder are told apart that it may go by; beyond that the oldest two count as
// the greater one. Each request says which are behind its holder, so more are only kept of a holder that receives
// nothing.
const maxUnconfirmed = 8

// Allocator grants leases. It belongs to one goroutine.
type Allocator struct {
	config Config
	bootID membership.BootID
	// renewOnlyUntil is until when leases of an earlier allocator, of which this one knows nothing, may be in force.
	renewOnlyUntil time.Duration
	holders        map[membership.ID]*holderState
	committed      int // sum of the holders' committed calls
	fenced         bool
	share          fairShare

	rejectedRequests uint64 // of holders for which there is no room
	ignoredRequests  uint64 // late or duplicated
}

// holderState is what the allocator knows of one holder.
type holderState struct {
	hash        uint64      // of its identity
	sequence    uint64      // of its last request
	unconfirmed []HeldLease // leases that it may go by, the oldest first
	openCalls   int
	wantedCalls int
	expiresAt   time.Duration // when none of its calls can be running any more
	committed   int           // calls that it may have running
}

// NewAllocator makes an allocator that knows nothing of what was granted before it. Until all of that is over it only
// renews what holders say they have, which together is no more than what was granted.
func NewAllocator(config Config, bootID membership.BootID, now time.Duration) *Allocator {
	return &Allocator{
		config:         config,
		bootID:         bootID,
		renewOnlyUntil: config.latestCallEnd(now),
		holders:        map[membership.ID]*holderState{},
		share:          fairShare{stale: true},
	}
}

// Fence ends it: a later process has its name, and grants.
func (a *Allocator) Fence() { a.fenced = true }

// SetConfig replaces the configuration. A lower capacity holds for what is granted from now on; leases in force run out
// by their time.
func (a *Allocator) SetConfig(config Config) {
	// Calls that may take increase from now on outlive what was expected of leases in force.
	if increase := config.latestCallEnd(0) - a.config.latestCallEnd(0); increase > 0 {
		for _, holder := range a.holders {
			holder.expiresAt += increase
		}
	}
	a.config = config
	a.share.stale = true
}

// RenewOnly reports whether it only renews leases of an earlier allocator yet.
func (a *Allocator) RenewOnly(now time.Duration) bool { return now < a.renewOnlyUntil }

// Committed is how many calls may be running by leases, and how many holders there are.
func (a *Allocator) Committed(now time.Duration) (calls, holders int) {
	a.expireHolders(now)
	return a.committed, len(a.holders)
}

// HandleRequest answers a request; ok is false if it gets no answer.
func (a *Allocator) HandleRequest(now time.Duration, request Request) (lease Lease, ok bool) {
	if a.fenced {
		return lease, false
	}
	a.expireHolders(now)
	holder := a.admit(request)
	if holder == nil {
		return lease, false
	}
	renewable := a.recordRequest(now, holder, request)
	limit := a.limit(now, holder, renewable)
	a.recordLease(now, holder, HeldLease{AllocatorBootID: a.bootID, Sequence: request.Sequence, Limit: limit})
	return Lease{
		AllocatorBootID: a.bootID,
		Sequence:        request.Sequence,
		Limit:           limit,
		Duration:        a.config.LeaseDuration,
		UnleasedCalls:   a.config.UnleasedCalls,
		MaxCallDuration: a.config.MaxCallDuration,
	}, true
}

// admit gives the state of a request's holder, nil if the request is not to be answered.
func (a *Allocator) admit(request Request) *holderState {
	holder := a.holders[request.Holder]
	switch {
	case holder != nil && request.Sequence <= holder.sequence:
		a.ignoredRequests++
		return nil
	case holder != nil:
		return holder
	case len(a.holders) >= a.config.MaxHolders:
		a.rejectedRequests++
		return nil
	}
	holder = &holderState{hash: xxhash.Sum64String(request.Holder.String())}
	a.holders[request.Holder] = holder
	return holder
}

// recordRequest takes over what a holder has and wants, and gives what an earlier allocator leased to it that may be
// renewed. Numbers are cut to the capacity, so that no sum overflows.
func (a *Allocator) recordRequest(now time.Duration, holder *holderState, request Request) (renewable int) {
	holder.sequence = request.Sequence
	holder.openCalls = a.clamp(request.OpenCalls)
	holder.wantedCalls = a.clamp(request.WantedCalls)
	a.share.stale = true
	if request.Held.AllocatorBootID == a.bootID {
		holder.unconfirmed = slices.DeleteFunc(holder.unconfirmed, func(lease HeldLease) bool {
			return lease.Sequence < request.Held.Sequence
		})
	} else if a.RenewOnly(now) && request.Held.AllocatorBootID != 0 {
		renewable = a.clamp(request.Held.Limit)
	}
	a.updateCommitted(holder)
	return renewable
}

func (a *Allocator) clamp(calls int) int { return min(max(0, calls), a.config.Capacity) }

// limit is how many calls a holder gets.
func (a *Allocator) limit(now time.Duration, holder *holderState, renewable int) int {
	if !a.RenewOnly(now) {
		available := max(0, a.config.LeasableCalls()-(a.committed-holder.committed))
		return min(holder.wantedCalls, a.fairLimit(now, holder), available)
	}
	// A holder that goes by a lease of ours already has that renewed.
	for _, lease := range holder.unconfirmed {
		renewable = max(renewable, lease.Limit)
	}
	return min(renewable, holder.wantedCalls)
}

// recordLease notes a lease that its holder may go by from now on.
func (a *Allocator) recordLease(now time.Duration, holder *holderState, lease HeldLease) {
	if len(holder.unconfirmed) >= maxUnconfirmed {
		holder.unconfirmed[1].Limit = max(holder.unconfirmed[0].Limit, holder.unconfirmed[1].Limit)
		holder.unconfirmed = slices.Delete(holder.unconfirmed, 0, 1)
	}
	holder.unconfirmed = append(holder.unconfirmed, lease)
	holder.expiresAt = a.config.latestCallEnd(now)
	a.updateCommitted(holder)
}

// updateCommitted recounts the calls that a holder may have running, by all leases that it may go by.
func (a *Allocator) updateCommitted(holder *holderState) {
	a.committed -= holder.committed
	holder.committed = holder.openCalls
	for _, lease := range holder.unconfirmed {
		holder.committed = max(holder.committed, lease.Limit)
	}
	a.committed += holder.committed
}

// expireHolders drops holders none of whose calls can be running any more.
func (a *Allocator) expireHolders(now time.Duration) {
	for id, holder := range a.holders {
		if now >= holder.expiresAt && holder.expiresAt > 0 {
			a.committed -= holder.committed
			delete(a.holders, id)
			a.share.stale = true
		}
	}
}

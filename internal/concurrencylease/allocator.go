package concurrencylease

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"lanewheel/internal/membership"
)

// maxUnconfirmed is the maximum number of leases per holder that are tracked because the holder may be using any of
// them. Beyond it, the oldest two are merged into one with the larger limit. Each request confirms the lease that its
// holder uses, so only a holder that receives no leases reaches the maximum.
const maxUnconfirmed = 8

// Allocator grants leases. All methods must be called from the same goroutine.
type Allocator struct {
	config Config
	bootID membership.BootID
	// renewOnlyUntil is the time until which calls under leases of an earlier allocator may be running. This allocator has
	// no record of those leases.
	renewOnlyUntil time.Duration
	holders        map[membership.ID]*holderState
	committed      int // sum of the holders' committed calls
	fenced         bool
	share          fairShare

	rejectedRequests uint64 // requests of new holders beyond Config.MaxHolders
	ignoredRequests  uint64 // late or duplicated requests
}

// holderState is the allocator's record of one holder.
type holderState struct {
	hash        uint64        // of the holder's ID
	sequence    uint64        // of the last request
	unconfirmed []HeldLease   // leases that the holder may be using, oldest first
	openCalls   int           // as of the last request
	wantedCalls int           // as of the last request
	expiresAt   time.Duration // time by which the last call under any of the leases has ended
	committed   int           // maximum number of calls that the holder may have running
}

// NewAllocator returns an allocator that has no record of leases granted by an earlier one. Until the last call under
// those has ended, it only renews the leases that holders report. Their sum does not exceed the calls that the earlier
// allocator granted.
func NewAllocator(config Config, bootID membership.BootID, now time.Duration) *Allocator {
	return &Allocator{
		config:         config,
		bootID:         bootID,
		renewOnlyUntil: config.latestCallEnd(now),
		holders:        map[membership.ID]*holderState{},
		share:          fairShare{stale: true},
	}
}

// Fence makes the allocator stop answering requests, because a later process with the same name has taken over.
func (a *Allocator) Fence() { a.fenced = true }

// SetConfig replaces the configuration. A lower capacity applies to leases granted from now on; leases in force keep
// their limit until they expire.
func (a *Allocator) SetConfig(config Config) {
	// With a longer lease or call duration, calls under leases in force may end later than computed when they were
	// granted.
	if increase := config.latestCallEnd(0) - a.config.latestCallEnd(0); increase > 0 {
		for _, holder := range a.holders {
			holder.expiresAt += increase
		}
	}
	a.config = config
	a.share.stale = true
}

// RenewOnly reports whether the allocator still only renews leases of an earlier allocator.
func (a *Allocator) RenewOnly(now time.Duration) bool { return now < a.renewOnlyUntil }

// Committed returns the maximum number of calls that may be running under leases, and the number of holders.
func (a *Allocator) Committed(now time.Duration) (calls, holders int) {
	a.expireHolders(now)
	return a.committed, len(a.holders)
}

// HandleRequest returns the lease that answers a request. ok is false if the request is not answered: the allocator is
// fenced, the request is late or duplicated, or its holder is new and there are already Config.MaxHolders holders.
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

// admit returns the state of a request's holder, or nil if the request must not be answered.
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

// recordRequest records the open and wanted calls of a holder, and drops the leases that the request shows to be
// superseded. It returns the limit of a lease of an earlier allocator that may be renewed, 0 for none. Numbers are
// clamped to the capacity so that no sum overflows.
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

// limit returns the number of concurrent calls to lease to a holder.
func (a *Allocator) limit(now time.Duration, holder *holderState, renewable int) int {
	if !a.RenewOnly(now) {
		available := max(0, a.config.LeasableCalls()-(a.committed-holder.committed))
		return min(holder.wantedCalls, a.fairLimit(now, holder), available)
	}
	// If the holder may already be using a lease of this allocator, that lease is renewed.
	for _, lease := range holder.unconfirmed {
		renewable = max(renewable, lease.Limit)
	}
	return min(renewable, holder.wantedCalls)
}

// recordLease records a lease that its holder may use from now on.
func (a *Allocator) recordLease(now time.Duration, holder *holderState, lease HeldLease) {
	if len(holder.unconfirmed) >= maxUnconfirmed {
		holder.unconfirmed[1].Limit = max(holder.unconfirmed[0].Limit, holder.unconfirmed[1].Limit)
		holder.unconfirmed = slices.Delete(holder.unconfirmed, 0, 1)
	}
	holder.unconfirmed = append(holder.unconfirmed, lease)
	holder.expiresAt = a.config.latestCallEnd(now)
	a.updateCommitted(holder)
}

// updateCommitted recomputes the number of calls that a holder may have running: the maximum of its open calls and the
// limits of all leases that it may be using.
func (a *Allocator) updateCommitted(holder *holderState) {
	a.committed -= holder.committed
	holder.committed = holder.openCalls
	for _, lease := range holder.unconfirmed {
		holder.committed = max(holder.committed, lease.Limit)
	}
	a.committed += holder.committed
}

// expireHolders removes holders that cannot have calls running any more.
func (a *Allocator) expireHolders(now time.Duration) {
	for id, holder := range a.holders {
		if now >= holder.expiresAt && holder.expiresAt > 0 {
			a.committed -= holder.committed
			delete(a.holders, id)
			a.share.stale = true
		}
	}
}

// Package concurrencylease shares a hard cap on calls to one service below among all processes of a fleet. A desk
// beside the service grants each holder so many calls at a time, for a while; whatever views the processes have of
// each other, and whatever is lost, late, twice or out of order between them, the calls of all together never pass
// the cap. It is pure: what came is handed in with its time. docs/below.md says which ways were weighed, and why it
// holds.
package concurrencylease

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"lanewheel/internal/membership"
)

// Allocator grants. It belongs to one goroutine.
type Allocator struct {
	config           Config
	bootID           membership.BootID
	renewOnlyUntil   time.Duration // until then what an earlier desk granted may be in force
	holders          map[membership.ID]*holderState
	committed        int // sum of the holders' bounds
	fenced           bool
	levelAt          time.Duration // when the level was worked out
	level            int
	extraHolders     int // holders that get one more than the level, by lot
	levelStale       bool
	rejectedRequests uint64 // asks of holders that there is no room to know
	ignoredRequests  uint64 // asks that came late or twice
}

// holderState is what the desk keeps of one.
type holderState struct {
	hash        uint64
	sequence    uint64
	unconfirmed []HeldLease // grants that it may go by, the oldest first
	openCalls   int
	wantedCalls int
	expiresAt   time.Duration // when all of it is over
	committed   int
}

// maxUnconfirmed is how many grants are told apart of which no word came back; beyond that the oldest two count as
// the greater one. An ask that comes says which are behind it, so more are only kept of a holder that hears nothing.
const maxUnconfirmed = 8

// NewAllocator begins at the desk. Danger: a desk that is started anew knows nothing of what the one before granted.
// Until all of that is over it only renews what holders say they have, which together is no more than that one
// granted.
func NewAllocator(config Config, bootID membership.BootID, now time.Duration) *Allocator {
	return &Allocator{config: config, bootID: bootID, renewOnlyUntil: config.expiredBy(now), holders: map[membership.ID]*holderState{}, levelStale: true}
}

// Fence ends it: a later life has the desk, and grants.
func (d *Allocator) Fence() { d.fenced = true }

// SetConfig takes values that were told anew. A cap that is lower holds for what is granted from now on. What is in
// force runs out by its time.
func (d *Allocator) SetConfig(config Config, now time.Duration) {
	// Danger: a call that is allowed to last longer outlives what was reckoned with.
	if config.expiredBy(0) > d.config.expiredBy(0) {
		for _, holder := range d.holders {
			holder.expiresAt += config.expiredBy(0) - d.config.expiredBy(0)
		}
	}
	d.config, d.levelStale = config, true
}

// RenewOnly tells whether the desk still only renews.
func (d *Allocator) RenewOnly(now time.Duration) bool { return now < d.renewOnlyUntil }

// Committed is how many calls may be running by grants, and how many holders there are.
func (d *Allocator) Committed(now time.Duration) (calls, holders int) {
	d.expireHolders(now)
	return d.committed, len(d.holders)
}

// HandleRequest answers an ask; ok is false if it gets no answer.
func (d *Allocator) HandleRequest(now time.Duration, request Request) (lease Lease, ok bool) {
	if d.fenced {
		return lease, false
	}
	d.expireHolders(now)
	holder := d.holders[request.Holder]
	switch {
	case holder != nil && request.Sequence <= holder.sequence:
		d.ignoredRequests++
		return lease, false
	case holder == nil && len(d.holders) >= d.config.MaxHolders:
		d.rejectedRequests++
		return lease, false
	case holder == nil:
		holder = &holderState{hash: xxhash.Sum64String(request.Holder.String())}
		d.holders[request.Holder] = holder
	}
	holder.sequence = request.Sequence
	maxCalls := d.config.Capacity // Danger: nonsense, which would have the sums overflow
	holder.openCalls, holder.wantedCalls = min(max(0, request.OpenCalls), maxCalls), min(max(0, request.WantedCalls), maxCalls)
	renewable := 0 // what an earlier desk granted it and is in force still; once we are quiet no more that is over
	if request.Held.AllocatorBootID == d.bootID {
		holder.unconfirmed = slices.DeleteFunc(holder.unconfirmed, func(held HeldLease) bool { return held.Sequence < request.Held.Sequence })
	} else if d.RenewOnly(now) && request.Held.AllocatorBootID != 0 {
		renewable = min(max(0, request.Held.Limit), maxCalls)
	}
	d.levelStale = true
	d.updateCommitted(holder)
	limit := 0
	if d.RenewOnly(now) {
		// What an earlier desk granted and it still goes by, or, once it goes by ours, what that renewed.
		limit = renewable
		for _, held := range holder.unconfirmed {
			limit = max(limit, held.Limit)
		}
		limit = min(limit, holder.wantedCalls)
	} else {
		limit = min(holder.wantedCalls, d.fairShare(now, holder), max(0, d.config.LeasableCalls()-(d.committed-holder.committed)))
	}
	if len(holder.unconfirmed) >= maxUnconfirmed {
		holder.unconfirmed[1].Limit = max(holder.unconfirmed[0].Limit, holder.unconfirmed[1].Limit)
		holder.unconfirmed = slices.Delete(holder.unconfirmed, 0, 1)
	}
	holder.unconfirmed = append(holder.unconfirmed, HeldLease{AllocatorBootID: d.bootID, Sequence: request.Sequence, Limit: limit})
	holder.expiresAt = d.config.expiredBy(now)
	d.updateCommitted(holder)
	return Lease{AllocatorBootID: d.bootID, Sequence: request.Sequence, Limit: limit, Duration: d.config.LeaseDuration, UnleasedCalls: d.config.UnleasedCalls, MaxCallDuration: d.config.MaxCallDuration}, true
}

// updateCommitted works out how many calls a holder may have running, by all that it may go by.
func (d *Allocator) updateCommitted(holder *holderState) {
	d.committed -= holder.committed
	holder.committed = holder.openCalls
	for _, held := range holder.unconfirmed {
		holder.committed = max(holder.committed, held.Limit)
	}
	d.committed += holder.committed
}

// expireHolders forgets holders of whom nothing can be running any more.
func (d *Allocator) expireHolders(now time.Duration) {
	for id, holder := range d.holders {
		if now >= holder.expiresAt && holder.expiresAt > 0 {
			d.committed -= holder.committed
			delete(d.holders, id)
			d.levelStale = true
		}
	}
}

package concurrencylease

import (
	"math"
	"time"

	"lanewheel/internal/membership"
)

// Holder is one process's side of a desk. It belongs to one goroutine.
type Holder struct {
	ID               membership.ID
	MaxUnleasedCalls int           // calls at a time that may be made without a grant, as told here
	MaxCallDuration  time.Duration // that one may last, as told here or by the desk, whichever is less
	// Alone is how many may be made without a grant, once the desk has said so. Danger: who has not heard yet what is
	// set aside makes none.
	UnleasedCalls int

	held          HeldLease
	expiresAt     time.Duration
	sequence      uint64
	sent          [8]sentRequest // the last ones, by seq
	nextRequest   time.Duration
	leaseDuration time.Duration // of the last grant
	peakDemand    float64       // calls wanted at a time, fading
	peakAt        time.Duration
}

type sentRequest struct {
	sequence        uint64
	allocatorBootID membership.BootID
	sentAt          time.Duration
}

// initialLeaseDuration is how long a grant is taken to hold before one has come.
const initialLeaseDuration = 2 * time.Second

// RecordDemand notes how many calls are wanted at a time now, those in hand among them.
func (h *Holder) RecordDemand(now time.Duration, calls int) {
	// It fades by half in the time that a grant holds: a burst is wanted again soon, or not.
	h.peakDemand *= math.Exp2(-float64(now-h.peakAt) / float64(h.currentLeaseDuration()))
	h.peakAt = now
	h.peakDemand = max(h.peakDemand, float64(calls))
}

func (h *Holder) currentLeaseDuration() time.Duration {
	if h.leaseDuration > 0 {
		return h.leaseDuration
	}
	return initialLeaseDuration
}

// wantedCalls is a quarter and one more than was wanted of late: a desk is asked some times a second, calls come by
// the hundred.
func (h *Holder) wantedCalls(now time.Duration) int {
	h.RecordDemand(now, 0)
	if h.peakDemand < 0.05 {
		return 0
	}
	return max(0, int(math.Ceil(h.peakDemand*1.25))+1-h.UnleasedCalls)
}

// Limit is how many calls may be made at a time.
func (h *Holder) Limit(now time.Duration) int {
	if now >= h.expiresAt { // Danger: what is over here may be another's already
		return h.UnleasedCalls
	}
	return h.UnleasedCalls + h.held.Limit
}

// NextRequestAt is when the desk is to be asked next: four times while a grant holds, sooner while calls wait that it
// has not heard of.
func (h *Holder) NextRequestAt(now time.Duration, waiting bool) time.Duration {
	if waiting && h.nextRequest > now {
		// Danger: hundreds that are short of calls, and each asks for every one. Once in a sixteenth of a grant is soon
		// enough.
		return min(h.nextRequest, h.lastRequestAt()+h.currentLeaseDuration()/16)
	}
	return h.nextRequest
}

func (h *Holder) lastRequestAt() time.Duration { return h.sent[h.sequence%uint64(len(h.sent))].sentAt }

// NextRequest makes the next ask of a desk; open is the calls that may be running below.
func (h *Holder) NextRequest(now time.Duration, allocatorBootID membership.BootID, openCalls int) Request {
	h.sequence++
	h.sent[h.sequence%uint64(len(h.sent))] = sentRequest{h.sequence, allocatorBootID, now}
	h.nextRequest = now + h.currentLeaseDuration()/4
	request := Request{Holder: h.ID, Sequence: h.sequence, Held: h.held, OpenCalls: max(0, openCalls-h.UnleasedCalls), WantedCalls: h.wantedCalls(now)}
	if now >= h.expiresAt {
		request.Held.Limit = 0
	}
	return request
}

// Accept takes an answer, and tells whether it counts. It holds from when it was asked for, so that it ends here
// before it does at the desk, however long it took to come.
func (h *Holder) Accept(now time.Duration, lease Lease) bool {
	sent := h.sent[lease.Sequence%uint64(len(h.sent))]
	// Danger: an answer that travelled for long; one of a desk that is over; one to an ask before the last that was
	// answered.
	if sent.sequence != lease.Sequence || sent.allocatorBootID != lease.AllocatorBootID || lease.AllocatorBootID == h.held.AllocatorBootID && lease.Sequence <= h.held.Sequence || lease.Sequence <= h.held.Sequence || lease.Limit < 0 || lease.Duration <= 0 {
		return false
	}
	h.UnleasedCalls = min(h.MaxUnleasedCalls, max(0, lease.UnleasedCalls))
	if lease.MaxCallDuration > 0 {
		h.MaxCallDuration = min(h.MaxCallDuration, lease.MaxCallDuration)
	}
	h.held, h.leaseDuration, h.expiresAt = HeldLease{lease.AllocatorBootID, lease.Sequence, lease.Limit}, lease.Duration, sent.sentAt+lease.Duration
	return true
}

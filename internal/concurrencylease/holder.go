package concurrencylease

import (
	"math"
	"time"

	"lanewheel/internal/membership"
)

const (
	// initialLeaseDuration is how long a lease is taken to last before one has come.
	initialLeaseDuration = 2 * time.Second
	// requestsPerLease is how often a lease is renewed while it holds, so that two messages in a row may be lost.
	requestsPerLease = 4
	// waitingRequestsPerLease is the same while calls wait that the allocator does not know of. It keeps hundreds of
	// holders that are short of calls from sending a request for each call.
	waitingRequestsPerLease = 16
	// A holder asks for demandHeadroom times its recent peak and one call more, as requests are sent some times a second
	// and calls come by the hundred. A peak under negligibleDemand calls has faded away.
	demandHeadroom   = 1.25
	negligibleDemand = 0.05
	// maxTrackedRequests is how many requests may be under way whose answers are told apart.
	maxTrackedRequests = 8
)

// Holder is one process's side of an allocator. It belongs to one goroutine.
type Holder struct {
	ID               membership.ID
	MaxUnleasedCalls int           // the configured bound of UnleasedCalls
	MaxCallDuration  time.Duration // that a call may take, as configured or as the allocator says, whichever is less
	// UnleasedCalls is how many calls may be made without a lease. It is 0 until the allocator has said what is set aside.
	UnleasedCalls int

	held          HeldLease
	expiresAt     time.Duration
	sequence      uint64                          // of the last request
	sent          [maxTrackedRequests]sentRequest // the last ones, by sequence
	nextRequest   time.Duration
	leaseDuration time.Duration // of the last lease, 0 before the first
	peakDemand    float64       // recent peak of the calls wanted at a time, as of peakAt; it decays
	peakAt        time.Duration
}

type sentRequest struct {
	sequence        uint64
	allocatorBootID membership.BootID
	sentAt          time.Duration
}

// RecordDemand notes how many calls are wanted at a time now, with those that are open. The recorded peak decays by
// half in the duration of a lease: a burst comes again soon, or not.
func (h *Holder) RecordDemand(now time.Duration, calls int) {
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

// wantedCalls is how many calls to ask for, beyond those without a lease.
func (h *Holder) wantedCalls(now time.Duration) int {
	h.RecordDemand(now, 0)
	if h.peakDemand < negligibleDemand {
		return 0
	}
	return max(0, int(math.Ceil(h.peakDemand*demandHeadroom))+1-h.UnleasedCalls)
}

// Limit is how many calls may be made at a time. What was leased beyond its time may be another holder's already.
func (h *Holder) Limit(now time.Duration) int {
	if now >= h.expiresAt {
		return h.UnleasedCalls
	}
	return h.UnleasedCalls + h.held.Limit
}

// NextRequestAt is when the next request is due; sooner while calls wait.
func (h *Holder) NextRequestAt(now time.Duration, waiting bool) time.Duration {
	if !waiting || h.nextRequest <= now {
		return h.nextRequest
	}
	soonest := h.sentSlot(h.sequence).sentAt + h.currentLeaseDuration()/waitingRequestsPerLease
	return min(h.nextRequest, soonest)
}

// sentSlot is what is remembered at the place of a sequence.
func (h *Holder) sentSlot(sequence uint64) *sentRequest { return &h.sent[sequence%maxTrackedRequests] }

// NextRequest makes the next request to an allocator; openCalls is the calls that may be running.
func (h *Holder) NextRequest(now time.Duration, allocatorBootID membership.BootID, openCalls int) Request {
	h.sequence++
	*h.sentSlot(h.sequence) = sentRequest{sequence: h.sequence, allocatorBootID: allocatorBootID, sentAt: now}
	h.nextRequest = now + h.currentLeaseDuration()/requestsPerLease
	request := Request{
		Holder:      h.ID,
		Sequence:    h.sequence,
		Held:        h.held,
		OpenCalls:   max(0, openCalls-h.UnleasedCalls),
		WantedCalls: h.wantedCalls(now),
	}
	if now >= h.expiresAt {
		request.Held.Limit = 0
	}
	return request
}

// Accept takes an answer, and reports whether it counts. A lease lasts from when it was requested, so that it ends here
// before it does at the allocator, however long the answer took.
func (h *Holder) Accept(lease Lease) bool {
	sent := h.sentSlot(lease.Sequence)
	answersOwnRequest := sent.sequence == lease.Sequence && sent.allocatorBootID == lease.AllocatorBootID
	if !answersOwnRequest || lease.Sequence <= h.held.Sequence || lease.Limit < 0 || lease.Duration <= 0 {
		return false // very late, of another allocator, older than the last one, or out of range
	}
	h.UnleasedCalls = min(h.MaxUnleasedCalls, max(0, lease.UnleasedCalls))
	if lease.MaxCallDuration > 0 {
		h.MaxCallDuration = min(h.MaxCallDuration, lease.MaxCallDuration)
	}
	h.held = HeldLease{AllocatorBootID: lease.AllocatorBootID, Sequence: lease.Sequence, Limit: lease.Limit}
	h.leaseDuration = lease.Duration
	h.expiresAt = sent.sentAt + lease.Duration
	return true
}

package concurrencylease

import (
	"math"
	"time"

	"lanewheel/internal/membership"
)

const (
	// initialLeaseDuration is the assumed duration of a lease until the first one is received.
	initialLeaseDuration = 2 * time.Second
	// requestsPerLease is the number of renewal requests per lease duration. With 4, two consecutive messages may be
	// lost without the lease expiring.
	requestsPerLease = 4
	// waitingRequestsPerLease is the maximum number of requests per lease duration while there are waiting calls that the
	// allocator has not been informed of. It keeps hundreds of holders that have too few calls from sending one request
	// per call.
	waitingRequestsPerLease = 16
	// A holder requests demandHeadroom times its recent peak plus one call, because requests are sent only a few times
	// per second while calls arrive by the hundred. A decayed peak below negligibleDemand calls counts as no demand.
	demandHeadroom   = 1.25
	negligibleDemand = 0.05
	// maxTrackedRequests is the number of most recent requests whose answers are accepted.
	maxTrackedRequests = 8
)

// Holder requests leases for one process and keeps the current one. All methods must be called from the same goroutine.
type Holder struct {
	ID               membership.ID
	MaxUnleasedCalls int           // configured upper bound of UnleasedCalls
	MaxCallDuration  time.Duration // maximum duration of a call: the lesser of the configured and the allocator's
	// UnleasedCalls is the number of concurrent calls that may be made without a lease. It is 0 until the first lease,
	// which contains the number that the allocator sets aside.
	UnleasedCalls int

	held          HeldLease
	expiresAt     time.Duration
	sequence      uint64                          // of the last request
	sent          [maxTrackedRequests]sentRequest // the most recent requests, indexed by sentSlot
	nextRequest   time.Duration
	leaseDuration time.Duration // of the last lease, 0 before the first
	peakDemand    float64       // decaying peak of the number of concurrent calls wanted, as of peakAt
	peakAt        time.Duration
}

type sentRequest struct {
	sequence        uint64
	allocatorBootID membership.BootID
	sentAt          time.Duration
}

// RecordDemand records the number of concurrent calls wanted now, including the open ones. The recorded peak halves per
// lease duration, because a burst either repeats soon or not at all.
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

// wantedCalls returns the number of calls to request beyond UnleasedCalls.
func (h *Holder) wantedCalls(now time.Duration) int {
	h.RecordDemand(now, 0)
	if h.peakDemand < negligibleDemand {
		return 0
	}
	return max(0, int(math.Ceil(h.peakDemand*demandHeadroom))+1-h.UnleasedCalls)
}

// Limit returns the maximum number of concurrent calls. Once the lease has expired only UnleasedCalls remain, because
// the leased calls may already belong to another holder.
func (h *Holder) Limit(now time.Duration) int {
	if now >= h.expiresAt {
		return h.UnleasedCalls
	}
	return h.UnleasedCalls + h.held.Limit
}

// NextRequestAt returns the time at which the next request is due. It is earlier while calls wait.
func (h *Holder) NextRequestAt(now time.Duration, waiting bool) time.Duration {
	if !waiting || h.nextRequest <= now {
		return h.nextRequest
	}
	soonest := h.sentSlot(h.sequence).sentAt + h.currentLeaseDuration()/waitingRequestsPerLease
	return min(h.nextRequest, soonest)
}

// sentSlot returns the slot for the request with a sequence. It may hold an earlier request.
func (h *Holder) sentSlot(sequence uint64) *sentRequest { return &h.sent[sequence%maxTrackedRequests] }

// NextRequest returns the next request to an allocator and records it as sent. openCalls is the number of calls that
// may be running, including those without a lease.
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

// Accept replaces the held lease with one received from an allocator. It ignores an invalid lease, and reports whether
// the lease is valid. The duration of a lease counts from the time of its request, so that the lease expires at the
// holder before it does at the allocator, however long the answer took.
func (h *Holder) Accept(lease Lease) bool {
	sent := h.sentSlot(lease.Sequence)
	answersOwnRequest := sent.sequence == lease.Sequence && sent.allocatorBootID == lease.AllocatorBootID
	if !answersOwnRequest || lease.Sequence <= h.held.Sequence || lease.Limit < 0 || lease.Duration <= 0 {
		return false // no longer tracked, from another allocator, older than the held lease, or out of range
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

package gossip

import (
	"math"

	"lanewheel/internal/concurrencylease"
	"lanewheel/internal/membership"
)

func encodeLeaseRequest(request concurrencylease.Request, to membership.ID, replyAddr string) []byte {
	return encode(kindLeaseRequest, wireLeaseRequest{
		To:              to.String(),
		From:            request.Holder.String(),
		ReplyAddr:       replyAddr,
		Sequence:        request.Sequence,
		AllocatorBootID: uint64(request.Held.AllocatorBootID),
		HeldSequence:    request.Held.Sequence,
		HeldLimit:       request.Held.Limit,
		OpenCalls:       request.OpenCalls,
		WantedCalls:     request.WantedCalls,
	})
}

// decodeLeaseRequest decodes a holder's request and the address to which the reply is sent. It returns errOutOfRange
// for a request to a process other than self, such as an allocator that previously ran at the same address.
func decodeLeaseRequest(
	body []byte, self membership.ID,
) (request concurrencylease.Request, replyAddr string, err error) {
	var wire wireLeaseRequest
	if err = decode(body, &wire); err != nil {
		return request, "", err
	}
	holder, validHolder := membership.ParseID(wire.From)
	validCounts := wire.Sequence > 0 && wire.HeldLimit >= 0 && wire.OpenCalls >= 0 && wire.WantedCalls >= 0
	if !validHolder || !validCounts || wire.To != self.String() || !validNameLengths(wire.ReplyAddr) {
		return request, "", errOutOfRange
	}
	request = concurrencylease.Request{
		Holder:   holder,
		Sequence: wire.Sequence,
		Held: concurrencylease.HeldLease{
			AllocatorBootID: membership.BootID(wire.AllocatorBootID),
			Sequence:        wire.HeldSequence,
			Limit:           wire.HeldLimit,
		},
		OpenCalls:   wire.OpenCalls,
		WantedCalls: wire.WantedCalls,
	}
	return request, wire.ReplyAddr, nil
}

func encodeLease(lease concurrencylease.Lease) []byte {
	return encode(kindLease, wireLease{
		AllocatorBootID: uint64(lease.AllocatorBootID),
		Sequence:        lease.Sequence,
		Limit:           lease.Limit,
		DurationMillis:  lease.Duration.Milliseconds(),
		UnleasedCalls:   lease.UnleasedCalls,
		MaxCallMillis:   lease.MaxCallDuration.Milliseconds(),
	})
}

func decodeLease(body []byte) (lease concurrencylease.Lease, err error) {
	var wire wireLease
	if err := decode(body, &wire); err != nil {
		return lease, err
	}
	validDurations := positiveMillisInRange(wire.DurationMillis, math.MaxInt32) &&
		positiveMillisInRange(wire.MaxCallMillis, math.MaxInt32)
	if wire.Limit < 0 || wire.UnleasedCalls < 0 || !validDurations {
		return lease, errOutOfRange
	}
	return concurrencylease.Lease{
		AllocatorBootID: membership.BootID(wire.AllocatorBootID),
		Sequence:        wire.Sequence,
		Limit:           wire.Limit,
		Duration:        durationFromMillis(wire.DurationMillis),
		UnleasedCalls:   wire.UnleasedCalls,
		MaxCallDuration: durationFromMillis(wire.MaxCallMillis),
	}, nil
}

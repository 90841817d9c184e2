package gossip

import (
	"math"
	"time"

	"lanewheel/internal/concurrencylease"
	"lanewheel/internal/membership"
)

// decodeLeaseRequest reads what a holder wants; it counts for the life that it says it is, and for us only if it
// means this life of ours.
func decodeLeaseRequest(body []byte, self membership.ID) (request concurrencylease.Request, addr string, err error) {
	var wire wireLeaseRequest
	if err = decode(body, &wire); err != nil {
		return request, "", err
	}
	from, ok := membership.ParseID(wire.From)
	if !ok || wire.Sequence == 0 || wire.HeldLimit < 0 || wire.OpenCalls < 0 || wire.WantedCalls < 0 || wire.To != self.String() || len(wire.ReplyAddr) > maxNameBytes {
		return request, "", errOutOfRange
	}
	return concurrencylease.Request{Holder: from, Sequence: wire.Sequence, Held: concurrencylease.HeldLease{AllocatorBootID: membership.BootID(wire.AllocatorBootID), Sequence: wire.HeldSequence, Limit: wire.HeldLimit}, OpenCalls: wire.OpenCalls, WantedCalls: wire.WantedCalls}, wire.ReplyAddr, nil
}

func encodeLeaseRequest(request concurrencylease.Request, to membership.ID, replyAddr string) []byte {
	return encode(kindLeaseRequest, wireLeaseRequest{to.String(), request.Holder.String(), replyAddr, request.Sequence, uint64(request.Held.AllocatorBootID), request.Held.Sequence, request.Held.Limit, request.OpenCalls, request.WantedCalls})
}

func encodeLease(lease concurrencylease.Lease) []byte {
	return encode(kindLease, wireLease{uint64(lease.AllocatorBootID), lease.Sequence, lease.Limit, lease.Duration.Milliseconds(), lease.UnleasedCalls, lease.MaxCallDuration.Milliseconds()})
}

func decodeLease(body []byte) (lease concurrencylease.Lease, err error) {
	var wire wireLease
	if err = decode(body, &wire); err == nil && (wire.Limit < 0 || wire.DurationMillis <= 0 || wire.DurationMillis > math.MaxInt32 || wire.UnleasedCalls < 0 || wire.MaxCallMillis <= 0 || wire.MaxCallMillis > math.MaxInt32) {
		err = errOutOfRange
	}
	return concurrencylease.Lease{AllocatorBootID: membership.BootID(wire.AllocatorBootID), Sequence: wire.Sequence, Limit: wire.Limit, Duration: time.Duration(wire.DurationMillis) * time.Millisecond, UnleasedCalls: wire.UnleasedCalls,
		MaxCallDuration: time.Duration(wire.MaxCallMillis) * time.Millisecond}, err
}

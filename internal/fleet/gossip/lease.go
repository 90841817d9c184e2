package gossip

import (
	"lanewheel/internal/concurrencylease"
	"lanewheel/internal/membership"
)

// RequestLease asks the allocator with the given member name, which runs beside an upstream service, for a lease. If a
// response arrives, it is passed to OnLease. Any goroutine may call it.
func (a *Agent) RequestLease(name membership.Name, request concurrencylease.Request) {
	a.Post(func() {
		if member, found := a.table.View().Get(name); found {
			a.send(addressOf(member), encodeLeaseRequest(request, member.ID(), a.table.Self().GossipAddr))
		}
	})
}

// handleLeaseRequest passes a holder's request to OnLeaseRequest and sends the answer to the holder.
func (a *Agent) handleLeaseRequest(body []byte) error {
	request, replyAddr, err := decodeLeaseRequest(body, a.table.Self().ID())
	if err != nil {
		return err
	}
	if a.OnLeaseRequest == nil {
		return nil
	}
	a.OnLeaseRequest(request, func(lease concurrencylease.Lease) {
		reply := encodeLease(lease)
		a.Post(func() { a.send(replyAddress(replyAddr, request.Holder.String()), reply) })
	})
	return nil
}

func (a *Agent) handleLease(body []byte) error {
	lease, err := decodeLease(body)
	if err != nil {
		return err
	}
	if a.OnLease != nil {
		a.OnLease(lease)
	}
	return nil
}

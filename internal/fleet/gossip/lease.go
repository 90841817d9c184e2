package gossip

import (
	"github.com/hashicorp/memberlist"

	"lanewheel/internal/concurrencylease"
	"lanewheel/internal/membership"
)

// RequestLease asks the desk beside a service below for calls. Any goroutine may call it; the answer, if one comes,
// goes to Grants.
func (p *Agent) RequestLease(name membership.Name, request concurrencylease.Request) {
	p.Post(func() {
		if member, known := p.table.View().Get(name); known {
			_ = p.memberlist.SendToAddress(memberlist.Address{Addr: member.GossipAddr, Name: member.ID().String()}, encodeLeaseRequest(request, member.ID(), p.table.Self().GossipAddr))
		}
	})
}

package gossip

import (
	"github.com/hashicorp/memberlist"

	"lanewheel/internal/membership"
)

// NotifyPermit tells one life of a member that it has a permit, or that it has begun it. Any goroutine may call it.
func (p *Agent) NotifyPermit(name membership.Name, incarnation membership.Incarnation, number uint64, begun bool) {
	p.Post(func() {
		if member, known := p.table.View().Get(name); known && member.Incarnation == incarnation {
			self := p.table.Self()
			_ = p.memberlist.SendToAddress(memberlist.Address{Addr: member.GossipAddr, Name: member.ID().String()}, encode(kindPermitNotice, wirePermitNotice{member.ID().String(), self.ID().String(), self.GossipAddr, number, begun}))
		}
	})
}

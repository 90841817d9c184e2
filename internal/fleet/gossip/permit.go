package gossip

import "lanewheel/internal/membership"

// NotifyPermit tells a member of one incarnation that it has a permit, or that the permit has begun. Any goroutine may
// call it.
func (a *Agent) NotifyPermit(name membership.Name, incarnation membership.Incarnation, number uint64, begun bool) {
	a.Post(func() {
		member, found := a.table.View().Get(name)
		if !found || member.Incarnation != incarnation {
			return
		}
		self := a.table.Self()
		a.send(addressOf(member), encode(kindPermitNotice, wirePermitNotice{
			To:        member.ID().String(),
			From:      self.ID().String(),
			ReplyAddr: self.GossipAddr,
			Number:    number,
			Begun:     begun,
		}))
	})
}

// handlePermitNotice answers a permit that was granted with the wish to begin it, and drains once the coordinators have
// agreed that it has begun. A permit that was withdrawn while its notice was on the way is never begun that way.
func (a *Agent) handlePermitNotice(body []byte) error {
	var notice wirePermitNotice
	if err := decode(body, &notice); err != nil {
		return err
	}
	if !a.isSelf(notice.To) || notice.Number == 0 || !a.config.DrainByPermit {
		return nil
	}
	if notice.Begun {
		a.process.Drain(notice.Number)
		return nil
	}
	self := a.table.Self()
	a.send(replyAddress(notice.ReplyAddr, notice.From), encode(kindPermitBegin, wirePermitBegin{
		To:          notice.From,
		From:        self.ID().String(),
		ReplyAddr:   self.GossipAddr,
		Incarnation: uint64(self.Incarnation),
		Number:      notice.Number,
	}))
	return nil
}

// handlePermitBegin hands a member's wish to begin its permit to the coordinator that this agent speaks for.
func (a *Agent) handlePermitBegin(body []byte) error {
	var begin wirePermitBegin
	if err := decode(body, &begin); err != nil {
		return err
	}
	from, valid := membership.ParseID(begin.From)
	if !valid || !a.isSelf(begin.To) || a.OnPermitBegin == nil {
		return nil
	}
	incarnation := membership.Incarnation(begin.Incarnation)
	a.OnPermitBegin(from.Name, incarnation, begin.Number, func() {
		a.NotifyPermit(from.Name, incarnation, begin.Number, true)
	})
	return nil
}

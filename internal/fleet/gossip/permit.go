package gossip

import "lanewheel/internal/membership"

// NotifyPermit notifies a member that it has a permit or, if begun is set, that the permit has begun. It sends
// nothing if the member is not in the view or has another incarnation. Any goroutine may call it.
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

// handlePermitNotice answers the notice of a granted permit with a request to begin it, and drains the process once the
// coordinators have agreed that the permit has begun. A permit that is withdrawn while its notice is in transit is
// therefore never begun.
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

// handlePermitBegin passes a member's request to begin its permit to OnPermitBegin.
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

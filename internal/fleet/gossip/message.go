package gossip

import (
	"time"

	"github.com/hashicorp/memberlist"

	"lanewheel/internal/concurrencylease"
	"lanewheel/internal/membership"
)

// handleMessage reads one and hands it to the table; what is new goes on to others.
func (p *Agent) handleMessage(message []byte, transit time.Duration) {
	kind, age, body, err := splitHead(message)
	if err == nil {
		switch kind {
		case kindHeartbeat:
			var decoded membership.Heartbeat
			if decoded, err = decodeHeartbeat(body); err == nil && p.table.HandleHeartbeat(decoded, age+transit, p.Now()) {
				p.broadcasts.QueueBroadcast(&heartbeatBroadcast{from: decoded.ID, heartbeat: &encodedHeartbeat{append([]byte(nil), message...), time.Now().Add(-age - transit)}})
				p.applyChanges()
			}
		case kindQuery:
			var received wireQuery
			if err = decode(body, &received); err == nil && received.To == p.table.Self().ID().String() {
				p.process.Load(func(load float64, stats RequestStats) {
					message := encode(kindQueryReply, wireQueryReply{received.Nonce, load, stats.Finished, stats.WithinObjective, stats.TotalSeconds})
					p.Post(func() {
						_ = p.memberlist.SendToAddress(memberlist.Address{Addr: received.ReplyAddr, Name: received.From}, message)
					})
				})
			}
		case kindQueryReply:
			var reply wireQueryReply
			if err = decode(body, &reply); err == nil {
				if request := p.pendingQueries[reply.Nonce]; request != nil { // any other is late, or nobody's
					delete(p.pendingQueries, reply.Nonce)
					request.callback(reply, (p.Now()-request.sentAt)/2)
				}
			}
		case kindLeaseRequest:
			var request concurrencylease.Request
			var addr string
			if request, addr, err = decodeLeaseRequest(body, p.table.Self().ID()); err == nil && p.OnLeaseRequest != nil {
				p.OnLeaseRequest(request, func(lease concurrencylease.Lease) {
					message := encodeLease(lease)
					p.Post(func() {
						_ = p.memberlist.SendToAddress(memberlist.Address{Addr: addr, Name: request.Holder.String()}, message)
					})
				})
			}
		case kindPermitNotice:
			var decoded wirePermitNotice
			if err = decode(body, &decoded); err == nil && decoded.To == p.table.Self().ID().String() && decoded.Number > 0 && p.config.DrainByPermit {
				// Danger: a permit that was withdrawn while its word was on the way. It begins by a word of ours that the
				// stewards agree on, and only what they say has begun is gone by.
				if decoded.Begun {
					p.process.Drain(decoded.Number)
				} else {
					self := p.table.Self()
					_ = p.memberlist.SendToAddress(memberlist.Address{Addr: decoded.ReplyAddr, Name: decoded.From}, encode(kindPermitBegin, wirePermitBegin{decoded.From, self.ID().String(), self.GossipAddr, uint64(self.Incarnation), decoded.Number}))
				}
			}
		case kindPermitBegin:
			var decoded wirePermitBegin
			if err = decode(body, &decoded); err == nil && decoded.To == p.table.Self().ID().String() && p.OnPermitBegin != nil {
				if id, ok := membership.ParseID(decoded.From); ok {
					p.OnPermitBegin(id.Name, membership.Incarnation(decoded.Incarnation), decoded.Number, func() { p.NotifyPermit(id.Name, membership.Incarnation(decoded.Incarnation), decoded.Number, true) })
				}
			}
		case kindLease:
			var lease concurrencylease.Lease
			if lease, err = decodeLease(body); err == nil && p.OnLease != nil {
				p.OnLease(lease)
			}
		case kindFenceNotice:
			var decoded wireFenceNotice
			if err = decode(body, &decoded); err == nil && membership.Name(decoded.Name) == p.config.Name {
				switch p.table.HandleFenceNotice(membership.Incarnation(decoded.Incarnation), membership.BootID(decoded.BootID), p.Now()) {
				case membership.AliveFenced:
					p.fence()
				case membership.AliveIncarnationRaised:
					go func() { _ = p.memberlist.UpdateNode(time.Second) }()
				}
				p.applyChanges()
			}
		default:
			err = errUnknownKind
		}
	}
	if err != nil {
		p.malformed.Add(1)
	}
}

package gossip

import (
	"time"

	"github.com/hashicorp/memberlist"

	"lanewheel/internal/membership"
)

// pendingQuery is a query under way.
type pendingQuery struct {
	sentAt   time.Duration
	callback func(w wireQueryReply, age time.Duration)
}

// QueryLoad asks a member how it stands, by one datagram; then is called on the part's loop if a word comes. What
// does not come within a second is not waited for.
func (p *Agent) QueryLoad(name membership.Name, callback func(load float64, age time.Duration)) {
	p.sendQuery(name, func(reply wireQueryReply, age time.Duration) { callback(reply.Load, age) })
}

// QueryStats asks a member what it has done, the same way.
func (p *Agent) QueryStats(name membership.Name, callback func(RequestStats)) {
	p.sendQuery(name, func(reply wireQueryReply, _ time.Duration) {
		callback(RequestStats{reply.Finished, reply.WithinObjective, reply.TotalSeconds})
	})
}

func (p *Agent) sendQuery(name membership.Name, callback func(w wireQueryReply, age time.Duration)) {
	const maxPendingQueries = 1024 // Danger: a fleet that answers nobody; so many are more than a relay asks in a second
	member, known := p.table.View().Get(name)
	if !known || len(p.pendingQueries) >= maxPendingQueries {
		return
	}
	p.lastNonce++
	p.pendingQueries[p.lastNonce] = &pendingQuery{p.Now(), callback}
	message := encode(kindQuery, wireQuery{p.lastNonce, member.ID().String(), p.table.Self().ID().String(), p.table.Self().GossipAddr})
	_ = p.memberlist.SendToAddress(memberlist.Address{Addr: member.GossipAddr, Name: member.ID().String()}, message)
}

package gossip

import (
	"time"

	"lanewheel/internal/membership"
)

const (
	// queryTimeout is the time after which a query without a reply expires.
	queryTimeout = time.Second
	// maxPendingQueries limits the queries that wait for a reply, which accumulate if no member replies. It is more
	// than the number of queries that a proxy sends in a second.
	maxPendingQueries = 1024
)

// queries holds the queries that still wait for a reply, by nonce. It is owned by the event loop.
type queries struct {
	pending   map[uint64]*pendingQuery
	lastNonce uint64
}

type pendingQuery struct {
	sentAt   time.Duration
	callback func(reply wireQueryReply, age time.Duration)
}

// expire drops the queries that were sent more than queryTimeout ago.
func (q *queries) expire(now time.Duration) {
	for nonce, query := range q.pending {
		if now-query.sentAt > queryTimeout {
			delete(q.pending, nonce)
		}
	}
}

// QueryLoad asks a member for its load with one datagram. If a reply arrives before the query expires, callback is
// called on the agent's loop with the load and its estimated age. QueryLoad must be called on the agent's loop.
func (a *Agent) QueryLoad(name membership.Name, callback func(load float64, age time.Duration)) {
	a.sendQuery(name, func(reply wireQueryReply, age time.Duration) { callback(reply.Load, age) })
}

// QueryStats asks a member for its request totals since its start, in the same way as QueryLoad.
func (a *Agent) QueryStats(name membership.Name, callback func(RequestStats)) {
	a.sendQuery(name, func(reply wireQueryReply, _ time.Duration) {
		callback(RequestStats{
			Finished:        reply.Finished,
			WithinObjective: reply.WithinObjective,
			TotalSeconds:    reply.TotalSeconds,
		})
	})
}

func (a *Agent) sendQuery(name membership.Name, callback func(reply wireQueryReply, age time.Duration)) {
	member, found := a.table.View().Get(name)
	if !found || len(a.queries.pending) >= maxPendingQueries {
		return
	}
	a.queries.lastNonce++
	a.queries.pending[a.queries.lastNonce] = &pendingQuery{sentAt: a.Now(), callback: callback}
	self := a.table.Self()
	a.send(addressOf(member), encode(kindQuery, wireQuery{
		Nonce:     a.queries.lastNonce,
		To:        member.ID().String(),
		From:      self.ID().String(),
		ReplyAddr: self.GossipAddr,
	}))
}

// handleQuery answers another member's query.
func (a *Agent) handleQuery(body []byte) error {
	var query wireQuery
	if err := decode(body, &query); err != nil {
		return err
	}
	if !a.isSelf(query.To) {
		return nil
	}
	a.process.Load(func(load float64, stats RequestStats) {
		reply := encode(kindQueryReply, wireQueryReply{
			Nonce:           query.Nonce,
			Load:            load,
			Finished:        stats.Finished,
			WithinObjective: stats.WithinObjective,
			TotalSeconds:    stats.TotalSeconds,
		})
		a.Post(func() { a.send(replyAddress(query.ReplyAddr, query.From), reply) })
	})
	return nil
}

// handleQueryReply passes a reply to the callback of its query. It drops a reply whose query has expired or is
// unknown.
func (a *Agent) handleQueryReply(body []byte) error {
	var reply wireQueryReply
	if err := decode(body, &reply); err != nil {
		return err
	}
	if query := a.queries.pending[reply.Nonce]; query != nil {
		delete(a.queries.pending, reply.Nonce)
		query.callback(reply, (a.Now()-query.sentAt)/2)
	}
	return nil
}

package broker

import (
	"maps"
	"slices"
	"time"

	amqp "github.com/rabbitmq/amqp091-go"
)

// The headers that dead-lettering adds or removes.
const (
	headerDeaths             = "x-death" // lists the queues that dead-lettered the message
	headerFirstDeathReason   = "x-first-death-reason"
	headerFirstDeathQueue    = "x-first-death-queue"
	headerFirstDeathExchange = "x-first-death-exchange"
	headerCC                 = "CC" // further routing keys; removed with the routing key
)

// The reasons for dead-lettering.
const (
	reasonExpired  = "expired"
	reasonRejected = "rejected"
)

// deadLetter routes a message to the queue's dead-letter exchange, with the headers that RabbitMQ documents for its
// dead-letter exchanges. Its expiration is removed. Without a dead-letter exchange the message is lost.
func (b *Broker) deadLetter(q *queue, m *message, reason string) {
	exchange, found := q.args[argDeadLetterExchange].(string)
	if !found {
		return
	}
	p := m.Publishing
	p.Expiration = ""
	p.Headers = amqp.Table{}
	maps.Copy(p.Headers, m.Headers)
	key, replacesKey := q.args[argDeadLetterRoutingKey].(string)
	if replacesKey {
		delete(p.Headers, headerCC)
	} else {
		key = m.routingKey
	}
	p.Headers[headerDeaths] = addDeath(p.Headers[headerDeaths], newDeath(q, m, reason))
	if _, diedBefore := p.Headers[headerFirstDeathQueue]; !diedBefore {
		p.Headers[headerFirstDeathReason] = reason
		p.Headers[headerFirstDeathQueue] = q.name
		p.Headers[headerFirstDeathExchange] = m.exchange
	}
	b.route(exchange, key, p)
}

// newDeath returns the entry of the x-death header for the first death of a message in a queue for a reason. The
// documentation promises the original expiration only for a message that has expired by it.
func newDeath(q *queue, m *message, reason string) amqp.Table {
	death := amqp.Table{
		"queue":        q.name,
		"reason":       reason,
		"count":        int64(1),
		"time":         time.Unix(time.Now().Unix(), 0), // in seconds, as the protocol has it
		"exchange":     m.exchange,
		"routing-keys": []any{m.routingKey},
	}
	if reason == reasonExpired && m.ownExpiry {
		death["original-expiration"] = m.Expiration
	}
	return death
}

// addDeath adds an entry to an x-death list. If the list has an entry for the same queue and reason, that one is
// counted instead. The entry comes first.
func addDeath(earlier any, death amqp.Table) []any {
	others, _ := earlier.([]any)
	others = slices.DeleteFunc(slices.Clone(others), func(x any) bool {
		known, isTable := x.(amqp.Table)
		if !isTable || known["queue"] != death["queue"] || known["reason"] != death["reason"] {
			return false
		}
		count, _ := toInt64(known["count"])
		death = maps.Clone(known)
		death["count"] = count + 1
		return true
	})
	return append([]any{death}, others...)
}

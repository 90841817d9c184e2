package amqp

import (
	"time"

	client "github.com/rabbitmq/amqp091-go"

	"lanewheel/internal/amqp/delivery"
)

// deathsHeader is the header in which RabbitMQ lists the queues that have dead-lettered a message, and why.
const deathsHeader = "x-death"

// The reasons of deaths that are distinguished.
const (
	reasonRejected = "rejected"
	reasonExpired  = "expired"
)

// maxAttemptCount limits an attempt count that a message claims.
const maxAttemptCount = 1e6

// brokerHeaders are the headers that a broker adds to a message or changes when the message is dead-lettered or
// requeued. They are no values of the message, which would otherwise differ between its deliveries.
var brokerHeaders = map[string]bool{
	deathsHeader:             true,
	"x-first-death-exchange": true,
	"x-first-death-queue":    true,
	"x-first-death-reason":   true,
	"x-last-death-exchange":  true,
	"x-last-death-queue":     true,
	"x-last-death-reason":    true,
	"x-delivery-count":       true,
	"x-acquired-count":       true,
}

// deaths is what the x-death header says about a message's deaths in one queue, which is how RabbitMQ calls it when a
// queue dead-letters a message. Deaths in other queues do not count: a message may have been delayed in one of them, by
// an expiration that does not limit its time.
type deaths struct {
	queue      delivery.QueueName
	occurred   bool
	rejections int       // how often the queue's consumers have rejected the message
	sentBefore time.Time // the message was sent before this time; the zero Time: unknown
	expiration string    // the expiration that was removed, in milliseconds; empty: none, or it was not kept
	routingKey string    // the routing key that was replaced; empty: none, or it was not kept
}

// readDeaths reads the x-death header. RabbitMQ keeps an entry for each queue and reason. It counts repeated deaths in
// the entry, whose other values stay those of the first one. It documents that original-expiration is kept if a message
// expired by it, but not if the message was rejected.
func readDeaths(queue delivery.QueueName, headers client.Table) deaths {
	d := deaths{queue: queue}
	entries, _ := headers[deathsHeader].([]any)
	for _, x := range entries {
		entry, _ := x.(client.Table)
		if entry["queue"] == string(queue) {
			d.addEntry(entry)
		}
	}
	return d
}

func (d *deaths) addEntry(entry client.Table) {
	d.occurred = true
	expiration, _ := entry["original-expiration"].(string)
	if expiration != "" {
		d.expiration = expiration
	}
	if diedAt, isTime := entry["time"].(time.Time); isTime {
		sentBefore := diedAt
		if timeout, ok := parseExpiration(expiration); ok && entry["reason"] == reasonExpired {
			sentBefore = diedAt.Add(-timeout)
		}
		d.limitSentTime(sentBefore)
	}
	// After its first return the message has the queue's name as its routing key, and may die for another reason.
	if keys, _ := entry["routing-keys"].([]any); len(keys) > 0 && keys[0] != string(d.queue) {
		d.routingKey, _ = keys[0].(string)
	}
	if entry["reason"] == reasonRejected && d.rejections == 0 {
		d.rejections = readCount(entry["count"])
	}
}

// limitSentTime records that the message was sent before a time.
func (d *deaths) limitSentTime(sentBefore time.Time) {
	if d.sentBefore.IsZero() || sentBefore.Before(d.sentBefore) {
		d.sentBefore = sentBefore
	}
}

// latestSentTime returns the latest time at which the message can have been sent: now, or earlier by its deaths.
func (d *deaths) latestSentTime(now time.Time) time.Time {
	if !d.sentBefore.IsZero() && d.sentBefore.Before(now) {
		return d.sentBefore
	}
	return now
}

func readCount(count any) int {
	switch n := count.(type) {
	case int64:
		return int(min(max(n, 0), maxAttemptCount))
	case int32:
		return int(max(n, 0))
	}
	return 0
}

// restore returns a delivery with the expiration and the routing key with which its message was published, as far as
// the broker has kept them. The routing key is restored only if it is the one with which retry queues return messages.
func (d *deaths) restore(incoming *client.Delivery) client.Delivery {
	restored := *incoming
	if restored.Expiration == "" {
		restored.Expiration = d.expiration
	}
	if d.routingKey != "" && incoming.RoutingKey == string(d.queue) {
		restored.RoutingKey = d.routingKey
	}
	return restored
}

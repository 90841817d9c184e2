package broker

import (
	"maps"
	"reflect"
	"testing"
	"time"

	amqp "github.com/rabbitmq/amqp091-go"
)

// What RabbitMQ documents for a dead-lettered message, by the cause of its death. The expiration is always removed, but
// kept in the x-death header only if the message has expired by it.
func TestDeadLetters(t *testing.T) {
	for _, tc := range []struct {
		name       string
		expiration string
		queueTTL   any // of the queue in which it dies
		replaceKey bool
		want       amqp.Table // fields of the entry besides count, exchange and routing keys
	}{
		{"rejected", "", nil, true, amqp.Table{"reason": "rejected"}},
		{"rejected with an expiration", "60000", nil, true, amqp.Table{"reason": "rejected"}},
		{"rejected, key kept", "60000", nil, false, amqp.Table{"reason": "rejected"}},
		{"expired", "1", nil, true, amqp.Table{"reason": "expired", "original-expiration": "1"}},
		{"expired before its queue's time", "1", 60000, true, amqp.Table{"reason": "expired", "original-expiration": "1"}},
		{"expired by its queue's time", "60000", 1, true, amqp.Table{"reason": "expired"}},
		{"expired by its queue's time alone", "", 1, true, amqp.Table{"reason": "expired"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			args := amqp.Table{"x-message-ttl": tc.queueTTL, "x-dead-letter-exchange": "e"}
			wantKey := "key"
			wantHeaders := amqp.Table{"own": "x", "x-first-death-queue": "q", "x-first-death-reason": tc.want["reason"],
				"x-first-death-exchange": "first"}
			if tc.replaceKey {
				wantKey = "other"
				args["x-dead-letter-routing-key"] = wantKey
			} else {
				wantHeaders["CC"] = []any{"copy"}
			}
			d := dieInQueue(t, args, tc.expiration, tc.want["reason"] == "rejected")
			if d.Expiration != "" || d.RoutingKey != wantKey || d.Exchange != "e" || d.Redelivered {
				t.Errorf("expiration %q, routing key %q, exchange %q, redelivered %v, want none, %q, e, false",
					d.Expiration, d.RoutingKey, d.Exchange, d.Redelivered, wantKey)
			}
			death := takeDeath(t, d.Headers)
			want := amqp.Table{"queue": "q", "count": int64(1), "exchange": "first", "routing-keys": []any{"key"}}
			maps.Copy(want, tc.want)
			if !reflect.DeepEqual(death, want) {
				t.Errorf("entry %v, want %v", death, want)
			}
			if !reflect.DeepEqual(d.Headers, wantHeaders) {
				t.Errorf("other headers %v, want %v", d.Headers, wantHeaders)
			}
		})
	}
}

// dieInQueue publishes a message to a queue with the given arguments, where it is rejected or expires, and returns its
// delivery from the dead-letter queue.
func dieInQueue(t *testing.T, args amqp.Table, expiration string, reject bool) amqp.Delivery {
	t.Helper()
	b, ch := newBrokerAndChannel(t)
	b.DeclareQueue("dead", nil)
	b.DeclareQueue("q", args)
	bindAll(t, ch, "dead", "e", "key", "other")
	bindAll(t, ch, "q", "first", "key")
	published := amqp.Publishing{Headers: amqp.Table{"CC": []any{"copy"}, "own": "x"}, Expiration: expiration}
	if err := ch.PublishWithContext(t.Context(), "first", "key", false, false, published); err != nil {
		t.Fatal(err)
	}
	if reject {
		if err := nextDelivery(t, consume(t, ch, "q")).Reject(false); err != nil {
			t.Fatal(err)
		}
	}
	return nextDelivery(t, consume(t, ch, "dead"))
}

// bindAll binds a queue to an exchange, which it declares, by each of the keys.
func bindAll(t *testing.T, ch *amqp.Channel, queueName, exchange string, keys ...string) {
	t.Helper()
	if err := ch.ExchangeDeclare(exchange, "direct", false, false, false, false, nil); err != nil {
		t.Fatal(err)
	}
	for _, key := range keys {
		if err := ch.QueueBind(queueName, key, exchange, false, nil); err != nil {
			t.Fatal(err)
		}
	}
}

// takeDeath removes the x-death header, which must have one entry. It returns the entry without its time, which must be
// one of the last seconds.
func takeDeath(t *testing.T, headers amqp.Table) amqp.Table {
	t.Helper()
	deaths, _ := headers["x-death"].([]any)
	if len(deaths) != 1 {
		t.Fatalf("x-death %v, want one entry", headers["x-death"])
	}
	death, _ := deaths[0].(amqp.Table)
	at, _ := death["time"].(time.Time)
	if age := time.Since(at); age < 0 || age > timeout {
		t.Errorf("died at %v, want a time in the last seconds", death["time"])
	}
	delete(headers, "x-death")
	delete(death, "time")
	return death
}

// A death is counted in the entry for its queue and reason, which keeps its other values and comes first. The headers
// about the first death stay.
func TestRepeatedDeaths(t *testing.T) {
	b, ch := newBrokerAndChannel(t)
	b.DeclareQueue("q", amqp.Table{"x-dead-letter-exchange": "", "x-dead-letter-routing-key": "retry"})
	b.DeclareQueue("retry", amqp.Table{"x-message-ttl": 1, "x-dead-letter-exchange": "", "x-dead-letter-routing-key": "q"})
	bindAll(t, ch, "q", "first", "key")
	published := amqp.Publishing{Expiration: "60000"}
	if err := ch.PublishWithContext(t.Context(), "first", "key", false, false, published); err != nil {
		t.Fatal(err)
	}
	deliveries := consume(t, ch, "q")
	for range 2 {
		if err := nextDelivery(t, deliveries).Reject(false); err != nil {
			t.Fatal(err)
		}
	}
	d := nextDelivery(t, deliveries)
	deaths, _ := d.Headers["x-death"].([]any)
	for _, x := range deaths {
		delete(x.(amqp.Table), "time")
	}
	want := []any{
		amqp.Table{"queue": "retry", "reason": "expired", "count": int64(2), "exchange": "", "routing-keys": []any{"retry"}},
		amqp.Table{"queue": "q", "reason": "rejected", "count": int64(2), "exchange": "first", "routing-keys": []any{"key"}},
	}
	if !reflect.DeepEqual(deaths, want) {
		t.Errorf("x-death %v, want %v", deaths, want)
	}
	if queue, reason := d.Headers["x-first-death-queue"], d.Headers["x-first-death-reason"]; queue != "q" ||
		reason != "rejected" {
		t.Errorf("first death in %v, %v, want q, rejected", queue, reason)
	}
}

// A requeued message keeps its properties and its time of expiry. Once expired, it is not delivered again.
func TestRequeueKeepsExpiry(t *testing.T) {
	b, ch := newBrokerAndChannel(t)
	b.Publish("q", amqp.Publishing{Expiration: "50", Body: []byte("short")})
	b.Publish("q", amqp.Publishing{Expiration: "60000", Body: []byte("long")})
	published := time.Now()
	deliveries := consume(t, ch, "q")
	short, long := nextDelivery(t, deliveries), nextDelivery(t, deliveries)
	time.Sleep(time.Until(published.Add(60 * time.Millisecond))) // its expiry passes while it is unsettled
	for _, d := range []amqp.Delivery{short, long} {
		if err := d.Nack(false, true); err != nil {
			t.Fatal(err)
		}
	}
	again := nextDelivery(t, deliveries)
	if string(again.Body) != "long" || again.Expiration != "60000" || !again.Redelivered {
		t.Errorf("got %q, expiration %q, redelivered %v, want long, 60000, true", again.Body, again.Expiration,
			again.Redelivered)
	}
	waitForCounts(t, b, Counts{Published: 2, Delivered: 3, Redelivered: 1, Requeued: 2, Expired: 1, Unsettled: 1,
		Consumers: 1})
}

package amqp

import (
	"testing"
	"time"

	client "github.com/rabbitmq/amqp091-go"

	"lanewheel/admission"
	"lanewheel/internal/fake"
	"lanewheel/internal/fake/broker"
)

// classTimeout is the timeout of the classes in these tests; that of defaultQueue is longer.
const classTimeout = 4 * time.Second

// rawConsumer consumes a queue with the client library alone.
type rawConsumer struct {
	deliveries <-chan client.Delivery
}

func newRawConsumer(t *testing.T, b *broker.Broker, queue string) rawConsumer {
	t.Helper()
	connection, err := client.Dial(b.URL())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = connection.Close() })
	channel := fake.Must(connection.Channel())
	return rawConsumer{fake.Must(channel.Consume(queue, "", false, false, false, false, nil))}
}

func (c rawConsumer) next(t *testing.T) client.Delivery {
	t.Helper()
	select {
	case d := <-c.deliveries:
		return d
	case <-time.After(fake.WaitTimeout):
		t.Fatal("no delivery")
	}
	return client.Delivery{}
}

// TestReadAfterReturn guards against values that change with a message's way through the broker: its id, class, tenant
// and content, a false id-twice, and a deadline that is later than the first one. Rejections are those of a peer of the
// version before, which returns messages of any kind.
func TestReadAfterReturn(t *testing.T) {
	sentAt := time.Unix(time.Now().Unix(), 0)
	for _, tc := range []struct {
		name       string
		timestamp  time.Time
		expiration string
		expire     bool          // the message expires in the queue; otherwise it is rejected
		requeue    bool          // the message is requeued
		want       time.Duration // from sentAt to the deadline after the return; 0: the same deadline as before
	}{
		{name: "requeued", timestamp: sentAt, expiration: "60000", requeue: true},
		{name: "no expiration", timestamp: sentAt, want: classTimeout},
		{name: "expiration below the class's time", timestamp: sentAt, expiration: "3000", want: classTimeout},
		{name: "expiration above the class's time", timestamp: sentAt, expiration: "60000", want: classTimeout},
		{name: "expired", timestamp: sentAt, expiration: "1", expire: true},
		{name: "expired without a timestamp", expiration: "1", expire: true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			b := broker.New()
			defer b.Close()
			mapping := defaultQueue().Mapping
			mapping.Tenant = Source{Name: "routing-key"}
			mapping.Rank = Source{Header: true, Name: "x-delivery-count"}
			mapping.ClassTimeouts = map[admission.Class]time.Duration{"pay": classTimeout}
			deliveries := publishRouted(t, b, client.Publishing{Type: "pay", Timestamp: tc.timestamp, Expiration: tc.expiration},
				tc.expire)
			first := client.Delivery{Type: "pay", Timestamp: tc.timestamp, Expiration: tc.expiration, RoutingKey: "water"}
			if !tc.expire {
				first = deliveries.next(t)
			}
			before := mapping.read("ops", &first, noDefect, time.Now())
			for attempt := range 3 { // the first return changes the message; the others must not change it either
				again := first
				if !tc.expire {
					if err := first.Nack(false, tc.requeue); err != nil {
						t.Fatal(err)
					}
				}
				if !tc.expire || attempt == 0 {
					again = deliveries.next(t)
				}
				if again.Headers == nil {
					again.Headers = client.Table{}
				}
				again.Headers["x-delivery-count"] = int64(attempt + 1) // as a quorum queue counts
				after := mapping.read("ops", &again, noDefect, time.Now())
				checkReread(t, before, after, sentAt, tc.want)
				first = again
			}
		})
	}
}

// publishRouted publishes a message to a queue with a retry queue, by a routing key that the retry queue replaces. If
// waitForExpiry is set, it consumes from the queue only once the message has expired there.
func publishRouted(t *testing.T, b *broker.Broker, message client.Publishing, waitForExpiry bool) rawConsumer {
	t.Helper()
	b.DeclareQueue("ops", client.Table{"x-dead-letter-exchange": "", "x-dead-letter-routing-key": "ops.retry"})
	b.DeclareQueue("ops.retry", client.Table{"x-message-ttl": 20, "x-dead-letter-exchange": "",
		"x-dead-letter-routing-key": "ops"})
	connection := fake.Must(client.Dial(b.URL()))
	t.Cleanup(func() { _ = connection.Close() })
	channel := fake.Must(connection.Channel())
	if err := channel.ExchangeDeclare("tenants", "direct", false, false, false, false, nil); err != nil {
		t.Fatal(err)
	}
	if err := channel.QueueBind("ops", "water", "tenants", false, nil); err != nil {
		t.Fatal(err)
	}
	if err := channel.PublishWithContext(t.Context(), "tenants", "water", false, false, message); err != nil {
		t.Fatal(err)
	}
	if waitForExpiry {
		fake.WaitFor("the expiry", func() bool { return b.Counts("ops").Expired == 1 })
	}
	return newRawConsumer(t, b, "ops")
}

// checkReread compares a message as it was read before and after a return.
func checkReread(t *testing.T, before, after parsedMessage, sentAt time.Time, want time.Duration) {
	t.Helper()
	if after.request.Class != before.request.Class || after.request.Tenant != before.request.Tenant ||
		after.request.Rank != before.request.Rank || after.defect != before.defect {
		t.Errorf("request %+v, before the return %+v", after.request, before.request)
	}
	if !after.content.Matches(before.content) {
		t.Errorf("content %+v does not match %+v", after.content, before.content)
	}
	hadExpiration := before.content.Digest != before.content.WithoutExpiration
	lostExpiration := hadExpiration && after.content.ExpirationUnknown // without a message-id it is part of the id
	if after.id != before.id && !lostExpiration {
		t.Errorf("id %s, before the return %s", after.id, before.id)
	}
	wantDeadline := before.deadline.At
	if want > 0 {
		wantDeadline = sentAt.Add(want)
	}
	if after.deadline.At.After(wantDeadline) {
		t.Errorf("deadline %v, want at most %v", after.deadline.At, wantDeadline)
	}
}

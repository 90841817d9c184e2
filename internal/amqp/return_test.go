package amqp

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	client "github.com/rabbitmq/amqp091-go"

	"lanewheel/admission"
	"lanewheel/internal/amqp/delivery"
	"lanewheel/internal/fake"
	"lanewheel/internal/fake/broker"
	"lanewheel/internal/frontend"
)

const (
	// classTimeout is the timeout of the classes in these tests; that of defaultQueue is longer.
	classTimeout = 4 * time.Second
	// answerSlack is how much later than its deadline a message may be answered.
	answerSlack = 130 * time.Millisecond
)

// rejectAll makes a server reject all requests.
func (s *fakeServer) rejectAll() {
	s.respond = func(_ frontend.Request, _ string, responder frontend.Responder) {
		responder.Reject(frontend.ResponseMetadata{})
		responder.Done()
	}
}

// returningConfig returns the configuration of a consumer that returns rejected messages, through the retry queue if
// useRetryQueue is set.
func returningConfig(b *broker.Broker, useRetryQueue bool) Config {
	queue := defaultQueue()
	queue.Settlement = delivery.SettlementConfig{
		MaxAttempts: 3, UseRetryQueue: useRetryQueue, RetryQueueDelay: 20 * time.Millisecond, Reply: true,
	}
	config := testConfig(b, queue)
	config.ClassTimeouts = map[admission.Class]time.Duration{"pay": classTimeout, "view": classTimeout}
	return config
}

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

// lastVersionDeadline returns the deadline that a peer of the version before reads, which looks at the timestamp and
// the expiration alone.
func lastVersionDeadline(d client.Delivery, defaultTimeout time.Duration, now time.Time) time.Time {
	timeout := defaultTimeout
	if milliseconds, err := strconv.Atoi(d.Expiration); err == nil {
		timeout = time.Duration(milliseconds) * time.Millisecond
	}
	if !d.Timestamp.IsZero() {
		now = d.Timestamp
	}
	return now.Add(timeout)
}

// TestReturnKeepsDeadline guards against answers after a message's time (review/10): a rejected message is returned
// only if each peer, also one of the version before, reads a deadline that is not later. Otherwise it is answered here
// in time.
func TestReturnKeepsDeadline(t *testing.T) {
	for n := range 24 {
		hasTimestamp, useRetryQueue := n%2 == 0, n/2%2 == 0
		class := []string{"pay", "view"}[n/4%2]
		expiration := []string{"", "1500", "8000"}[n/8] // none, below and above classTimeout
		name := fmt.Sprintf("timestamp %v, retry queue %v, %s, expiration %q", hasTimestamp, useRetryQueue, class, expiration)
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			message := newMessage("a", class)
			message.Expiration = expiration
			if hasTimestamp {
				message.Timestamp = time.Now().Add(time.Second) // it is sent in whole seconds
			}
			checkReturned(t, message, useRetryQueue)
		})
	}
}

// checkReturned publishes a message to a consumer that rejects it and to a peer of the version before. Either the peer
// gets it and reads no later deadline, or the consumer replies by the deadline.
func checkReturned(t *testing.T, message client.Publishing, useRetryQueue bool) {
	t.Helper()
	b, server := newBroker(), newFakeServer()
	if useRetryQueue {
		b = newRetryBroker(20)
	}
	server.rejectAll()
	config := returningConfig(b, useRetryQueue)
	defaultTimeout := config.Queues[0].Mapping.DefaultTimeout
	bed := startTestbed(b, server, config)
	defer bed.close()
	published := time.Now()
	b.Publish("ops", message)
	first := client.Delivery{Timestamp: message.Timestamp, Expiration: message.Expiration}
	deadline := lastVersionDeadline(first, defaultTimeout, published)
	fake.WaitFor("the first delivery", func() bool { return b.Counts("ops").Delivered > 0 })
	peer := newRawConsumer(t, b, "ops")
	mayReturn := !message.Timestamp.IsZero() && message.Expiration == ""
	returned := false
	fake.WaitFor("the message at the peer, or a reply", func() bool {
		select {
		case d := <-peer.deliveries:
			returned = true
			if read := lastVersionDeadline(d, defaultTimeout, time.Now()); read.After(deadline) {
				t.Errorf("a peer reads a deadline that is %v later", read.Sub(deadline))
			}
			_ = d.Ack(false)
		default:
		}
		return returned || b.Counts("replies").Ready > 0
	})
	if returned != mayReturn {
		t.Errorf("returned %v, want %v", returned, mayReturn)
	}
	late := time.Since(deadline)
	for _, reply := range b.DrainQueue("replies") {
		if late > answerSlack || reply.Type != delivery.OutOfAttempts.String() {
			t.Errorf("answered %q %v after its deadline, want %q before it", reply.Type, late, delivery.OutOfAttempts)
		}
	}
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
		expire     bool // the message expires in the queue; otherwise it is rejected, or requeued
		requeue    bool
		want       time.Duration // from sentAt to the deadline after the return; 0: the same deadline as before, or past
	}{
		{name: "requeued", timestamp: sentAt, expiration: "60000", requeue: true},
		{name: "no expiration", timestamp: sentAt, want: classTimeout},
		{name: "expiration below the class's time", timestamp: sentAt, expiration: "3000", want: classTimeout},
		{name: "expiration above the class's time", timestamp: sentAt, expiration: "60000", want: classTimeout},
		{name: "expired", timestamp: sentAt, expiration: "1", expire: true},
		{name: "expired without a timestamp", expiration: "1500", expire: true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			b := newRetryBroker(20)
			defer b.Close()
			mapping := defaultQueue().Mapping
			mapping.Tenant = Source{Name: "routing-key"}
			mapping.Rank = Source{Header: true, Name: "x-delivery-count"}
			mapping.ClassTimeouts = map[admission.Class]time.Duration{"pay": classTimeout}
			read := func(d *client.Delivery) parsedMessage { return mapping.read("ops", d, noDefect, time.Now()) }
			message := client.Publishing{Type: "pay", Timestamp: tc.timestamp, Expiration: tc.expiration}
			publishRouted(t, b, message)
			if tc.expire {
				fake.WaitFor("the expiry", func() bool { return b.Counts("ops").Expired == 1 })
			}
			deliveries := newRawConsumer(t, b, "ops")
			d := client.Delivery{Type: "pay", Timestamp: tc.timestamp, Expiration: tc.expiration, RoutingKey: "water"}
			before := read(&d)
			d = deliveries.next(t)
			if tc.expire {
				after := read(&d)
				checkReread(t, before, after, before.deadline.At)
				if after.deadline.At.After(time.Now()) {
					t.Errorf("the deadline of an expired message is %v, want one that has passed", after.deadline.At)
				}
				return
			}
			wantDeadline := before.deadline.At
			if tc.want > 0 {
				wantDeadline = sentAt.Add(tc.want)
			}
			for count := range 3 { // the first return changes the message; the others must not change it either
				if err := d.Nack(false, tc.requeue); err != nil {
					t.Fatal(err)
				}
				d = deliveries.next(t)
				if d.Headers == nil {
					d.Headers = client.Table{}
				}
				d.Headers["x-delivery-count"] = int64(count + 1) // as a quorum queue counts
				checkReread(t, before, read(&d), wantDeadline)
			}
		})
	}
}

// publishRouted publishes a message to the work queue by a routing key that the retry queue replaces.
func publishRouted(t *testing.T, b *broker.Broker, message client.Publishing) {
	t.Helper()
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
}

// TestRoutedMessageStays guards against a tenant that a peer of the version before reads as the queue's name: a message
// with a value from its routing key is not put through the retry queue, which replaces the key.
func TestRoutedMessageStays(t *testing.T) {
	b, server := newRetryBroker(20), newFakeServer()
	tenants := map[string]int{}
	server.respond = func(request frontend.Request, _ string, responder frontend.Responder) {
		tenants[request.Tenant]++
		responder.Reject(frontend.ResponseMetadata{})
		responder.Done()
	}
	config := returningConfig(b, true)
	config.Queues[0].Mapping.Tenant = Source{Name: "routing-key"}
	bed := startTestbed(b, server, config)
	defer bed.close()
	publishRouted(t, b, timedMessage("a", "pay"))
	bed.waitReplies(1)
	bed.waitSettled()
	if counts := b.Counts("ops"); counts.Rejected > 0 || tenants["water"] != 3 || len(tenants) != 1 {
		t.Errorf("attempts by tenant %v, %+v, want three for water and none returned", tenants, counts)
	}
}

// checkReread compares a message as it was read before and after a return. The deadline may be earlier than latest.
func checkReread(t *testing.T, before, after parsedMessage, latest time.Time) {
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
	if after.deadline.At.After(latest) {
		t.Errorf("deadline %v, want at most %v", after.deadline.At, latest)
	}
}

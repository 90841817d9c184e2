package broker

import (
	"errors"
	"reflect"
	"strings"
	"testing"
	"time"

	amqp "github.com/rabbitmq/amqp091-go"
)

// timeout is the maximum time to wait for an event; it is far longer than any event here takes.
const timeout = 10 * time.Second

// newBrokerAndChannel starts a broker and opens a channel to it.
func newBrokerAndChannel(t *testing.T) (*Broker, *amqp.Channel) {
	t.Helper()
	b := New()
	t.Cleanup(b.Close)
	return b, openChannel(t, b)
}

func openChannel(t *testing.T, b *Broker) *amqp.Channel {
	t.Helper()
	conn, err := amqp.Dial(b.URL())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	ch, err := conn.Channel()
	if err != nil {
		t.Fatal(err)
	}
	return ch
}

func consume(t *testing.T, ch *amqp.Channel, queueName string) <-chan amqp.Delivery {
	t.Helper()
	deliveries, err := ch.Consume(queueName, "", false, false, false, false, nil)
	if err != nil {
		t.Fatal(err)
	}
	return deliveries
}

func nextDelivery(t *testing.T, deliveries <-chan amqp.Delivery) amqp.Delivery {
	t.Helper()
	select {
	case d, open := <-deliveries:
		if !open {
			t.Fatal("the channel of deliveries was closed")
		}
		return d
	case <-time.After(timeout):
		t.Fatal("no delivery")
	}
	return amqp.Delivery{}
}

// waitForCounts waits until queue q has the counts.
func waitForCounts(t *testing.T, b *Broker, want Counts) {
	t.Helper()
	for end := time.Now().Add(timeout); b.Counts("q") != want; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("q has %+v, want %+v", b.Counts("q"), want)
		}
	}
}

// All properties of a message arrive as they were published, together with a body larger than one frame.
func TestMessageRoundTrip(t *testing.T) {
	b, ch := newBrokerAndChannel(t)
	b.DeclareQueue("q", nil)
	want := amqp.Publishing{
		ContentType:     "type",
		ContentEncoding: "encoding",
		Headers: amqp.Table{"b": true, "i": int32(-3), "l": int64(1 << 40), "d": 0.5, "s": "text", "x": []byte{0, 255},
			"T": time.Unix(1764576000, 0), "F": amqp.Table{"in": "side"}, "A": []any{"a", int32(1)}, "V": nil},
		DeliveryMode:  2,
		Priority:      3,
		CorrelationId: "correlation",
		ReplyTo:       "reply",
		Expiration:    "60000",
		MessageId:     "message",
		Timestamp:     time.Unix(1764576001, 0),
		Type:          "kind",
		UserId:        "guest",
		AppId:         "app",
		Body:          []byte(strings.Repeat("body", maxFrameBytes/2)),
	}
	if err := ch.PublishWithContext(t.Context(), "", "q", false, false, want); err != nil {
		t.Fatal(err)
	}
	d := nextDelivery(t, consume(t, ch, "q"))
	got := amqp.Publishing{
		ContentType:     d.ContentType,
		ContentEncoding: d.ContentEncoding,
		Headers:         d.Headers,
		DeliveryMode:    d.DeliveryMode,
		Priority:        d.Priority,
		CorrelationId:   d.CorrelationId,
		ReplyTo:         d.ReplyTo,
		Expiration:      d.Expiration,
		MessageId:       d.MessageId,
		Timestamp:       d.Timestamp,
		Type:            d.Type,
		UserId:          d.UserId,
		AppId:           d.AppId,
		Body:            d.Body,
	}
	if !reflect.DeepEqual(got, want) {
		got.Body, want.Body = nil, nil
		t.Errorf("got %+v, want %+v, or the bodies differ", got, want)
	}
	if d.RoutingKey != "q" || d.Redelivered {
		t.Errorf("got routing key %q, redelivered %v, want q, false", d.RoutingKey, d.Redelivered)
	}
}

// Prefetch limits the unsettled deliveries, a requeued message is redelivered first, and each settlement is counted.
func TestSettlement(t *testing.T) {
	b, ch := newBrokerAndChannel(t)
	for _, body := range []string{"a", "b", "c"} {
		b.Publish("q", amqp.Publishing{Body: []byte(body)})
	}
	if err := ch.Qos(1, 0, false); err != nil {
		t.Fatal(err)
	}
	deliveries := consume(t, ch, "q")
	first := nextDelivery(t, deliveries)
	waitForCounts(t, b, Counts{Published: 3, Delivered: 1, Ready: 2, Unsettled: 1, Consumers: 1})
	if err := first.Nack(false, true); err != nil {
		t.Fatal(err)
	}
	again := nextDelivery(t, deliveries)
	if string(again.Body) != "a" || !again.Redelivered {
		t.Errorf("after a was requeued: got %q, redelivered %v, want a, true", again.Body, again.Redelivered)
	}
	if err := again.Ack(false); err != nil {
		t.Fatal(err)
	}
	if err := nextDelivery(t, deliveries).Reject(false); err != nil {
		t.Fatal(err)
	}
	nextDelivery(t, deliveries)
	waitForCounts(t, b, Counts{Published: 3, Delivered: 4, Redelivered: 1, Acked: 1, Requeued: 1, Rejected: 1,
		Unsettled: 1, Consumers: 1})
	if violations := b.Violations(); violations != nil {
		t.Error(violations)
	}
}

// An unknown delivery tag closes the channel, and the channel's unsettled messages become ready again.
func TestUnknownDeliveryTag(t *testing.T) {
	b, ch := newBrokerAndChannel(t)
	b.Publish("q", amqp.Publishing{})
	nextDelivery(t, consume(t, ch, "q"))
	closed := ch.NotifyClose(make(chan *amqp.Error, 1))
	if err := ch.Ack(7, false); err != nil {
		t.Fatal(err)
	}
	if err := <-closed; err == nil || err.Code != replyPreconditionFailed {
		t.Errorf("the channel closed with %v, want code %d", err, replyPreconditionFailed)
	}
	waitForCounts(t, b, Counts{Published: 1, Delivered: 1, Requeued: 1, Ready: 1})
	if violations := b.Violations(); len(violations) != 1 {
		t.Errorf("got %q, want one violation", violations)
	}
}

// Messages of a higher priority are delivered first; messages of equal priority in the order of publication.
func TestPriorities(t *testing.T) {
	b, ch := newBrokerAndChannel(t)
	b.DeclareQueue("q", amqp.Table{"x-max-priority": 9})
	for _, p := range []amqp.Publishing{{Priority: 1, Body: []byte("c")}, {Priority: 5, Body: []byte("a")},
		{Priority: 1, Body: []byte("d")}, {Priority: 5, Body: []byte("b")}} {
		b.Publish("q", p)
	}
	deliveries := consume(t, ch, "q")
	for _, want := range []string{"a", "b", "c", "d"} {
		if got := nextDelivery(t, deliveries); string(got.Body) != want {
			t.Errorf("got %s, want %s", got.Body, want)
		}
	}
}

// The shorter of the message's time to live and the queue's applies; one below 0 or malformed is ignored.
func TestTTL(t *testing.T) {
	for _, tc := range []struct {
		messageTTL string
		queueTTL   any
		want       time.Duration
		expires    bool
	}{
		{messageTTL: ""},
		{messageTTL: "5", want: 5 * time.Millisecond, expires: true},
		{messageTTL: "5", queueTTL: 3, want: 3 * time.Millisecond, expires: true},
		{messageTTL: "5", queueTTL: int64(7), want: 5 * time.Millisecond, expires: true},
		{messageTTL: "-5", queueTTL: int32(7), want: 7 * time.Millisecond, expires: true},
		{messageTTL: "x", queueTTL: "text"},
	} {
		q := &queue{args: amqp.Table{"x-message-ttl": tc.queueTTL}}
		ttl, expires := q.ttlOf(&message{Publishing: amqp.Publishing{Expiration: tc.messageTTL}})
		if expires != tc.expires || expires && ttl != tc.want {
			t.Errorf("message TTL %q, queue TTL %v: got %v, expires %v", tc.messageTTL, tc.queueTTL, ttl, expires)
		}
	}
}

// A login fails with a wrong password, and with a correct one while logins are refused.
func TestLogin(t *testing.T) {
	b, _ := newBrokerAndChannel(t)
	if _, err := amqp.Dial("amqp://guest:other@" + b.Addr() + "/"); err == nil {
		t.Error("a login with a wrong password was accepted")
	}
	b.RefuseLogins(true)
	if _, err := amqp.Dial(b.URL()); err == nil {
		t.Error("a login was accepted while logins are refused")
	}
	if accepted, _ := b.Connections(); accepted != 3 {
		t.Errorf("accepted %d connections, want 3", accepted)
	}
}

// A fault ends its connection at its frame, whether the frame is sent or received; later connections are not affected.
func TestFaults(t *testing.T) {
	for _, mode := range []FaultMode{Disconnect, TruncateFrame} {
		for frame := 1; frame <= 6; frame++ {
			b := New()
			b.SetFaults(Fault{Connection: 1, Frame: frame, Mode: mode})
			b.Publish("q", amqp.Publishing{Body: []byte("m")})
			if receiveMessage(b) == nil {
				t.Errorf("mode %d at frame %d: the connection did not fail", mode, frame)
			}
			if got := b.FrameCount(1); got < frame { // the replies to the frame are counted too
				t.Errorf("mode %d: got %d frames, want at least %d", mode, got, frame)
			}
			b.Publish("q", amqp.Publishing{Body: []byte("m")})
			if err := receiveMessage(b); err != nil {
				t.Errorf("mode %d at frame %d: the second connection failed: %v", mode, frame, err)
			}
			b.Close()
		}
	}
}

// receiveMessage opens a channel and waits for one message. It returns an error if the connection fails first. The
// message arrives with the 7th frame.
func receiveMessage(b *Broker) error {
	conn, err := amqp.Dial(b.URL())
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	closed := conn.NotifyClose(make(chan *amqp.Error, 1))
	ch, err := conn.Channel()
	if err != nil {
		return err
	}
	deliveries, err := ch.Consume("q", "", false, false, false, false, nil)
	if err != nil {
		return err
	}
	select {
	case _, open := <-deliveries:
		if !open {
			return amqp.ErrClosed
		}
	case err := <-closed:
		return err
	case <-time.After(timeout):
		return errors.New("no delivery")
	}
	return nil
}

package amqp

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"reflect"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	client "github.com/rabbitmq/amqp091-go"

	"lanewheel/internal/fake"
	"lanewheel/internal/fake/broker"
	"lanewheel/internal/frontend"
)

var update = flag.Bool("update", false, "write the golden files anew from what the code says")

// compareGolden compares values with those of a file, both as JSON, or with -update writes the file.
func compareGolden(t *testing.T, name string, got any) {
	t.Helper()
	path := "testdata/golden/" + name
	text := append(fake.Must(json.MarshalIndent(got, "", " ")), '\n')
	if *update {
		if err := os.WriteFile(path, text, 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	if want := fake.Must(os.ReadFile(path)); string(text) != string(want) {
		t.Errorf("%s is\n%swant\n%s", path, text, want)
	}
}

// goldenDelivery uses every property and header by which a message can say something.
func goldenDelivery() client.Delivery {
	return client.Delivery{MessageId: "order-7", Type: "view", CorrelationId: "c-7", ReplyTo: "replies",
		Expiration: "2500",
		Timestamp:  time.Unix(1_800_000_000, 0), AppId: "app", UserId: "user", ContentType: "text/plain", RoutingKey: "ops",
		Headers: client.Table{"tenant": "water", "subject": []byte("s-9"), "rank": 0.75, "cost": int32(40), "kb": "12.5",
			"token": "a.b.c",
			"x-death": []any{client.Table{"queue": "other", "reason": "rejected", "count": int64(9)},
				client.Table{"queue": "ops", "reason": "expired", "count": int64(8)}, client.Table{"queue": "ops",
					"reason": "rejected", "count": int64(3)}}},
		Body: []byte("body")}
}

// Messages read as ever, from headers and from properties. Ids and digests are as good as stored: by them an
// instance knows a message again that another version has read, or derived the id of.
func TestGoldenMessages(t *testing.T) {
	header := func(name string) Source { return fake.Must(ParseSource("header:" + name)) }
	property := func(name string) Source { return fake.Must(ParseSource(name)) }
	byHeaders := Mapping{Class: property("type"), Tenant: header("tenant"), Subject: header("subject"),
		Rank: header("rank"), Cost: header("cost"),
		KB: header("kb"), Token: header("token"), DefaultWait: time.Minute, MaxBodyBytes: 16, DefaultRank: 0.5, DefaultKB: 4}
	byProperties := Mapping{Class: property("app-id"), Tenant: property("user-id"), Subject: property("content-type"),
		Rank: property(""),
		Cost: property(""), KB: property("correlation-id"), Token: property("routing-key"), DefaultWait: time.Minute, MaxBodyBytes: 16,
		DefaultRank: 0.5, DefaultKB: 4}
	changed := func(change func(d *client.Delivery)) client.Delivery {
		d := goldenDelivery()
		change(&d)
		return d
	}
	var all []map[string]any
	for _, of := range []struct {
		name     string
		mapping  *Mapping
		delivery client.Delivery
		found    defect
	}{
		{"all headers", &byHeaders, goldenDelivery(), ""},
		{"all properties", &byProperties, changed(func(d *client.Delivery) { d.CorrelationId = "6" }), ""},
		{"without ids", &byHeaders, changed(func(d *client.Delivery) { d.MessageId, d.CorrelationId = "", "" }), ""},
		{"without a correlation id", &byHeaders, changed(func(d *client.Delivery) { d.CorrelationId = "" }), ""},
		{"bare", &byHeaders, client.Delivery{MessageId: "bare", Type: "view", Body: []byte("b")}, ""},
		{"bad number", &byHeaders, changed(func(d *client.Delivery) { d.Headers["rank"] = "some" }), ""},
		{"bad expiration", &byHeaders, changed(func(d *client.Delivery) { d.Expiration = "soon" }), ""},
		{"too long", &byHeaders, changed(func(d *client.Delivery) { d.Body = []byte("a body of more bytes") }), ""},
		{"bad header", &byHeaders, changed(func(d *client.Delivery) { d.Headers = nil }), badHeader},
	} {
		m := of.mapping.read("ops", &of.delivery, of.found, time.Unix(1_800_000_100, 0))
		all = append(all, map[string]any{"message": of.name, "id": m.id, "digest": fmt.Sprintf("%016x", m.digest),
			"attempt":  m.attempt,
			"reply to": m.replyTo, "correlation id": m.correlationID, "due": m.deadline.UnixMilli(), "not to be served": m.defect,
			"op": map[string]any{"id": m.request.ID, "type": m.request.Class, "tenant": m.request.Tenant, "subject": m.request.Resource,
				"at":   m.request.SentUnixMilli,
				"wait": m.request.Timeout.String(), "waits": m.request.HasTimeout, "cost": m.request.WorkHint.String(), "kb": m.request.MemoryKB,
				"rank": m.request.Rank, "token": m.request.Token,
				"body": string(m.request.Body)}})
	}
	compareGolden(t, "messages.json", all)
}

// published is a message as it lies in a queue, by the names of the specification.
func published(p client.Publishing) map[string]any {
	headers := map[string]string{}
	for name, x := range p.Headers {
		headers[name] = fmt.Sprintf("%T %v", x, x)
	}
	return map[string]any{"message-id": p.MessageId, "correlation-id": p.CorrelationId, "reply-to": p.ReplyTo,
		"type": p.Type, "headers": headers,
		"delivery-mode": p.DeliveryMode, "priority": p.Priority, "expiration": p.Expiration, "content-type": p.ContentType,
		"content-encoding": p.ContentEncoding, "user-id": p.UserId, "app-id": p.AppId,
		"has a timestamp": !p.Timestamp.IsZero(),
		"body":            string(p.Body)}
}

// Answers, dead letters and what goes into the retry queue have the properties and headers that they always had,
// whatever the outcome.
func TestGoldenPublished(t *testing.T) {
	b := broker.New()
	b.DeclareQueue("ops", client.Table{"x-dead-letter-exchange": "", "x-dead-letter-routing-key": "ops.retry"})
	for _, name := range []string{"ops.retry", "replies", "dead"} {
		b.DeclareQueue(name, nil)
	}
	c := newFakeServer()
	var mu sync.Mutex
	held := map[string]func(){}
	c.behave = func(ask frontend.Request, body string, owed frontend.Responder) {
		end := func() {
			switch ask.Class {
			case "deny":
				owed.RejectPermanently("denied", frontend.ResponseMetadata{Reason: "tenant"})
			case "what":
				owed.RejectPermanently("unknown-type", frontend.ResponseMetadata{})
			case "fail":
				owed.Fail(frontend.ResponseMetadata{})
			case "refuse":
				owed.Reject(frontend.ResponseMetadata{})
			default:
				owed.Succeed([]byte("done "+body), frontend.ResponseMetadata{})
			}
			owed.Done()
		}
		if body == "hold" {
			mu.Lock()
			defer mu.Unlock()
			held[ask.Class] = end
			return
		}
		end()
	}
	q := defaultQueue
	q.Settlement.UseRetryQueue, q.Settlement.RetryQueueDelay = true, time.Millisecond
	s := startTestbed(b, c, testConfig(b, q))
	// One that a first front has in hand as it ends: it comes to the next one as redelivered.
	lost := newMessage("lost", "pay")
	lost.Body = []byte("hold")
	b.Publish("ops", lost)
	fake.WaitFor("one in hand", func() bool { mu.Lock(); defer mu.Unlock(); return held["pay"] != nil })
	s.consumer.Drain(0)
	fake.WaitFor("the end of the first front", s.consumer.Drained)
	s = startTestbed(b, c, testConfig(b, q))
	defer s.close()
	fake.WaitFor("its answer", func() bool { return b.Counts("replies").Ready == 1 })
	for _, kind := range []string{"view", "deny", "what", "fail"} {
		b.Publish("ops", newMessage(kind, kind))
	}
	late := newMessage("late", "view")
	late.Timestamp, late.Expiration = time.Now().Add(-time.Hour), "1000"
	odd := newMessage("odd", "view")
	odd.Expiration = "soon"
	again := newMessage("again", "refuse") // it was rejected twice before, of three attempts
	again.Headers = client.Table{"x-death": []any{client.Table{"queue": "ops", "reason": "rejected", "count": int64(2)}}}
	retried := newMessage("retried", "refuse")
	retried.Headers = client.Table{"tenant": "water"}
	once, twice := newMessage("same", "view"), newMessage("same", "view")
	once.Body, twice.Body = []byte("hold"), []byte("another")
	for _, p := range []client.Publishing{late, odd, again, retried, once} {
		b.Publish("ops", p)
	}
	fake.WaitFor("one in hand", func() bool { mu.Lock(); defer mu.Unlock(); return held["view"] != nil })
	b.Publish("ops", twice)
	fake.WaitFor("all but one answer", func() bool { return b.Counts("replies").Ready == 9 })
	c.Post(held["view"])
	s.settled("ops")
	fake.WaitFor("all answers", func() bool {
		return b.Counts("replies").Ready == 10 &&
			b.Counts("ops.retry").Ready == 1
	})
	queues := map[string][]map[string]any{}
	for _, name := range []string{"replies", "dead", "ops.retry"} {
		for _, p := range b.DrainQueue(name) {
			queues[name] = append(queues[name], published(p))
		}
		slices.SortFunc(queues[name], func(x, y map[string]any) int { return strings.Compare(fmt.Sprint(x), fmt.Sprint(y)) })
	}
	compareGolden(t, "published.json", queues)
}

// What the watch socket says, with every value told.
func TestGoldenSnapshot(t *testing.T) {
	const stored = `{"broker":"127.0.0.1:5672","closed":"blocked","level":7,"in_hand":5,"known":99,` +
		`"queues":[{"name":"ops","state":"probing","limit":3,"in_hand":2}],"counts":{"acked":11,"put-back":4}}`
	want := Status{Broker: "127.0.0.1:5672", PauseReason: "blocked", Window: 7, InFlight: 5, Remembered: 99,
		Queues: []QueueStatus{{Name: "ops", State: "probing", Limit: 3, InFlight: 2}},
		Counts: map[string]uint64{"acked": 11, "put-back": 4}}
	var got Status
	if err := json.Unmarshal([]byte(stored), &got); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("reads as %+v, %v", got, err)
	}
	if text := fake.Must(json.Marshal(want)); string(text) != stored {
		t.Errorf("is written as\n%s\nwant\n%s", text, stored)
	}
}

// The names of the counters, which the watch socket and the log say, as a front counts them.
func TestGoldenCounters(t *testing.T) {
	b, c := newBroker(), newFakeServer()
	s := startTestbed(b, c, testConfig(b))
	defer s.close()
	b.Publish("ops", newMessage("a", "view"))
	b.Publish("ops", newMessage("a", "view"))
	late := newMessage("late", "view")
	late.Timestamp, late.Expiration = time.Now().Add(-time.Hour), "1000"
	b.Publish("ops", late)
	s.settled("ops")
	say := make(chan map[string]uint64, 1)
	s.consumer.Post(func() { say <- s.consumer.status().Counts })
	counts := <-say
	if counts["acked"] != 1 || counts["past-due"] != 1 ||
		counts["joined"]+counts["repeated"]+counts["answered-again"] != 1 || len(counts) != 3 {
		t.Errorf("%v", counts)
	}
}

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
	"lanewheel/internal/frontend"
)

var update = flag.Bool("update", false, "rewrite the golden files from the current results")

// compareGolden compares a value, encoded as JSON, with a golden file. With -update it writes the file instead.
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
		t.Errorf("%s: got\n%swant\n%s", path, text, want)
	}
}

// goldenDelivery returns a delivery that uses every property and header from which a value can be read.
func goldenDelivery() client.Delivery {
	return client.Delivery{
		MessageId:     "order-7",
		Type:          "view",
		CorrelationId: "c-7",
		ReplyTo:       "replies",
		Expiration:    "2500",
		Timestamp:     time.Unix(1_800_000_000, 0),
		AppId:         "app",
		UserId:        "user",
		ContentType:   "text/plain",
		RoutingKey:    "ops",
		Headers: client.Table{
			"tenant":  "water",
			"subject": []byte("s-9"),
			"rank":    0.75,
			"cost":    int32(40),
			"kb":      "12.5",
			"token":   "a.b.c",
			"x-death": []any{
				client.Table{"queue": "other", "reason": "rejected", "count": int64(9)},
				client.Table{"queue": "ops", "reason": "expired", "count": int64(8)},
				client.Table{"queue": "ops", "reason": "rejected", "count": int64(3)},
			},
		},
		Body: []byte("body"),
	}
}

// goldenMapping returns a mapping with every default value set.
func goldenMapping() Mapping {
	return Mapping{DefaultTimeout: time.Minute, MaxBodyBytes: 16, DefaultRank: 0.5, DefaultKB: 4}
}

// goldenMappings returns a mapping that reads headers and one that reads properties.
func goldenMappings() (byHeaders, byProperties Mapping) {
	source := func(text string) Source { return fake.Must(ParseSource(text)) }
	byHeaders = goldenMapping()
	byHeaders.Class = source("type")
	byHeaders.Tenant = source("header:tenant")
	byHeaders.Subject = source("header:subject")
	byHeaders.Rank = source("header:rank")
	byHeaders.Cost = source("header:cost")
	byHeaders.KB = source("header:kb")
	byHeaders.Token = source("header:token")
	byProperties = goldenMapping()
	byProperties.Class = source("app-id")
	byProperties.Tenant = source("user-id")
	byProperties.Subject = source("content-type")
	byProperties.Rank = source("")
	byProperties.Cost = source("")
	byProperties.KB = source("correlation-id")
	byProperties.Token = source("routing-key")
	return byHeaders, byProperties
}

// The result of reading messages, from headers and from properties. Ids, including those derived from the content, and
// digests must not change between versions, because an instance uses them to recognize a message that another version
// has read.
func TestGoldenMessages(t *testing.T) {
	byHeaders, byProperties := goldenMappings()
	changed := func(change func(d *client.Delivery)) client.Delivery {
		d := goldenDelivery()
		change(&d)
		return d
	}
	var all []map[string]any
	for _, tt := range []struct {
		name         string
		mapping      *Mapping
		delivery     client.Delivery
		filterDefect defect
	}{
		{"all headers", &byHeaders, goldenDelivery(), noDefect},
		{"all properties", &byProperties, changed(func(d *client.Delivery) { d.CorrelationId = "6" }), noDefect},
		{"without ids", &byHeaders,
			changed(func(d *client.Delivery) { d.MessageId, d.CorrelationId = "", "" }), noDefect},
		{"without a correlation id", &byHeaders, changed(func(d *client.Delivery) { d.CorrelationId = "" }), noDefect},
		{"bare", &byHeaders, client.Delivery{MessageId: "bare", Type: "view", Body: []byte("b")}, noDefect},
		{"bad number", &byHeaders, changed(func(d *client.Delivery) { d.Headers["rank"] = "some" }), noDefect},
		{"bad expiration", &byHeaders, changed(func(d *client.Delivery) { d.Expiration = "soon" }), noDefect},
		{"too long", &byHeaders,
			changed(func(d *client.Delivery) { d.Body = []byte("a body of more bytes") }), noDefect},
		{"bad header", &byHeaders, changed(func(d *client.Delivery) { d.Headers = nil }), badHeader},
	} {
		m := tt.mapping.read("ops", &tt.delivery, tt.filterDefect, time.Unix(1_800_000_100, 0))
		all = append(all, map[string]any{
			"message":          tt.name,
			"id":               m.id,
			"digest":           fmt.Sprintf("%016x", m.content.Digest),
			"attempt":          m.priorAttempts,
			"reply to":         m.replyTo,
			"correlation id":   m.correlationID,
			"due":              m.deadline.At.UnixMilli(),
			"not to be served": m.defect,
			"op":               goldenRequest(&m.request),
		})
	}
	compareGolden(t, "messages.json", all)
}

// goldenRequest returns the fields of a request by the names in the golden file.
func goldenRequest(r *frontend.Request) map[string]any {
	return map[string]any{
		"id":      r.ID,
		"type":    r.Class,
		"tenant":  r.Tenant,
		"subject": r.Resource,
		"at":      r.SentUnixMilli,
		"wait":    r.Timeout.String(),
		"waits":   r.HasTimeout,
		"cost":    r.WorkHint.String(),
		"kb":      r.MemoryKB,
		"rank":    r.Rank,
		"token":   r.Token,
		"body":    string(r.Body),
	}
}

// publishedProperties returns the properties of a message in a queue, by their names in the specification.
func publishedProperties(p client.Publishing) map[string]any {
	headers := map[string]string{}
	for name, x := range p.Headers {
		deaths, _ := x.([]any)
		for _, death := range deaths {
			death.(client.Table)["time"] = time.Unix(0, 0).UTC() // the time of the test
		}
		headers[name] = fmt.Sprintf("%T %v", x, x)
	}
	return map[string]any{
		"message-id":       p.MessageId,
		"correlation-id":   p.CorrelationId,
		"reply-to":         p.ReplyTo,
		"type":             p.Type,
		"headers":          headers,
		"delivery-mode":    p.DeliveryMode,
		"priority":         p.Priority,
		"expiration":       p.Expiration,
		"content-type":     p.ContentType,
		"content-encoding": p.ContentEncoding,
		"user-id":          p.UserId,
		"app-id":           p.AppId,
		"has a timestamp":  !p.Timestamp.IsZero(),
		"body":             string(p.Body),
	}
}

// pendingByClass holds delayed responses, one for each class. Any goroutine may call its methods.
type pendingByClass struct {
	mu        sync.Mutex
	responses map[string]func()
}

// respond responds at once, except to messages whose body is "hold".
func (p *pendingByClass) respond(request frontend.Request, body string, responder frontend.Responder) {
	if body != "hold" {
		respondByClass(request, body, responder)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.responses[request.Class] = func() { respondByClass(request, body, responder) }
}

// wait waits for a held request of a class and returns the function that responds to it.
func (p *pendingByClass) wait(class string) (response func()) {
	fake.WaitFor("a request in flight", func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		response = p.responses[class]
		return response != nil
	})
	return response
}

// publishGolden publishes messages for all outcomes that are replied to, except MayHaveExecuted. It returns once they
// are settled.
func publishGolden(bed *testbed, pending *pendingByClass) {
	b := bed.broker
	for _, class := range []string{"view", "deny", "what", "fail"} {
		b.Publish("ops", newMessage(class, class))
	}
	again := newMessage("again", "refuse") // two of its three attempts have been rejected
	again.Headers = client.Table{
		"x-death": []any{client.Table{"queue": "ops", "reason": "rejected", "count": int64(2)}},
	}
	retried := timedMessage("retried", "refuse")
	retried.Headers = client.Table{"tenant": "water"}
	first, second := newMessage("same", "view"), newMessage("same", "view")
	first.Body, second.Body = []byte("hold"), []byte("another")
	for _, p := range []client.Publishing{lateMessage(), badExpirationMessage(), again, retried, first} {
		b.Publish("ops", p)
	}
	respond := pending.wait("view")
	b.Publish("ops", second)
	fake.WaitFor("all replies but one", func() bool { return b.Counts("replies").Ready == 9 })
	bed.server.Post(respond)
	bed.waitSettled()
	fake.WaitFor("all replies", func() bool {
		return b.Counts("replies").Ready == 10 && b.Counts("ops.retry").Ready == 1
	})
}

// The properties and headers of replies, dead letters and messages in the retry queue, for all outcomes. They must not
// change between versions.
func TestGoldenPublished(t *testing.T) {
	b, server := newRetryBroker(-1), newFakeServer()
	pending := &pendingByClass{responses: map[string]func(){}}
	server.respond = pending.respond
	queue := defaultQueue()
	queue.Settlement.UseRetryQueue = true
	queue.Settlement.RetryQueueDelay = time.Millisecond
	bed := startTestbed(b, server, testConfig(b, queue))
	// The first consumer drains with this message in flight, so the second one receives it as redelivered.
	lost := newMessage("lost", "pay")
	lost.Body = []byte("hold")
	b.Publish("ops", lost)
	pending.wait("pay")
	bed.consumer.Drain(0)
	fake.WaitFor("the end of the first consumer", bed.consumer.Drained)
	bed = startTestbed(b, server, testConfig(b, queue))
	defer bed.close()
	bed.waitReplies(1)
	publishGolden(bed, pending)
	queues := map[string][]map[string]any{}
	for _, name := range []string{"replies", "dead", "ops.retry"} {
		for _, p := range b.DrainQueue(name) {
			queues[name] = append(queues[name], publishedProperties(p))
		}
		slices.SortFunc(queues[name], func(x, y map[string]any) int {
			return strings.Compare(fmt.Sprint(x), fmt.Sprint(y))
		})
	}
	compareGolden(t, "published.json", queues)
}

// The encoding of a status with all values set.
func TestGoldenStatus(t *testing.T) {
	const stored = `{"broker":"127.0.0.1:5672","closed":"blocked","level":7,"in_hand":5,"known":99,` +
		`"queues":[{"name":"ops","state":"probing","limit":3,"in_hand":2}],"counts":{"acked":11,"put-back":4}}`
	want := Status{Broker: "127.0.0.1:5672", PauseReason: "blocked", Window: 7, InFlight: 5, Remembered: 99,
		Queues: []QueueStatus{{Name: "ops", State: "probing", Limit: 3, InFlight: 2}},
		Counts: map[string]uint64{"acked": 11, "put-back": 4}}
	var got Status
	if err := json.Unmarshal([]byte(stored), &got); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("decoded as %+v, error %v, want %+v", got, err, want)
	}
	if text := fake.Must(json.Marshal(want)); string(text) != stored {
		t.Errorf("encoded as\n%s\nwant\n%s", text, stored)
	}
}

// The counter names on the status socket and in the log, as a consumer counts deliveries.
func TestGoldenCounters(t *testing.T) {
	b, server := newBroker(), newFakeServer()
	bed := startTestbed(b, server, testConfig(b))
	defer bed.close()
	b.Publish("ops", newMessage("a", "view"))
	b.Publish("ops", newMessage("a", "view"))
	b.Publish("ops", lateMessage())
	bed.waitSettled()
	statuses := make(chan Status, 1)
	bed.consumer.Post(func() { statuses <- bed.consumer.status() })
	counts := (<-statuses).Counts
	if counts["acked"] != 1 || counts["past-due"] != 1 ||
		counts["joined"]+counts["repeated"]+counts["answered-again"] != 1 || len(counts) != 3 {
		t.Errorf("counters %v, want one acked, one past-due and one of joined, repeated or answered-again", counts)
	}
}

// The event names on the status socket and in the log.
func TestGoldenEvents(t *testing.T) {
	for event, want := range map[event]string{
		eventReturned:        "put-back",
		eventReturnedAtDrain: "returned",
		eventJoined:          "joined",
		eventRepeated:        "repeated",
		eventReplyResent:     "answered-again",
		eventResubmitted:     "tried-again",
		eventReplyKept:       "answer-kept",
	} {
		if got := event.String(); got != want {
			t.Errorf("event %d has name %q, want %q", event, got, want)
		}
	}
}

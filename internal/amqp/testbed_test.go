package amqp

import (
	"fmt"
	"io"
	"log/slog"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	client "github.com/rabbitmq/amqp091-go"

	"lanewheel/admission"
	"lanewheel/internal/amqp/delivery"
	"lanewheel/internal/authn"
	"lanewheel/internal/eventloop"
	"lanewheel/internal/fake"
	"lanewheel/internal/fake/broker"
	"lanewheel/internal/frontend"
)

func TestMain(m *testing.M) {
	if os.Getenv("LOGS") == "" {
		slog.SetDefault(slog.New(slog.NewTextHandler(io.Discard, nil)))
	}
	os.Exit(m.Run())
}

// fakeServer executes submitted requests and counts the executions.
type fakeServer struct {
	*eventloop.Loop
	mu         sync.Mutex
	executions map[string]int // by body; guarded by mu
	load       frontend.Load  // owned by the loop

	// respond is called on the loop for each request. If it is nil, each request succeeds after a millisecond.
	respond func(request frontend.Request, body string, responder frontend.Responder)
}

func newFakeServer() *fakeServer {
	s := &fakeServer{
		Loop:       eventloop.New(4096),
		executions: map[string]int{},
		load:       frontend.Load{Ready: true, Healthy: true, Cores: 4, FreeCapacity: 1000},
	}
	go s.Run(func() {})
	return s
}

func (s *fakeServer) Submit(
	request frontend.Request, _ *authn.Credential, responder frontend.Responder,
) frontend.Handle {
	body := string(request.Body)
	if s.respond != nil {
		s.respond(request, body, responder)
		return nil
	}
	s.execute(body)
	s.ScheduleAt(s.Now()+time.Millisecond, func() {
		responder.Succeed([]byte("done "+body), frontend.ResponseMetadata{})
		responder.Done()
	})
	return nil
}

// execute counts an execution of a body. Any goroutine may call it.
func (s *fakeServer) execute(body string) {
	s.mu.Lock()
	s.executions[body]++
	s.mu.Unlock()
}

func (s *fakeServer) Cancel(frontend.Handle) bool { return false }
func (s *fakeServer) Load() frontend.Load         { return s.load }

func (s *fakeServer) changeLoad(change func(*frontend.Load)) {
	s.Post(func() { change(&s.load) })
}

// respondByClass responds according to the class of a request. Classes that are not listed here succeed.
func respondByClass(request frontend.Request, body string, responder frontend.Responder) {
	switch request.Class {
	case "deny":
		responder.RejectPermanently("denied", frontend.ResponseMetadata{Reason: "tenant"})
	case "what":
		responder.RejectPermanently("unknown-type", frontend.ResponseMetadata{})
	case "fail":
		responder.Fail(frontend.ResponseMetadata{})
	case "refuse":
		responder.Reject(frontend.ResponseMetadata{})
	default:
		responder.Succeed([]byte("done "+body), frontend.ResponseMetadata{})
	}
	responder.Done()
}

// pendingResponses holds delayed responses. Any goroutine may call add and len.
type pendingResponses struct {
	mu        sync.Mutex
	responses []func()
}

func (p *pendingResponses) add(response func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.responses = append(p.responses, response)
}

func (p *pendingResponses) len() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.responses)
}

// release sends the held responses. It must be called on the server's event loop.
func (p *pendingResponses) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, response := range p.responses {
		response()
	}
	p.responses = nil
}

// testbed connects a consumer to a fake broker and a fake server.
type testbed struct {
	broker   *broker.Broker
	server   *fakeServer
	consumer *Consumer
}

func defaultQueue() Queue {
	return Queue{
		Queue:           delivery.Queue{Name: "ops", Weight: 1, MinInFlight: 2, MaxInFlight: 100},
		Settlement:      delivery.SettlementConfig{MaxAttempts: 3, RetryQueueDelay: 20 * time.Millisecond, DeadLetter: true},
		DeadLetterQueue: "dead",
		Identity:        "token:depot",
		Mapping: Mapping{
			Class:          Source{Name: "type"},
			DefaultTimeout: 30 * time.Second,
			MaxBodyBytes:   2048,
			DefaultRank:    0.5,
			DefaultKB:      1,
		},
	}
}

func testConfig(b *broker.Broker, queues ...Queue) Config {
	if len(queues) == 0 {
		queues = []Queue{defaultQueue()}
	}
	return Config{
		BrokerURLs:        []string{b.URL()},
		Queues:            queues,
		MaxInFlight:       100,
		RetryFraction:     1,
		UnstartedRate:     10_000,
		MaxRemembered:     1000,
		RememberedFor:     time.Minute,
		HeartbeatInterval: 10 * time.Second,
		IdempotentClasses: map[admission.Class]bool{"view": true, "key": true},
	}
}

func newBroker() *broker.Broker {
	b := broker.New()
	for _, name := range []string{"ops", "replies", "dead"} {
		b.DeclareQueue(name, nil)
	}
	return b
}

// newRetryBroker returns a broker with a retry queue that keeps messages for delayMilliseconds, or without a limit if
// delayMilliseconds is negative.
func newRetryBroker(delayMilliseconds int64) *broker.Broker {
	b := broker.New()
	b.DeclareQueue("ops", client.Table{"x-dead-letter-exchange": "", "x-dead-letter-routing-key": "ops.retry"})
	var retry client.Table
	if delayMilliseconds >= 0 {
		retry = client.Table{
			"x-message-ttl":             delayMilliseconds,
			"x-dead-letter-exchange":    "",
			"x-dead-letter-routing-key": "ops",
		}
	}
	b.DeclareQueue("ops.retry", retry)
	b.DeclareQueue("replies", nil)
	b.DeclareQueue("dead", nil)
	return b
}

func startTestbed(b *broker.Broker, server *fakeServer, config Config) *testbed {
	t := &testbed{broker: b, server: server, consumer: New(config, server, server.Post, 1)}
	t.consumer.Start()
	return t
}

func (t *testbed) close() {
	t.consumer.Drain(time.Second)
	fake.WaitFor("the consumer to drain", t.consumer.Drained)
	t.broker.Close()
	t.server.Post(t.server.Quit)
}

func newMessage(id, class string) client.Publishing {
	return client.Publishing{MessageId: id, Type: class, ReplyTo: "replies", CorrelationId: "c-" + id, Body: []byte(id)}
}

// timedMessage returns a message with a timestamp. The consumers that read it agree on its deadline.
func timedMessage(id, class string) client.Publishing {
	message := newMessage(id, class)
	message.Timestamp = time.Now()
	return message
}

// lateMessage returns a message whose deadline has passed.
func lateMessage() client.Publishing {
	message := newMessage("late", "view")
	message.Timestamp = time.Now().Add(-time.Hour)
	message.Expiration = "1000"
	return message
}

// badExpirationMessage returns a message whose expiration is not a number.
func badExpirationMessage() client.Publishing {
	message := newMessage("odd", "view")
	message.Expiration = "soon"
	return message
}

// waitSettled waits until the work queue has neither ready nor unsettled messages.
func (t *testbed) waitSettled() {
	fake.WaitFor("the work queue to be empty", func() bool {
		counts := t.broker.Counts("ops")
		return counts.Ready+counts.Unsettled == 0
	})
}

// waitReplies waits until the reply queue contains count messages.
func (t *testbed) waitReplies(count int) {
	fake.WaitFor("all replies", func() bool { return t.broker.Counts("replies").Ready == count })
}

// replies removes the replies from the reply queue and returns them sorted. A reply that was published twice, with the
// same id and content, is returned once.
func (t *testbed) replies() []string {
	var all []string
	for _, p := range t.broker.DrainQueue("replies") {
		all = append(all, strings.TrimSpace(fmt.Sprint(p.CorrelationId, " ", p.Type, " ", string(p.Body))))
	}
	slices.Sort(all)
	return slices.Compact(all)
}

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

// fakeServer is a core that runs what it is handed, one run each, and counts.
type fakeServer struct {
	*eventloop.Loop
	mu     sync.Mutex
	runs   map[string]int // by body
	load   frontend.Load
	behave func(ask frontend.Request, body string, owed frontend.Responder) // on its loop; nil: acked after a millisecond
}

func newFakeServer() *fakeServer {
	c := &fakeServer{Loop: eventloop.New(4096), runs: map[string]int{}, load: frontend.Load{Ready: true, Healthy: true, Cores: 4, FreeCapacity: 1000}}
	go c.Run(func() {})
	return c
}

func (c *fakeServer) Submit(ask frontend.Request, _ *authn.Credential, owed frontend.Responder) frontend.Handle {
	body := string(ask.Body)
	if c.behave != nil {
		c.behave(ask, body, owed)
		return nil
	}
	c.run(body)
	c.ScheduleAt(c.Now()+time.Millisecond, func() {
		owed.Succeed([]byte("done "+body), frontend.ResponseMetadata{})
		owed.Done()
	})
	return nil
}

func (c *fakeServer) run(body string) {
	c.mu.Lock()
	c.runs[body]++
	c.mu.Unlock()
}

func (c *fakeServer) Cancel(frontend.Handle) {}
func (c *fakeServer) Load() frontend.Load    { return c.load }

func (c *fakeServer) set(load func(*frontend.Load)) { c.Post(func() { load(&c.load) }) }

// testbed is a front between a broker and a core.
type testbed struct {
	broker   *broker.Broker
	server   *fakeServer
	consumer *Consumer
}

var defaultQueue = Queue{Queue: delivery.Queue{Name: "ops", Weight: 1, MinInFlight: 2, MaxInFlight: 100},
	Settlement: delivery.SettlementConfig{MaxAttempts: 3, RetryQueueDelay: 20 * time.Millisecond, DeadLetter: true}, DeadLetterQueue: "dead", Identity: "token:depot",
	Mapping: Mapping{Class: Source{Name: "type"}, DefaultWait: 30 * time.Second, MaxBodyBytes: 2048, DefaultRank: 0.5, DefaultKB: 1}}

func testConfig(b *broker.Broker, queues ...Queue) Config {
	if len(queues) == 0 {
		queues = []Queue{defaultQueue}
	}
	return Config{BrokerURLs: []string{b.URL()}, Queues: queues, MaxInFlight: 100, RetryFraction: 1, UnstartedRate: 10_000, MaxRemembered: 1000, RememberedFor: time.Minute,
		HeartbeatInterval: 10 * time.Second, IdempotentClasses: map[admission.Class]bool{"view": true, "key": true}}
}

func newBroker() *broker.Broker {
	b := broker.New()
	for _, name := range []string{"ops", "replies", "dead"} {
		b.DeclareQueue(name, nil)
	}
	return b
}

func startTestbed(b *broker.Broker, c *fakeServer, t Config) *testbed {
	s := &testbed{b, c, New(t, c, c.Post, 1)}
	s.consumer.Start()
	return s
}

func (s *testbed) close() {
	s.consumer.Drain(time.Second)
	fake.WaitFor("the end of the front", s.consumer.Drained)
	s.broker.Close()
	s.server.Post(s.server.Quit)
}

func newMessage(id, kind string) client.Publishing {
	return client.Publishing{MessageId: id, Type: kind, ReplyTo: "replies", CorrelationId: "c-" + id, Body: []byte(id)}
}

// settled waits until nothing is left in a queue.
func (s *testbed) settled(name string) {
	fake.WaitFor("the end of "+name, func() bool {
		c := s.broker.Counts(name)
		return c.Ready+c.Unsettled == 0
	})
}

// replies gives what was answered, sorted; an answer sent twice, with the same id and words, counts once.
func (s *testbed) replies() (all []string) {
	for _, p := range s.broker.DrainQueue("replies") {
		all = append(all, strings.TrimSpace(fmt.Sprint(p.CorrelationId, " ", p.Type, " ", string(p.Body))))
	}
	slices.Sort(all)
	return slices.Compact(all)
}

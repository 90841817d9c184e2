package amqp

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"encoding/binary"
	"fmt"
	"io"
	"log/slog"
	"net"
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
	"lanewheel/internal/certs"
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

// A message's way: taken, run, answered, acked. What can't be served, came too late or was denied is answered unrun, and copied
// to the dead letters.
func Example() {
	b, c := newBroker(), newFakeServer()
	c.behave = func(ask frontend.Request, body string, owed frontend.Responder) {
		switch ask.Class {
		case "deny":
			owed.RejectPermanently("denied", frontend.ResponseMetadata{Reason: "tenant"})
		case "what":
			owed.RejectPermanently("unknown-type", frontend.ResponseMetadata{})
		case "fail":
			owed.Fail(frontend.ResponseMetadata{})
		default:
			c.run(body)
			owed.Succeed([]byte("done "+body), frontend.ResponseMetadata{})
		}
		owed.Done()
	}
	s := startTestbed(b, c, testConfig(b))
	defer s.close()
	for _, kind := range []string{"view", "pay", "deny", "what", "fail"} {
		b.Publish("ops", newMessage(kind, kind))
	}
	late := newMessage("late", "view")
	late.Timestamp, late.Expiration = time.Now().Add(-time.Hour), "1000"
	long := newMessage("long", "view")
	long.Body = bytes.Repeat([]byte("x"), 200_000)
	nested, deeper := newMessage("nested", "view"), newMessage("deeper", "view")
	deep := client.Table{}
	for i := range 5000 {
		if deep = (client.Table{"t": deep}); i == 500 {
			nested.Headers = deep // short enough, and yet more than the library reads
		}
	}
	deeper.Headers = deep
	odd := newMessage("odd", "view")
	odd.Expiration = "soon"
	for _, p := range []client.Publishing{late, long, nested, deeper, odd} {
		b.Publish("ops", p)
	}
	s.settled("ops")
	fake.WaitFor("all answers", func() bool { return b.Counts("replies").Ready == 8 }) // nobody can tell where nested's goes
	for _, r := range s.replies() {
		fmt.Println(r)
	}
	var dead []string
	for _, p := range b.DrainQueue("dead") {
		id, _, _ := strings.Cut(p.MessageId, ":")
		dead = append(dead, fmt.Sprint(id, " ", p.Headers["outcome"], " ", p.Headers["why"]))
	}
	slices.Sort(dead)
	fmt.Println(strings.Join(dead, "\n"))
	fmt.Println(c.runs, b.Violations())
	// Output:
	// c-deny denied
	// c-fail failed
	// c-late past-due
	// c-long unservable
	// c-odd unservable
	// c-pay acked done pay
	// c-view acked done view
	// c-what unservable
	// deny denied tenant
	// fail failed <nil>
	// late past-due <nil>
	// long unservable too-long
	// odd unservable bad-expiration
	// unread unservable bad-header
	// unread unservable bad-header
	// what unservable unknown-type
	// map[pay:1 view:1] []
}

// The same exchange with the connection cut behind each of its frames, and inside it: whatever the frame, each message has one
// final answer, none of a type that must not run twice does, and nothing is left unsettled.
func TestCutAfterEachFrame(t *testing.T) {
	kinds := []string{"view", "pay", "key"}
	play := func(faults ...broker.Fault) (s *testbed, frames int, wrong string) {
		b, c := newBroker(), newFakeServer()
		b.SetFaults(faults...)
		s = startTestbed(b, c, testConfig(b))
		defer s.close()
		for i := range 12 {
			b.Publish("ops", newMessage(fmt.Sprint(kinds[i%3], i), kinds[i%3]))
		}
		s.settled("ops")
		fake.WaitFor("all answers", func() bool { return b.Counts("replies").Ready >= 12 })
		replies := s.replies()
		c.mu.Lock()
		defer c.mu.Unlock()
		for i := range 12 {
			id := fmt.Sprint(kinds[i%3], i)
			n, ran, told := 0, c.runs[id], 1
			for _, r := range replies {
				if strings.HasPrefix(r, "c-"+id+" ") {
					n++
					if r == "c-"+id+" may-have-run" && kinds[i%3] == "pay" {
						told = 0 // redelivered, and nobody can tell whether a peer had it before
					}
				}
			}
			if n != 1 || ran != told {
				wrong += fmt.Sprintf("%s: %d answers, %d runs; ", id, n, ran)
			}
		}
		if len(b.Violations()) > 0 {
			wrong += fmt.Sprint(b.Violations())
		}
		return s, b.FrameCount(1), wrong
	}
	_, frames, wrong := play()
	if wrong != "" || frames < 60 {
		t.Fatalf("%d frames without a fault: %s", frames, wrong)
	}
	var all sync.WaitGroup
	room := make(chan bool, 24)
	for _, how := range []broker.FaultMode{broker.Disconnect, broker.TruncateFrame} {
		for k := 1; k <= frames; k++ {
			all.Add(1)
			room <- true
			go func() {
				defer all.Done()
				// The second connection is cut as well, a little further on.
				if _, _, wrong := play(broker.Fault{Connection: 1, Frame: k, Mode: how}, broker.Fault{Connection: 2, Frame: k/2 + 9, Mode: how}); wrong != "" {
					t.Errorf("cut %d at frame %d: %s", how, k, wrong)
				}
				<-room
			}()
		}
	}
	all.Wait()
	t.Logf("%d frames, cut behind and inside each", frames)
}

// A message that the module turns away goes back, by the retry queue where there is one, counted; out of attempts it is answered.
func Example_rejected() {
	for _, retry := range []bool{false, true} {
		b, c := newBroker(), newFakeServer()
		q := defaultQueue
		q.Settlement.UseRetryQueue = retry
		if retry {
			b = broker.New()
			b.DeclareQueue("ops", client.Table{"x-dead-letter-exchange": "", "x-dead-letter-routing-key": "ops.retry"})
			b.DeclareQueue("ops.retry", client.Table{"x-message-ttl": int64(20), "x-dead-letter-exchange": "", "x-dead-letter-routing-key": "ops"})
			b.DeclareQueue("replies", nil)
			b.DeclareQueue("dead", nil)
		}
		turned := 0
		c.behave = func(ask frontend.Request, body string, owed frontend.Responder) {
			if body == "never" || turned < 2 {
				turned++
				owed.Reject(frontend.ResponseMetadata{})
			} else {
				owed.Succeed([]byte("at last"), frontend.ResponseMetadata{})
			}
			owed.Done()
		}
		s := startTestbed(b, c, testConfig(b, q))
		b.Publish("ops", newMessage("once", "pay"))
		fake.WaitFor("an answer", func() bool { return b.Counts("replies").Ready == 1 })
		fmt.Println(s.replies(), "put back", b.Counts("ops").Requeued, "rejected", b.Counts("ops").Rejected)
		if retry {
			b.Publish("ops", newMessage("never", "pay"))
			fake.WaitFor("its end", func() bool { return b.Counts("dead").Ready == 1 })
			fmt.Println(s.replies(), "rejected", b.Counts("ops").Rejected, "dead", b.Counts("dead").Ready)
		}
		s.close()
	}
	// Output:
	// [c-once acked at last] put back 2 rejected 0
	// [c-once acked at last] put back 0 rejected 2
	// [c-never out-of-attempts] rejected 4 dead 1
}

// At the notice consuming stops, what was not started goes back untouched, what runs is answered and acked, and the connection
// closes in order; with a broker that has died, or answers nothing, the end comes all the same.
func Example_drain() {
	for _, how := range []string{"well", "dead", "silent"} {
		b, c := newBroker(), newFakeServer()
		var held []func(bool)
		var mu sync.Mutex
		c.behave = func(ask frontend.Request, body string, owed frontend.Responder) {
			mu.Lock()
			defer mu.Unlock()
			held = append(held, func(runs bool) {
				if runs {
					owed.Succeed([]byte("done"), frontend.ResponseMetadata{})
				} else {
					owed.Reject(frontend.ResponseMetadata{})
				}
				owed.Done()
			})
		}
		q := defaultQueue
		q.MinInFlight = 6
		s := startTestbed(b, c, testConfig(b, q))
		for i := range 20 {
			b.Publish("ops", newMessage(fmt.Sprintf("m%02d", i), "view"))
		}
		fake.WaitFor("six in hand", func() bool { mu.Lock(); defer mu.Unlock(); return len(held) == 6 })
		s.server.set(func(l *frontend.Load) { l.Draining = true })
		s.consumer.Drain(800 * time.Millisecond)
		s.consumer.Drain(time.Hour) // a second notice changes nothing
		switch how {
		case "dead":
			b.Close()
		case "silent":
			b.SetSilent(true)
		}
		began := time.Now()
		c.Post(func() {
			mu.Lock()
			defer mu.Unlock()
			for i, end := range held {
				end(i < 2)
			}
		})
		fake.WaitFor("the end", s.consumer.Drained)
		fmt.Println(how, "in time", time.Since(began) < 1500*time.Millisecond)
		if how == "well" {
			counts := b.Counts("ops")
			fmt.Println("acked", counts.Acked, "back", counts.Ready, "answers", s.replies())
			_, standing := b.Connections()
			fmt.Println("connections", standing, b.Violations())
		}
		b.Close()
		c.Post(c.Quit)
	}
	// Output:
	// well in time true
	// acked 2 back 18 answers [c-m00 acked done c-m01 acked done]
	// connections 0 []
	// dead in time true
	// silent in time true
}

// A broker that says it is blocked gets nothing new from us; a queue that is deleted and comes back is consumed again; a login
// that is refused, and a broker that takes connections and drops them, are tried less and less often.
func Example_brokerFaults() {
	b, c := newBroker(), newFakeServer()
	s := startTestbed(b, c, testConfig(b))
	b.Publish("ops", newMessage("a", "view"))
	s.settled("ops")
	b.SetBlocked(true)
	fake.WaitFor("the intake's end", func() bool { return b.Counts("ops").Consumers == 0 })
	b.Publish("ops", newMessage("b", "view"))
	fmt.Println(state(s), b.Counts("ops").Ready)
	b.SetBlocked(false)
	s.settled("ops")
	b.DeleteQueue("ops")
	time.Sleep(delivery.UpdateInterval)
	b.DeclareQueue("ops", nil)
	b.Publish("ops", newMessage("c", "view"))
	s.settled("ops")
	fmt.Println(len(s.replies()))
	s.close()

	b = newBroker()
	b.RefuseLogins(true)
	s = startTestbed(b, newFakeServer(), testConfig(b))
	time.Sleep(1500 * time.Millisecond)
	ever, _ := b.Connections()
	fmt.Println("tries", ever >= 2 && ever <= 6)
	s.close()
	// Output:
	// blocked 1
	// 3
	// tries true
}

// Two messages with one id: with the same content they are one op, and both are settled with it; with another content the second
// is told so. A channel that the broker closes is opened anew, and what was in hand is not run again.
func Example_duplicates() {
	b, c := newBroker(), newFakeServer()
	var mu sync.Mutex
	var end []func()
	c.behave = func(ask frontend.Request, body string, owed frontend.Responder) {
		c.run(body)
		mu.Lock()
		defer mu.Unlock()
		end = append(end, func() { owed.Succeed([]byte("done "+body), frontend.ResponseMetadata{}); owed.Done() })
	}
	s := startTestbed(b, c, testConfig(b))
	defer s.close()
	other := newMessage("a", "pay")
	other.Body = []byte("b")
	b.Publish("ops", newMessage("a", "pay"))
	b.Publish("ops", newMessage("a", "pay"))
	fake.WaitFor("both in hand", func() bool { return b.Counts("ops").Unsettled == 2 })
	b.Publish("ops", other)
	fake.WaitFor("the other's end", func() bool { return b.Counts("ops").Acked == 1 })
	b.CloseConsumerChannels()
	fake.WaitFor("both again", func() bool { x := b.Counts("ops"); return x.Redelivered == 2 && x.Unsettled == 2 })
	c.Post(func() {
		mu.Lock()
		defer mu.Unlock()
		for _, then := range end {
			then()
		}
	})
	s.settled("ops")
	fmt.Println(s.replies(), c.runs, b.Counts("ops").Acked)
	// Output:
	// [c-a acked done a c-a id-twice] map[a:1] 3
}

// Brokers under TLS: one whose certificate the told authority signed is consumed from, and told who we are; another is not.
func Example_tls() {
	now := time.Now()
	ours, other := fake.Must(certs.NewAuthority("ours", now, time.Hour)), fake.Must(certs.NewAuthority("other", now, time.Hour))
	pair := func(p certs.KeyPair, err error) tls.Certificate {
		cert, key, _ := fake.Must(p, err).EncodePEM()
		return fake.Must(tls.X509KeyPair(cert, key))
	}
	roots := x509.NewCertPool()
	roots.AddCert(ours.Certificate)
	for _, a := range []certs.KeyPair{ours, other} {
		l := fake.Must(tls.Listen("tcp", "127.0.0.1:0", &tls.Config{ClientCAs: roots, ClientAuth: tls.RequireAndVerifyClientCert,
			Certificates: []tls.Certificate{pair(a.Issue(certs.Subject{CommonName: "broker", Hosts: []string{"127.0.0.1"}}, true, now, time.Hour))}}))
		b, c := broker.NewOnListener(l), newFakeServer()
		b.DeclareQueue("ops", nil)
		b.DeclareQueue("replies", nil)
		t := testConfig(b)
		t.BrokerURLs = []string{"amqps://" + b.Addr() + "/"}
		t.Login = "guest:guest"
		t.TLS = &tls.Config{RootCAs: roots, Certificates: []tls.Certificate{pair(ours.Issue(certs.Subject{CommonName: "node"}, false, now, time.Hour))}}
		s := startTestbed(b, c, t)
		b.Publish("ops", newMessage("a", "view"))
		if a.Certificate == ours.Certificate {
			s.settled("ops")
		} else {
			fake.WaitFor("some tries", func() bool { ever, _ := b.Connections(); return ever > 1 })
		}
		fmt.Println(b.Counts("ops").Acked, s.replies())
		s.close()
	}
	// Output:
	// 1 [c-a acked done a]
	// 0 []
}

func state(s *testbed) string {
	say := make(chan string)
	s.consumer.Post(func() { say <- s.consumer.flow.State("ops").String() })
	return <-say
}

// When the primary goes, the second broker is consumed from; a primary that flaps does not have the consumer flap.
func Example_failover() {
	now := time.Duration(0)
	r := newBrokerSelector([]string{"one", "two"}, func() float64 { return 0.5 })
	say := func() {
		addr, wait := r.pick(now)
		fmt.Println(now, addr, wait, r.shouldFailBack(now))
	}
	say()
	r.failed(now, "one", "unreachable")
	say()
	r.connected(now, "two")
	now = 29 * time.Second
	say()
	now = 30 * time.Second
	say() // back to the preferred
	tries := 0
	for end := now + 10*time.Minute; now < end; now += 10 * time.Millisecond {
		if addr, _ := r.pick(now); addr == "one" {
			tries++
			r.connected(now, "one")
			now += 100 * time.Millisecond
			r.failed(now, "one", "closed")
		}
	}
	fmt.Println("tries in ten minutes", tries)
	// Output:
	// 0s one 0s false
	// 0s two 0s false
	// 29s one 0s false
	// 30s one 0s true
	// tries in ten minutes 26
}

// Two instances on one queue, one of them slow: the fast one gets the work, and what the slow one left untouched goes back.
func Example_twoInstances() {
	b := newBroker()
	slow, fast := newFakeServer(), newFakeServer()
	slow.behave = func(_ frontend.Request, body string, owed frontend.Responder) {
		slow.run(body)
		slow.load.Queued = 40 // it holds more than it has cores
		slow.ScheduleAt(slow.Now()+300*time.Millisecond, func() { owed.Succeed([]byte("slow"), frontend.ResponseMetadata{}); owed.Done() })
	}
	one, two := startTestbed(b, slow, testConfig(b)), startTestbed(b, fast, testConfig(b))
	for i := range 300 {
		b.Publish("ops", newMessage(fmt.Sprint(i), "view"))
	}
	one.settled("ops")
	fake.WaitFor("all answers", func() bool { return b.Counts("replies").Ready == 300 })
	fmt.Println(len(one.replies()), len(fast.runs)+len(slow.runs), len(slow.runs) < 30)
	one.consumer.Drain(time.Second)
	fake.WaitFor("its end", one.consumer.Drained)
	two.close()
	// Output:
	// 300 300 true
}

// Content of any size and tables of any depth do not reach the library; whatever way the bytes come cut, the same goes on.
func TestFrameFilter(t *testing.T) {
	frame := func(kind byte, channel uint16, payload []byte) []byte {
		b := binary.BigEndian.AppendUint16([]byte{kind}, channel)
		b = binary.BigEndian.AppendUint32(b, uint32(len(payload)))
		return append(append(b, payload...), 0xce)
	}
	header := func(size uint64, id int) []byte { // with a message-id of that length
		b := binary.BigEndian.AppendUint64([]byte{0, 60, 0, 0}, size)
		if id == 0 {
			return append(b, 0, 0)
		}
		return append(append(b, 0, 1<<7, byte(id)), make([]byte, id)...)
	}
	var stream []byte
	stream = append(stream, frame(1, 1, []byte("method"))...)
	stream = append(stream, frame(2, 1, header(5, 0))...)
	stream = append(stream, frame(3, 1, []byte("small"))...)
	stream = append(stream, frame(2, 2, header(3000, 3))...)
	stream = append(stream, frame(3, 2, make([]byte, 2000))...)
	stream = append(stream, frame(8, 0, nil)...)
	stream = append(stream, frame(3, 2, make([]byte, 1000))...)
	stream = append(stream, frame(2, 1, header(4, 200))...)
	stream = append(stream, frame(3, 1, []byte("more"))...)
	stream = append(stream, frame(1, 1, []byte("end"))...)
	var want []byte
	want = append(want, frame(1, 1, []byte("method"))...)
	want = append(want, frame(2, 1, header(5, 0))...)
	want = append(want, frame(3, 1, []byte("small"))...)
	want = append(want, frame(2, 2, header(uint64(len(placeholders[tooLong])), 3))...)
	want = append(want, frame(3, 2, []byte(placeholders[tooLong]))...)
	want = append(want, frame(8, 0, nil)...)
	want = append(want, frame(2, 1, header(uint64(len(placeholders[badHeader])), 0))...)
	want = append(want, frame(3, 1, []byte(placeholders[badHeader]))...)
	want = append(want, frame(1, 1, []byte("end"))...)
	for size := 1; size <= len(stream); size++ {
		s := newFrameFilter(nil, 100, 100)
		for rest := stream; len(rest) > 0; {
			n := min(size, len(rest))
			s.feed(rest[:n])
			rest = rest[n:]
		}
		if !bytes.Equal(s.ready, want) {
			t.Fatalf("in pieces of %d: %q", size, s.ready)
		}
	}
}

func FuzzMapping(f *testing.F) {
	f.Add("id", "view", "1000", "water", "0.5", int64(3), []byte("body"))
	f.Add("", "", "x", "", "NaN", int64(-1), []byte(nil))
	m := defaultQueue.Mapping
	m.Tenant, m.Rank = Source{Header: true, Name: "tenant"}, Source{Header: true, Name: "rank"}
	f.Fuzz(func(t *testing.T, id, kind, expiration, tenant, rank string, count int64, body []byte) {
		d := &client.Delivery{MessageId: id, Type: kind, Expiration: expiration, Body: body, Headers: client.Table{"tenant": tenant, "rank": rank,
			"x-death": []any{client.Table{"queue": "ops", "reason": "rejected", "count": count}}}}
		r := m.read("ops", d, "", time.Unix(0, 0))
		again := m.read("ops", d, "", time.Unix(1, 0))
		if r.id == "" || len(r.request.ID) != 16 || r.id != again.id || r.digest != again.digest || r.attempt < 0 || r.request.Timeout < 0 {
			t.Fatalf("%+v", r)
		}
	})
}

var _ net.Conn = (*frameFilter)(nil)

package amqp

import (
	"bytes"
	"fmt"
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

// nestedTables returns headers with depth tables nested in each other.
func nestedTables(depth int) client.Table {
	table := client.Table{}
	for range depth {
		table = client.Table{"t": table}
	}
	return table
}

// A message is consumed, executed, replied to and acked. A message that cannot be served, arrives after its deadline or
// is denied is not executed, but replied to and copied to the dead-letter queue.
func Example() {
	b, server := newBroker(), newFakeServer()
	server.respond = func(request frontend.Request, body string, responder frontend.Responder) {
		if class := request.Class; class == "view" || class == "pay" {
			server.execute(body)
		}
		respondByClass(request, body, responder)
	}
	bed := startTestbed(b, server, testConfig(b))
	defer bed.close()
	for _, class := range []string{"view", "pay", "deny", "what", "fail"} {
		b.Publish("ops", newMessage(class, class))
	}
	long := newMessage("long", "view")
	long.Body = bytes.Repeat([]byte("x"), 200_000)
	nested, deeper := newMessage("nested", "view"), newMessage("deeper", "view")
	nested.Headers = nestedTables(501) // within the size limit, but nested too deeply
	deeper.Headers = nestedTables(5000)
	for _, p := range []client.Publishing{lateMessage(), long, nested, deeper, badExpirationMessage()} {
		b.Publish("ops", p)
	}
	bed.waitSettled()
	bed.waitReplies(8) // nested and deeper have no replies, because the name of the reply queue is not read
	for _, r := range bed.replies() {
		fmt.Println(r)
	}
	var deadLetters []string
	for _, p := range b.DrainQueue("dead") {
		id, _, _ := strings.Cut(p.MessageId, ":")
		deadLetters = append(deadLetters, fmt.Sprint(id, " ", p.Headers["outcome"], " ", p.Headers["why"]))
	}
	slices.Sort(deadLetters)
	fmt.Println(strings.Join(deadLetters, "\n"))
	fmt.Println(server.executions, b.Violations())
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

// exchangeClasses are the classes of the messages in runExchange, in turn: idempotent, not idempotent, and idempotent
// by key.
var exchangeClasses = []string{"view", "pay", "key"}

// runExchange sends twelve messages over connections with faults. It returns the number of frames on the first
// connection and a description of the problems found, empty if there are none.
func runExchange(faults ...broker.Fault) (frames int, problems string) {
	b, server := newBroker(), newFakeServer()
	b.SetFaults(faults...)
	bed := startTestbed(b, server, testConfig(b))
	defer bed.close()
	const messages = 12
	for i := range messages {
		class := exchangeClasses[i%len(exchangeClasses)]
		b.Publish("ops", newMessage(fmt.Sprint(class, i), class))
	}
	bed.waitSettled()
	fake.WaitFor("all replies", func() bool { return b.Counts("replies").Ready >= messages })
	replies := bed.replies()
	server.mu.Lock()
	defer server.mu.Unlock()
	for i := range messages {
		class := exchangeClasses[i%len(exchangeClasses)]
		id := fmt.Sprint(class, i)
		problems += checkExchanged(id, class, replies, server.executions[id])
	}
	if violations := b.Violations(); len(violations) > 0 {
		problems += fmt.Sprint(violations)
	}
	return b.FrameCount(1), problems
}

// checkExchanged checks that a message has one reply and one execution. It returns a description of the problem, or "".
func checkExchanged(id, class string, replies []string, executions int) string {
	count, wantExecutions := 0, 1
	for _, r := range replies {
		if !strings.HasPrefix(r, "c-"+id+" ") {
			continue
		}
		count++
		if r == "c-"+id+" may-have-run" && class == "pay" {
			wantExecutions = 0 // redelivered, and it is unknown whether a peer has executed it
		}
	}
	if count != 1 || executions != wantExecutions {
		return fmt.Sprintf("%s: %d replies, want 1, %d executions, want %d; ", id, count, executions, wantExecutions)
	}
	return ""
}

// The connection is cut after each frame and inside each frame of the exchange. In all cases each message has one final
// reply, no message that is not idempotent is executed twice, and all messages are settled.
func TestCutAfterEachFrame(t *testing.T) {
	frames, problems := runExchange()
	if problems != "" || frames < 60 {
		t.Fatalf("%d frames without a fault, want at least 60, and problems: %s", frames, problems)
	}
	var running sync.WaitGroup
	slots := make(chan bool, 24)
	for _, mode := range []broker.FaultMode{broker.Disconnect, broker.TruncateFrame} {
		for frame := 1; frame <= frames; frame++ {
			running.Add(1)
			slots <- true
			go func() {
				defer running.Done()
				_, problems := runExchange(
					broker.Fault{Connection: 1, Frame: frame, Mode: mode},
					// The second connection is cut as well, some frames later.
					broker.Fault{Connection: 2, Frame: frame/2 + 9, Mode: mode},
				)
				if problems != "" {
					t.Errorf("connection cut with mode %d at frame %d: %s", mode, frame, problems)
				}
				<-slots
			}()
		}
	}
	running.Wait()
	t.Logf("connection cut after and inside each of %d frames", frames)
}

// A message that the server rejects is returned to the broker, through the retry queue if there is one, and its
// attempts are counted. After the last attempt it is replied to and copied to the dead-letter queue.
func Example_rejected() {
	for _, useRetryQueue := range []bool{false, true} {
		b, server := newBroker(), newFakeServer()
		queue := defaultQueue()
		queue.Settlement.UseRetryQueue = useRetryQueue
		if useRetryQueue {
			b = newRetryBroker(20)
		}
		rejected := 0
		server.respond = func(_ frontend.Request, body string, responder frontend.Responder) {
			if body == "never" || rejected < 2 {
				rejected++
				responder.Reject(frontend.ResponseMetadata{})
			} else {
				responder.Succeed([]byte("at last"), frontend.ResponseMetadata{})
			}
			responder.Done()
		}
		bed := startTestbed(b, server, testConfig(b, queue))
		b.Publish("ops", timedMessage("once", "pay"))
		bed.waitReplies(1)
		counts := b.Counts("ops")
		fmt.Println(bed.replies(), "put back", counts.Requeued, "rejected", counts.Rejected)
		if useRetryQueue {
			b.Publish("ops", timedMessage("never", "pay"))
			fake.WaitFor("the message in the dead-letter queue", func() bool { return b.Counts("dead").Ready == 1 })
			fmt.Println(bed.replies(), "rejected", b.Counts("ops").Rejected, "dead", b.Counts("dead").Ready)
		}
		bed.close()
	}
	// Output:
	// [c-once acked at last] put back 2 rejected 0
	// [c-once acked at last] put back 0 rejected 2
	// [c-never out-of-attempts] rejected 4 dead 1
}

// When the consumer drains, messages that were not executed are returned to the queue, messages in execution are
// replied to and acked, and the connection closes gracefully. The consumer also ends if the broker has ended or does
// not respond.
func Example_drain() {
	for _, condition := range []string{"well", "dead", "silent"} {
		b, server := newBroker(), newFakeServer()
		var responses pendingResponses
		server.respond = func(_ frontend.Request, _ string, responder frontend.Responder) {
			executed := responses.len() < 2
			responses.add(func() {
				if executed {
					responder.Succeed([]byte("done"), frontend.ResponseMetadata{})
				} else {
					responder.Reject(frontend.ResponseMetadata{})
				}
				responder.Done()
			})
		}
		queue := defaultQueue()
		queue.MinInFlight = 6
		bed := startTestbed(b, server, testConfig(b, queue))
		for i := range 20 {
			b.Publish("ops", timedMessage(fmt.Sprintf("m%02d", i), "view"))
		}
		fake.WaitFor("six messages in flight", func() bool { return responses.len() == 6 })
		server.changeLoad(func(l *frontend.Load) { l.Draining = true })
		bed.consumer.Drain(800 * time.Millisecond)
		bed.consumer.Drain(time.Hour) // a second call has no effect
		switch condition {
		case "dead":
			b.Close()
		case "silent":
			b.SetSilent(true)
		}
		start := time.Now()
		server.Post(responses.release)
		fake.WaitFor("the end of the drain", bed.consumer.Drained)
		fmt.Println(condition, "in time", time.Since(start) < 1500*time.Millisecond)
		if condition == "well" {
			counts := b.Counts("ops")
			fmt.Println("acked", counts.Acked, "back", counts.Ready, "answers", bed.replies())
			// The broker removes a connection shortly after it has confirmed the close.
			fake.WaitFor("the connection to be closed", func() bool {
				_, open := b.Connections()
				return open == 0
			})
			fmt.Println("violations", b.Violations())
		}
		b.Close()
		server.Post(server.Quit)
	}
	// Output:
	// well in time true
	// acked 2 back 18 answers [c-m00 acked done c-m01 acked done]
	// violations []
	// dead in time true
	// silent in time true
}

// Two deliveries with the same id and content are one request, and both are settled with it. A message with the same id
// and different content is replied to with the outcome id-twice. When the broker closes the channel, the consumer opens
// a new one and does not execute the messages in flight again.
func Example_duplicates() {
	b, server := newBroker(), newFakeServer()
	var responses pendingResponses
	server.respond = func(_ frontend.Request, body string, responder frontend.Responder) {
		server.execute(body)
		responses.add(func() {
			responder.Succeed([]byte("done "+body), frontend.ResponseMetadata{})
			responder.Done()
		})
	}
	bed := startTestbed(b, server, testConfig(b))
	defer bed.close()
	other := newMessage("a", "pay")
	other.Body = []byte("b")
	b.Publish("ops", newMessage("a", "pay"))
	b.Publish("ops", newMessage("a", "pay"))
	fake.WaitFor("both deliveries in flight", func() bool { return b.Counts("ops").Unsettled == 2 })
	b.Publish("ops", other)
	fake.WaitFor("the ack of the other message", func() bool { return b.Counts("ops").Acked == 1 })
	b.CloseConsumerChannels()
	fake.WaitFor("the redelivery of both", func() bool {
		counts := b.Counts("ops")
		return counts.Redelivered == 2 && counts.Unsettled == 2
	})
	server.Post(responses.release)
	bed.waitSettled()
	fmt.Println(bed.replies(), server.executions, b.Counts("ops").Acked)
	// Output:
	// [c-a acked done a c-a id-twice] map[a:1] 3
}

// Two instances consume one queue and one of them is slow. The fast one executes most messages, and those that the slow
// one has not started are returned to the queue.
func Example_twoInstances() {
	b := newBroker()
	slow, fast := newFakeServer(), newFakeServer()
	slow.respond = func(_ frontend.Request, body string, responder frontend.Responder) {
		slow.execute(body)
		slow.load.Queued = 40 // more than its cores can soon run
		slow.ScheduleAt(slow.Now()+300*time.Millisecond, func() {
			responder.Succeed([]byte("slow"), frontend.ResponseMetadata{})
			responder.Done()
		})
	}
	slowBed, fastBed := startTestbed(b, slow, testConfig(b)), startTestbed(b, fast, testConfig(b))
	for i := range 300 {
		b.Publish("ops", newMessage(fmt.Sprint(i), "view"))
	}
	slowBed.waitSettled()
	slowBed.waitReplies(300)
	fmt.Println(len(slowBed.replies()), len(fast.executions)+len(slow.executions), len(slow.executions) < 30)
	slowBed.consumer.Drain(time.Second)
	fake.WaitFor("the end of the drain", slowBed.consumer.Drained)
	fastBed.close()
	// Output:
	// 300 300 true
}

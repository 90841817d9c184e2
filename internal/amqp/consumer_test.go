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

// nestedTables returns headers of so many tables, one in the other.
func nestedTables(depth int) client.Table {
	table := client.Table{}
	for range depth {
		table = client.Table{"t": table}
	}
	return table
}

// A message is consumed, executed, replied to and acked. What can't be served, came too late or was denied is replied
// to without being executed, and copied to the dead-letter queue.
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
	nested.Headers = nestedTables(501) // short enough, and yet more than the library reads
	deeper.Headers = nestedTables(5000)
	for _, p := range []client.Publishing{lateMessage(), long, nested, deeper, badExpirationMessage()} {
		b.Publish("ops", p)
	}
	bed.waitSettled()
	bed.waitReplies(8) // nobody can tell where those of nested and deeper go
	for _, r := range bed.replies() {
		fmt.Println(r)
	}
	var dead []string
	for _, p := range b.DrainQueue("dead") {
		id, _, _ := strings.Cut(p.MessageId, ":")
		dead = append(dead, fmt.Sprint(id, " ", p.Headers["outcome"], " ", p.Headers["why"]))
	}
	slices.Sort(dead)
	fmt.Println(strings.Join(dead, "\n"))
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

// exchangeClasses are those of the messages of exchange, in turn: idempotent, not idempotent, idempotent by key.
var exchangeClasses = []string{"view", "pay", "key"}

// runExchange sends twelve messages over connections with faults. It returns the frames of the first connection, and
// what is wrong.
func runExchange(faults ...broker.Fault) (frames int, wrong string) {
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
		wrong += checkExchanged(id, class, replies, server.executions[id])
	}
	if violations := b.Violations(); len(violations) > 0 {
		wrong += fmt.Sprint(violations)
	}
	return b.FrameCount(1), wrong
}

// checkExchanged says what is wrong with one message of an exchange: it has one reply and one execution.
func checkExchanged(id, class string, replies []string, executions int) string {
	count, wantExecutions := 0, 1
	for _, r := range replies {
		if !strings.HasPrefix(r, "c-"+id+" ") {
			continue
		}
		count++
		if r == "c-"+id+" may-have-run" && class == "pay" {
			wantExecutions = 0 // redelivered, and nobody can tell whether a peer had it before
		}
	}
	if count != 1 || executions != wantExecutions {
		return fmt.Sprintf("%s: %d replies, %d executions; ", id, count, executions)
	}
	return ""
}

// The same exchange with the connection cut behind each of its frames, and inside it: whatever the frame, each message
// has one final reply, none that is not idempotent is executed twice, and nothing is left unsettled.
func TestCutAfterEachFrame(t *testing.T) {
	frames, wrong := runExchange()
	if wrong != "" || frames < 60 {
		t.Fatalf("%d frames without a fault: %s", frames, wrong)
	}
	var running sync.WaitGroup
	slots := make(chan bool, 24)
	for _, mode := range []broker.FaultMode{broker.Disconnect, broker.TruncateFrame} {
		for frame := 1; frame <= frames; frame++ {
			running.Add(1)
			slots <- true
			go func() {
				defer running.Done()
				_, wrong := runExchange(
					broker.Fault{Connection: 1, Frame: frame, Mode: mode},
					// The second connection is cut as well, a little further on.
					broker.Fault{Connection: 2, Frame: frame/2 + 9, Mode: mode},
				)
				if wrong != "" {
					t.Errorf("cut %d at frame %d: %s", mode, frame, wrong)
				}
				<-slots
			}()
		}
	}
	running.Wait()
	t.Logf("%d frames, cut behind and inside each", frames)
}

// A message that the server rejects goes back, by the retry queue where there is one, and is counted; out of attempts
// it is replied to.
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
		b.Publish("ops", newMessage("once", "pay"))
		bed.waitReplies(1)
		counts := b.Counts("ops")
		fmt.Println(bed.replies(), "put back", counts.Requeued, "rejected", counts.Rejected)
		if useRetryQueue {
			b.Publish("ops", newMessage("never", "pay"))
			fake.WaitFor("its end", func() bool { return b.Counts("dead").Ready == 1 })
			fmt.Println(bed.replies(), "rejected", b.Counts("ops").Rejected, "dead", b.Counts("dead").Ready)
		}
		bed.close()
	}
	// Output:
	// [c-once acked at last] put back 2 rejected 0
	// [c-once acked at last] put back 0 rejected 2
	// [c-never out-of-attempts] rejected 4 dead 1
}

// When the consumer drains, what was not executed goes back untouched, what is executed is replied to and acked, and
// the connection closes in order; with a broker that has died, or is silent, the consumer ends all the same.
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
			b.Publish("ops", newMessage(fmt.Sprintf("m%02d", i), "view"))
		}
		fake.WaitFor("six in flight", func() bool { return responses.len() == 6 })
		server.changeLoad(func(l *frontend.Load) { l.Draining = true })
		bed.consumer.Drain(800 * time.Millisecond)
		bed.consumer.Drain(time.Hour) // a second notice changes nothing
		switch condition {
		case "dead":
			b.Close()
		case "silent":
			b.SetSilent(true)
		}
		start := time.Now()
		server.Post(responses.release)
		fake.WaitFor("the end", bed.consumer.Drained)
		fmt.Println(condition, "in time", time.Since(start) < 1500*time.Millisecond)
		if condition == "well" {
			counts := b.Counts("ops")
			fmt.Println("acked", counts.Acked, "back", counts.Ready, "answers", bed.replies())
			_, open := b.Connections()
			fmt.Println("connections", open, b.Violations())
		}
		b.Close()
		server.Post(server.Quit)
	}
	// Output:
	// well in time true
	// acked 2 back 18 answers [c-m00 acked done c-m01 acked done]
	// connections 0 []
	// dead in time true
	// silent in time true
}

// Two messages with one id: with the same content they are one request, and both are settled with it; with another
// content the second is told so. A channel that the broker closes is opened anew, and what was in flight is not
// executed again.
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
	fake.WaitFor("both in flight", func() bool { return b.Counts("ops").Unsettled == 2 })
	b.Publish("ops", other)
	fake.WaitFor("the other's end", func() bool { return b.Counts("ops").Acked == 1 })
	b.CloseConsumerChannels()
	fake.WaitFor("both again", func() bool {
		counts := b.Counts("ops")
		return counts.Redelivered == 2 && counts.Unsettled == 2
	})
	server.Post(responses.release)
	bed.waitSettled()
	fmt.Println(bed.replies(), server.executions, b.Counts("ops").Acked)
	// Output:
	// [c-a acked done a c-a id-twice] map[a:1] 3
}

// Two instances on one queue, one of them slow: the fast one gets the work, and what the slow one left untouched goes
// back.
func Example_twoInstances() {
	b := newBroker()
	slow, fast := newFakeServer(), newFakeServer()
	slow.respond = func(_ frontend.Request, body string, responder frontend.Responder) {
		slow.execute(body)
		slow.load.Queued = 40 // more than its cores can run
		slow.ScheduleAt(slow.Now()+300*time.Millisecond, func() {
			responder.Succeed([]byte("slow"), frontend.ResponseMetadata{})
			responder.Done()
		})
	}
	one, two := startTestbed(b, slow, testConfig(b)), startTestbed(b, fast, testConfig(b))
	for i := range 300 {
		b.Publish("ops", newMessage(fmt.Sprint(i), "view"))
	}
	one.waitSettled()
	one.waitReplies(300)
	fmt.Println(len(one.replies()), len(fast.executions)+len(slow.executions), len(slow.executions) < 30)
	one.consumer.Drain(time.Second)
	fake.WaitFor("its end", one.consumer.Drained)
	two.close()
	// Output:
	// 300 300 true
}

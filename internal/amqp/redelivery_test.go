package amqp

import (
	"strings"
	"testing"
	"time"

	"lanewheel/admission"
	"lanewheel/internal/amqp/delivery"
	"lanewheel/internal/fake"
	"lanewheel/internal/fake/broker"
	"lanewheel/internal/frontend"
)

// holdingServer is a fake server whose requests run until the test releases them. Requests of class fail then fail.
type holdingServer struct {
	*fakeServer
	responses pendingResponses
}

func newHoldingServer(name string) *holdingServer {
	s := &holdingServer{fakeServer: newFakeServer()}
	s.respond = func(request frontend.Request, body string, responder frontend.Responder) {
		s.execute(body)
		s.responses.add(func() { respondByClass(request, name+" "+body, responder) })
	}
	return s
}

// finish lets the requests in execution end, and waits until the consumer has handled their outcomes.
func (s *holdingServer) finish(consumer *Consumer) {
	s.Post(s.responses.release)
	fake.WaitFor("the outcomes", func() bool {
		inFlight := make(chan int)
		consumer.Post(func() { inFlight <- len(consumer.inFlight) })
		return <-inFlight == 0
	})
}

// loseDelivery drops a connection and waits until the broker has redelivered its message and the consumer is connected
// again. connections and redeliveries are the numbers expected then.
func loseDelivery(b *broker.Broker, connection, connections, redeliveries int) {
	b.DropConnection(connection)
	fake.WaitFor("the redelivery", func() bool { return b.Counts("ops").Redelivered == redeliveries })
	fake.WaitFor("the new connection", func() bool {
		accepted, _ := b.Connections()
		return accepted == connections && b.Counts("ops").Consumers == 2
	})
}

// TestRunEndsWithoutDelivery guards against two final replies to one message: its run ends at the instance whose
// connection was dropped, after the broker has redelivered it to a peer, which replies as well.
func TestRunEndsWithoutDelivery(t *testing.T) {
	for _, tc := range []struct {
		name, class string
		idempotent  bool // the peer executes it, too
		peerDrops   bool // the peer's connection is dropped too, after the first instance has kept its reply
		want        string
		deadLetters int
	}{
		{"peer does not execute it", "pay", false, false, "may-have-run ", 1},
		{"peer executes it", "view", true, false, "acked done second a", 0},
		{"redelivered to the first again", "view", true, true, "acked done first a", 0},
		{"redelivered to the first, where it failed", "fail", true, true, "failed ", 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			b := newBroker()
			first, second := newHoldingServer("first"), newHoldingServer("second")
			config := testConfig(b)
			config.IdempotentClasses[admission.Class(tc.class)] = tc.idempotent
			firstBed := startTestbed(b, first.fakeServer, config)
			b.Publish("ops", newMessage("a", tc.class))
			fake.WaitFor("the run", func() bool { return first.responses.len() == 1 })
			secondBed := startTestbed(b, second.fakeServer, config)
			fake.WaitFor("both consumers", func() bool { return b.Counts("ops").Consumers == 2 })
			loseDelivery(b, 1, 3, 1)
			if tc.idempotent {
				fake.WaitFor("the run at the peer", func() bool { return second.responses.len() == 1 })
			}
			first.finish(firstBed.consumer)
			if tc.peerDrops {
				loseDelivery(b, 2, 4, 2)
			}
			second.finish(secondBed.consumer)
			firstBed.waitSettled()
			for _, consumer := range []*Consumer{firstBed.consumer, secondBed.consumer} {
				consumer.Drain(fake.WaitTimeout) // ends once the broker has confirmed everything that was published
				fake.WaitFor("the end of the drain", consumer.Drained)
			}
			var replies []string
			for _, p := range b.DrainQueue("replies") {
				replies = append(replies, p.Type+" "+string(p.Body))
			}
			if got := strings.Join(replies, ", "); got != tc.want {
				t.Errorf("replies %q, want %q", got, tc.want)
			}
			if n := b.Counts("dead").Ready; n != tc.deadLetters {
				t.Errorf("%d dead letters, want %d", n, tc.deadLetters)
			}
			firstBed.close()
			second.Post(second.Quit)
		})
	}
}

// TestReturnedMessageRunsOnce guards against a second execution of a message that the first instance has returned
// through the retry queue: while a peer executes it, the peer's connection drops, and the broker redelivers it to the
// first instance.
func TestReturnedMessageRunsOnce(t *testing.T) {
	b := newRetryBroker(50)
	first, second := newHoldingServer("first"), newHoldingServer("second")
	first.respond = func(_ frontend.Request, body string, responder frontend.Responder) {
		if second.responses.len() == 0 {
			responder.Reject(frontend.ResponseMetadata{})
		} else {
			first.execute(body)
			responder.Succeed([]byte("done "+body), frontend.ResponseMetadata{})
		}
		responder.Done()
	}
	queue := defaultQueue()
	queue.Settlement = delivery.SettlementConfig{
		MaxAttempts: 100, UseRetryQueue: true, RetryQueueDelay: 50 * time.Millisecond, Reply: true,
	}
	config := testConfig(b, queue)
	firstBed := startTestbed(b, first.fakeServer, config)
	b.Publish("ops", timedMessage("a", "pay"))
	fake.WaitFor("the return of the message", func() bool { return b.Counts("ops").Rejected > 0 })
	secondBed := startTestbed(b, second.fakeServer, config)
	fake.WaitFor("the run at the peer", func() bool { return second.responses.len() == 1 })
	loseDelivery(b, 2, 3, 1)
	fake.WaitFor("a reply", func() bool { return b.Counts("replies").Ready == 1 })
	second.finish(secondBed.consumer)
	firstBed.waitSettled()
	if first.executions["a"] != 0 || second.executions["a"] != 1 {
		t.Errorf("executed %d times at the first instance and %d times at the second, want 0 and 1",
			first.executions["a"], second.executions["a"])
	}
	if reply := b.DrainQueue("replies")[0]; reply.Type != delivery.MayHaveExecuted.String() {
		t.Errorf("reply %q, want %q", reply.Type, delivery.MayHaveExecuted)
	}
	secondBed.consumer.Drain(fake.WaitTimeout)
	fake.WaitFor("the end of the drain", secondBed.consumer.Drained)
	firstBed.close()
	second.Post(second.Quit)
}

// TestReturnedAtDrain guards against messages that are answered as uncertain although nobody has executed them: a
// delivery that reaches a draining consumer is returned so that the next consumer can tell.
func TestReturnedAtDrain(t *testing.T) {
	for class, want := range map[string]string{"pay": "ops.retry", "view": "ops"} {
		t.Run(class, func(t *testing.T) {
			b := newRetryBroker(-1)
			queue := defaultQueue()
			queue.Settlement.UseRetryQueue = true
			bed := startTestbed(b, newFakeServer(), testConfig(b, queue))
			fake.WaitFor("the consumer", func() bool { return b.Counts("ops").Consumers == 1 })
			bed.consumer.Post(func() {
				bed.consumer.draining = true
				b.Publish("ops", newMessage("a", class)) // delivered before the consumer can cancel
			})
			fake.WaitFor("the return", func() bool {
				counts := b.Counts("ops")
				return counts.Rejected+counts.Requeued > 0
			})
			bed.consumer.Post(func() {
				bed.consumer.draining = false
				bed.consumer.session.close(codeShutdown) // takes back what is requeued again and again
			})
			fake.WaitFor("the message in "+want, func() bool { return b.Counts(want).Ready == 1 })
			bed.close()
		})
	}
}

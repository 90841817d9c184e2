package amqp

import (
	"fmt"
	"testing"
	"time"

	"lanewheel/internal/fake"
	"lanewheel/internal/frontend"
)

// TestResubmitted checks that a message that is not returned is tried again here, as often as another one would be
// returned, and that its attempts are counted.
func TestResubmitted(t *testing.T) {
	for _, tc := range []struct {
		name       string
		rejections int
		want       string // outcome
		deadLetter int64  // attempts in the dead letter; 0: there is none
	}{
		{"at last", 2, "acked", 0},
		{"never", 3, "out-of-attempts", 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			b, server := newRetryBroker(20), newFakeServer()
			attempts := 0
			server.respond = func(_ frontend.Request, body string, responder frontend.Responder) {
				attempts++
				if attempts <= tc.rejections {
					responder.Reject(frontend.ResponseMetadata{})
				} else {
					responder.Succeed([]byte(body), frontend.ResponseMetadata{})
				}
				responder.Done()
			}
			config := returningConfig(b, true)
			config.Queues[0].Settlement.DeadLetter = true
			bed := startTestbed(b, server, config)
			defer bed.close()
			message := timedMessage("a", "pay")
			message.Expiration = "60000"
			b.Publish("ops", message)
			bed.waitReplies(1)
			bed.waitSettled()
			if reply := b.DrainQueue("replies")[0]; reply.Type != tc.want || attempts != 3 {
				t.Errorf("%s after %d attempts, want %s after 3", reply.Type, attempts, tc.want)
			}
			if counts := b.Counts("ops"); counts.Requeued+counts.Rejected > 0 {
				t.Errorf("the message was returned: %+v", counts)
			}
			deadAttempts := int64(0)
			for _, p := range b.DrainQueue("dead") {
				deadAttempts, _ = p.Headers[attemptHeader].(int64)
			}
			if deadAttempts != tc.deadLetter {
				t.Errorf("%d attempts in the dead letter, want %d", deadAttempts, tc.deadLetter)
			}
		})
	}
}

// TestWaitingDoesNotHoldUpQueue guards against a queue that stands still while messages wait for their retry: after the
// first pause others are read meanwhile, also at the minimum of the window.
func TestWaitingDoesNotHoldUpQueue(t *testing.T) {
	b, server := newBroker(), newFakeServer()
	attempts := map[string]int{}
	server.respond = func(_ frontend.Request, body string, responder frontend.Responder) {
		attempts[body]++
		metadata := frontend.ResponseMetadata{}
		if attempts[body] > 1 {
			metadata.RetryAfter = fake.WaitTimeout
		}
		responder.Reject(metadata)
		responder.Done()
	}
	config := returningConfig(b, false)
	config.Queues[0].MinInFlight = 1
	server.load.Queued = 100 // the window stays at its minimum
	bed := startTestbed(b, server, config)
	for _, id := range []string{"a", "b", "c", "d"} {
		message := timedMessage(id, "view")
		message.Expiration = "60000"
		b.Publish("ops", message)
	}
	fake.WaitFor("all messages to be read", func() bool { return b.Counts("ops").Unsettled == 4 })
	bed.close()
	if counts := b.Counts("ops"); counts.Ready != 4 || counts.Delivered != 4 {
		t.Errorf("%+v, want all messages returned by the drain", counts)
	}
}

// TestResubmittedWithoutDelivery guards against an attempt for a message that the broker has taken back while it
// waited: its deliveries were lost with their connection, and a peer owes the reply.
func TestResubmittedWithoutDelivery(t *testing.T) {
	b, first, second := newBroker(), newFakeServer(), newFakeServer()
	attempts := 0
	first.respond = func(_ frontend.Request, _ string, responder frontend.Responder) {
		attempts++
		responder.Reject(frontend.ResponseMetadata{RetryAfter: 300 * time.Millisecond})
		responder.Done()
	}
	config := returningConfig(b, false)
	bed := startTestbed(b, first, config)
	message := timedMessage("a", "view")
	message.Expiration = "60000"
	b.Publish("ops", message)
	waitWaiting(bed.consumer)
	peer := startTestbed(b, second, config)
	fake.WaitFor("both consumers", func() bool { return b.Counts("ops").Consumers == 2 })
	loseDelivery(b, 1, 3, 1)
	bed.waitReplies(1)
	fake.WaitFor("the end of the wait", func() bool {
		waiting := make(chan int)
		bed.consumer.Post(func() { waiting <- len(bed.consumer.waiting) + len(bed.consumer.inFlight) })
		return <-waiting == 0
	})
	attemptsAtFirst := make(chan int)
	first.Post(func() { attemptsAtFirst <- attempts })
	if n := <-attemptsAtFirst; n != 1 {
		t.Errorf("%d attempts where the delivery was lost, want 1", n)
	}
	if got := fmt.Sprint(peer.replies()); got != "[c-a acked done a]" {
		t.Errorf("replies %s, want one by the peer", got)
	}
	bed.consumer.Drain(time.Second)
	fake.WaitFor("the end of the drain", bed.consumer.Drained)
	peer.close()
	first.Post(first.Quit)
}

// waitWaiting waits until a message waits for its retry.
func waitWaiting(consumer *Consumer) {
	fake.WaitFor("a message that waits", func() bool {
		waiting := make(chan int)
		consumer.Post(func() { waiting <- len(consumer.waiting) })
		return <-waiting == 1
	})
}

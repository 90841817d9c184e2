package amqp

import (
	"testing"
	"time"

	"lanewheel/internal/fake"
	"lanewheel/internal/fake/broker"
	"lanewheel/internal/frontend"
)

// TestDrainKeepsDeadline guards against answers after a message's time when an instance drains: what would come back
// with a later deadline, or after its deadline, is answered before the instance ends. The rest is returned as before.
func TestDrainKeepsDeadline(t *testing.T) {
	inTwoSeconds := time.Now().Add(2 * time.Second)
	for _, tc := range []struct {
		name       string
		class      string
		timestamp  time.Time
		expiration string
		retryDelay time.Duration
		want       string // queue to which it is returned, or the outcome with which it is answered
	}{
		{"idempotent", "view", inTwoSeconds, "", time.Second, "ops"},
		{"idempotent with an expiration", "view", inTwoSeconds, "8000", time.Second, "ops"},
		{"idempotent without a timestamp", "view", time.Time{}, "", time.Second, "failed"},
		{"not idempotent", "pay", inTwoSeconds, "", time.Second, "ops.retry"},
		{"not idempotent, long delay", "pay", inTwoSeconds, "", time.Minute, "failed"},
		{"not idempotent, longer delay than its class's time", "pay", inTwoSeconds, "", 8 * time.Second, "failed"},
		{"not idempotent with an expiration", "pay", inTwoSeconds, "8000", time.Second, "failed"},
		{"not idempotent without a timestamp", "pay", time.Time{}, "", time.Second, "failed"},
	} {
		for _, when := range []string{"waiting for a retry", "in flight"} {
			t.Run(tc.name+", "+when, func(t *testing.T) {
				t.Parallel()
				b, server := newRetryBroker(-1), newFakeServer()
				var responses pendingResponses
				server.respond = func(_ frontend.Request, _ string, responder frontend.Responder) {
					responses.add(func() {
						responder.Reject(frontend.ResponseMetadata{RetryAfter: time.Second})
						responder.Done()
					})
				}
				config := returningConfig(b, true)
				config.Queues[0].Settlement.RetryQueueDelay = tc.retryDelay
				bed := startTestbed(b, server, config)
				defer bed.close()
				message := newMessage("a", tc.class)
				message.Timestamp, message.Expiration = tc.timestamp, tc.expiration
				b.Publish("ops", message)
				fake.WaitFor("the request", func() bool { return responses.len() == 1 })
				if when == "waiting for a retry" {
					server.Post(responses.release)
					fake.WaitFor("its rejection", func() bool { return responses.len() == 0 })
				}
				bed.consumer.Drain(fake.WaitTimeout)
				server.Post(responses.release)
				fake.WaitFor("the end of the drain", bed.consumer.Drained)
				checkPlace(t, b, tc.want)
			})
		}
	}
}

// TestDrainAnswersUnreceived guards against messages that lose their deadline on the way back from a draining instance
// that has not begun to process them.
func TestDrainAnswersUnreceived(t *testing.T) {
	for _, tc := range []struct{ name, class, expiration, want string }{
		{"not idempotent", "pay", "", "ops.retry"},
		{"not idempotent with an expiration", "pay", "8000", "failed"},
		{"past its deadline", "pay", "1", "past-due"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			b := newRetryBroker(-1)
			bed := startTestbed(b, newFakeServer(), returningConfig(b, true))
			fake.WaitFor("the consumer", func() bool { return b.Counts("ops").Consumers == 1 })
			message := timedMessage("a", tc.class)
			message.Expiration = tc.expiration
			bed.consumer.Post(func() {
				bed.consumer.draining = true
				b.Publish("ops", message) // delivered before the consumer can cancel
			})
			fake.WaitFor("the message", func() bool {
				return b.Counts("ops.retry").Ready+b.Counts("replies").Ready == 1
			})
			checkPlace(t, b, tc.want)
			bed.consumer.Post(func() { bed.consumer.draining = false })
			bed.close()
		})
	}
}

// checkPlace checks that the only message is in a queue, or was answered with an outcome.
func checkPlace(t *testing.T, b *broker.Broker, want string) {
	t.Helper()
	got := ""
	for _, queue := range []string{"ops", "ops.retry"} {
		if b.Counts(queue).Ready > 0 {
			got += queue
		}
	}
	for _, p := range b.DrainQueue("replies") {
		got += p.Type
	}
	if got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}

package amqp

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	client "github.com/rabbitmq/amqp091-go"

	"lanewheel/internal/fake"
	"lanewheel/internal/frontend"
)

// lateAfter is how long after its deadline a reply counts as late. It allows for a busy machine: a reply by a wrong
// deadline comes later than this.
const lateAfter = time.Second

// newOverloadedServer returns a fake server that rejects half of its requests at once, holds a quarter until their
// deadline, as the admission controller does, and lets the others succeed.
func newOverloadedServer(seed uint64) *fakeServer {
	s := newFakeServer()
	random := rand.New(rand.NewPCG(seed, 0))
	s.respond = func(request frontend.Request, body string, responder frontend.Responder) {
		reject := func() {
			responder.Reject(frontend.ResponseMetadata{})
			responder.Done()
		}
		switch random.IntN(4) {
		case 0, 1:
			reject()
		case 2:
			deadline := time.UnixMilli(request.SentUnixMilli).Add(request.Timeout)
			s.ScheduleAt(s.Now()+time.Until(deadline), reject)
		default:
			s.execute(body)
			responder.Succeed(nil, frontend.ResponseMetadata{})
			responder.Done()
		}
	}
	return s
}

// TestEachAnsweredInTime guards against answers after a message's time, and second ones, whatever the message says of
// its time: messages of all kinds run over three overloaded consumers, one of which drains meanwhile. Each message must
// have one reply, by its deadline, and none may be executed twice.
func TestEachAnsweredInTime(t *testing.T) {
	t.Parallel()
	const (
		messageCount   = 120
		defaultTimeout = 5 * time.Second
	)
	b := newRetryBroker(100)
	defer b.Close()
	config := returningConfig(b, true)
	config.Queues[0].MinInFlight = messageCount // no message waits unread
	config.Queues[0].Mapping.DefaultTimeout = defaultTimeout
	config.Queues[0].Settlement.MaxAttempts = 100
	config.RetryFraction = 100
	var beds []*testbed
	for seed := range uint64(3) {
		beds = append(beds, startTestbed(b, newOverloadedServer(seed), config))
	}
	fake.WaitFor("all consumers", func() bool { return b.Counts("ops").Consumers == len(beds) })
	deadlines := map[string]time.Time{}
	for i := range messageCount {
		message := newMessage(fmt.Sprint(i), []string{"pay", "view"}[i%2])
		message.Expiration = []string{"1500", "", "6000"}[i/2%3]
		if i/6%2 == 0 {
			message.Timestamp = time.Now().Add(time.Second) // it is sent in whole seconds
		}
		first := client.Delivery{Timestamp: message.Timestamp, Expiration: message.Expiration}
		deadlines[message.CorrelationId] = lastVersionDeadline(first, defaultTimeout, time.Now())
		b.Publish("ops", message)
	}
	time.AfterFunc(300*time.Millisecond, func() { beds[0].consumer.Drain(fake.WaitTimeout) })
	replies := newRawConsumer(t, b, "replies")
	answered := map[string]bool{}
	for range messageCount {
		reply := replies.next(t)
		late := time.Since(deadlines[reply.CorrelationId])
		if answered[reply.CorrelationId] || late > lateAfter {
			t.Errorf("%s: answered before %v, %v after its deadline", reply.CorrelationId, answered[reply.CorrelationId], late)
		}
		answered[reply.CorrelationId] = true
	}
	executions := map[string]int{}
	for _, bed := range beds {
		bed.consumer.Drain(fake.WaitTimeout)
		fake.WaitFor("the end of the drain", bed.consumer.Drained)
		for body, count := range bed.server.executions {
			executions[body] += count
		}
		bed.server.Post(bed.server.Quit)
	}
	for body, count := range executions {
		if count > 1 {
			t.Errorf("message %s was executed %d times", body, count)
		}
	}
	counts := b.Counts("ops")
	t.Logf("%d executed, %d rejected into the retry queue, %d requeued", len(executions), counts.Rejected, counts.Requeued)
	if counts.Rejected == 0 {
		t.Error("no message was returned through the retry queue")
	}
	if extra := b.Counts("replies").Ready + len(replies.deliveries); extra > 0 {
		t.Errorf("%d replies too many", extra)
	}
}

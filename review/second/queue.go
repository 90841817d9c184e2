package main

import (
	"fmt"
	"strings"
	"sync"
	"time"

	client "github.com/rabbitmq/amqp091-go"

	"lanewheel/internal/fake"
	"lanewheel/internal/fake/broker"
)

// Names of the queues at the broker, and the work of a message.
const (
	workQueue   = "faults"
	retryQueue  = "faults.retry"
	replyQueue  = "replies"
	messageWork = 300 * time.Millisecond
	// jumpInterval is the time between two requests of a jump of traffic.
	jumpInterval = 60 * time.Millisecond
)

// newBroker starts a broker with a work queue, its retry queue, which keeps a message for retryDelay, and a queue for
// replies, as docs/operating/amqp.md describes them.
func newBroker(retryDelay time.Duration) *broker.Broker {
	queues := broker.New()
	queues.DeclareQueue(workQueue, client.Table{"x-dead-letter-exchange": "", "x-dead-letter-routing-key": retryQueue})
	queues.DeclareQueue(retryQueue, client.Table{"x-message-ttl": retryDelay.Milliseconds(),
		"x-dead-letter-exchange": "", "x-dead-letter-routing-key": workQueue})
	queues.DeclareQueue(replyQueue, nil)
	return queues
}

// consumerFile returns the operator's file of an instance that consumes from the work queue.
func consumerFile(queues *broker.Broker, retryDelay time.Duration) string {
	return fmt.Sprintf(`[amqp]
brokers = %s
heartbeat = 10s
[queue %s]
min-in-flight = 2
retry-queue = yes
retry-delay = %v
default-timeout = 30s
default-rank = 0.9
`, queues.URL(), workQueue, retryDelay)
}

// startConsumers starts instances with the given names that consume from the work queue, one after the other, so that
// the broker counts their connections in this order.
func startConsumers(
	b *bench, queues *broker.Broker, retryDelay time.Duration, names ...string,
) (instances []*process, runtimes []*runtime) {
	settings := settingsText(lightClasses, lightTenants)
	for i, name := range names {
		r := b.newRuntime(name, 2)
		p := b.start(instanceOptions{name: name, command: "serve", runtime: r.addr(), settings: settings,
			operator: consumerFile(queues, retryDelay), stopMS: 3200, seed: fmt.Sprint(i + 1)})
		b.waitHealthy(p)
		fake.WaitFor(name+" to consume", func() bool { return queues.Counts(workQueue).Consumers == i+1 })
		runtimes = append(runtimes, r)
		instances = append(instances, p)
	}
	return instances, runtimes
}

// publish publishes one message of a class that must never run twice. expiration is in milliseconds; empty: none.
func publish(b *bench, queues *broker.Broker, name, expiration string) {
	body := bodyOf(name, messageWork)
	b.record("publisher: message %q, expiration %q", name, expiration)
	queues.Publish(workQueue, client.Publishing{
		MessageId: name, CorrelationId: name, ReplyTo: replyQueue, Type: "fault-log",
		Timestamp: time.Now(), Expiration: expiration,
		Headers: client.Table{"tenant": "hinoura", "cost": int64(messageWork.Milliseconds())}, Body: []byte(body),
	})
}

// jump sends requests of the most important class to an instance for some seconds: about twice what its cores can do.
func jump(b *bench, listen string, length time.Duration) *sync.WaitGroup {
	var requests sync.WaitGroup
	requests.Go(func() {
		const work = 250 * time.Millisecond
		for i := range int(length / jumpInterval) {
			requests.Go(func() {
				b.perform(listen, operation{class: "fault-log", id: newID(), body: bodyOf(fmt.Sprint("direct ", i), work),
					fields: []string{"tenant", "kasemachi", "wait", "4100", "rank", "0.9"}})
			})
			time.Sleep(jumpInterval)
		}
	})
	return &requests
}

// returnedMessageRunsTwice is case 7: two instances consume messages whose operation must never run twice. A jump of
// traffic makes n1 return some messages through the retry queue. When n2 runs one of these, its connection to the
// broker drops once. No message may be started more than once.
func returnedMessageRunsTwice(b *bench) bool {
	const retryDelay = 3 * time.Second
	queues := newBroker(retryDelay)
	defer queues.Close()
	instances, runtimes := startConsumers(b, queues, retryDelay, "n1", "n2")
	var mu sync.Mutex
	published := map[string]time.Time{}
	var dropped sync.Once
	runtimes[1].onStart = func(_, body string) {
		mu.Lock()
		at, known := published[body]
		mu.Unlock()
		if known && time.Since(at) > retryDelay && b.trouble { // it has been returned through the retry queue
			dropped.Do(func() {
				b.record("the connection of n2 to the broker drops while n2 runs %q", body)
				queues.DropConnection(2)
			})
		}
	}
	requests := jump(b, instances[0].listen, 2*time.Second)
	time.Sleep(500 * time.Millisecond)
	const messages = 10
	for i := range messages {
		mu.Lock()
		name := fmt.Sprint("fault ", i)
		published[bodyOf(name, messageWork)] = time.Now()
		mu.Unlock()
		publish(b, queues, name, "")
		time.Sleep(150 * time.Millisecond)
	}
	requests.Wait()
	answers := collectReplies(b, queues, messages, 20*time.Second)
	time.Sleep(2 * time.Second) // a second run would be under way
	twice := 0
	for body, runs := range runsOf(runtimes...) {
		if _, isMessage := published[body]; isMessage && len(runs) > 1 {
			twice++
			b.record("BROKEN: %q ran more than once: %s", body, strings.Join(runs, ", "))
		}
	}
	b.copyLogs(4)
	b.record("%d messages, %d replies, %d ran more than once; work queue %+v", messages, answers, twice,
		queues.Counts(workQueue))
	return twice == 0
}

// collectReplies waits until there are replies to the given number of messages, and returns how many messages have one.
func collectReplies(b *bench, queues *broker.Broker, messages int, limit time.Duration) int {
	answered := map[string]bool{}
	end := time.Now().Add(limit)
	for ; len(answered) < messages && time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for _, reply := range queues.DrainQueue(replyQueue) {
			b.record("publisher: reply to %q: %s why=%v %q", reply.CorrelationId, reply.Type, reply.Headers["why"], reply.Body)
			answered[reply.CorrelationId] = true
		}
	}
	return len(answered)
}

// repeatedMessageNotAnswered is case 9: an instance consumes messages of a keyed class. The publisher's connection is
// reset as the replies arrive, and it publishes the same messages again, within the window. Each of these messages must
// be answered too.
func repeatedMessageNotAnswered(b *bench) bool {
	const retryDelay = time.Second
	queues := newBroker(retryDelay)
	defer queues.Close()
	r := b.newRuntime("n1", 2)
	p := b.start(instanceOptions{name: "n1", command: "serve", runtime: r.addr(), stopMS: 3200, seed: "1",
		settings: settingsText(bookClasses, bookTenants), operator: consumerFile(queues, retryDelay)})
	b.waitHealthy(p)
	fake.WaitFor("n1 to consume", func() bool { return queues.Counts(workQueue).Consumers == 1 })
	const messages = 8
	var published []client.Publishing
	for i := range messages {
		name := fmt.Sprint("entry ", i)
		published = append(published, client.Publishing{
			MessageId: name, CorrelationId: name, ReplyTo: replyQueue, Type: "runlog-entry", Timestamp: time.Now(),
			Headers: client.Table{"tenant": "nordlys", "cost": int64(entryWork.Milliseconds())},
			Body:    []byte(bodyOf(name, entryWork)),
		})
	}
	for _, message := range published {
		b.record("publisher: message %q", message.MessageId)
		queues.Publish(workQueue, message)
		time.Sleep(entryWork)
	}
	if first := collectReplies(b, queues, messages, 10*time.Second); first != messages {
		b.record("BROKEN: %d of %d messages answered", first, messages)
		return false
	}
	if !b.trouble {
		return judgeRuns(b, r)
	}
	b.record("publisher: its connection was reset as these replies arrived, it has lost them")
	for _, message := range published {
		b.record("publisher: message %q again", message.MessageId)
		queues.Publish(workQueue, message)
		time.Sleep(entryWork)
	}
	second := collectReplies(b, queues, messages, 8*time.Second)
	b.record("work queue %+v", queues.Counts(workQueue))
	if second != messages {
		b.record("BROKEN: %d of %d messages that came again have no answer after 8 s", messages-second, messages)
	}
	return judgeRuns(b, r) && second == messages
}

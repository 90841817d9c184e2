package main

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"lanewheel/internal/fake/broker"
)

const (
	// messageTime is the time that a publisher waits for a reply: the op timeout of the class.
	messageTime = 4100 * time.Millisecond
	// answerSlack is the slack that the site allows, and that of the protocol on sockets.
	answerSlack = 80*time.Millisecond + 50*time.Millisecond
)

// retriedMessageAnsweredLate is case 10: four instances consume messages that say how long their publisher waits. A
// jump of traffic makes the instances return some of them through the retry queue. Each message must be answered in
// its time.
func retriedMessageAnsweredLate(b *bench) bool {
	const retryDelay = 2 * time.Second
	queues := newBroker(retryDelay)
	defer queues.Close()
	instances, _ := startConsumers(b, queues, retryDelay, "n1", "n2", "n3", "n4")
	jumpLength := time.Duration(0)
	if b.trouble {
		jumpLength = 8 * time.Second
	}
	b.record("jump of traffic: %v", jumpLength)
	var requests []*sync.WaitGroup
	for _, instance := range instances {
		requests = append(requests, jump(b, instance.listen, jumpLength))
	}
	time.Sleep(time.Second)
	publisher := &timedPublisher{
		bench:     b,
		queues:    queues,
		published: map[string]time.Time{},
		answered:  map[string]time.Duration{},
	}
	const messages = 20
	for i := range messages {
		publisher.publish(fmt.Sprint("fault ", i))
		publisher.collect(150*time.Millisecond, messages)
	}
	publisher.collect(20*time.Second, messages)
	for _, group := range requests {
		group.Wait()
	}
	if unread := queues.Counts(workQueue).Expired; unread > 0 {
		panic(fmt.Sprintf("%d messages expired at the broker before an instance had read them", unread))
	}
	b.copyLogs(4)
	b.record("work queue %+v", queues.Counts(workQueue))
	late := publisher.late()
	if len(late) > 0 {
		b.record("BROKEN: %d of %d messages were not answered within %v: %s", len(late), messages, messageTime,
			strings.Join(late, ", "))
	}
	return len(late) == 0
}

// timedPublisher publishes messages and measures how long their replies take.
type timedPublisher struct {
	bench     *bench
	queues    *broker.Broker
	published map[string]time.Time
	answered  map[string]time.Duration // of the first reply
}

func (p *timedPublisher) publish(name string) {
	p.published[name] = time.Now()
	publish(p.bench, p.queues, name, fmt.Sprint(messageTime.Milliseconds()))
}

// collect collects replies for the given time, or until all messages have one.
func (p *timedPublisher) collect(limit time.Duration, messages int) {
	end := time.Now().Add(limit)
	for ; len(p.answered) < messages && time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		for _, reply := range p.queues.DrainQueue(replyQueue) {
			name := reply.CorrelationId
			after := time.Since(p.published[name])
			p.bench.record("publisher: reply to %q after %.3f s: %s", name, after.Seconds(), reply.Type)
			if _, again := p.answered[name]; !again {
				p.answered[name] = after
			}
		}
	}
}

// late describes the messages that were not answered in their time.
func (p *timedPublisher) late() (late []string) {
	for name := range p.published {
		after, isAnswered := p.answered[name]
		switch {
		case !isAnswered:
			late = append(late, name+" never")
		case after > messageTime+answerSlack:
			late = append(late, fmt.Sprintf("%s after %.3f s", name, after.Seconds()))
		}
	}
	return late
}

package cli

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	client "github.com/rabbitmq/amqp091-go"

	"lanewheel/internal/fake"
	"lanewheel/internal/fake/broker"
)

// tryClasses are the classes of the load. Clients choose them with equal probability.
var tryClasses = []string{"view", "pay", "list"}

// The queues of a trial, for requests and for their replies.
const (
	tryQueue      = "try"
	tryReplyQueue = "try.answers"
)

// run sends the load and returns when every request has a response or has timed out. With a broker, a third of the
// requests is sent through its queue.
func (t *loadTest) run(o output, c *tryCommand, trial *trial, token string) {
	done := make(chan struct{})
	defer close(done)
	go t.printProgress(o, done)
	if trial.broker == nil {
		t.runClients(c, c.Rate, trial.listenAddr, token)
		return
	}
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		t.runQueue(c, trial.broker)
	}()
	t.runClients(c, c.Rate*2/3, trial.listenAddr, token)
	<-sent
}

// runClients sends requests at a total rate, in requests per second, divided equally among the clients. The load is an
// open loop: the rate does not depend on the responses.
func (t *loadTest) runClients(c *tryCommand, rate float64, addr, token string) {
	var clients sync.WaitGroup
	for number := range c.Clients {
		clients.Go(func() {
			// The fake client panics when it writes to a closed connection. This ends only that client. Its requests
			// without a response are then counted as sent but not as unanswered.
			defer func() { _ = recover() }()
			client := newTryClient(t, c, number, addr)
			defer client.connection.Close()
			client.run(rate, token)
		})
	}
	clients.Wait()
}

// tryClient is one client of the load.
type tryClient struct {
	test       *loadTest
	command    *tryCommand
	number     int
	connection *fake.Client
	random     *rand.Rand

	mu      sync.Mutex // guards pending
	pending map[int]tryRequest
}

// tryRequest is a request without a response.
type tryRequest struct {
	class  string
	sentAt time.Time
}

func newTryClient(test *loadTest, c *tryCommand, number int, addr string) *tryClient {
	return &tryClient{
		test:       test,
		command:    c,
		number:     number,
		connection: fake.Dial(addr),
		random:     rand.New(rand.NewPCG(c.Seed, uint64(number))),
		pending:    map[int]tryRequest{},
	}
}

// run sends the client's part of the rate, then waits for the pending responses and counts the missing ones as
// unanswered.
func (c *tryClient) run(rate float64, token string) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.receiveResponses()
	}()
	gap := float64(c.command.Clients) / rate * float64(time.Second)
	began := time.Now()
	at := time.Duration(0)
	for n := 1; ; n++ {
		at += time.Duration(c.random.ExpFloat64() * gap)
		if at >= c.command.Duration {
			break
		}
		time.Sleep(time.Until(began.Add(at)))
		c.send(n, token)
	}
	c.awaitResponses()
	c.connection.Close()
	<-done
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, request := range c.pending {
		c.test.countUnanswered(request.class, 1)
	}
}

// receiveResponses records responses until the connection is closed.
func (c *tryClient) receiveResponses() {
	for {
		response, err := c.connection.NextResponse()
		if err != nil {
			return
		}
		c.mu.Lock()
		request, found := c.pending[response.Number]
		delete(c.pending, response.Number)
		c.mu.Unlock()
		if found {
			c.test.record(request.class, time.Since(request.sentAt), response)
		}
	}
}

// send sends one request. If the client has as many pending requests as the protocol allows, the request is not sent
// and counts as unanswered.
func (c *tryClient) send(number int, token string) {
	const maxPending = 32 // limit of the protocol
	const maxRank = 0.999 // less than 1 even when rounded to three decimals
	class := tryClasses[c.random.IntN(len(tryClasses))]
	fields := []string{
		"from", fmt.Sprint(c.number),
		"kb", "1",
		"rank", fmt.Sprintf("%.3f", maxRank*c.random.Float64()),
		"cost", fmt.Sprint(c.command.MeanRunTime.Milliseconds()),
	}
	if token != "" {
		fields = append(fields, "token", token)
	}
	c.mu.Lock()
	full := len(c.pending) >= maxPending
	if !full {
		c.pending[number] = tryRequest{class, time.Now()}
	}
	c.mu.Unlock()
	c.test.countSent(class)
	if full {
		c.test.countUnanswered(class, 1)
		return
	}
	key := fmt.Sprintf("%08x%08x", c.number, number)
	c.connection.Send(fake.NewRequest(number, class, key, []byte("body"), fields...))
}

// awaitResponses waits until no request is pending, at most for the timeout of a request.
func (c *tryClient) awaitResponses() {
	const requestTimeout = 3 * time.Second // as in the settings of the fakes
	for end := time.Now().Add(requestTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		c.mu.Lock()
		remaining := len(c.pending)
		c.mu.Unlock()
		if remaining == 0 {
			return
		}
	}
}

// runQueue sends messages at a third of the rate and records their replies.
func (t *loadTest) runQueue(c *tryCommand, queue *broker.Broker) {
	const replyTimeout = 5 * time.Second
	sentAt := map[string]time.Time{}
	began := time.Now()
	gap := time.Duration(3 / c.Rate * float64(time.Second))
	for n := 0; time.Since(began) < c.Duration; n++ {
		for next := began.Add(time.Duration(n) * gap); time.Now().Before(next); time.Sleep(time.Millisecond) {
			t.recordReplies(queue, sentAt)
		}
		id := fmt.Sprint("m", n)
		sentAt[id] = time.Now()
		t.countSent(queueRow)
		queue.Publish(tryQueue, client.Publishing{
			MessageId:     id,
			CorrelationId: id,
			ReplyTo:       tryReplyQueue,
			Type:          tryClasses[n%len(tryClasses)],
			Timestamp:     time.Now(),
			Body:          []byte("body"),
		})
	}
	for end := time.Now().Add(replyTimeout); len(sentAt) > 0 && time.Now().Before(end); time.Sleep(time.Millisecond) {
		t.recordReplies(queue, sentAt)
	}
	t.countUnanswered(queueRow, len(sentAt))
}

// recordReplies records the replies that have arrived. sentAt holds the send times of the messages without a reply, by
// message ID.
func (t *loadTest) recordReplies(queue *broker.Broker, sentAt map[string]time.Time) {
	for _, reply := range queue.DrainQueue(tryReplyQueue) {
		sent, pending := sentAt[reply.CorrelationId]
		if !pending {
			continue
		}
		delete(sentAt, reply.CorrelationId)
		response := fake.Response{Error: reply.Type}
		switch reply.Type {
		case "acked":
			response.Error = ""
		case "denied":
			response.Error = "Denied"
			response.Fields = map[string]any{"why": reply.Headers["why"]}
		}
		t.record(queueRow, time.Since(sent), response)
	}
}

package cli

import (
	"context"
	"errors"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	client "github.com/rabbitmq/amqp091-go"
)

type queueSend struct {
	Operator string            `arg:"" name:"operator" help:"Operator's file, which names the brokers." type:"path"`
	Queue    string            `name:"queue" required:"" help:"Queue to send to."`
	Class    string            `name:"type" required:"" help:"Class of the requests, sent as the property type."`
	Body     string            `name:"body" default:"" help:"Body of each message."`
	Headers  map[string]string `name:"header" help:"Headers, for example tenant=water." placeholder:"NAME=VALUE;..."`
	Timeout  time.Duration     `name:"wait" default:"10s" help:"Timeout of each message, sent as the property expiration."`
	Count    int               `name:"count" default:"1" help:"Number of messages."`
	Rate     float64           `name:"rate" default:"100" help:"Messages per second."`
}

var errSendFlags = errors.New("--count and --rate must be greater than 0")

// Run sends the messages and waits for one reply to each, on an exclusive reply queue that it declares.
func (c *queueSend) Run(o output) error {
	queues, err := loadQueues(c.Operator)
	if err != nil {
		return err
	}
	if c.Count < 1 || c.Rate <= 0 {
		return errSendFlags
	}
	connection, err := dialBroker(&queues, queues.Config.BrokerURLs[0])
	if err != nil {
		return err
	}
	defer func() { _ = connection.Close() }() // no more replies are awaited, so an error does not matter
	channel, err := connection.Channel()
	if err != nil {
		return err
	}
	sender := newQueueSender(c, channel)
	if _, err := channel.QueueDeclare(sender.replyQueue, false, true, true, false, nil); err != nil {
		return err
	}
	replies, err := channel.Consume(sender.replyQueue, "", true, true, false, false, nil)
	if err != nil {
		return err
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		sender.receiveReplies(o, replies)
	}()
	if err := sender.sendAll(); err != nil {
		return err
	}
	<-done
	return sender.printResult(o)
}

// queueSender sends messages and counts their replies.
type queueSender struct {
	command    *queueSend
	channel    *client.Channel
	replyQueue string

	mu         sync.Mutex           // guards the fields below
	pending    map[string]time.Time // send times of the messages without a reply, by message ID
	outcomes   map[string]int
	duplicates int                     // replies other than the first one to a message
	latencies  *hdrhistogram.Histogram // µs
}

func newQueueSender(command *queueSend, channel *client.Channel) *queueSender {
	const maxLatency = 600e6 // µs
	return &queueSender{
		command:    command,
		channel:    channel,
		replyQueue: "lanewheel.send." + strconv.FormatInt(time.Now().UnixNano(), 36),
		pending:    map[string]time.Time{},
		outcomes:   map[string]int{},
		latencies:  hdrhistogram.New(1, maxLatency, 3),
	}
}

// sendAll sends all messages at the configured rate.
func (s *queueSender) sendAll() error {
	c := s.command
	headers := client.Table{}
	for name, value := range c.Headers {
		headers[name] = value
	}
	began := time.Now()
	for n := range c.Count {
		time.Sleep(time.Until(began.Add(time.Duration(float64(n) / c.Rate * float64(time.Second)))))
		id := s.replyQueue + "." + strconv.Itoa(n)
		s.mu.Lock()
		s.pending[id] = time.Now()
		s.mu.Unlock()
		err := s.channel.PublishWithContext(context.Background(), "", c.Queue, false, false, client.Publishing{
			MessageId:     id,
			CorrelationId: id,
			ReplyTo:       s.replyQueue,
			Type:          c.Class,
			Headers:       headers,
			Timestamp:     time.Now(),
			Expiration:    strconv.FormatInt(c.Timeout.Milliseconds(), 10),
			Body:          []byte(c.Body),
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// receiveReplies receives replies until each message has one, no reply has arrived for replyTimeout, or the connection
// is closed. If only one message is sent, the body of its reply is printed.
func (s *queueSender) receiveReplies(o output, replies <-chan client.Delivery) {
	const grace = 5 * time.Second
	sendDuration := time.Duration(float64(s.command.Count) / s.command.Rate * float64(time.Second))
	replyTimeout := s.command.Timeout + sendDuration + grace
	for remaining := s.command.Count; remaining > 0; {
		select {
		case reply, open := <-replies:
			if !open {
				return
			}
			if s.record(&reply) {
				remaining--
			}
			if s.command.Count == 1 {
				o.printf("%s\n", reply.Body)
			}
		case <-time.After(replyTimeout):
			return
		}
	}
}

// record counts a reply and reports whether it is the first one to its message.
func (s *queueSender) record(reply *client.Delivery) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	sentAt, pending := s.pending[reply.CorrelationId]
	if !pending {
		s.duplicates++
		return false
	}
	delete(s.pending, reply.CorrelationId)
	_ = s.latencies.RecordValue(max(1, time.Since(sentAt).Microseconds())) // latencies beyond the maximum are not recorded
	reason, _ := reply.Headers["why"].(string)
	s.outcomes[strings.TrimSpace(reply.Type+" "+reason)]++
	return true
}

// printResult prints the number of messages by outcome and the latencies. It returns errReported if a message has no
// reply.
func (s *queueSender) printResult(o output) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	table := newTable(o.out)
	for _, outcome := range slices.Sorted(maps.Keys(s.outcomes)) {
		table.row(outcome, s.outcomes[outcome])
	}
	table.row("no answer", len(s.pending))
	table.row("answered twice", s.duplicates)
	quantile := func(q float64) string {
		return strconv.FormatFloat(float64(s.latencies.ValueAtQuantile(q))/1e3, 'f', 1, 64) + " ms"
	}
	table.row("median, 99th", quantile(50)+", "+quantile(99))
	if err := table.print(); err != nil {
		return err
	}
	if len(s.pending) > 0 {
		return errReported
	}
	return nil
}

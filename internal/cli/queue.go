package cli

import (
	"errors"
	"fmt"
	"maps"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	client "github.com/rabbitmq/amqp091-go"

	"lanewheel/internal/amqp"
	"lanewheel/internal/config"
	"lanewheel/internal/lifecycle"
)

// queueCommand looks at the queues that an operator's file tells of, and sends to them.
type queueCommand struct {
	Check queueCheck `cmd:"" name:"check" help:"Try each broker: login, the queues, and what the file says of them."`
	Send  queueSend  `cmd:"" name:"send" help:"Send ops to a queue and wait for their answers."`
	Watch queueWatch `cmd:"" name:"watch" help:"Show the intake of a running instance, as its watch socket tells."`
}

// told reads the operator's file with all that it names for queues.
func loadQueues(path string) (config.AMQP, error) {
	operatorConfig, err := lifecycle.LoadOperatorConfig(path)
	if err != nil {
		return config.AMQP{}, err
	}
	if !operatorConfig.File.AMQP.Enabled {
		return config.AMQP{}, fmt.Errorf("%s has no section amqp", path)
	}
	return operatorConfig.File.AMQP, nil
}

// dialBroker connects to a broker as an instance would.
func dialBroker(queues *config.AMQP, address string) (*client.Connection, error) {
	uri, err := client.ParseURI(address)
	if err != nil {
		return nil, err
	}
	if user, password, found := strings.Cut(queues.Config.Login, ":"); found {
		uri.Username, uri.Password = user, password
	}
	return client.DialConfig(uri.String(), client.Config{TLSClientConfig: queues.Config.TLS, Heartbeat: queues.Config.HeartbeatInterval, Locale: "en_US",
		Dial: client.DefaultDial(5 * time.Second)})
}

type queueCheck struct {
	Operator string `arg:"" name:"operator" help:"Operator's file." type:"path"`
}

func (c *queueCheck) Run(o output) error {
	queues, err := loadQueues(c.Operator)
	if err != nil {
		return err
	}
	table := tabwriter.NewWriter(o.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "broker\tqueue\tready\tconsumers\tfound")
	failed := false
	for _, address := range queues.Config.BrokerURLs {
		uri, _ := client.ParseURI(address)
		hostPort := net.JoinHostPort(uri.Host, strconv.Itoa(uri.Port))
		conn, err := dialBroker(&queues, address)
		if err != nil {
			fmt.Fprintf(table, "%s\t\t\t\t%v\n", hostPort, err)
			failed = true
			continue
		}
		checkQueue := func(name, finding string) {
			found := finding
			ch, err := conn.Channel() // each its own: a queue that is not there closes the channel
			var q client.Queue
			if err == nil {
				q, err = ch.QueueDeclarePassive(name, true, false, false, false, nil)
				_ = ch.Close()
			}
			if err != nil {
				found, failed = err.Error(), true
			}
			fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%s\n", hostPort, name, q.Messages, q.Consumers, found)
		}
		deadLetterQueues := map[string]bool{}
		for _, q := range queues.Config.Queues {
			checkQueue(string(q.Name), "good")
			if q.DeadLetterQueue != "" && !deadLetterQueues[q.DeadLetterQueue] {
				deadLetterQueues[q.DeadLetterQueue] = true
				checkQueue(q.DeadLetterQueue, "good, for dead letters")
			}
		}
		_ = conn.Close()
	}
	table.Flush()
	if failed {
		return errReported
	}
	return nil
}

type queueSend struct {
	Operator string            `arg:"" name:"operator" help:"Operator's file, which names the brokers." type:"path"`
	Queue    string            `name:"queue" required:"" help:"Queue to send to."`
	Class    string            `name:"type" required:"" help:"Op type, in the property type."`
	Body     string            `name:"body" default:"" help:"Body of each."`
	Headers  map[string]string `name:"header" help:"Headers, as tenant=water." placeholder:"NAME=VALUE;..."`
	Timeout  time.Duration     `name:"wait" default:"10s" help:"How long each may take, in the property expiration."`
	Count    int               `name:"count" default:"1" help:"How many."`
	Rate     float64           `name:"rate" default:"100" help:"Messages a second."`
}

// Run sends and waits: its own queue takes the answers, and each message has one.
func (c *queueSend) Run(o output) error {
	queues, err := loadQueues(c.Operator)
	if err != nil {
		return err
	}
	if c.Count < 1 || c.Rate <= 0 {
		return errors.New("--count and --rate want more than 0")
	}
	conn, err := dialBroker(&queues, queues.Config.BrokerURLs[0])
	if err != nil {
		return err
	}
	defer conn.Close()
	channel, err := conn.Channel()
	if err != nil {
		return err
	}
	replyQueue := "lanewheel.send." + strconv.FormatInt(time.Now().UnixNano(), 36)
	if _, err := channel.QueueDeclare(replyQueue, false, true, true, false, nil); err != nil {
		return err
	}
	answers, err := channel.Consume(replyQueue, "", true, true, false, false, nil)
	if err != nil {
		return err
	}
	var mu sync.Mutex
	sent := map[string]time.Time{}
	outcomes := map[string]int{}
	latencies := hdrhistogram.New(1, 600e6, 3)
	done := make(chan struct{})
	duplicates := 0
	go func() {
		defer close(done)
		for left := c.Count; left > 0; {
			select {
			case d, open := <-answers:
				if !open {
					return
				}
				mu.Lock()
				if at, pending := sent[d.CorrelationId]; pending {
					delete(sent, d.CorrelationId)
					_ = latencies.RecordValue(max(1, time.Since(at).Microseconds()))
					reason, _ := d.Headers["why"].(string)
					outcomes[strings.TrimSpace(d.Type+" "+reason)]++
					left--
				} else {
					duplicates++
				}
				mu.Unlock()
				if c.Count == 1 {
					fmt.Fprintf(o.out, "%s\n", d.Body)
				}
			case <-time.After(c.Timeout + time.Duration(float64(c.Count)/c.Rate*float64(time.Second)) + 5*time.Second):
				return
			}
		}
	}()
	headers := client.Table{}
	for name, value := range c.Headers {
		headers[name] = value
	}
	began := time.Now()
	for n := range c.Count {
		time.Sleep(time.Until(began.Add(time.Duration(float64(n) / c.Rate * float64(time.Second)))))
		id := replyQueue + "." + strconv.Itoa(n)
		mu.Lock()
		sent[id] = time.Now()
		mu.Unlock()
		err := channel.Publish("", c.Queue, false, false, client.Publishing{MessageId: id, CorrelationId: id, ReplyTo: replyQueue, Type: c.Class,
			Headers: headers, Timestamp: time.Now(), Expiration: strconv.FormatInt(c.Timeout.Milliseconds(), 10), Body: []byte(c.Body)})
		if err != nil {
			return err
		}
	}
	<-done
	mu.Lock()
	defer mu.Unlock()
	table := tabwriter.NewWriter(o.out, 0, 0, 2, ' ', 0)
	for _, outcome := range slices.Sorted(maps.Keys(outcomes)) {
		fmt.Fprintf(table, "%s\t%d\n", outcome, outcomes[outcome])
	}
	fmt.Fprintf(table, "no answer\t%d\nanswered twice\t%d\n", len(sent), duplicates)
	fmt.Fprintf(table, "median, 99th\t%.1f ms, %.1f ms\n", float64(latencies.ValueAtQuantile(50))/1e3, float64(latencies.ValueAtQuantile(99))/1e3)
	table.Flush()
	if len(sent) > 0 {
		return errReported
	}
	return nil
}

type queueWatch struct {
	Operator string        `arg:"" name:"operator" help:"Operator's file, which names the socket." type:"path"`
	Interval time.Duration `name:"every" default:"1s" help:"How often."`
	Count    int           `name:"count" default:"0" help:"How often at most; 0: until it is interrupted."`
}

func (c *queueWatch) Run(o output) error {
	queues, err := loadQueues(c.Operator)
	if err != nil {
		return err
	}
	if queues.Config.StatusSocket == "" {
		return errors.New("the file's section amqp names no watch socket")
	}
	for n := 0; c.Count == 0 || n < c.Count; n++ {
		if n > 0 {
			time.Sleep(c.Interval)
		}
		status, err := amqp.ReadStatus(queues.Config.StatusSocket)
		if err != nil {
			return err
		}
		state := "takes"
		if status.PauseReason != "" {
			state = status.PauseReason
		}
		fmt.Fprintf(o.out, "broker %q, %s, level %d, in hand %d, known %d, %v\n", status.Broker, state, status.Window, status.InFlight, status.Remembered, status.Counts)
		table := tabwriter.NewWriter(o.out, 0, 0, 2, ' ', 0)
		fmt.Fprintln(table, "queue\tstate\tlimit\tin hand")
		for _, q := range status.Queues {
			fmt.Fprintf(table, "%s\t%s\t%d\t%d\n", q.Name, q.State, q.Limit, q.InFlight)
		}
		table.Flush()
	}
	return nil
}

package command

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
	"lanewheel/internal/life"
	"lanewheel/internal/operator"
)

// queueCommand looks at the queues that an operator's file tells of, and sends to them.
type queueCommand struct {
	Check queueCheck `cmd:"" name:"check" help:"Try each broker: login, the queues, and what the file says of them."`
	Send  queueSend  `cmd:"" name:"send" help:"Send ops to a queue and wait for their answers."`
	Watch queueWatch `cmd:"" name:"watch" help:"Show the intake of a running instance, as its watch socket tells."`
}

// told reads the operator's file with all that it names for queues.
func toldQueues(path string) (operator.AMQP, error) {
	o, err := life.LoadOperatorConfig(path)
	if err != nil {
		return operator.AMQP{}, err
	}
	if !o.File.AMQP.Enabled {
		return operator.AMQP{}, fmt.Errorf("%s has no section amqp", path)
	}
	return o.File.AMQP, nil
}

// dial connects to a broker as an instance would.
func dial(a *operator.AMQP, addr string) (*client.Connection, error) {
	u, err := client.ParseURI(addr)
	if err != nil {
		return nil, err
	}
	if user, password, told := strings.Cut(a.Config.Login, ":"); told {
		u.Username, u.Password = user, password
	}
	return client.DialConfig(u.String(), client.Config{TLSClientConfig: a.Config.TLS, Heartbeat: a.Config.HeartbeatInterval, Locale: "en_US",
		Dial: client.DefaultDial(5 * time.Second)})
}

type queueCheck struct {
	Operator string `arg:"" name:"operator" help:"Operator's file." type:"path"`
}

func (c *queueCheck) Run(o output) error {
	a, err := toldQueues(c.Operator)
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(o.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "broker\tqueue\tready\tconsumers\tfound")
	wrong := false
	for _, addr := range a.Config.BrokerURLs {
		u, _ := client.ParseURI(addr)
		where := net.JoinHostPort(u.Host, strconv.Itoa(u.Port))
		conn, err := dial(&a, addr)
		if err != nil {
			fmt.Fprintf(w, "%s\t\t\t\t%v\n", where, err)
			wrong = true
			continue
		}
		look := func(name, what string) {
			found := what
			ch, err := conn.Channel() // each its own: a queue that is not there closes the channel
			var q client.Queue
			if err == nil {
				q, err = ch.QueueDeclarePassive(name, true, false, false, false, nil)
				_ = ch.Close()
			}
			if err != nil {
				found, wrong = err.Error(), true
			}
			fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%s\n", where, name, q.Messages, q.Consumers, found)
		}
		dead := map[string]bool{}
		for _, q := range a.Config.Queues {
			look(string(q.Name), "good")
			if q.DeadLetterQueue != "" && !dead[q.DeadLetterQueue] {
				dead[q.DeadLetterQueue] = true
				look(q.DeadLetterQueue, "good, for dead letters")
			}
		}
		_ = conn.Close()
	}
	w.Flush()
	if wrong {
		return errSaid
	}
	return nil
}

type queueSend struct {
	Operator string            `arg:"" name:"operator" help:"Operator's file, which names the brokers." type:"path"`
	Queue    string            `name:"queue" required:"" help:"Queue to send to."`
	Type     string            `name:"type" required:"" help:"Op type, in the property type."`
	Body     string            `name:"body" default:"" help:"Body of each."`
	Header   map[string]string `name:"header" help:"Headers, as tenant=water." placeholder:"NAME=VALUE;..."`
	Wait     time.Duration     `name:"wait" default:"10s" help:"How long each may take, in the property expiration."`
	Count    int               `name:"count" default:"1" help:"How many."`
	Rate     float64           `name:"rate" default:"100" help:"Messages a second."`
}

// Run sends and waits: its own queue takes the answers, and each message has one.
func (c *queueSend) Run(o output) error {
	a, err := toldQueues(c.Operator)
	if err != nil {
		return err
	}
	if c.Count < 1 || c.Rate <= 0 {
		return errors.New("--count and --rate want more than 0")
	}
	conn, err := dial(&a, a.Config.BrokerURLs[0])
	if err != nil {
		return err
	}
	defer conn.Close()
	ch, err := conn.Channel()
	if err != nil {
		return err
	}
	mine := "lanewheel.send." + strconv.FormatInt(time.Now().UnixNano(), 36)
	if _, err := ch.QueueDeclare(mine, false, true, true, false, nil); err != nil {
		return err
	}
	answers, err := ch.Consume(mine, "", true, true, false, false, nil)
	if err != nil {
		return err
	}
	var mu sync.Mutex
	sent := map[string]time.Time{}
	outcomes := map[string]int{}
	took := hdrhistogram.New(1, 600e6, 3)
	done := make(chan struct{})
	twice := 0
	go func() {
		defer close(done)
		for left := c.Count; left > 0; {
			select {
			case d, open := <-answers:
				if !open {
					return
				}
				mu.Lock()
				if at, waits := sent[d.CorrelationId]; waits {
					delete(sent, d.CorrelationId)
					_ = took.RecordValue(max(1, time.Since(at).Microseconds()))
					why, _ := d.Headers["why"].(string)
					outcomes[strings.TrimSpace(d.Type+" "+why)]++
					left--
				} else {
					twice++
				}
				mu.Unlock()
				if c.Count == 1 {
					fmt.Fprintf(o.out, "%s\n", d.Body)
				}
			case <-time.After(c.Wait + time.Duration(float64(c.Count)/c.Rate*float64(time.Second)) + 5*time.Second):
				return
			}
		}
	}()
	headers := client.Table{}
	for name, value := range c.Header {
		headers[name] = value
	}
	began := time.Now()
	for n := range c.Count {
		time.Sleep(time.Until(began.Add(time.Duration(float64(n) / c.Rate * float64(time.Second)))))
		id := mine + "." + strconv.Itoa(n)
		mu.Lock()
		sent[id] = time.Now()
		mu.Unlock()
		err := ch.Publish("", c.Queue, false, false, client.Publishing{MessageId: id, CorrelationId: id, ReplyTo: mine, Type: c.Type,
			Headers: headers, Timestamp: time.Now(), Expiration: strconv.FormatInt(c.Wait.Milliseconds(), 10), Body: []byte(c.Body)})
		if err != nil {
			return err
		}
	}
	<-done
	mu.Lock()
	defer mu.Unlock()
	w := tabwriter.NewWriter(o.out, 0, 0, 2, ' ', 0)
	for _, how := range slices.Sorted(maps.Keys(outcomes)) {
		fmt.Fprintf(w, "%s\t%d\n", how, outcomes[how])
	}
	fmt.Fprintf(w, "no answer\t%d\nanswered twice\t%d\n", len(sent), twice)
	fmt.Fprintf(w, "median, 99th\t%.1f ms, %.1f ms\n", float64(took.ValueAtQuantile(50))/1e3, float64(took.ValueAtQuantile(99))/1e3)
	w.Flush()
	if len(sent) > 0 {
		return errSaid
	}
	return nil
}

type queueWatch struct {
	Operator string        `arg:"" name:"operator" help:"Operator's file, which names the socket." type:"path"`
	Every    time.Duration `name:"every" default:"1s" help:"How often."`
	Count    int           `name:"count" default:"0" help:"How often at most; 0: until it is interrupted."`
}

func (c *queueWatch) Run(o output) error {
	a, err := toldQueues(c.Operator)
	if err != nil {
		return err
	}
	if a.Config.StatusSocket == "" {
		return errors.New("the file's section amqp names no watch socket")
	}
	for n := 0; c.Count == 0 || n < c.Count; n++ {
		if n > 0 {
			time.Sleep(c.Every)
		}
		s, err := amqp.ReadStatus(a.Config.StatusSocket)
		if err != nil {
			return err
		}
		state := "takes"
		if s.PauseReason != "" {
			state = s.PauseReason
		}
		fmt.Fprintf(o.out, "broker %q, %s, level %d, in hand %d, known %d, %v\n", s.Broker, state, s.Window, s.InHand, s.Remembered, s.Counts)
		w := tabwriter.NewWriter(o.out, 0, 0, 2, ' ', 0)
		fmt.Fprintln(w, "queue\tstate\tlimit\tin hand")
		for _, q := range s.Queues {
			fmt.Fprintf(w, "%s\t%s\t%d\t%d\n", q.Name, q.State, q.Limit, q.InHand)
		}
		w.Flush()
	}
	return nil
}

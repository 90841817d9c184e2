package cli

import (
	"errors"
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"

	client "github.com/rabbitmq/amqp091-go"

	"lanewheel/internal/amqp"
	"lanewheel/internal/config"
	"lanewheel/internal/lifecycle"
)

// queueCommand checks and watches the queues of an operator's file, and sends requests to them.
type queueCommand struct {
	Check queueCheck `cmd:"" name:"check" help:"${help_queue_check}"`
	Send  queueSend  `cmd:"" name:"send" help:"Send requests to a queue and wait for their replies."`
	Watch queueWatch `cmd:"" name:"watch" help:"${help_queue_watch}"`
}

// loadQueues reads the section [amqp] and the queues of an operator's file, and the files that it names. It returns an
// error if the operator's file has no section [amqp].
func loadQueues(path string) (config.AMQP, error) {
	operatorConfig, err := lifecycle.LoadOperatorConfig(path)
	if err != nil {
		return config.AMQP{}, err
	}
	operatorConfig.File.Renamed.Warn()
	if !operatorConfig.File.AMQP.Enabled {
		return config.AMQP{}, fmt.Errorf("%s has no section [amqp]", path)
	}
	return operatorConfig.File.AMQP, nil
}

// dialBroker connects to a broker as an instance would.
func dialBroker(queues *config.AMQP, address string) (*client.Connection, error) {
	const dialTimeout = 5 * time.Second
	uri, err := client.ParseURI(address)
	if err != nil {
		return nil, err
	}
	if user, password, found := strings.Cut(queues.Config.Login, ":"); found {
		uri.Username, uri.Password = user, password
	}
	return client.DialConfig(uri.String(), client.Config{
		TLSClientConfig: queues.Config.TLS,
		Heartbeat:       queues.Config.HeartbeatInterval,
		Locale:          "en_US",
		Dial:            client.DefaultDial(dialTimeout),
	})
}

type queueCheck struct {
	Operator string `arg:"" name:"operator" help:"${help_operator}" type:"path"`
}

func (c *queueCheck) Run(o output) error {
	queues, err := loadQueues(c.Operator)
	if err != nil {
		return err
	}
	table := newTable(o.out)
	table.row("broker", "queue", "ready", "consumers", "found")
	failed := false
	for _, address := range queues.Config.BrokerURLs {
		failed = !checkBroker(table, &queues, address) || failed
	}
	if err := table.print(); err != nil {
		return err
	}
	if failed {
		return errReported
	}
	return nil
}

// checkBroker adds a row for each queue of a broker. It reports whether the broker accepted the connection and has all
// queues.
func checkBroker(table table, queues *config.AMQP, address string) bool {
	uri, err := client.ParseURI(address)
	if err != nil {
		table.row(address, "", "", "", err)
		return false
	}
	hostPort := net.JoinHostPort(uri.Host, strconv.Itoa(uri.Port))
	connection, err := dialBroker(queues, address)
	if err != nil {
		table.row(hostPort, "", "", "", err)
		return false
	}
	defer func() { _ = connection.Close() }() // every queue has been inspected, so an error does not matter
	valid := true
	check := func(name, finding string) {
		queue, err := inspectQueue(connection, name)
		if err != nil {
			valid = false
			finding = err.Error()
		}
		table.row(hostPort, name, queue.Messages, queue.Consumers, finding)
	}
	deadLetterQueues := map[string]bool{}
	for _, queue := range queues.Config.Queues {
		check(string(queue.Name), "good")
		if queue.DeadLetterQueue != "" && !deadLetterQueues[queue.DeadLetterQueue] {
			deadLetterQueues[queue.DeadLetterQueue] = true
			check(queue.DeadLetterQueue, "good, for dead letters")
		}
	}
	return valid
}

// inspectQueue returns the state of a queue. It uses a separate channel because the broker closes a channel when a
// passive declaration on it names a queue that does not exist.
func inspectQueue(connection *client.Connection, name string) (client.Queue, error) {
	channel, err := connection.Channel()
	if err != nil {
		return client.Queue{}, err
	}
	defer func() { _ = channel.Close() }() // the broker may have closed it
	return channel.QueueDeclarePassive(name, true, false, false, false, nil)
}

type queueWatch struct {
	Operator string        `arg:"" name:"operator" help:"Operator's file, which names the status socket." type:"path"`
	Interval time.Duration `name:"every" default:"1s" help:"Interval between two outputs."`
	Count    int           `name:"count" default:"0" help:"Maximum number of outputs; 0 means until interrupted."`
}

var errNoStatusSocket = errors.New("amqp.status-socket must be set in the operator's file")

func (c *queueWatch) Run(o output) error {
	queues, err := loadQueues(c.Operator)
	if err != nil {
		return err
	}
	if queues.Config.StatusSocket == "" {
		return errNoStatusSocket
	}
	for n := 0; c.Count == 0 || n < c.Count; n++ {
		if n > 0 {
			time.Sleep(c.Interval)
		}
		status, err := amqp.ReadStatus(queues.Config.StatusSocket)
		if err != nil {
			return err
		}
		if err := printQueueStatus(o, &status); err != nil {
			return err
		}
	}
	return nil
}

func printQueueStatus(o output, status *amqp.Status) error {
	state := "takes"
	if status.PauseReason != "" {
		state = status.PauseReason
	}
	o.printf("broker %q, %s, level %d, in hand %d, known %d, %v\n", status.Broker, state, status.Window, status.InFlight,
		status.Remembered, status.Counts)
	table := newTable(o.out)
	table.row("queue", "state", "limit", "in hand")
	for _, queue := range status.Queues {
		table.row(queue.Name, queue.State, queue.Limit, queue.InFlight)
	}
	return table.print()
}

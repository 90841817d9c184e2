// Command queue runs two instances that consume one queue, resets the connection of one of them to the broker now and
// then, and checks the final answers of each message.
package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	client "github.com/rabbitmq/amqp091-go"

	"lanewheel/internal/fake/broker"
	"lanewheel/review/standin"
)

const (
	length        = 80 * time.Second
	settle        = 8 * time.Second // for the answers to the last messages
	resetInterval = 8 * time.Second // between two resets
	rate          = 10              // messages a second
	class         = "fault-log"     // non-retryable, as at tosu-main
	workQueue     = "ops"
	replyQueue    = "replies"
)

const operatorFile = `[amqp]
brokers = amqp://guest:guest@%s/
heartbeat = 10s
[queue ops]
min-in-flight = 10
default-timeout = 20s
`

func main() { os.Exit(run()) }

func run() int {
	record, err := standin.NewRecord(os.Args[1])
	if err != nil {
		fmt.Println(err)
		return standin.ExitNotRun
	}
	defer record.Close()
	t := &trial{record: record, broker: broker.New(), runs: map[string]int{}, answers: map[string][]string{}}
	defer t.broker.Close()
	if err := t.play(); err != nil {
		record.Summary("the case could not run: %v", err)
		return standin.ExitNotRun
	}
	return t.judge()
}

// trial is a queue with two instances that consume it.
type trial struct {
	record *standin.Record
	broker *broker.Broker
	nodes  []*node
	sent   int
	resets int

	mu      sync.Mutex
	runs    map[string]int      // by body
	answers map[string][]string // by correlation id: the outcome and the body of each final answer
}

// node is one instance with its runtime and its connection to the broker.
type node struct {
	runtime *standin.Runtime
	relay   *standin.Relay
	process *standin.Process
}

func (t *trial) play() error {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	t.broker.DeclareQueue(workQueue, nil)
	t.broker.DeclareQueue(replyQueue, nil)
	registry, err := standin.NewRegistry()
	if err != nil {
		return err
	}
	defer registry.Close()
	for i := range 2 {
		n := &node{}
		t.nodes = append(t.nodes, n)
		defer n.close()
		if err := t.startNode(n, dir, fmt.Sprintf("n%d", i+1), registry.Addr()); err != nil {
			return err
		}
	}
	consumed := func() bool { return t.broker.Counts(workQueue).Consumers == len(t.nodes) }
	if err := standin.WaitFor(15*time.Second, consumed); err != nil {
		return fmt.Errorf("waiting for the consumers: %w", err)
	}
	t.publish()
	for end := time.Now().Add(settle); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		t.readAnswers()
	}
	for i, n := range t.nodes {
		if !n.process.Running() {
			return fmt.Errorf("instance n%d has ended", i+1)
		}
	}
	t.record.Summary("violations of the broker's protocol: %v", t.broker.Violations())
	return nil
}

func (t *trial) startNode(n *node, dir, name, registry string) (err error) {
	if n.runtime, err = standin.NewRuntime(); err != nil {
		return err
	}
	n.runtime.Cores = 6
	n.runtime.Record = t.record
	n.runtime.Plan = func(_, body string) standin.Plan {
		work := time.Duration(400+rand.IntN(800)) * time.Millisecond
		return standin.Plan{Segments: []time.Duration{work}, Result: "result for " + body}
	}
	n.runtime.OnStart = func(run *standin.Run) {
		t.record.Printf("%s: runs %q", name, run.Body)
		t.mu.Lock()
		defer t.mu.Unlock()
		t.runs[run.Body]++
	}
	n.runtime.Serve()
	if n.relay, err = standin.NewRelay(t.broker.Addr()); err != nil {
		return err
	}
	listen, err := standin.FreeAddress()
	if err != nil {
		return err
	}
	config := standin.Config{
		Name: name, Listen: listen, Runtime: n.runtime.Addr(), Database: "127.0.0.1:1", Registry: registry,
		Settings: standin.Settings(standin.Class{Name: class, Effect: standin.AtMostOnce}),
	}
	path, err := config.Write(dir)
	if err != nil {
		return err
	}
	operator := filepath.Join(dir, name+".ini")
	if err := os.WriteFile(operator, fmt.Appendf(nil, operatorFile, n.relay.Addr()), 0o600); err != nil {
		return err
	}
	n.process, err = standin.Start(path, "serve", "--operator", operator)
	return err
}

func (n *node) close() {
	if n.process != nil {
		n.process.Kill()
	}
	if n.relay != nil {
		n.relay.Close()
	}
	if n.runtime != nil {
		n.runtime.Close()
	}
}

// publish sends messages, and resets the connection of an instance in the meantime.
func (t *trial) publish() {
	end := time.Now().Add(length)
	nextReset := time.Now().Add(resetInterval)
	for time.Now().Before(end) {
		time.Sleep(time.Duration(rand.ExpFloat64() * float64(time.Second) / rate))
		t.sent++
		id := fmt.Sprintf("m%04d", t.sent)
		t.record.Printf("sender: sends %s", id)
		t.broker.Publish(workQueue, client.Publishing{
			MessageId: id, CorrelationId: id, ReplyTo: replyQueue, Type: class,
			Timestamp: time.Now(), Expiration: "20000", Body: []byte(id),
		})
		t.readAnswers()
		if standin.Trouble() && time.Now().After(nextReset) {
			nextReset = time.Now().Add(resetInterval)
			i := t.resets % len(t.nodes)
			t.resets++
			t.record.Printf("the connection of n%d to the broker is reset, %d runs go on there",
				i+1, t.nodes[i].runtime.Running())
			t.nodes[i].relay.Reset()
		}
	}
}

// readAnswers reads the reply queue. A reply that equals one that has come before, with its id, is taken for the same
// reply, sent again.
func (t *trial) readAnswers() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range t.broker.DrainQueue(replyQueue) {
		answer := strings.TrimSpace(p.Type + " " + string(p.Body))
		t.record.Printf("sender: reply %s to %s: %s", p.MessageId, p.CorrelationId, answer)
		if !slices.Contains(t.answers[p.CorrelationId], answer) {
			t.answers[p.CorrelationId] = append(t.answers[p.CorrelationId], answer)
		}
	}
}

func (t *trial) judge() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	twice, ranTwice := 0, 0
	for i := 1; i <= t.sent; i++ {
		id := fmt.Sprintf("m%04d", i)
		if len(t.answers[id]) > 1 {
			twice++
			t.record.Printf("TWO FINAL ANSWERS: %s: %q", id, t.answers[id])
		}
		if t.runs[id] > 1 {
			ranTwice++
		}
	}
	t.record.Summary("messages %d, resets %d", t.sent, t.resets)
	t.record.Summary("messages with a final answer: %d", len(t.answers))
	t.record.Summary("messages with two final answers that differ: %d", twice)
	t.record.Summary("messages that ran twice: %d", ranTwice)
	switch {
	case twice > 0:
		return standin.ExitBroken
	case len(t.answers) < t.sent/2:
		t.record.Summary("too few messages were answered to judge")
		return standin.ExitNotRun
	}
	return standin.ExitHeld
}

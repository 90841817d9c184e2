package cli

import (
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	client "github.com/rabbitmq/amqp091-go"

	"lanewheel/internal/fake"
	"lanewheel/internal/fake/broker"
)

// tryCommand runs an instance with nothing else running.
type tryCommand struct {
	Duration    time.Duration `name:"for" help:"How long the load goes on." default:"10s"`
	Rate        float64       `name:"rate" help:"Ops a second, of all types together." default:"200"`
	Clients     int           `name:"stubs" help:"Client stubs, a connection each." default:"8"`
	MeanRunTime time.Duration `name:"mean" help:"What a run takes on average on one of the runtime's two cores." default:"5ms"`
	Seed        uint64        `name:"seed" help:"For chance: the same seed gives the same load." default:"1"`
	Operator    string        `name:"operator" help:"Operator's file for the instance." placeholder:"FILE" type:"path"`
	AMQP        bool          `name:"amqp" help:"Send a third of the ops by a queue, with a stand-in for the broker."`
	Token       string        `name:"token" help:"File with a token that the stubs bring." placeholder:"FILE" type:"path"`
	Log         string        `name:"log" help:"File for the instance's log; without it, a file that is removed if all went well." placeholder:"FILE" type:"path"`
}

// classResult is what became of the ops of one type.
type classResult struct {
	sent, succeeded, rejected, failed, denied, unanswered int
	latency                                               *hdrhistogram.Histogram // µs of the acked
}

// loadTest is the load as it goes.
type loadTest struct {
	mu      sync.Mutex
	classes map[string]*classResult
	denials map[string]int // denials by their word
}

var classNames = []string{"view", "pay", "list"}

func (c *tryCommand) Run(o output) (failed error) {
	if c.Rate <= 0 || c.Duration <= 0 || c.Clients <= 0 {
		return errors.New("--rate, --for and --stubs want more than 0")
	}
	folder, err := os.MkdirTemp("", "lanewheel-try")
	if err != nil {
		return err
	}
	logged := c.Log
	if logged == "" {
		logged = filepath.Join(folder, "log")
	}
	defer func() {
		if failed != nil && c.Log == "" {
			fmt.Fprintf(o.out, "the instance's log is %s\n", logged)
			return
		}
		os.RemoveAll(folder)
	}()
	var token string
	if c.Token != "" {
		text, err := os.ReadFile(c.Token)
		if err != nil {
			return err
		}
		token = strings.TrimSpace(string(text))
	}
	runtime, database, registry := fake.NewRuntime(), fake.NewDatabase(), fake.NewRegistry()
	defer runtime.Listener.Close()
	defer database.Listener.Close()
	defer registry.Close()
	database.AutoReply()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	listen := listener.Addr().String()
	listener.Close()
	config := filepath.Join(folder, "config.json")
	settings := strings.NewReplacer("IDLE", "30", "FRESH", "0", `"memory-kb":1900`, `"memory-kb":190000`).Replace(fake.Settings)
	text := fmt.Sprintf(`{"name":"try","listen":%q,"runtime":%q,"roster":%q,"db":%q,"seed":"%x","stop_ms":1500,`+
		`"limits":{"cores":1,"memory_mb":192,"sockets":512},"settings":%s}`, listen, runtime.Addr(), registry.Addr(), database.Addr(), c.Seed, settings)
	if err := os.WriteFile(config, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.Create(logged)
	if err != nil {
		return err
	}
	defer log.Close()
	self, err := os.Executable()
	if err != nil {
		return err
	}
	operatorFile := c.Operator
	var fakeBroker *broker.Broker
	if c.AMQP {
		if operatorFile != "" {
			return errors.New("--amqp brings an operator's file of its own")
		}
		fakeBroker = broker.New()
		defer fakeBroker.Close()
		operatorFile = filepath.Join(folder, "amqp.ini")
		text := fmt.Sprintf("[amqp]\nbrokers = %s\n[queue try]\nrank-default = 0.5\nkb-default = 1\nwait = 10s\n", fakeBroker.URL())
		if err := os.WriteFile(operatorFile, []byte(text), 0o600); err != nil {
			return err
		}
		fakeBroker.DeclareQueue("try", nil)
		fakeBroker.DeclareQueue("try.answers", nil)
	}
	args := []string{"serve"}
	if operatorFile != "" {
		args = append(args, "--operator", operatorFile)
	}
	child := exec.Command(self, args...)
	child.Env = append(os.Environ(), "RELAY_CONFIG="+config)
	child.Stdout, child.Stderr = log, log
	if err := child.Start(); err != nil {
		return err
	}
	ended := make(chan error, 1)
	go func() { ended <- child.Wait() }()
	up := make(chan struct{})
	go func() {
		defer func() { _ = recover() }() // it never came: the child's end tells why
		runtime.Accept()
		runtime.SendReady("steady")
		runtime.AutoRun(2, c.MeanRunTime, c.Seed, nil)
		close(up)
	}()
	select {
	case <-up:
	case <-ended:
		logText, _ := os.ReadFile(logged)
		return fmt.Errorf("the instance did not start:\n%s", logText)
	case <-time.After(2 * fake.WaitTimeout):
		_ = child.Process.Kill()
		return errors.New("the instance does not come up")
	}
	fmt.Fprintf(o.out, "an instance serves at %s, %g ops a second for %v\n", listen, c.Rate, c.Duration)
	test := &loadTest{classes: map[string]*classResult{}, denials: map[string]int{}}
	for _, class := range classNames {
		test.classes[class] = &classResult{latency: hdrhistogram.New(1, 60e6, 3)} // 1 µs to a minute
	}
	if fakeBroker != nil {
		test.classes[queueRow] = &classResult{latency: hdrhistogram.New(1, 60e6, 3)}
	}
	started, cpuTime := time.Now(), cpuTimeOf(child.Process.Pid)
	done := make(chan struct{})
	go test.printProgress(o.out, started, done)
	var sent chan struct{}
	if fakeBroker != nil {
		sent = make(chan struct{})
		go func() {
			defer close(sent)
			test.runQueue(c, fakeBroker)
		}()
		perClients := *c
		perClients.Rate *= 2.0 / 3
		c = &perClients
	}
	test.load(c, listen, token)
	if sent != nil {
		<-sent
	}
	cpuTime = cpuTimeOf(child.Process.Pid) - cpuTime
	close(done)
	_ = child.Process.Signal(syscall.SIGTERM)
	select {
	case err = <-ended:
	case <-time.After(fake.WaitTimeout):
		_ = child.Process.Kill()
		err = errors.New("it does not end after SIGTERM")
	}
	test.printTable(o.out, cpuTime)
	if err != nil {
		return fmt.Errorf("the instance: %w", err)
	}
	return nil
}

// load asks at the told rate, each stub its part, whatever comes back: an open loop.
func (t *loadTest) load(c *tryCommand, listen, token string) {
	var clients sync.WaitGroup
	for number := range c.Clients {
		clients.Add(1)
		go func() {
			defer clients.Done()
			t.runClient(c, number, listen, token)
		}()
	}
	clients.Wait()
}

func (t *loadTest) runClient(c *tryCommand, number int, listen, token string) {
	defer func() { _ = recover() }() // a connection that is closed on it is in the table, as lost
	random := rand.New(rand.NewPCG(c.Seed, uint64(number)))
	connection := fake.Dial(listen)
	defer connection.Close()
	type asked struct {
		kind string
		at   time.Time
	}
	var mu sync.Mutex
	pending := map[int]asked{}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			response, err := connection.NextResponse()
			if err != nil {
				return
			}
			mu.Lock()
			request, known := pending[response.Number]
			delete(pending, response.Number)
			mu.Unlock()
			if known {
				t.record(request.kind, time.Since(request.at), response)
			}
		}
	}()
	gap := float64(c.Clients) / c.Rate * float64(time.Second)
	began := time.Now()
	at := time.Duration(0)
	for n := 1; ; n++ {
		at += time.Duration(random.ExpFloat64() * gap)
		if at >= c.Duration {
			break
		}
		time.Sleep(time.Until(began.Add(at)))
		class := classNames[random.IntN(len(classNames))]
		fields := []string{"from", fmt.Sprint(number), "kb", "1", "rank", fmt.Sprintf("%.3f", 0.999*random.Float64()), // under 1, rounded too
			"cost", fmt.Sprint(c.MeanRunTime.Milliseconds())}
		if token != "" {
			fields = append(fields, "token", token)
		}
		mu.Lock()
		full := len(pending) >= 32 // the protocol's bound
		if !full {
			pending[n] = asked{class, time.Now()}
		}
		mu.Unlock()
		t.mu.Lock()
		t.classes[class].sent++
		if full {
			t.classes[class].unanswered++
		}
		t.mu.Unlock()
		if !full {
			connection.Send(fake.NewRequest(n, class, fmt.Sprintf("%08x%08x", number, n), []byte("body"), fields...))
		}
	}
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) { // the op timeout
		mu.Lock()
		left := len(pending)
		mu.Unlock()
		if left == 0 {
			break
		}
	}
	connection.Close()
	<-done
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, request := range pending {
		t.classes[request.kind].unanswered++
	}
}

// queueRow is the line of the table for messages.
const queueRow = "by queue"

// runQueue sends a third of the rate as messages, and takes their answers.
func (t *loadTest) runQueue(c *tryCommand, fakeBroker *broker.Broker) {
	sentAt := map[string]time.Time{}
	began := time.Now()
	takeReplies := func() {
		for _, p := range fakeBroker.DrainQueue("try.answers") {
			if sent, pending := sentAt[p.CorrelationId]; pending {
				delete(sentAt, p.CorrelationId)
				response := fake.Response{Error: p.Type}
				switch p.Type {
				case "acked":
					response.Error = ""
				case "denied":
					response.Error, response.Fields = "Denied", map[string]any{"why": p.Headers["why"]}
				}
				t.record(queueRow, time.Since(sent), response)
			}
		}
	}
	gap := time.Duration(3 / c.Rate * float64(time.Second))
	for n := 0; time.Since(began) < c.Duration; n++ {
		for next := began.Add(time.Duration(n) * gap); time.Now().Before(next); time.Sleep(time.Millisecond) {
			takeReplies()
		}
		id := fmt.Sprint("m", n)
		sentAt[id] = time.Now()
		t.mu.Lock()
		t.classes[queueRow].sent++
		t.mu.Unlock()
		fakeBroker.Publish("try", client.Publishing{MessageId: id, CorrelationId: id, ReplyTo: "try.answers", Type: classNames[n%3], Timestamp: time.Now(), Body: []byte("body")})
	}
	for end := time.Now().Add(5 * time.Second); len(sentAt) > 0 && time.Now().Before(end); time.Sleep(time.Millisecond) {
		takeReplies()
	}
	t.mu.Lock()
	t.classes[queueRow].unanswered = len(sentAt)
	t.mu.Unlock()
}

func (t *loadTest) record(class string, latency time.Duration, response fake.Response) {
	t.mu.Lock()
	defer t.mu.Unlock()
	result := t.classes[class]
	switch response.Error {
	case "":
		result.succeeded++
		_ = result.latency.RecordValue(max(1, latency.Microseconds()))
	case "Busy":
		result.rejected++
	case "Denied":
		result.denied++
		t.denials[fmt.Sprint(response.Fields["why"])]++
	default:
		result.failed++
	}
}

// printProgress leaves a line a second.
func (t *loadTest) printProgress(out io.Writer, began time.Time, done chan struct{}) {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		select {
		case <-done:
			return
		case <-tick.C:
		}
		t.mu.Lock()
		var sum classResult
		for _, k := range t.classes {
			sum.sent += k.sent
			sum.succeeded += k.succeeded
			sum.rejected += k.rejected
			sum.failed += k.failed
			sum.denied += k.denied
		}
		t.mu.Unlock()
		fmt.Fprintf(out, "%3.0fs asked %d acked %d nacked %d failed %d denied %d\n", time.Since(began).Seconds(),
			sum.sent, sum.succeeded, sum.rejected, sum.failed, sum.denied)
	}
}

func (t *loadTest) printTable(out io.Writer, cpuTime time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "op type\tasked\tacked\tnacked\tfailed\tdenied\tunanswered\tmedian ms\t99th ms\t")
	sent := 0
	for _, class := range append(slices.Clone(classNames), queueRow) {
		result := t.classes[class]
		if result == nil {
			continue
		}
		sent += result.sent
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t\n", class, result.sent, result.succeeded, result.rejected, result.failed, result.denied, result.unanswered,
			float64(result.latency.ValueAtQuantile(50))/1e3, float64(result.latency.ValueAtQuantile(99))/1e3)
	}
	w.Flush()
	for _, denial := range slices.Sorted(maps.Keys(t.denials)) {
		fmt.Fprintf(out, "denied %s: %d\n", denial, t.denials[denial])
	}
	if sent > 0 {
		fmt.Fprintf(out, "CPU of the instance: %.0f µs an op\n", float64(cpuTime.Microseconds())/float64(sent))
	}
}

// cpuTimeOf is what a process has used so far, in the kernel's ticks of 10 ms; 0 where /proc does not tell.
func cpuTimeOf(pid int) time.Duration {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
	if len(fields) < 13 {
		return 0
	}
	var user, system int64
	fmt.Sscan(fields[11], &user)
	fmt.Sscan(fields[12], &system)
	return time.Duration(user+system) * 10 * time.Millisecond
}

package command

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

	"lanewheel/internal/standin"
	"lanewheel/internal/standin/broker"
)

// tryCommand runs an instance with nothing else running.
type tryCommand struct {
	For      time.Duration `name:"for" help:"How long the load goes on." default:"10s"`
	Rate     float64       `name:"rate" help:"Ops a second, of all types together." default:"200"`
	Stubs    int           `name:"stubs" help:"Client stubs, a connection each." default:"8"`
	Mean     time.Duration `name:"mean" help:"What a run takes on average on one of the runtime's two cores." default:"5ms"`
	Seed     uint64        `name:"seed" help:"For chance: the same seed gives the same load." default:"1"`
	Operator string        `name:"operator" help:"Operator's file for the instance." placeholder:"FILE" type:"path"`
	AMQP     bool          `name:"amqp" help:"Send a third of the ops by a queue, with a stand-in for the broker."`
	Token    string        `name:"token" help:"File with a token that the stubs bring." placeholder:"FILE" type:"path"`
	Log      string        `name:"log" help:"File for the instance's log; without it, a file that is removed if all went well." placeholder:"FILE" type:"path"`
}

// tried is what became of the ops of one type.
type tried struct {
	asked, acked, nacked, failed, denied, lost int
	took                                       *hdrhistogram.Histogram // µs of the acked
}

// trial is the load as it goes.
type trial struct {
	mu    sync.Mutex
	kinds map[string]*tried
	whys  map[string]int // denials by their word
}

var triedTypes = []string{"view", "pay", "list"}

func (c *tryCommand) Run(o output) (failed error) {
	if c.Rate <= 0 || c.For <= 0 || c.Stubs <= 0 {
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
	rt, db, roster := standin.NewRuntime(), standin.NewDatabase(), standin.NewRoster()
	defer rt.Listener.Close()
	defer db.Listener.Close()
	defer roster.Close()
	db.Work()
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	listen := free.Addr().String()
	free.Close()
	config := filepath.Join(folder, "config.json")
	settings := strings.NewReplacer("IDLE", "30", "FRESH", "0", `"memory-kb":1900`, `"memory-kb":190000`).Replace(standin.Settings)
	text := fmt.Sprintf(`{"name":"try","listen":%q,"runtime":%q,"roster":%q,"db":%q,"seed":"%x","stop_ms":1500,`+
		`"limits":{"cores":1,"memory_mb":192,"sockets":512},"settings":%s}`, listen, rt.Addr(), roster.Addr(), db.Addr(), c.Seed, settings)
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
	operated := c.Operator
	var queues *broker.Broker
	if c.AMQP {
		if operated != "" {
			return errors.New("--amqp brings an operator's file of its own")
		}
		queues = broker.New()
		defer queues.Close()
		operated = filepath.Join(folder, "amqp.ini")
		text := fmt.Sprintf("[amqp]\nbrokers = %s\n[queue try]\nrank-default = 0.5\nkb-default = 1\nwait = 10s\n", queues.URL())
		if err := os.WriteFile(operated, []byte(text), 0o600); err != nil {
			return err
		}
		queues.Declare("try", nil)
		queues.Declare("try.answers", nil)
	}
	args := []string{"serve"}
	if operated != "" {
		args = append(args, "--operator", operated)
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
		rt.Take()
		rt.Ready("steady")
		rt.Work(2, c.Mean, c.Seed, nil)
		close(up)
	}()
	select {
	case <-up:
	case <-ended:
		said, _ := os.ReadFile(logged)
		return fmt.Errorf("the instance did not start:\n%s", said)
	case <-time.After(2 * standin.Patience):
		_ = child.Process.Kill()
		return errors.New("the instance does not come up")
	}
	fmt.Fprintf(o.out, "an instance serves at %s, %g ops a second for %v\n", listen, c.Rate, c.For)
	t := &trial{kinds: map[string]*tried{}, whys: map[string]int{}}
	for _, kind := range triedTypes {
		t.kinds[kind] = &tried{took: hdrhistogram.New(1, 60e6, 3)} // 1 µs to a minute
	}
	if queues != nil {
		t.kinds[byQueue] = &tried{took: hdrhistogram.New(1, 60e6, 3)}
	}
	began, spent := time.Now(), childCPU(child.Process.Pid)
	done := make(chan struct{})
	go t.progress(o.out, began, done)
	var sent chan struct{}
	if queues != nil {
		sent = make(chan struct{})
		go func() {
			defer close(sent)
			t.queue(c, queues)
		}()
		stubs := *c
		stubs.Rate *= 2.0 / 3
		c = &stubs
	}
	t.load(c, listen, token)
	if sent != nil {
		<-sent
	}
	spent = childCPU(child.Process.Pid) - spent
	close(done)
	_ = child.Process.Signal(syscall.SIGTERM)
	select {
	case err = <-ended:
	case <-time.After(standin.Patience):
		_ = child.Process.Kill()
		err = errors.New("it does not end after SIGTERM")
	}
	t.table(o.out, spent)
	if err != nil {
		return fmt.Errorf("the instance: %w", err)
	}
	return nil
}

// load asks at the told rate, each stub its part, whatever comes back: an open loop.
func (t *trial) load(c *tryCommand, listen, token string) {
	var all sync.WaitGroup
	for k := range c.Stubs {
		all.Add(1)
		go func() {
			defer all.Done()
			t.stub(c, k, listen, token)
		}()
	}
	all.Wait()
}

func (t *trial) stub(c *tryCommand, k int, listen, token string) {
	defer func() { _ = recover() }() // a connection that is closed on it is in the table, as lost
	chance := rand.New(rand.NewPCG(c.Seed, uint64(k)))
	s := standin.Dial(listen)
	defer s.Close()
	type asked struct {
		kind string
		at   time.Time
	}
	var mu sync.Mutex
	open := map[int]asked{}
	over := make(chan struct{})
	go func() {
		defer close(over)
		for {
			a, err := s.Answer()
			if err != nil {
				return
			}
			mu.Lock()
			ask, known := open[a.N]
			delete(open, a.N)
			mu.Unlock()
			if known {
				t.answered(ask.kind, time.Since(ask.at), a)
			}
		}
	}()
	gap := float64(c.Stubs) / c.Rate * float64(time.Second)
	began := time.Now()
	at := time.Duration(0)
	for n := 1; ; n++ {
		at += time.Duration(chance.ExpFloat64() * gap)
		if at >= c.For {
			break
		}
		time.Sleep(time.Until(began.Add(at)))
		kind := triedTypes[chance.IntN(len(triedTypes))]
		more := []string{"from", fmt.Sprint(k), "kb", "1", "rank", fmt.Sprintf("%.3f", 0.999*chance.Float64()), // under 1, rounded too
			"cost", fmt.Sprint(c.Mean.Milliseconds())}
		if token != "" {
			more = append(more, "token", token)
		}
		mu.Lock()
		full := len(open) >= 32 // the protocol's bound
		if !full {
			open[n] = asked{kind, time.Now()}
		}
		mu.Unlock()
		t.mu.Lock()
		t.kinds[kind].asked++
		if full {
			t.kinds[kind].lost++
		}
		t.mu.Unlock()
		if !full {
			s.Send(standin.Op(n, kind, fmt.Sprintf("%08x%08x", k, n), []byte("body"), more...))
		}
	}
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) { // the op timeout
		mu.Lock()
		left := len(open)
		mu.Unlock()
		if left == 0 {
			break
		}
	}
	s.Close()
	<-over
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, ask := range open {
		t.kinds[ask.kind].lost++
	}
}

// byQueue is the line of the table for messages.
const byQueue = "by queue"

// queue sends a third of the rate as messages, and takes their answers.
func (t *trial) queue(c *tryCommand, b *broker.Broker) {
	at := map[string]time.Time{}
	began := time.Now()
	take := func() {
		for _, p := range b.Take("try.answers") {
			if sent, waits := at[p.CorrelationId]; waits {
				delete(at, p.CorrelationId)
				a := standin.Answer{Error: p.Type}
				switch p.Type {
				case "acked":
					a.Error = ""
				case "denied":
					a.Error, a.Fields = "Denied", map[string]any{"why": p.Headers["why"]}
				}
				t.answered(byQueue, time.Since(sent), a)
			}
		}
	}
	gap := time.Duration(3 / c.Rate * float64(time.Second))
	for n := 0; time.Since(began) < c.For; n++ {
		for next := began.Add(time.Duration(n) * gap); time.Now().Before(next); time.Sleep(time.Millisecond) {
			take()
		}
		id := fmt.Sprint("m", n)
		at[id] = time.Now()
		t.mu.Lock()
		t.kinds[byQueue].asked++
		t.mu.Unlock()
		b.Publish("try", client.Publishing{MessageId: id, CorrelationId: id, ReplyTo: "try.answers", Type: triedTypes[n%3], Timestamp: time.Now(), Body: []byte("body")})
	}
	for end := time.Now().Add(5 * time.Second); len(at) > 0 && time.Now().Before(end); time.Sleep(time.Millisecond) {
		take()
	}
	t.mu.Lock()
	t.kinds[byQueue].lost = len(at)
	t.mu.Unlock()
}

func (t *trial) answered(kind string, took time.Duration, a standin.Answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	k := t.kinds[kind]
	switch a.Error {
	case "":
		k.acked++
		_ = k.took.RecordValue(max(1, took.Microseconds()))
	case "Busy":
		k.nacked++
	case "Denied":
		k.denied++
		t.whys[fmt.Sprint(a.Fields["why"])]++
	default:
		k.failed++
	}
}

// progress leaves a line a second.
func (t *trial) progress(out io.Writer, began time.Time, done chan struct{}) {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		select {
		case <-done:
			return
		case <-tick.C:
		}
		t.mu.Lock()
		var sum tried
		for _, k := range t.kinds {
			sum.asked += k.asked
			sum.acked += k.acked
			sum.nacked += k.nacked
			sum.failed += k.failed
			sum.denied += k.denied
		}
		t.mu.Unlock()
		fmt.Fprintf(out, "%3.0fs asked %d acked %d nacked %d failed %d denied %d\n", time.Since(began).Seconds(),
			sum.asked, sum.acked, sum.nacked, sum.failed, sum.denied)
	}
}

func (t *trial) table(out io.Writer, spent time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "op type\tasked\tacked\tnacked\tfailed\tdenied\tunanswered\tmedian ms\t99th ms\t")
	asked := 0
	for _, kind := range append(slices.Clone(triedTypes), byQueue) {
		k := t.kinds[kind]
		if k == nil {
			continue
		}
		asked += k.asked
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t\n", kind, k.asked, k.acked, k.nacked, k.failed, k.denied, k.lost,
			float64(k.took.ValueAtQuantile(50))/1e3, float64(k.took.ValueAtQuantile(99))/1e3)
	}
	w.Flush()
	for _, why := range slices.Sorted(maps.Keys(t.whys)) {
		fmt.Fprintf(out, "denied %s: %d\n", why, t.whys[why])
	}
	if asked > 0 {
		fmt.Fprintf(out, "CPU of the instance: %.0f µs an op\n", float64(spent.Microseconds())/float64(asked))
	}
}

// childCPU is what a process has used so far, in the kernel's ticks of 10 ms; 0 where /proc does not tell.
func childCPU(pid int) time.Duration {
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

// Command proxied runs three instances behind a proxy, resets connections of client stubs to the proxy just as an
// answer arrives, and checks how often each keyed request is run.
package main

import (
	"crypto/rand"
	"encoding/base64"
	"fmt"
	mathrand "math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"lanewheel/review/standin"
)

const (
	length        = 60 * time.Second
	joinTime      = 8 * time.Second // until all processes know each other and the instances have warmed up
	resetInterval = 4 * time.Second // between two resets
	retryDelay    = 200 * time.Millisecond
	rate          = 12             // requests a second
	instances     = 3              // behind the proxy
	class         = "runlog-entry" // keyed, as in run-books
	maxTries      = 3              // run-books: clients retry by themselves up to 2 times
)

const operatorFile = `[fleet]
name = %s
listen = %s
seeds = %s
key-file = keys
warm-up = 1s
`

func main() { os.Exit(run()) }

func run() int {
	record, err := standin.NewRecord(os.Args[1])
	if err != nil {
		fmt.Println(err)
		return standin.ExitNotRun
	}
	defer record.Close()
	t := &trial{record: record, runs: map[string][]string{}, outcomes: map[string]int{}}
	defer t.close()
	if err := t.play(); err != nil {
		record.Summary("the case could not run: %v", err)
		return standin.ExitNotRun
	}
	return t.judge()
}

// trial is a proxy with the instances behind it.
type trial struct {
	record  *standin.Record
	dir     string
	closers []func()
	resets  atomic.Int64
	armed   atomic.Bool // the next answer is lost with its connection

	mu       sync.Mutex
	runs     map[string][]string // by body: the instances that ran it
	sent     int
	outcomes map[string]int // final outcomes at the client
}

func (t *trial) close() {
	for i := len(t.closers) - 1; i >= 0; i-- {
		t.closers[i]()
	}
}

// process is a process of the fleet.
type process struct {
	name, listen, gossip string
}

func (t *trial) play() (err error) {
	if t.dir, err = os.MkdirTemp("", "review"); err != nil {
		return err
	}
	t.closers = append(t.closers, func() { _ = os.RemoveAll(t.dir) })
	key := make([]byte, 32)
	_, _ = rand.Read(key) // never fails
	keys := base64.StdEncoding.EncodeToString(key) + "\n"
	if err := os.WriteFile(filepath.Join(t.dir, "keys"), []byte(keys), 0o600); err != nil {
		return err
	}
	registry, err := standin.NewRegistry()
	if err != nil {
		return err
	}
	t.closers = append(t.closers, registry.Close)
	var all []*process
	for i := range instances + 1 {
		p := &process{name: fmt.Sprintf("n%d", i)}
		if p.listen, err = standin.FreeAddress(); err != nil {
			return err
		}
		if p.gossip, err = standin.FreeAddress(); err != nil {
			return err
		}
		all = append(all, p)
	}
	var started []*standin.Process
	for i, p := range all {
		process, err := t.start(p, all[0].gossip, registry.Addr(), i == 0)
		if err != nil {
			return err
		}
		started = append(started, process)
	}
	proxy := all[0].listen
	if err := standin.WaitFor(20*time.Second, func() bool { return standin.Health(proxy) }); err != nil {
		return fmt.Errorf("waiting for the proxy: %w", err)
	}
	time.Sleep(joinTime)
	if err := t.load(proxy); err != nil {
		return err
	}
	for i, process := range started {
		if !process.Running() {
			return fmt.Errorf("%s has ended", all[i].name)
		}
	}
	return nil
}

// start starts the proxy, or an instance with its runtime.
func (t *trial) start(p *process, seed, registry string, isProxy bool) (*standin.Process, error) {
	runtime, err := standin.NewRuntime()
	if err != nil {
		return nil, err
	}
	t.closers = append(t.closers, runtime.Close)
	runtime.Cores = 6
	runtime.Record = t.record
	runtime.Plan = func(_, body string) standin.Plan {
		work := time.Duration(50+mathrand.IntN(150)) * time.Millisecond
		return standin.Plan{Segments: []time.Duration{work}, Result: "result for " + body}
	}
	runtime.OnStart = func(run *standin.Run) {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.runs[run.Body] = append(t.runs[run.Body], p.name)
		if len(t.runs[run.Body]) > 1 {
			t.record.Printf("RUN AGAIN: %q, at %v", run.Body, t.runs[run.Body])
		}
	}
	runtime.Serve()
	config := standin.Config{
		Name: p.name, Listen: p.listen, Runtime: runtime.Addr(), Database: "127.0.0.1:1", Registry: registry,
		Settings: standin.Settings(standin.Class{Name: class, Effect: standin.Deduplicated}),
	}
	path, err := config.Write(t.dir)
	if err != nil {
		return nil, err
	}
	text := fmt.Sprintf(operatorFile, p.name, p.gossip, seed)
	command := "serve"
	if isProxy {
		text = "[proxy]\n" + text
		command = "proxy"
	}
	operator := filepath.Join(t.dir, p.name+".ini")
	if err := os.WriteFile(operator, []byte(text), 0o600); err != nil {
		return nil, err
	}
	process, err := standin.Start(path, command, "--operator", operator)
	if err == nil {
		t.closers = append(t.closers, process.Kill)
	}
	return process, err
}

// load sends requests by a relay to the proxy, and has it reset a connection now and then.
func (t *trial) load(proxy string) error {
	relay, err := standin.NewRelay(proxy)
	if err != nil {
		return err
	}
	defer relay.Close()
	relay.OnBytes = func(connection int, _ []byte) bool {
		if !t.armed.CompareAndSwap(true, false) {
			return true
		}
		t.resets.Add(1)
		t.record.Printf("connection %d of a client stub is reset as an answer arrives", connection)
		return false
	}
	var sent sync.WaitGroup
	stubs := &stubPool{addr: relay.Addr()}
	nextReset := time.Now().Add(resetInterval)
	for end := time.Now().Add(length); time.Now().Before(end); {
		time.Sleep(time.Duration(mathrand.ExpFloat64() * float64(time.Second) / rate))
		if standin.Trouble() && time.Now().After(nextReset) {
			nextReset = time.Now().Add(resetInterval)
			t.armed.Store(true)
		}
		t.sent++
		body := fmt.Sprintf("%s %d", class, t.sent)
		sent.Go(func() { t.send(stubs, body) })
	}
	sent.Wait()
	return nil
}

// send sends a request, and again as long as its connection is lost.
func (t *trial) send(stubs *stubPool, body string) {
	outcome := ""
	for try := 1; try <= maxTries; try++ {
		id := standin.NewID()
		t.record.Printf("client: sends %s %q, try %d", id, body, try)
		answer := stubs.get().Request(class, id, body)
		t.record.Printf("client: %s %s %q", id, answer.Outcome, answer.Result)
		if outcome = answer.Outcome; outcome != standin.LostLink {
			break
		}
		time.Sleep(retryDelay)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.outcomes[outcome]++
}

// stubPool holds a client stub, and opens a new connection for it when the last one was lost.
type stubPool struct {
	addr string
	mu   sync.Mutex
	stub *standin.Stub
}

func (p *stubPool) get() *standin.Stub {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stub == nil || p.stub.Lost() {
		p.stub = standin.Connect(p.addr)
	}
	return p.stub
}

func (t *trial) judge() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	again := 0
	for _, where := range t.runs {
		if len(where) > 1 {
			again++
		}
	}
	t.record.Summary("requests %d, outcomes at the client %v, connections reset %d", t.sent, t.outcomes, t.resets.Load())
	t.record.Summary("keyed requests that were run more than once: %d", again)
	switch {
	case again > 0:
		return standin.ExitBroken
	case t.outcomes[standin.Served] < t.sent/2:
		t.record.Summary("too few requests were served to judge")
		return standin.ExitNotRun
	}
	return standin.ExitHeld
}

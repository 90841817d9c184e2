// Command link runs one instance whose link to the runtime breaks now and then, and checks how often each request is
// run. It also reports which replies the runs get to their calls.
package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"time"

	"lanewheel/review/standin"
)

const (
	length        = 95 * time.Second
	breakInterval = 4 * time.Second       // between two breaks of the link, on average
	rate          = 35                    // requests a second
	maxPieceGap   = 20 * time.Millisecond // between the two pieces in which each notice arrives
)

// Two classes of glenmorrow-rota. The runs of shift-set make no call. Those of callout-set make 0.6 to 1.4 calls on
// average: here every second one makes two calls, the others make none. shift-set must not run twice, an effect that it
// may have on the days with few instances.
var (
	shiftSet   = standin.Class{Name: "shift-set", Effect: standin.AtMostOnce}
	calloutSet = standin.Class{Name: "callout-set", Effect: standin.Idempotent, Calls: true}
)

// request is one request of a client. Its number is part of its body.
type request struct {
	class  string
	number int
}

func (r request) body() string { return fmt.Sprintf("%s %d", r.class, r.number) }

// calls returns the number of calls that a run of the request makes.
func (r request) calls() int {
	if r.class == calloutSet.Name && r.number%4 < 2 {
		return 2
	}
	return 0
}

// result returns the result that a run of the request makes if each of its calls gets its own reply.
func (r request) result() string {
	text := "result for " + r.body()
	for step := range r.calls() {
		text += fmt.Sprintf(" / row for %s step %d", r.body(), step+1)
	}
	return text
}

// plan returns what the runtime does in a run.
func plan(class, body string) standin.Plan {
	r := request{class: class}
	_, _ = fmt.Sscanf(body, class+" %d", &r.number) // each body was made by request.body
	p := standin.Plan{Result: "result for " + body}
	for range r.calls() + 1 {
		p.Segments = append(p.Segments, time.Duration(40+rand.IntN(60))*time.Millisecond)
	}
	return p
}

// check counts what the runtime sees.
type check struct {
	record *standin.Record

	mu          sync.Mutex
	answers     map[string]int
	over        map[string]bool // ids of the requests that were answered or given up
	wrongReply  int
	wrongResult int
	runTwice    int
}

func main() { os.Exit(run()) }

func run() int {
	record, err := standin.NewRecord(os.Args[1])
	if err != nil {
		fmt.Println(err)
		return standin.ExitNotRun
	}
	defer record.Close()
	c := &check{record: record, answers: map[string]int{}, over: map[string]bool{}}
	if err := c.play(); err != nil {
		record.Summary("the case could not run: %v", err)
		return standin.ExitNotRun
	}
	record.Summary("answers: %v", c.answers)
	record.Summary("runs of a request that had been run and must not run twice: %d", c.runTwice)
	record.Summary("replies that a run got for another call than its own: %d", c.wrongReply)
	record.Summary("requests served with a result from a wrong reply: %d", c.wrongResult)
	switch {
	case c.runTwice > 0:
		return standin.ExitBroken
	case c.answers[standin.Served] < 100:
		record.Summary("too few requests were served to judge")
		return standin.ExitNotRun
	}
	return standin.ExitHeld
}

func (c *check) play() error {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	runtime, err := standin.NewRuntime()
	if err != nil {
		return err
	}
	defer runtime.Close()
	c.watch(runtime)
	runtime.Serve()
	database, err := standin.NewDatabase(10*time.Millisecond, c.record)
	if err != nil {
		return err
	}
	defer database.Close()
	registry, err := standin.NewRegistry()
	if err != nil {
		return err
	}
	defer registry.Close()
	listen, err := standin.FreeAddress()
	if err != nil {
		return err
	}
	config := standin.Config{
		Name: "n1", Listen: listen, Runtime: runtime.Addr(), Database: database.Addr(), Registry: registry.Addr(),
		Settings: standin.Settings(shiftSet, calloutSet),
	}
	path, err := config.Write(dir)
	if err != nil {
		return err
	}
	instance, err := standin.Start(path)
	if err != nil {
		return err
	}
	defer instance.Kill()
	if err := standin.WaitFor(10*time.Second, func() bool { return runtime.Links() > 0 }); err != nil {
		return err
	}
	if err := standin.WaitFor(10*time.Second, func() bool { return standin.Health(listen) }); err != nil {
		return fmt.Errorf("waiting until the instance is healthy: %w", err)
	}
	c.load(listen, runtime)
	if !instance.Running() {
		return fmt.Errorf("the instance has ended")
	}
	return nil
}

// watch sets up the runtime and what is checked there.
func (c *check) watch(runtime *standin.Runtime) {
	runtime.Cores = 6
	runtime.Plan = plan
	runtime.Record = c.record
	runtime.PieceGap = func() time.Duration { return time.Duration(rand.Int64N(int64(maxPieceGap))) }
	runtime.Over = func(id string) bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.over[id]
	}
	runtime.OnReply = func(run *standin.Run, call, reply string) {
		if want := "row for " + call; reply != want {
			c.mu.Lock()
			c.wrongReply++
			c.mu.Unlock()
			c.record.Printf("WRONG REPLY: %s waits for call %q and got %q", run.ID, call, reply)
		}
	}
	runtime.OnStart = func(run *standin.Run) {
		if run.Number > 1 && run.Class == shiftSet.Name {
			c.mu.Lock()
			c.runTwice++
			c.mu.Unlock()
			c.record.Printf("RUN TWICE: %s %q", run.ID, run.Body)
		}
	}
}

// load sends requests, and breaks the link in the meantime.
func (c *check) load(listen string, runtime *standin.Runtime) {
	stubs := []*standin.Stub{standin.Connect(listen), standin.Connect(listen), standin.Connect(listen)}
	var sent sync.WaitGroup
	end := time.Now().Add(length)
	nextBreak := time.Now().Add(breakInterval)
	for i := 0; time.Now().Before(end); i++ {
		time.Sleep(time.Duration(rand.ExpFloat64() * float64(time.Second) / rate))
		if standin.Trouble() && time.Now().After(nextBreak) {
			nextBreak = time.Now().Add(breakInterval/2 + time.Duration(rand.Int64N(int64(breakInterval))))
			c.record.Printf("the link to the runtime breaks, %d runs go on", runtime.Running())
			runtime.BreakLink()
		}
		r := request{shiftSet.Name, i}
		if i%5 < 2 {
			r.class = calloutSet.Name
		}
		sent.Go(func() { c.send(stubs[i%len(stubs)], r) })
	}
	sent.Wait()
	for _, stub := range stubs {
		stub.Close()
	}
}

func (c *check) send(stub *standin.Stub, r request) {
	id := standin.NewID()
	c.record.Printf("client: sends %s %s %q", id, r.class, r.body())
	answer := stub.Request(r.class, id, r.body())
	c.record.Printf("client: %s %s %q", id, answer.Outcome, answer.Result)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answers[answer.Outcome]++
	c.over[id] = true
	if answer.Outcome == standin.Served && answer.Result != r.result() {
		c.wrongResult++
		c.record.Printf("WRONG RESULT: %s %q instead of %q", id, answer.Result, r.result())
	}
}

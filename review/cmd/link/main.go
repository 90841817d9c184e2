// Command link runs one instance whose link to the runtime breaks now and then, and checks which replies the runs get
// and how often each request is run.
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
	breakInterval = 4 * time.Second // between two breaks of the link, on average
)

// class is a class of requests, with the number of calls that its runs make.
type class struct {
	standin.Class
	calls int
}

// scene is what a case plays.
type scene struct {
	main, other class
	otherEvery  int           // every so many requests one is of the other class
	rate        float64       // requests a second
	maxPieceGap time.Duration // between the two pieces in which each notice arrives
}

// scenes are the scenes by name. In reply, the classes are those of tosu-main: status-read makes one to two calls on
// average, fault-log makes one and must not run twice. In twice, they are those of glenmorrow-rota: shift-set makes no
// call, rota-view makes one; shift-set has another effect than at the site, as on the days with few instances.
var scenes = map[string]scene{
	"reply": {
		main:        class{standin.Class{Name: "status-read", Effect: standin.Idempotent, Calls: true}, 2},
		other:       class{standin.Class{Name: "fault-log", Effect: standin.AtMostOnce, Calls: true}, 1},
		otherEvery:  5,
		rate:        25,
		maxPieceGap: 16 * time.Millisecond,
	},
	"twice": {
		main:        class{standin.Class{Name: "shift-set", Effect: standin.AtMostOnce}, 0},
		other:       class{standin.Class{Name: "rota-view", Effect: standin.Idempotent, Calls: true}, 1},
		otherEvery:  10,
		rate:        35,
		maxPieceGap: 20 * time.Millisecond,
	},
}

// check counts what the runtime sees.
type check struct {
	record *standin.Record
	scene

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
	played, found := scenes[os.Args[2]]
	if !found {
		record.Summary("no scene is named %q", os.Args[2])
		return standin.ExitNotRun
	}
	c := &check{record: record, scene: played, answers: map[string]int{}, over: map[string]bool{}}
	if err := c.play(); err != nil {
		record.Summary("the case could not run: %v", err)
		return standin.ExitNotRun
	}
	record.Summary("answers: %v", c.answers)
	record.Summary("replies that a run got for another call than its own: %d", c.wrongReply)
	record.Summary("requests served with a result from a wrong reply: %d", c.wrongResult)
	record.Summary("runs of a request that had been run and must not run twice: %d", c.runTwice)
	broken := c.wrongReply
	if os.Args[2] == "twice" {
		broken = c.runTwice
	}
	switch {
	case broken > 0:
		return standin.ExitBroken
	case c.answers[standin.Served] < 100:
		record.Summary("too few requests were served to judge")
		return standin.ExitNotRun
	}
	return standin.ExitHeld
}

// plan returns what the runtime does in a run.
func (c *check) plan(name, body string) standin.Plan {
	calls := c.other.calls
	if name == c.main.Name {
		calls = c.main.calls
	}
	p := standin.Plan{Result: "result for " + body}
	for range calls + 1 {
		p.Segments = append(p.Segments, time.Duration(40+rand.IntN(60))*time.Millisecond)
	}
	return p
}

// result returns the result that a run of a request makes if each of its calls gets its own reply.
func (c *check) result(name, body string) string {
	text := "result for " + body
	for step := 1; step < len(c.plan(name, body).Segments); step++ {
		text += fmt.Sprintf(" / row for %s step %d", body, step)
	}
	return text
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
		Settings: standin.Settings(c.main.Class, c.other.Class),
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
	runtime.Plan = c.plan
	runtime.Record = c.record
	runtime.PieceGap = func() time.Duration { return time.Duration(rand.Int64N(int64(c.maxPieceGap))) }
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
		atMostOnce := run.Class == c.main.Name && c.main.Effect == standin.AtMostOnce ||
			run.Class == c.other.Name && c.other.Effect == standin.AtMostOnce
		if run.Number > 1 && atMostOnce {
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
		time.Sleep(time.Duration(rand.ExpFloat64() * float64(time.Second) / c.rate))
		if standin.Trouble() && time.Now().After(nextBreak) {
			nextBreak = time.Now().Add(breakInterval/2 + time.Duration(rand.Int64N(int64(breakInterval))))
			c.record.Printf("the link to the runtime breaks, %d runs go on", runtime.Running())
			runtime.BreakLink()
		}
		name := c.main.Name
		if i%c.otherEvery == 0 {
			name = c.other.Name
		}
		sent.Go(func() { c.send(stubs[i%len(stubs)], name, fmt.Sprintf("%s %d", name, i)) })
	}
	sent.Wait()
	for _, stub := range stubs {
		stub.Close()
	}
}

func (c *check) send(stub *standin.Stub, name, body string) {
	id := standin.NewID()
	c.record.Printf("client: sends %s %s %q", id, name, body)
	answer := stub.Request(name, id, body)
	c.record.Printf("client: %s %s %q", id, answer.Outcome, answer.Result)
	right := c.result(name, body)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answers[answer.Outcome]++
	c.over[id] = true
	if answer.Outcome == standin.Served && answer.Result != right {
		c.wrongResult++
		c.record.Printf("WRONG RESULT: %s %q instead of %q", id, answer.Result, right)
	}
}

// Command notice drains one instance after the other under load. With the disruption each instance and its runtime
// stand still for a moment as the notice to drain comes. It checks that all that an instance has read is answered
// before it is stopped.
package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"syscall"
	"time"

	"lanewheel/review/standin"
)

const (
	drains  = 10
	before  = 3 * time.Second // of load, before the notice
	stop    = 2400 * time.Millisecond
	rate    = 8                     // requests a second: 1.2 times what six cores can run
	lastGap = 50 * time.Millisecond // a request that is written later than this before the kill does not count

	// How long the machine stands still. At stall-tills-ee it is 190 to 500 ms.
	minPause = 400 * time.Millisecond
	maxPause = 500 * time.Millisecond
)

// The classes of stall-tills-ee.
var (
	pricePull = standin.Class{Name: "price-pull", Effect: standin.Idempotent}
	salePost  = standin.Class{Name: "sale-post", Effect: standin.Deduplicated}
)

func main() { os.Exit(run()) }

func run() int {
	record, err := standin.NewRecord(os.Args[1])
	if err != nil {
		fmt.Println(err)
		return standin.ExitNotRun
	}
	defer record.Close()
	t := &trial{record: record, outcomes: map[string]int{}}
	for number := 1; number <= drains; number++ {
		if err := t.drain(number); err != nil {
			record.Summary("the case could not run: %v", err)
			return standin.ExitNotRun
		}
	}
	record.Summary("drains %d, outcomes of all requests %v", drains, t.outcomes)
	record.Summary("drains after which requests were left without an answer: %d", t.badDrains)
	record.Summary("requests written over 50 ms before the kill and never answered: %d", t.lost)
	switch {
	case t.lost > 0:
		return standin.ExitBroken
	case t.outcomes[standin.Served] < drains*10:
		record.Summary("too few requests were served to judge")
		return standin.ExitNotRun
	}
	return standin.ExitHeld
}

type trial struct {
	record    *standin.Record
	badDrains int

	mu       sync.Mutex
	outcomes map[string]int
	lost     int
}

// drain starts an instance, loads it, tells it to drain and kills it stop later, as the platform does.
func (t *trial) drain(number int) error {
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
	runtime.Cores = 6
	runtime.Record = t.record
	runtime.Plan = func(_, body string) standin.Plan {
		work := time.Duration(600+rand.IntN(600)) * time.Millisecond // 290 to 480 ms of work on crowded cores
		return standin.Plan{Segments: []time.Duration{work}, Result: "result for " + body}
	}
	runtime.Serve()
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
		Name: "n1", Listen: listen, Runtime: runtime.Addr(), Database: "127.0.0.1:1", Registry: registry.Addr(),
		Settings: standin.Settings(pricePull, salePost), StopMS: int(stop.Milliseconds()),
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
	if err := standin.WaitFor(10*time.Second, func() bool { return standin.Health(listen) }); err != nil {
		return fmt.Errorf("waiting until the instance is healthy: %w", err)
	}
	return t.loadAndStop(number, listen, instance, runtime)
}

func (t *trial) loadAndStop(
	number int, listen string, instance *standin.Process, runtime *standin.Runtime,
) error {
	l := &load{trial: t, number: number, stub: standin.Connect(listen)}
	go l.send()
	time.Sleep(before)
	if !instance.Running() {
		return fmt.Errorf("the instance has ended")
	}
	killAt := l.notify(instance, runtime)
	for instance.Running() && time.Now().Before(killAt) {
		time.Sleep(time.Millisecond)
	}
	l.end(time.Now())
	if instance.Running() {
		t.record.Printf("drain %d: killed %v after the notice, %d runs go on", number, stop, runtime.Running())
		instance.Kill()
	} else {
		t.record.Printf("drain %d: it has ended", number)
	}
	l.requests.Wait()
	if lost := t.count(l); lost > 0 {
		t.badDrains++
	}
	return nil
}

// notify sends the notice to drain and returns the time of the kill. With the disruption the machine stands still, and
// the notice comes at a random moment of that.
func (l *load) notify(instance *standin.Process, runtime *standin.Runtime) (killAt time.Time) {
	record := l.trial.record
	if !standin.Trouble() {
		record.Printf("drain %d: the notice comes, %d runs go on", l.number, runtime.Running())
		instance.Signal(syscall.SIGTERM)
		return time.Now().Add(stop)
	}
	pause := minPause + time.Duration(rand.Int64N(int64(maxPause-minPause)))
	noticeAt := time.Duration(rand.Int64N(int64(pause)))
	l.standing.Lock() // nothing is written to the instance while it stands still
	defer l.standing.Unlock()
	instance.Signal(syscall.SIGSTOP)
	runtime.StandStill(noticeAt)
	instance.Signal(syscall.SIGTERM)
	killAt = time.Now().Add(stop)
	runtime.StandStill(pause - noticeAt)
	instance.Signal(syscall.SIGCONT)
	record.Printf("drain %d: the machine stood still for %v, the notice came %v after the start of that", l.number,
		pause.Round(time.Millisecond), noticeAt.Round(time.Millisecond))
	return killAt
}

// load is the load of one instance.
type load struct {
	trial    *trial
	number   int
	stub     *standin.Stub
	standing sync.Mutex // held while the machine stands still
	requests sync.WaitGroup

	mu       sync.Mutex
	ended    bool
	endedAt  time.Time
	finished []finished
}

// finished is a request that has an outcome.
type finished struct {
	body, outcome string
	sentAt        time.Time
}

func (l *load) end(at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ended, l.endedAt = true, at
}

// send sends requests until the end.
func (l *load) send() {
	for i := 0; ; i++ {
		time.Sleep(time.Duration(rand.ExpFloat64() * float64(time.Second) / rate))
		class := pricePull.Name
		if i%5 < 2 {
			class = salePost.Name
		}
		l.standing.Lock()
		l.mu.Lock()
		if l.ended || l.stub.Lost() {
			l.mu.Unlock()
			l.standing.Unlock()
			return
		}
		l.requests.Add(1)
		l.mu.Unlock()
		go l.request(class, fmt.Sprintf("%s %d of drain %d", class, i, l.number))
		l.standing.Unlock()
	}
}

func (l *load) request(class, body string) {
	defer l.requests.Done()
	id := standin.NewID()
	f := finished{body: body, sentAt: time.Now()}
	l.trial.record.Printf("client: sends %s %q", id, body)
	f.outcome = l.stub.Request(class, id, body).Outcome
	l.trial.record.Printf("client: %s %s", id, f.outcome)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.finished = append(l.finished, f)
}

// count counts the outcomes of a load, and those requests that were never answered.
func (t *trial) count(l *load) (lost int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, f := range l.finished {
		t.outcomes[f.outcome]++
		if f.outcome == standin.LostLink && l.endedAt.Sub(f.sentAt) > lastGap {
			lost++
			t.record.Printf("NEVER ANSWERED: %q, written %v before the kill", f.body, l.endedAt.Sub(f.sentAt))
		}
	}
	t.lost += lost
	return lost
}

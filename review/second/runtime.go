package main

import (
	"bufio"
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"time"

	"lanewheel/internal/fake"
)

// runtime is a stand-in of the process that does the work of one instance. It speaks the protocol of the runtime: it
// numbers its notices, keeps them, and sends those that follow the number in "sync". A run takes the time that its
// body names; as many runs as there are cores progress at a time, the others wait. Runs make no calls.
type runtime struct {
	bench    *bench
	name     string // of the instance
	listener net.Listener
	cores    int
	onStart  func(class, body string) // called for each run that is started; may be nil

	mu      sync.Mutex
	link    net.Conn
	notices []string
	runs    map[string]*execution
	waiting []*execution
	busy    int
	starts  []startedRun
}

type execution struct {
	id, body string
	stopped  bool
	timer    *time.Timer // nil while the run waits for a core
}

// startedRun is one run that a runtime has started.
type startedRun struct {
	at          time.Duration // since the start of the bench
	class, body string
	ended       string // status of the end; empty while it runs
}

func (b *bench) newRuntime(name string, cores int) *runtime {
	r := &runtime{
		bench:    b,
		name:     name,
		listener: fake.Must((&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")),
		cores:    cores,
		runs:     map[string]*execution{},
	}
	go func() {
		for {
			link, err := r.listener.Accept()
			if err != nil {
				return
			}
			go r.serve(link)
		}
	}()
	return r
}

func (r *runtime) addr() string { return r.listener.Addr().String() }

type runtimeCommand struct {
	Kind  string `json:"t"`
	No    int    `json:"no"`
	ID    string `json:"rid"`
	Class string `json:"route"`
	Body  string `json:"b64"`
	Mark  string `json:"mark"`
}

// serve handles the commands of one link.
func (r *runtime) serve(link net.Conn) {
	defer func() { _ = link.Close() }() // the instance sees the end either way
	for reader := bufio.NewReader(link); ; {
		line, err := reader.ReadBytes('\n')
		if err != nil {
			return
		}
		var command runtimeCommand
		if err := json.Unmarshal(line, &command); err != nil {
			return // not a command: the runtime closes the link
		}
		r.handle(link, &command)
	}
}

func (r *runtime) handle(link net.Conn, command *runtimeCommand) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch command.Kind {
	case "sync":
		r.link = link
		r.send(`{"t":"ready","status":"steady","time_ms":60000}`)
		for _, notice := range r.notices[min(command.No, len(r.notices)):] {
			r.send(notice)
		}
	case "gauges":
		busy := min(1, float64(r.busy)/float64(r.cores))
		r.send(fmt.Sprintf(`{"t":"load","mark":%q,"v":[%g,%d,0.1,8]}`, command.Mark, busy, len(r.runs)))
	case "selftest":
		r.send(fmt.Sprintf(`{"t":"verdict","mark":%q,"status":"success"}`, command.Mark))
	case "start":
		r.start(command)
	case "stop":
		r.stop(command.ID)
	}
}

// send writes one line on the current link. The line is kept as a notice by the caller if it has a number.
func (r *runtime) send(line string) {
	if r.link != nil {
		_, _ = r.link.Write([]byte(line + "\n")) // a broken link is reported by its reader
	}
}

func (r *runtime) start(command *runtimeCommand) {
	if r.runs[command.ID] != nil { // for a request that runs already nothing happens
		return
	}
	body := string(fake.Must(base64.StdEncoding.DecodeString(command.Body)))
	started := &execution{id: command.ID, body: body}
	r.runs[command.ID] = started
	r.starts = append(r.starts, startedRun{at: time.Since(r.bench.startedAt), class: command.Class, body: body})
	r.bench.record("runtime of %s: start %s %s %q", r.name, command.ID, command.Class, body)
	if r.onStart != nil {
		go r.onStart(command.Class, body)
	}
	r.waiting = append(r.waiting, started)
	r.fillCores()
}

func (r *runtime) fillCores() {
	for r.busy < r.cores && len(r.waiting) > 0 {
		next := r.waiting[0]
		r.waiting = r.waiting[1:]
		if next.stopped {
			continue
		}
		r.busy++
		next.timer = time.AfterFunc(workOf(next.body), func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			if !next.stopped {
				r.busy--
				r.end(next, "success")
				r.fillCores()
			}
		})
	}
}

func (r *runtime) stop(id string) {
	stopped := r.runs[id]
	if stopped == nil {
		return
	}
	stopped.stopped = true
	if stopped.timer != nil {
		stopped.timer.Stop()
		r.busy--
	}
	r.end(stopped, "interrupted")
	r.fillCores()
}

// end sends the notice that a run is over. The result of a run is resultOf its body.
func (r *runtime) end(ended *execution, status string) {
	delete(r.runs, ended.id)
	result := ""
	if status == "success" {
		result = resultOf(ended.body)
	}
	notice := fmt.Sprintf(`{"t":"end","no":%d,"rid":%q,"status":%q,"time_ms":%d,"b64":%q}`, len(r.notices)+1, ended.id,
		status, workOf(ended.body).Milliseconds(), base64.StdEncoding.EncodeToString([]byte(result)))
	r.notices = append(r.notices, notice)
	r.send(notice)
	for i := range r.starts {
		if r.starts[i].body == ended.body && r.starts[i].ended == "" {
			r.starts[i].ended = status
			break
		}
	}
	r.bench.record("runtime of %s: end %s %s %q", r.name, ended.id, status, ended.body)
}

// started returns the runs that were started so far.
func (r *runtime) started() []startedRun {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]startedRun(nil), r.starts...)
}

// bodyOf returns the body of an operation with a name that takes the given time.
func bodyOf(name string, work time.Duration) string {
	return fmt.Sprintf("%s work=%d", name, work.Milliseconds())
}

// workOf returns the time that a run with this body takes on one core.
func workOf(body string) time.Duration {
	for i := len(body) - 1; i >= 0; i-- {
		if body[i] == '=' {
			var milliseconds int
			if _, err := fmt.Sscanf(body[i+1:], "%d", &milliseconds); err == nil {
				return time.Duration(milliseconds) * time.Millisecond
			}
		}
	}
	return 20 * time.Millisecond
}

// resultOf returns the result of a run with this body.
func resultOf(body string) string { return "result of " + body }

// runsOf counts, over all runtimes, how often each body was started.
func runsOf(runtimes ...*runtime) map[string][]string {
	runs := map[string][]string{}
	for _, r := range runtimes {
		for _, started := range r.started() {
			runs[started.body] = append(runs[started.body],
				fmt.Sprintf("%s at %.3f (%s)", r.name, started.at.Seconds(), started.ended))
		}
	}
	return runs
}

package fake

import (
	"encoding/base64"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// callEvery is the number of runs per run that makes a call: one run in callEvery makes exactly one call.
const callEvery = 3

// AutoRun makes the runtime carry out the instance's commands by itself until its link closes. At most cores runs use a
// core at the same time; the others wait. The duration of a run is drawn from an exponential distribution with the given
// mean. Every third run makes one call and waits for its result. If onStart is not nil, it is called for each start, on
// another goroutine.
func (r *Runtime) AutoRun(cores int, mean time.Duration, seed uint64, onStart func(id, class, body string)) {
	w := &worker{
		runtime: r,
		cores:   cores,
		mean:    mean,
		onStart: onStart,
		random:  rand.New(rand.NewPCG(seed, 0)),
		runs:    map[string]*run{},
	}
	messages := r.Messages
	go func() {
		for message := range messages {
			w.handle(message)
		}
	}()
}

// worker executes the runs of a runtime.
type worker struct {
	runtime *Runtime
	cores   int
	mean    time.Duration
	onStart func(id, class, body string)

	mu      sync.Mutex // guards the fields below and the sending of notices
	random  *rand.Rand
	runs    map[string]*run // runs that have not ended, by request id
	waiting []*run          // runs that wait for a core
	busy    int             // number of cores in use
	started int             // number of runs started so far
}

type run struct {
	id      string
	left    time.Duration
	calls   bool // the run has yet to make its call
	stopped bool // the instance has asked to stop the run
	lost    bool // the run never ends
}

// handle processes one message from the instance.
func (w *worker) handle(message map[string]any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	id, _ := message[fieldRequestID].(string)
	current := w.runs[id]
	switch message[fieldKind] {
	case "start":
		if current == nil { // otherwise the message is a retransmission
			w.start(id, message)
		}
	case "give", "omit":
		if current != nil {
			w.waiting = append(w.waiting, current)
		}
	case "stop":
		if current != nil && !current.lost {
			current.stopped = true
			current.left = 0
			w.waiting = append(w.waiting, current)
		}
	case "selftest":
		writeLine(w.runtime.Conn, `{"t":"verdict","mark":%q,"status":"success"}`, message[fieldMark])
	}
	w.runWaiting()
}

func (w *worker) start(id string, message map[string]any) {
	w.started++
	started := &run{
		id:    id,
		left:  time.Duration(w.random.ExpFloat64() * float64(w.mean)),
		calls: w.started%callEvery == 0,
	}
	w.runs[id] = started
	var faults RuntimeFaults
	if w.runtime.Faults != nil {
		faults = w.runtime.Faults()
	}
	if faults.SlowFactor > 0 {
		started.left = time.Duration(faults.SlowFactor * float64(started.left))
	}
	switch {
	case faults.LoseRuns:
		started.lost = true
	case faults.FailRuns:
		w.finish(started, "failure", "")
	default:
		w.waiting = append(w.waiting, started)
	}
	if w.onStart != nil {
		encoded, _ := message[fieldBody].(string)
		body, _ := base64.StdEncoding.DecodeString(encoded) // on an error, the part that was decoded
		w.onStart(id, fmt.Sprint(message[fieldClass]), string(body))
	}
}

// runWaiting assigns free cores to waiting runs.
func (w *worker) runWaiting() {
	for w.busy < w.cores && len(w.waiting) > 0 {
		w.busy++
		w.runSlice(w.waiting[0])
		w.waiting = w.waiting[1:]
	}
}

// runSlice makes a run occupy a core until its call or its end, and then releases the core.
func (w *worker) runSlice(running *run) {
	slice := running.left
	if running.calls {
		slice /= 2
	}
	time.AfterFunc(slice, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.busy--
		running.left -= slice
		switch {
		case running.stopped:
			w.finish(running, "interrupted", "")
		case running.calls:
			running.calls = false
			w.runtime.SendNotice("wants", running.id, "", "ask "+running.id)
		default:
			w.finish(running, "success", "done "+running.id)
		}
		w.runWaiting()
	})
}

func (w *worker) finish(ended *run, status, body string) {
	delete(w.runs, ended.id)
	w.runtime.SendNotice("end", ended.id, status, body)
}

package fake

import (
	"encoding/base64"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// callInterval determines which runs make a call: every callInterval-th started run makes exactly one.
const callInterval = 3

// AutoRun makes the runtime carry out the instance's commands by itself until its link closes. At most cores runs use
// a core at the same time; the others wait. The duration of a run is drawn from an exponential distribution with the
// given mean. Every third run makes one call and waits for its result. If onStart is not nil, it is called for each
// start, on another goroutine, before any notice about the run is sent.
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
			w.handleMessage(message)
		}
	}()
}

// worker executes the runs of a runtime.
type worker struct {
	runtime *Runtime
	cores   int
	mean    time.Duration
	onStart func(id, class, body string)

	mu         sync.Mutex // guards the fields below and the sending of notices
	random     *rand.Rand
	runs       map[string]*run // runs that have not ended, by request id
	waiting    []*run          // runs that wait for a core
	busyCores  int             // number of cores in use
	startCount int             // number of runs started so far
}

type run struct {
	id          string
	remaining   time.Duration
	callPending bool // the run has yet to make its call
	stopped     bool // the instance has asked to stop the run
	lost        bool // the run never ends
}

// handleMessage processes one message from the instance.
func (w *worker) handleMessage(message map[string]any) {
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
			current.remaining = 0
			w.waiting = append(w.waiting, current)
		}
	case "selftest":
		writeLine(w.runtime.Conn, `{"t":"verdict","mark":%q,"status":"success"}`, message[fieldMark])
	}
	w.runWaiting()
}

func (w *worker) start(id string, message map[string]any) {
	w.startCount++
	started := &run{
		id:          id,
		remaining:   time.Duration(w.random.ExpFloat64() * float64(w.mean)),
		callPending: w.startCount%callInterval == 0,
	}
	w.runs[id] = started
	if w.onStart != nil {
		encoded, _ := message[fieldBody].(string)
		body, _ := base64.StdEncoding.DecodeString(encoded) // on an error, the part that was decoded
		w.onStart(id, fmt.Sprint(message[fieldClass]), string(body))
	}
	var faults RuntimeFaults
	if w.runtime.Faults != nil {
		faults = w.runtime.Faults()
	}
	if faults.SlowFactor > 0 {
		started.remaining = time.Duration(faults.SlowFactor * float64(started.remaining))
	}
	switch {
	case faults.LoseRuns:
		started.lost = true
	case faults.FailRuns:
		w.finish(started, "failure", "")
	default:
		w.waiting = append(w.waiting, started)
	}
}

// runWaiting assigns free cores to waiting runs.
func (w *worker) runWaiting() {
	for w.busyCores < w.cores && len(w.waiting) > 0 {
		w.busyCores++
		w.runSlice(w.waiting[0])
		w.waiting = w.waiting[1:]
	}
}

// runSlice makes a run occupy a core until its call or its end, and then releases the core.
func (w *worker) runSlice(running *run) {
	slice := running.remaining
	if running.callPending {
		slice /= 2
	}
	time.AfterFunc(slice, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.busyCores--
		running.remaining -= slice
		switch {
		case running.stopped:
			w.finish(running, "interrupted", "")
		case running.callPending:
			running.callPending = false
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

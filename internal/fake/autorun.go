package fake

import (
	"encoding/base64"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// callEvery is which part of the runs stands at a call once: one in so many.
const callEvery = 3

// AutoRun has the runtime carry out what it is told by itself, until its link closes: as many runs at a time as cores,
// the others wait. What a run takes is drawn about mean; every third one stands at a call once. onStart, if not nil, is
// called for each start, on another goroutine.
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

// worker carries out runs.
type worker struct {
	runtime *Runtime
	cores   int
	mean    time.Duration
	onStart func(id, class, body string)

	mu      sync.Mutex // guards what follows, and the sending of notices
	random  *rand.Rand
	runs    map[string]*run // that have not ended
	waiting []*run          // for a core
	busy    int             // cores
	started int
}

type run struct {
	id      string
	left    time.Duration
	calls   bool // it has a call to come
	stopped bool
	lost    bool
}

// handle takes one message.
func (w *worker) handle(message map[string]any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	id, _ := message[fieldRequestID].(string)
	current := w.runs[id]
	switch message[fieldKind] {
	case "start":
		if current == nil { // else it is sent anew
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
		body, _ := base64.StdEncoding.DecodeString(encoded) // what can be decoded of it
		w.onStart(id, fmt.Sprint(message[fieldClass]), string(body))
	}
}

// runWaiting gives free cores to the runs that wait.
func (w *worker) runWaiting() {
	for w.busy < w.cores && len(w.waiting) > 0 {
		w.busy++
		w.runSlice(w.waiting[0])
		w.waiting = w.waiting[1:]
	}
}

// runSlice has a run use a core up to its call or end, and give it back.
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

package fake

import (
	"bufio"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"
)

// Runtime carries out runs, by script or, once Work is called, by itself.
type Runtime struct {
	Listener   net.Listener
	Conn       net.Conn
	Messages   chan map[string]any  // all but the gauges, which are answered
	Silent     bool                 // leaves the gauges unanswered
	LastNotice int                  // the last notice's number
	Faults     func() RuntimeFaults // what is wrong with it now, where Work is called; nil: nothing
}

// RuntimeFaults is what is wrong with a runtime that works by itself.
type RuntimeFaults struct {
	SlowFactor float64 // runs take so many times as long; 0: as long as usual
	FailRuns   bool    // runs fail at once
	LoseRuns   bool    // runs never end, whatever is asked
}

func NewRuntime() *Runtime {
	return &Runtime{Listener: Must(net.Listen("tcp", "127.0.0.1:0"))}
}

func (r *Runtime) Addr() string { return r.Listener.Addr().String() }

// Accept accepts the next link and gives the number that it is synced with.
func (r *Runtime) Accept() any {
	_ = r.Listener.(*net.TCPListener).SetDeadline(time.Now().Add(WaitTimeout))
	r.readMessages(Must(r.Listener.Accept()))
	return r.NextMessage()["no"]
}

// TryAccept takes the next link, whenever it comes; it gives false once nothing listens any more.
func (r *Runtime) TryAccept() bool {
	conn, err := r.Listener.Accept()
	if err != nil {
		return false
	}
	r.readMessages(conn)
	<-r.Messages // what it is synced with
	return true
}

// readMessages has the lines of a link come. One that is cut off in its middle is none: its program was killed.
func (r *Runtime) readMessages(conn net.Conn) {
	messages := make(chan map[string]any, 100)
	r.Conn, r.Messages = conn, messages
	silent := r.Silent
	go func() {
		defer close(messages)
		for in := bufio.NewReader(conn); ; {
			text, err := in.ReadBytes('\n')
			if err != nil {
				return
			}
			var message map[string]any
			if err := json.Unmarshal(text, &message); err != nil {
				panic(err)
			}
			if message["t"] != "gauges" {
				messages <- message
			} else if !silent {
				fmt.Fprintf(conn, `{"t":"load","mark":%q,"v":[0.1,0]}`+"\n", message["mark"])
			}
		}
	}()
}

func (r *Runtime) SendReady(state string) {
	fmt.Fprintf(r.Conn, `{"t":"ready","status":%q,"time_ms":10}`+"\n", state)
}

func (r *Runtime) NextMessage() map[string]any {
	select {
	case line := <-r.Messages:
		return line
	case <-time.After(WaitTimeout):
		panic("no line from the instance")
	}
}

// NextCommand gives the next command as text.
func (r *Runtime) NextCommand() string {
	message := r.NextMessage()
	if message == nil {
		return "link closed"
	}
	text := fmt.Sprint(message["t"], " ", strings.TrimLeft(fmt.Sprint(message["rid"]), "0"))
	if message["route"] != nil {
		text += fmt.Sprint(" route ", message["route"])
	}
	if message["no"] != nil {
		text += fmt.Sprint(" no ", message["no"])
	}
	if b64, ok := message["b64"].(string); ok {
		text += fmt.Sprintf(" body %q", Must(base64.StdEncoding.DecodeString(b64)))
	}
	return text
}

// SendNotice sends a numbered notice of a run.
func (r *Runtime) SendNotice(kind, runID, status, body string) {
	r.LastNotice++
	fmt.Fprintf(r.Conn, `{"t":%q,"no":%d,"rid":%q,"status":%q,"time_ms":20,"b64":%q}`+"\n",
		kind, r.LastNotice, runID, status, base64.StdEncoding.EncodeToString([]byte(body)))
}

// AutoRun has the runtime carry out what it is told by itself, until its link closes: as many runs at a time as cores, the
// others wait. What a run costs is drawn about mean; every third stands once at a call. heard, if not nil, hears of each
// start, on another goroutine.
func (r *Runtime) AutoRun(cores int, mean time.Duration, seed uint64, onStart func(id, kind, body string)) {
	type run struct {
		id      string
		left    time.Duration
		calls   bool
		stopped bool
		lost    bool
	}
	var mu sync.Mutex // guards all below, and the writing of notices
	random := rand.New(rand.NewPCG(seed, 0))
	runs := map[string]*run{}
	var waiting []*run
	busy, started := 0, 0
	var startWaiting func()
	finish := func(o *run, status, body string) {
		delete(runs, o.id)
		r.SendNotice("end", o.id, status, body)
	}
	step := func(o *run) { // o has a core, and gives it back
		slice := o.left
		if o.calls {
			slice /= 2
		}
		time.AfterFunc(slice, func() {
			mu.Lock()
			defer mu.Unlock()
			busy--
			o.left -= slice
			switch {
			case o.stopped:
				finish(o, "interrupted", "")
			case o.calls:
				o.calls = false
				r.SendNotice("wants", o.id, "", "ask "+o.id)
			default:
				finish(o, "success", "done "+o.id)
			}
			startWaiting()
		})
	}
	startWaiting = func() {
		for busy < cores && len(waiting) > 0 {
			busy++
			step(waiting[0])
			waiting = waiting[1:]
		}
	}
	go func() {
		for line := range r.Messages {
			id, _ := line["rid"].(string)
			mu.Lock()
			switch o := runs[id]; line["t"] {
			case "start":
				if o != nil {
					break
				}
				started++
				o = &run{id: id, left: time.Duration(random.ExpFloat64() * float64(mean)), calls: started%3 == 0}
				runs[id] = o
				var faults RuntimeFaults
				if r.Faults != nil {
					faults = r.Faults()
				}
				if faults.SlowFactor > 0 {
					o.left = time.Duration(faults.SlowFactor * float64(o.left))
				}
				switch {
				case faults.LoseRuns:
					o.lost = true
				case faults.FailRuns:
					finish(o, "failure", "")
				default:
					waiting = append(waiting, o)
				}
				if onStart != nil {
					b64, _ := line["b64"].(string)
					body, _ := base64.StdEncoding.DecodeString(b64)
					onStart(id, fmt.Sprint(line["route"]), string(body))
				}
			case "give", "omit":
				if o != nil {
					waiting = append(waiting, o)
				}
			case "stop":
				if o != nil && !o.lost {
					o.stopped, o.left = true, 0
					waiting = append(waiting, o)
				}
			case "selftest":
				fmt.Fprintf(r.Conn, `{"t":"verdict","mark":%q,"status":"success"}`+"\n", line["mark"])
			}
			startWaiting()
			mu.Unlock()
		}
	}()
}

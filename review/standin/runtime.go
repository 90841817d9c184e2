package standin

import (
	"bufio"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// keptNotices is the number of notices that a runtime keeps for new links.
const keptNotices = 4000

// Plan is what a run does: segments of work, with one call between two segments.
type Plan struct {
	Segments []time.Duration
	Result   string // of the run, before the replies to its calls
}

// Runtime is a runtime as on the protocol page. It carries out the runs that the instance starts. Runs go on while
// there is no link. It runs what it is told to start unless that request runs already, or is over.
type Runtime struct {
	Cores  int
	Plan   func(class, body string) Plan
	Record *Record
	// PieceGap returns the pause between the two pieces in which a notice is written. A pause of 0 writes it whole.
	PieceGap func() time.Duration
	// Over reports whether a request is over: it has been answered or given up. It may be nil.
	Over func(id string) bool
	// OnStart is called when a run starts, OnEnd when it ends with success, OnReply with each reply that a run takes for
	// the call that it waits for.
	OnStart func(run *Run)
	OnEnd   func(run *Run)
	OnReply func(run *Run, call, reply string)

	listener net.Listener

	still sync.Mutex // held while the runtime stands still, and while a line is written

	mu      sync.Mutex // guards the fields below, and those of all runs
	link    *runtimeLink
	links   int
	runs    map[string]*Run
	last    int // number of the last notice
	notices []notice
}

type notice struct {
	number int
	line   string
}

// Run is one run of a request.
type Run struct {
	ID, Class, Body string
	Number          int // how often the request was started, from 1

	plan    Plan
	segment int // index of the segment that is worked on, or that follows the call
	call    string
	waiting bool // it waits for the reply to call
	wantsNo int
	replies []string
	stopped bool
}

// runtimeLink is one link. A goroutine writes its lines in order.
type runtimeLink struct {
	conn  net.Conn
	lines chan string
}

// NewRuntime returns a runtime that listens on a free port. Serve must be called once its fields are set.
func NewRuntime() (*Runtime, error) {
	listener, err := Listen()
	return &Runtime{listener: listener, runs: map[string]*Run{}, PieceGap: func() time.Duration { return 0 }}, err
}

// Addr returns the address that accepts links.
func (r *Runtime) Addr() string { return r.listener.Addr().String() }

// Serve accepts links until Close.
func (r *Runtime) Serve() {
	started := map[string]int{}
	go func() {
		for {
			conn, err := r.listener.Accept()
			if err != nil {
				return
			}
			go r.serve(conn, started)
		}
	}()
}

// Close ends the listener and the link.
func (r *Runtime) Close() {
	_ = r.listener.Close()
	r.BreakLink()
}

// BreakLink closes the link. Runs go on.
func (r *Runtime) BreakLink() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.link != nil {
		_ = r.link.conn.Close()
		r.link = nil
	}
}

// StandStill makes the runtime stand still for some time: it reads nothing, writes nothing, and its timers wait.
func (r *Runtime) StandStill(duration time.Duration) {
	r.still.Lock()
	defer r.still.Unlock()
	r.mu.Lock()
	defer r.mu.Unlock()
	time.Sleep(duration)
}

// Links returns the number of links that were synchronized.
func (r *Runtime) Links() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.links
}

// Running returns the number of runs that have not ended.
func (r *Runtime) Running() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.runs)
}

type command struct {
	Kind  string `json:"t"`
	No    int    `json:"no"`
	ID    string `json:"rid"`
	Class string `json:"route"`
	Body  []byte `json:"b64"`
	Mark  string `json:"mark"`
}

func (r *Runtime) serve(conn net.Conn, started map[string]int) {
	link := &runtimeLink{conn: conn, lines: make(chan string, 2*keptNotices)}
	go r.write(link)
	defer r.endLink(link)
	scanner := bufio.NewScanner(conn)
	scanner.Buffer(nil, 64<<10)
	for scanner.Scan() {
		var c command
		if json.Unmarshal(scanner.Bytes(), &c) != nil {
			return // a line that is not a command closes the link
		}
		r.mu.Lock()
		if c.Kind != "sync" && r.link != link { // the link was replaced or broken
			r.mu.Unlock()
			return
		}
		r.handle(link, &c, started)
		r.mu.Unlock()
	}
}

func (r *Runtime) endLink(link *runtimeLink) {
	_ = link.conn.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.link == link {
		r.link = nil
	}
	close(link.lines)
}

// write writes the lines of a link in order, each in two pieces if PieceGap says so.
func (r *Runtime) write(link *runtimeLink) {
	for line := range link.lines {
		rest := line + "\n"
		if gap := r.PieceGap(); gap > 0 {
			cut := 1 + rand.IntN(len(rest)-1)
			if r.writeTo(link, rest[:cut]) != nil {
				continue
			}
			rest = rest[cut:]
			time.Sleep(gap)
		}
		_ = r.writeTo(link, rest) // the end of the link is seen by its reader
	}
}

// writeTo writes to a link once the runtime does not stand still.
func (r *Runtime) writeTo(link *runtimeLink, text string) error {
	r.still.Lock()
	defer r.still.Unlock()
	_, err := link.conn.Write([]byte(text))
	return err
}

func (r *Runtime) send(format string, args ...any) {
	if r.link != nil {
		r.link.lines <- fmt.Sprintf(format, args...)
	}
}

// notify numbers a notice, keeps it and sends it.
func (r *Runtime) notify(kind string, run *Run, status, body string) {
	r.last++
	line := fmt.Sprintf(`{"t":%q,"no":%d,"rid":%q,"status":%q,"time_ms":20,"b64":%q}`,
		kind, r.last, run.ID, status, base64.StdEncoding.EncodeToString([]byte(body)))
	r.notices = append(r.notices, notice{r.last, line})
	if len(r.notices) > keptNotices {
		r.notices = r.notices[1:]
	}
	r.send("%s", line)
}

// handle carries out a command. r.mu is held.
func (r *Runtime) handle(link *runtimeLink, c *command, started map[string]int) {
	run := r.runs[c.ID]
	switch c.Kind {
	case "sync":
		if r.link != nil {
			_ = r.link.conn.Close()
		}
		r.link = link
		r.links++
		r.Record.Printf("runtime: link %d synchronized from notice %d on, last is %d", r.links, c.No, r.last)
		r.send(`{"t":"ready","status":"steady","time_ms":60000}`)
		for _, n := range r.notices {
			if n.number > c.No {
				r.send("%s", n.line)
			}
		}
	case "gauges":
		busy := min(1, float64(len(r.runs))/float64(r.Cores))
		r.send(`{"t":"load","mark":%q,"v":[%.2f,%d,0.1,4]}`, c.Mark, busy, len(r.runs))
	case "selftest":
		r.send(`{"t":"verdict","mark":%q,"status":"success"}`, c.Mark)
	case "start":
		if run != nil { // for a request that runs already nothing happens
			return
		}
		if r.Over != nil && r.Over(c.ID) {
			r.notify("end", &Run{ID: c.ID}, "nothing", "")
			return
		}
		started[c.ID]++
		run = &Run{ID: c.ID, Class: c.Class, Body: string(c.Body), Number: started[c.ID]}
		run.plan = r.Plan(run.Class, run.Body)
		r.runs[c.ID] = run
		r.Record.Printf("runtime: start %s %s %q, the %d. time", run.ID, run.Class, run.Body, run.Number)
		if r.OnStart != nil {
			r.OnStart(run)
		}
		r.work(run)
	default:
		r.handleOfRun(run, c)
	}
}

// handleOfRun carries out a command to a run that was started. r.mu is held.
func (r *Runtime) handleOfRun(run *Run, c *command) {
	switch {
	case run == nil:
		r.send(`{"t":"nack","status":%q,"rid":%q}`, c.Kind, c.ID)
	case c.Kind == "stop":
		run.stopped = true
		delete(r.runs, run.ID)
		r.notify("end", run, "interrupted", "")
	case c.Kind == "give" && run.waiting:
		r.Record.Printf("runtime: give %s for call %q: %q", run.ID, run.call, c.Body)
		if r.OnReply != nil {
			r.OnReply(run, run.call, string(c.Body))
		}
		run.replies = append(run.replies, string(c.Body))
		run.waiting = false
		r.work(run)
	case c.Kind == "omit" && run.waiting && run.wantsNo == c.No:
		run.replies = append(run.replies, "omitted")
		run.waiting = false
		r.work(run)
	default: // the run does not wait for this
		r.send(`{"t":"nack","status":%q,"rid":%q}`, c.Kind, c.ID)
	}
}

// work works on the next segment of a run. r.mu is held.
func (r *Runtime) work(run *Run) {
	time.AfterFunc(run.plan.Segments[run.segment], func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if run.stopped {
			return
		}
		run.segment++
		if run.segment < len(run.plan.Segments) {
			run.call = fmt.Sprintf("%s step %d", run.Body, run.segment)
			run.waiting = true
			r.notify("wants", run, "", run.call)
			run.wantsNo = r.last
			r.Record.Printf("runtime: %s waits for call %q, notice %d", run.ID, run.call, r.last)
			return
		}
		delete(r.runs, run.ID)
		result := run.plan.Result
		for _, reply := range run.replies {
			result += " / " + reply
		}
		r.notify("end", run, "success", result)
		r.Record.Printf("runtime: %s ended, notice %d, result %q", run.ID, r.last, result)
		if r.OnEnd != nil {
			r.OnEnd(run)
		}
	})
}

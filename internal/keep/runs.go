package keep

import (
	"log/slog"
	"maps"
	"slices"
	"strconv"
	"time"

	"lanewheel/choice"
	"lanewheel/internal/front"
	"lanewheel/internal/wire"
)

// run is an op's run, from its start until its end is read. It says what is to be sent anew on a new link.
type run struct {
	atCall func()
	ended  func(choice.Outcome, time.Duration)
	heard  bool   // the runtime is known to have got the start
	stop   bool   // it was asked to stop
	wants  uint64 // the notice by which it stands at a call, 0 when it does not
	ask    []byte // that call's body
	give   []byte // the reply given to it, until the run is heard of again
	omit   uint64 // the notice whose call was left out
	call   *call  // under way
}

// link is what is known of the link to the runtime.
type link struct {
	conn    *wire.Runtime // in use; nil while there is none
	attempt uint64        // the last one to open a link
	dialled *wire.Runtime // by that one
	synced  bool          // all notices of the time without a link have been read
	last    uint64        // the number of the last notice read
	fence   string        // the mark behind the replayed notices
	marks   uint64
	backoff time.Duration
	asked   string // the mark of the gauges that are awaited
	looks   []func(map[string]float64)
	gauged  time.Duration // when the gauges last came
	tests   map[string]func(good bool)
}

func (in *Instance) mark(kind string) string {
	in.runtime.marks++
	return kind + "-" + strconv.FormatUint(in.runtime.marks, 10)
}

// connect opens a link to where the runtime is now, and again a while after that was refused or lost. One that is
// in use stays so until the new one stands: the old address serves on for a moment after the runtime has moved.
func (in *Instance) connect() {
	l := &in.runtime
	l.attempt++
	attempt := l.attempt
	again := func() {
		if l.attempt == attempt { // Danger: what a dial to an old address comes to would count for the new one
			l.backoff = min(max(2*l.backoff, 10*time.Millisecond), 500*time.Millisecond)
			in.At(in.Now()+l.backoff, func() {
				if l.attempt == attempt {
					in.connect()
				}
			})
		}
	}
	if l.dialled != nil { // the address that it goes to may swallow it
		l.dialled.GiveUpDial()
	}
	var conn *wire.Runtime
	conn = in.net.DialRuntime(in.told.Runtime, func(refused error) {
		if refused != nil {
			again()
			return
		}
		if l.attempt != attempt {
			conn.Close("moved")
			return
		}
		if l.conn != nil {
			l.conn.Close("moved")
		}
		l.conn, l.synced = conn, false
		conn.Sync(l.last)
	})
	l.dialled = conn
	conn.OnNotice = func(n wire.Notice) {
		if l.conn == conn { // what an old link still brings comes again on the new one
			in.notice(n)
		}
	}
	conn.OnEnd = func(string) {
		if l.conn == conn {
			l.conn, l.synced = nil, false
		}
		again()
	}
}

// notice takes one line of the runtime.
func (in *Instance) notice(n wire.Notice) {
	l := &in.runtime
	if n.No > 0 {
		if n.No <= l.last {
			return // read on an earlier link
		}
		l.last = n.No
	}
	switch n.Kind {
	case "ready":
		in.ready(n)
	case "load":
		in.load(n)
	case "verdict":
		if done := l.tests[n.Mark]; done != nil {
			done(n.Status == "success")
		}
	case "end":
		in.end(n)
	case "wants":
		if o := in.ops[choice.RequestID(n.ID)]; o != nil && o.run != nil {
			r := o.run
			in.database.drop(r.call)
			r.heard, r.wants, r.give, r.omit, r.call = true, n.No, nil, 0, nil
			r.ask = append(r.ask[:0], n.Bytes...)
			in.touched = true
			r.atCall()
		}
	case "nack":
		in.refused(n)
	case "info":
	default:
		slog.Warn("unknown-notice", "kind", n.Kind)
	}
}

// ready opens the module when the runtime comes up, and sets the fence on each link.
func (in *Instance) ready(n wire.Notice) {
	slog.Info("ready", "state", n.Status, "runtime_up_ms", n.Took.Milliseconds())
	// Danger: a module that opens behind the notice to leave knows nothing of it, and lets in what is cut off a moment later.
	if in.desk == nil && !in.leaving {
		in.told.Facts["just started"] = n.Status == "booting"
		in.early = n.Took // the age that a cold instance has counts from its runtime's start
		in.desk = choice.New(in.told.Seed, in.told.Facts, in)
		in.early = 0
		in.touched = true
	}
	in.runtime.backoff = 0
	in.runtime.fence = in.mark("fence")
	in.runtime.conn.Gauges(in.runtime.fence)
}

// load takes the gauges. Danger: starting anew what has ended in the time without a link. The fence comes
// behind all replayed notices, and only then what is still open is sent again.
func (in *Instance) load(n wire.Notice) {
	l := &in.runtime
	in.gauges, l.gauged = map[string]float64{}, in.Now()
	for i, name := range in.told.Gauges {
		if i < len(n.Gauges) {
			in.gauges[name] = n.Gauges[i]
		}
	}
	if n.Mark == l.fence {
		l.fence, l.synced = "", true
		in.resend()
	}
	if n.Mark == l.asked {
		in.looked()
	}
}

func (in *Instance) resend() {
	for _, id := range slices.Sorted(maps.Keys(in.ops)) {
		o := in.ops[id]
		r := o.run
		if r == nil {
			continue
		}
		if !r.heard {
			in.runtime.conn.Start(id, o.kind, o.body)
		}
		if r.stop {
			in.runtime.conn.Stop(id)
		}
		if r.give != nil {
			in.runtime.conn.Give(id, r.give)
		}
		if r.omit != 0 {
			in.runtime.conn.Omit(id, r.omit)
		}
	}
}

// look asks for the gauges, once for all who want them now, and goes on without them if they take long.
func (in *Instance) look(then func(map[string]float64)) {
	l := &in.runtime
	l.looks = append(l.looks, then)
	if !l.synced {
		in.looked()
		return
	}
	if l.asked != "" {
		return
	}
	l.asked = in.mark("look")
	l.conn.Gauges(l.asked)
	asked := l.asked
	// Some round trips on one machine; the last known are a look old, which is worse than none of them.
	in.At(in.Now()+5*time.Millisecond, func() {
		if l.asked == asked {
			in.looked()
		}
	})
}

func (in *Instance) looked() {
	l := &in.runtime
	l.asked = ""
	looks := l.looks
	l.looks = nil
	gauges := in.gauges
	// Danger: what was true before a link was lost is believed for as long as there is none. Past some looks of the
	// module it hears that nothing is known.
	if in.Now()-l.gauged > 300*time.Millisecond {
		gauges = nil
	}
	for _, then := range looks {
		in.touched = true
		then(gauges)
	}
}

var ends = map[string]choice.Outcome{
	"success": choice.Succeeded, "failure": choice.Failed, "interrupted": choice.Stopped, "nothing": choice.NotStarted,
}

// end takes the end of a run. One that went well or failed answers its op.
func (in *Instance) end(n wire.Notice) {
	o := in.ops[choice.RequestID(n.ID)]
	if o == nil || o.run == nil {
		return
	}
	how, known := ends[n.Status]
	if !known {
		slog.Warn("unknown-end", "status", n.Status)
		how = choice.Failed
	}
	r := o.run
	in.database.drop(r.call)
	o.run = nil
	in.running--
	switch how {
	case choice.Succeeded:
		in.keys.over(in, o, n.Bytes)
		in.count(o, true)
		in.answer(o, func(w front.Owed) { w.Answer(n.Bytes, in.with()) })
	case choice.Failed:
		in.count(o, false)
		in.answer(o, func(w front.Owed) { w.Fail(in.with()) })
	}
	in.touched = true
	r.ended(how, n.Took)
	if how == choice.NotStarted { // nothing ran here, so an answer that is owed all the same can only be this
		in.answer(o, func(w front.Owed) { w.Fail(in.with()) })
	}
	in.release(o)
}

// refused hears that a command was not carried out. A start that was not ends its op, and its front hears that the id, type
// or body is that of no op. Danger: the module would take it for a run that failed.
func (in *Instance) refused(n wire.Notice) {
	o := in.ops[choice.RequestID(n.ID)]
	if o == nil || o.run == nil || o.run.heard || n.Status != "start" {
		slog.Warn("command-refused", "command", n.Status, "op", n.ID)
		return
	}
	in.answer(o, func(w front.Owed) { w.Reject("unknown-op", in.with()) })
	in.end(wire.Notice{Kind: "end", ID: n.ID, Status: "nothing"})
}

// Package keep is the instance's memory: the ops in hand, the runs and calls under way, the keys and results
// that are kept, one timer heap and the buffer pool. The Instance is the module's port: it carries out what
// the module decides and decides nothing itself.
package keep

import (
	"log/slog"
	"math"
	"time"

	"lanewheel/choice"
	"lanewheel/internal/front"
	"lanewheel/internal/identity"
	"lanewheel/internal/loop"
	"lanewheel/internal/rights"
	"lanewheel/internal/stubs"
	"lanewheel/internal/wire"
)

// Told is what an instance is told at its start.
type Told struct {
	Name, Listen, Runtime, Database, Roster string

	Seed      uint64
	Stop      time.Duration // from SIGTERM to SIGKILL
	Sockets   int
	MemoryMB  float64
	Cores     float64
	Facts     choice.Settings
	Gauges    []string // our names, in the order told
	Readiness bool     // the list follows health

	Callers *identity.Parts // who may do what; nil: everybody everything
	Secure  *wire.Secure    // a further listener with TLS; nil: none
}

// Instance is one life of a service instance. All of it belongs to the owner loop.
type Instance struct {
	*loop.Loop
	told    Told
	net     *wire.Net
	pool    *Pool
	desk    *choice.Controller // nil until the runtime has come up
	touched bool               // the module has heard something in this batch

	kinds   map[choice.Class]time.Duration // the op timeouts of those that were told
	repeats map[choice.Class]bool          // those of them that may run twice
	keyed   map[choice.Class]bool          // those of whose tries only one may run
	targets map[choice.Class]time.Duration // their target latencies
	tenants map[choice.TenantID]bool       // those that were told

	ops   map[choice.RequestID]*op
	stubs *stubs.Front

	runtime  link
	gauges   map[string]float64 // the last known
	database database
	keys     keys
	health   health
	door     *identity.Door // nil: all may enter
	say      float64        // rides on all answers; under 0 until it is said

	most    int // ops in hand
	running int // of them

	elsewhere Elsewhere // where ops may go that are turned away here; nil: nowhere
	away      int       // ops in hand that are there

	fronts  []front.Front
	figures Figures
	emptied time.Duration // when the last op in hand was over
	early   time.Duration // see Now
	leaving bool          // it was told to go
}

// Open makes an instance that listens and looks for its runtime.
func Open(told Told) (*Instance, error) {
	buffers := int(told.MemoryMB*(1<<20)) / wire.BufferSize
	in := &Instance{Loop: loop.New(buffers / 8), told: told, pool: &Pool{}, say: -1, ops: map[choice.RequestID]*op{}}
	in.health.good = true
	in.kinds, in.tenants, in.repeats = map[choice.Class]time.Duration{}, map[choice.TenantID]bool{}, map[choice.Class]bool{}
	in.targets, in.keyed = map[choice.Class]time.Duration{}, map[choice.Class]bool{}
	for _, kind := range list(told.Facts, "op types") {
		name, _ := kind["name"].(string)
		in.kinds[choice.Class(name)] = max(span(kind, "op timeout"), span(kind, "target latency"))
		in.targets[choice.Class(name)] = span(kind, "target latency")
		in.repeats[choice.Class(name)] = kind["repeats"] == "retryable"
		in.keyed[choice.Class(name)] = kind["repeats"] == "keyed"
	}
	if tier, _ := told.Facts["tier"].(float64); tier > 0 {
		in.keys.calls = true
	}
	for _, tenant := range list(told.Facts, "tenants") {
		name, _ := tenant["name"].(string)
		in.tenants[choice.TenantID(name)] = true
	}
	// A quarter of the memory is for bodies in hand; the module's own bound is far below it where ops are large. An
	// eighth is for what was read and is not taken yet.
	in.most = buffers / 4
	room := roomOf(told.Sockets, taken()) // the runtime's two links are dialled too, and stand beside it
	in.database.most = room.calls
	// An eighth of the memory is for answers that nobody reads.
	in.net = &wire.Net{Buffers: in.pool, Hand: in.Hand, Read: in.HandRead, Accept: func(l *wire.Link) { in.stubs.Accept(l) }, Crowded: func() { in.stubs.MakeRoom() },
		Most: int64(room.stubs), Room: int64(room.all) + 2, Limit: told.Sockets, Unread: int64(told.MemoryMB*(1<<20)) / 8}
	if told.Callers != nil {
		in.door = identity.New(*told.Callers, in.Hand, func() (time.Duration, time.Time) { return in.Now(), in.Wall() })
		in.net.Tokens.Store(told.Callers.Keys != nil)
	}
	var door stubs.Door // nil, not a door that is nil
	if in.door != nil {
		door = in.door
	}
	in.stubs = stubs.New(in, in.Loop, in.net, door, span(told.Facts, "connections idle"))
	if err := in.net.Start(told.Listen); err != nil {
		return nil, err
	}
	if told.Secure != nil {
		secure := *told.Secure
		secure.Prove = in.door.Prove
		if err := in.net.StartSecure(secure); err != nil {
			return nil, err
		}
	}
	in.Hand(func() {
		in.connect()
		in.stubs.Sweep()
		in.reports()
	})
	return in, nil
}

// span is a told time, 0 if none was told.
func span(told choice.Settings, name string) time.Duration {
	x, _ := told[name].(time.Duration)
	return x
}

// list is a told list, empty if none was told.
func list(told choice.Settings, name string) []choice.Settings {
	x, _ := told[name].([]choice.Settings)
	return x
}

// Serve runs the owner loop until the instance has stopped.
func (in *Instance) Serve() {
	in.Loop.Run(func() {
		if in.touched && in.desk != nil {
			in.touched = false
			in.desk.Decide()
		}
		in.net.Flush()
	})
}

// op is one op in hand: from its reading until it is answered and its run is over.
type op struct {
	id      choice.RequestID
	kind    choice.Class
	subject string
	tenant  choice.TenantID // whose it is, by its caller's rights where these are known; empty where there are no tenants
	like    like
	kept    *kept // its key, once that is stored
	body    []byte
	owed    front.Owed // its one answer; nil once it is given or the caller has left
	run     *run
	ran     bool                                // it was started, whatever became of that
	sharing func(choice.Outcome, time.Duration) // waits for another's result
	since   time.Duration                       // when it began to wait
	came    time.Duration
	outside bool          // the module does not know of it: it waits at the door, or is elsewhere
	asked   *front.Ask    // as it came, less its body; nil where nothing is handed over
	due     time.Duration // with it
	handed  front.Op      // it is elsewhere
	pass    rights.Pass   // given back when the op is over
}

// Elsewhere is where an op may go that the module has turned away here. It belongs to the owner loop.
type Elsewhere interface {
	// Came tells that an op has come here.
	Came()
	// Take takes what is owed of an op, or gives nil if it does not, or has answered it at once. What is taken is answered by due.
	Take(ask front.Ask, due time.Duration, repeats bool, owed front.Owed) front.Op
	// Gone tells that nobody waits any more for one that was taken.
	Gone(front.Op)
}

// HandOver has ops that are turned away here go elsewhere where that takes them. It belongs to the time before Serve.
func (in *Instance) HandOver(to func(net *wire.Net) Elsewhere) {
	in.elsewhere = to(in.net)
	in.net.Passed.Store(true)
}

// Enter is front.Core: it takes an op from a front. What can't be taken is nacked at once: nothing is before the runtime has
// come up, nor under the id of an op in hand that came elsewhere: whose it is can't be told, and it never ran.
func (in *Instance) Enter(ask front.Ask, badge *identity.Badge, owed front.Owed) front.Op {
	// Danger: more bodies than there is memory for.
	if in.desk == nil || len(in.ops) >= in.most || in.ops[choice.RequestID(ask.ID)] != nil {
		owed.Refuse(in.with())
		owed.Settled()
		return nil
	}
	var o *op
	if in.door != nil {
		o = in.enter(badge, ask, owed)
	} else {
		o = in.admit(ask, owed, nil)
	}
	if o == nil || o.owed == nil {
		return nil
	}
	return o
}

// Attach starts a further front. It belongs to the time before Serve.
func (in *Instance) Attach(f front.Front) {
	in.fronts = append(in.fronts, f)
	f.Start()
}

// Gone is front.Core: nobody waits for an op any more.
func (in *Instance) Gone(x front.Op) {
	if o, is := x.(*op); is && o.owed != nil {
		in.gone(o)
	}
}

// Owes is stubs.Core: who is owed the answer of an op in hand.
func (in *Instance) Owes(id string) front.Owed {
	if o := in.ops[choice.RequestID(id)]; o != nil {
		return o.owed
	}
	return nil
}

// With is stubs.Core.
func (in *Instance) With() front.With { return in.with() }

// Load is front.Core: how the instance stands.
func (in *Instance) Load() front.Load {
	cores, _ := in.told.Facts["cores"].(float64)
	return front.Load{Up: in.desk != nil && in.runtime.synced, Leaving: in.leaving, Well: in.well(), Cores: cores,
		Held: len(in.ops) - in.running - in.away, Running: in.running, Room: in.most - len(in.ops), Signal: in.say, Idle: in.idle()}
}

// Figures is what has become of ops since the start.
type Figures struct {
	Done uint64        // acked, nacked or failed
	Well uint64        // acked in their target latency
	Took time.Duration // that all of them took, from reading to answer
}

// Figures gives what has become of ops.
func (in *Instance) Figures() Figures { return in.figures }

// count notes that an op is answered, if it still is owed that.
func (in *Instance) count(o *op, acked bool) {
	if o.owed == nil || o.came == 0 { // nobody waits
		return
	}
	took := in.Loop.Now() - o.came
	in.figures.Done++
	in.figures.Took += took
	if target := in.targets[o.kind]; acked && (target == 0 || took <= target) {
		in.figures.Well++
	}
}

// idle is how long nothing has been in hand.
func (in *Instance) idle() time.Duration {
	if len(in.ops) > 0 {
		return 0
	}
	return in.Loop.Now() - in.emptied
}

// admit hands an op to the module. before is the op as it waited at the door, nil if it did not.
func (in *Instance) admit(ask front.Ask, owed front.Owed, before *op) *op {
	lay := max(0, in.Wall().Sub(time.UnixMilli(ask.At)))
	code := in.unservable(ask)
	if code != "" || lay > longest(in.kinds[choice.Class(ask.Type)]) { // the second: long over, by a clock that is not ours
		if before == nil {
			before = in.take(ask, owed)
		}
		in.dismiss(before, func(w front.Owed) {
			if code != "" {
				w.Reject(code, in.with())
			} else {
				w.Refuse(in.with())
			}
		})
		return nil
	}
	o := before
	if o == nil {
		o = in.take(ask, owed)
	}
	o.outside = false
	o.tenant = choice.TenantID(ask.Tenant)
	if in.elsewhere != nil {
		in.remember(o, ask, lay)
	}
	o.like = in.keys.like(o, ask, in.keyed[o.kind])
	in.touched = true
	in.desk.Submit(choice.Request{ID: o.id, Class: o.kind, Rank: ask.Rank, IsWrite: ask.Subject == "",
		Resource: ask.Subject, Caller: choice.CallerID(ask.From), HasDeadline: ask.Waits,
		Deadline: in.Now() - lay + ask.Wait, WorkHint: ask.Cost, MemoryKB: ask.KB, QueueDelay: lay,
		Tenant: choice.TenantID(ask.Tenant), DuplicateOf: in.keys.repeated(o, in.Now()-lay)})
	return o
}

// remember keeps what it takes to ask for an op elsewhere.
func (in *Instance) remember(o *op, ask front.Ask, lay time.Duration) {
	in.elsewhere.Came()
	ask.Body = nil
	o.asked = &ask
	o.due = in.Loop.Now() - lay + in.kinds[o.kind]
	if ask.Waits {
		o.due = min(o.due, in.Loop.Now()-lay+ask.Wait)
	}
}

// hand gives an op that the module has turned away to another instance, and tells whether that has it now. The module is done with it.
func (in *Instance) hand(o *op) bool {
	// One that runs, or waits for another's result, or whose caller is known by his connection, stays.
	if o.asked == nil || o.owed == nil || o.run != nil || o.sharing != nil || in.leaving || in.door != nil && o.asked.Token == "" {
		return false
	}
	ask := *o.asked
	ask.Body = o.body
	in.keys.over(in, o, nil)
	o.outside, o.asked = true, nil
	in.away++
	h := &handed{in, o}
	o.handed = h // it is elsewhere before it may come back
	if taken := in.elsewhere.Take(ask, o.due, in.repeats[o.kind], h); taken != nil {
		o.handed = taken
		return true
	}
	if o.owed == nil { // it is answered
		return true
	}
	in.away--
	o.handed = nil
	return false
}

// handed is an op that is elsewhere: a front.Owed.
type handed struct {
	in *Instance
	o  *op
}

func (h *handed) Answer(result []byte, with front.With) {
	h.in.answer(h.o, func(w front.Owed) { w.Answer(result, h.in.with()) })
}
func (h *handed) Refuse(with front.With) {
	with.Say = h.in.say
	h.in.answer(h.o, func(w front.Owed) { w.Refuse(with) })
}
func (h *handed) Fail(front.With) {
	h.in.answer(h.o, func(w front.Owed) { w.Fail(h.in.with()) })
}
func (h *handed) Reject(code string, with front.With) {
	with.Say = h.in.say
	h.in.answer(h.o, func(w front.Owed) { w.Reject(code, with) })
}
func (h *handed) Settled() { h.in.back(h.o) }

// back forgets that an op is elsewhere.
func (in *Instance) back(o *op) {
	if o.handed != nil {
		o.handed = nil
		in.away--
		in.release(o)
	}
}

// take puts an op in the tables.
func (in *Instance) take(ask front.Ask, owed front.Owed) *op {
	o := &op{id: choice.RequestID(ask.ID), kind: choice.Class(ask.Type), subject: ask.Subject, owed: owed, came: in.Loop.Now(),
		body: append(in.pool.Take(), ask.Body...)}
	in.ops[o.id] = o
	return o
}

// mostTimeouts is how many op timeouts no stub would wait, nor any op lie or work: one is many times an op's work.
const mostTimeouts = 10

// longest is that time for one op timeout. Where none was told, or a huge one, it is a day: no caller waits so long, and a hundred
// thousand of them still add up without overflow.
func longest(timeout time.Duration) time.Duration {
	const day = 24 * time.Hour
	if timeout <= 0 || timeout > day/mostTimeouts {
		return day
	}
	return mostTimeouts * timeout
}

// unservable tells what makes an ask one that could never be served, whatever else is here. Danger: the module would
// learn from figures that nobody meant, or reckon with such as overflow.
func (in *Instance) unservable(ask front.Ask) string {
	kind, known := in.kinds[choice.Class(ask.Type)]
	switch {
	case !known:
		return "unknown-type"
	case len(in.tenants) > 0 && !in.tenants[choice.TenantID(ask.Tenant)]:
		return "unknown-tenant"
	case ask.KB <= 0 || ask.KB >= 2000 || ask.Rank < 0 || ask.Rank >= 1 || ask.From < 0 || ask.From > math.MaxInt32:
		return "out-of-range"
	case ask.Wait > longest(kind) || ask.Cost > longest(kind):
		return "out-of-range"
	}
	return ""
}

// gone hears that the caller of an op has given it up.
func (in *Instance) gone(o *op) {
	in.unowe(o)
	if o.handed != nil {
		in.elsewhere.Gone(o.handed)
		in.back(o)
		return
	}
	if o.outside { // the verdict finds it gone
		in.release(o)
		return
	}
	in.touched = true
	in.desk.Cancel(o.id)
	in.release(o)
}

// unowe ends the answer that is owed. Danger: whatever crosses, an op is answered once; who takes it off first is the one
// that answers.
func (in *Instance) unowe(o *op) {
	if w := o.owed; w != nil {
		o.owed = nil
		w.Settled()
		in.keys.settled(o)
	}
}

// answer sends the one answer, if it is still owed.
func (in *Instance) answer(o *op, send func(front.Owed)) {
	if w := o.owed; w != nil {
		send(w)
		in.unowe(o)
	}
}

func (in *Instance) with() front.With { return front.With{Say: in.say} }

// release forgets an op that nothing is owed to any more and that does not run.
func (in *Instance) release(o *op) {
	if o.owed != nil || o.run != nil || o.handed != nil || in.ops[o.id] != o {
		return
	}
	delete(in.ops, o.id)
	if len(in.ops) == 0 {
		in.emptied = in.Loop.Now()
	}
	in.pool.Give(o.body)
	o.body = nil
	if in.door != nil {
		in.door.Give(&o.pass)
	}
	if !o.outside {
		in.keys.over(in, o, nil)
	}
}

// The rest is choice.Port.

// Now is the module's time. While the module opens, it is as much earlier as the runtime is older than we are.
func (in *Instance) Now() time.Duration { return in.Loop.Now() - in.early }

func (in *Instance) Start(id choice.RequestID, atCall func(), ended func(choice.Outcome, time.Duration)) {
	if o := in.ops[id]; o != nil {
		o.run, o.ran = &run{atCall: atCall, ended: ended}, true
		in.running++
		if in.runtime.synced {
			in.runtime.conn.Start(id, o.kind, o.body)
		}
	}
}

func (in *Instance) Stop(id choice.RequestID) {
	if o := in.ops[id]; o != nil && o.run != nil {
		o.run.stop = true
		if in.runtime.synced {
			in.runtime.conn.Stop(id)
		}
	}
}

func (in *Instance) Reject(id choice.RequestID, stayAway time.Duration, nowhereElse bool) {
	if o := in.ops[id]; o != nil {
		if in.elsewhere != nil && !nowhereElse && in.hand(o) {
			return
		}
		in.count(o, false)
		with := in.with()
		with.After, with.Last = stayAway, nowhereElse
		in.answer(o, func(w front.Owed) { w.Refuse(with) })
		in.release(o)
	}
}

func (in *Instance) Fail(id choice.RequestID) {
	if o := in.ops[id]; o != nil {
		in.count(o, false)
		in.answer(o, func(w front.Owed) { w.Fail(in.with()) })
		in.release(o)
	}
}

func (in *Instance) Call(id choice.RequestID, until time.Duration, done func(choice.Outcome, time.Duration)) {
	if o := in.ops[id]; o != nil && o.run != nil && o.run.wants != 0 {
		in.database.call(in, o, until, done)
	}
}

func (in *Instance) SkipCall(id choice.RequestID) {
	if o := in.ops[id]; o != nil && o.run != nil && o.run.wants != 0 {
		o.run.omit = o.run.wants
		if in.runtime.synced {
			in.runtime.conn.Omit(id, o.run.omit)
		}
	}
}

func (in *Instance) Coalesce(id choice.RequestID, ended func(choice.Outcome, time.Duration)) {
	if o := in.ops[id]; o != nil {
		o.sharing, o.since = ended, in.Now()
		in.keys.share(in, o)
	}
}

func (in *Instance) KeepRecord(id choice.RequestID, span time.Duration) {
	if o := in.ops[id]; o != nil {
		in.keys.keep(in, o, span)
	}
}

func (in *Instance) DropRecord(id choice.RequestID) {
	if o := in.ops[id]; o != nil {
		in.keys.drop(o.kept)
	}
}

func (in *Instance) SetHealth(good, fromState bool) {
	in.health.good, in.health.fromState = good, fromState
}
func (in *Instance) PublishLoad(level float64)         { in.say = level }
func (in *Instance) SetIdleTimeout(span time.Duration) { in.stubs.IdleFor(span) }
func (in *Instance) LogTransition(line string)         { slog.Info("note", "text", line) }

func (in *Instance) WakeAt(at time.Duration, then func(map[string]float64)) {
	in.At(at, func() {
		in.touched = true // what is due is answered in this batch, whatever becomes of the gauges
		in.look(then)
	})
}

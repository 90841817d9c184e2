// Package relay passes ops on: it takes them by the client stubs' protocol, gives each to one of many members, and owes the one final
// answer. It holds nothing beside what is in hand. Who gets an op, and whether another is asked, is decided by internal/spread.
package relay

import (
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"time"

	"lanewheel/choice"
	"lanewheel/internal/front"
	"lanewheel/internal/identity"
	"lanewheel/internal/keep"
	"lanewheel/internal/loop"
	"lanewheel/internal/members"
	"lanewheel/internal/spread"
	"lanewheel/internal/stubs"
	"lanewheel/internal/wire"
)

// Told is what a relay goes by beside the platform's configuration.
type Told struct {
	Spread      spread.Told
	Asks        float64       // members asked for their load, an op
	Most        int           // ops in hand
	Connections int           // to one member
	Subset      int           // members that it keeps to; 0 for all
	Unused      time.Duration // a connection to a member that carries nothing for so long is closed
	Grace       time.Duration // after the notice to leave, until nothing new is passed on
	From        string        // address to dial from, empty for any
	After       time.Duration // told to who is turned away because nobody is there, 0 for nothing
}

// Ask asks a member how it stands; then may never be called, or on any goroutine.
type Ask func(name members.Name, then func(load float64, age time.Duration))

// Relay is one process that passes ops on. All of it belongs to its loop.
type Relay struct {
	*loop.Loop
	told           Told
	config         keep.Told
	net            *wire.Net
	pool           *keep.Pool
	stubs          *stubs.Front
	chooser        *spread.Chooser
	chance         *rand.Rand
	ask            Ask
	asks           float64
	kinds          map[string]kind
	members        map[spread.Name]*member
	ops            map[string]*op
	fronts         []front.Front
	roster         *wire.Roster
	seen           *members.View
	names          []spread.Name // members, deciders and our subset, as last worked out
	deciders, mine []spread.Name
	leaving        bool
	until          time.Duration // when it leaves: from then on nothing new is passed on
	Counts         Counts
}

// Counts is what became of ops, since the start.
type Counts struct{ Asked, Served, Refused, Failed, Lost, Again, Late, Nobody uint64 }

type kind struct {
	repeats bool
	timeout time.Duration
}

// member is one whom ops are given to, with the connections there.
type member struct {
	name  spread.Name
	addr  string
	conns []*conn
}

// conn is one connection to a member.
type conn struct {
	r      *Relay
	m      *member
	client *wire.Client
	stands bool
	closes bool // nothing new goes on it
	next   uint32
	open   map[uint32]*op
	waits  []*op // until it stands
	used   time.Duration
}

// op is one op in hand.
type op struct {
	r       *Relay
	id      string // its caller's
	ask     front.Ask
	owed    front.Owed // nil once it is answered or nobody waits
	came    time.Duration
	due     time.Duration
	repeats bool
	tries   int
	tried   [4]spread.Name
	at      *conn
	n       uint32
	sent    bool
	sentAt  time.Duration
	timer   *loop.Timer
}

// Open makes a relay that listens. Of the platform's configuration it takes what an instance would, less the runtime and the database.
func Open(config keep.Told, told Told, ask Ask) (*Relay, error) {
	buffers := int(config.MemoryMB*(1<<20)) / wire.BufferSize
	told.Most = min(told.Most, buffers/4) // a quarter of the memory is for bodies in hand, as in an instance
	r := &Relay{Loop: loop.New(buffers / 8), told: told, config: config, pool: &keep.Pool{}, chooser: spread.New(told.Spread),
		chance: rand.New(rand.NewPCG(config.Seed, 3)), ask: ask, kinds: map[string]kind{}, members: map[spread.Name]*member{}, ops: map[string]*op{}}
	types, _ := config.Facts["op types"].([]choice.Facts)
	for _, t := range types {
		name, _ := t["name"].(string)
		timeout, _ := t["op timeout"].(time.Duration)
		target, _ := t["target latency"].(time.Duration)
		r.kinds[name] = kind{t["repeats"] == "retryable", max(timeout, target)}
	}
	r.net = &wire.Net{Buffers: r.pool, Hand: r.Hand, Read: r.HandRead, Accept: func(l *wire.Link) { r.stubs.Accept(l) }, Crowded: func() { r.stubs.MakeRoom() },
		Most: int64(config.Sockets) / 2, Unread: int64(config.MemoryMB*(1<<20)) / 8}
	if told.From != "" {
		r.net.From = net.ParseIP(told.From)
	}
	r.net.Tokens.Store(true) // who calls is the instance's to judge; a relay passes on what is brought
	idle, _ := config.Facts["connections idle"].(time.Duration)
	r.stubs = stubs.New(r, r.Loop, r.net, nil, idle)
	if err := r.net.Start(config.Listen); err != nil {
		return nil, err
	}
	r.Hand(func() {
		r.stubs.Sweep()
		r.sweep()
		r.report()
	})
	return r, nil
}

// Attach starts what works beside the loop. It belongs to the time before Serve.
func (r *Relay) Attach(f front.Front) {
	r.fronts = append(r.fronts, f)
	f.Start()
}

// Serve runs the loop until the relay has left.
func (r *Relay) Serve() { r.Run(r.net.Flush) }

// See takes a view of the fleet. deciders are those that share the members with us, ourselves among them.
func (r *Relay) See(v *members.View) {
	r.seen = v
	var all []spread.Member
	addrs := map[spread.Name]string{}
	var names, deciders []spread.Name
	deciders = append(deciders, spread.Name(v.Self.Name))
	for m := range v.All() {
		switch {
		case m.Roles&members.Relay != 0 && m.State.Here():
			deciders = append(deciders, spread.Name(m.Name))
		case m.Roles&members.Instance != 0 && m.Serves != "" && (m.State.Here() || m.State == members.Suspect && m.Why != members.Flapping && !v.Standing.Judges()):
			// Cut off, we know no better than before: who was there is still tried. Else a suspect gets nothing.
			x := spread.Member{Name: spread.Name(m.Name), Zone: m.Zone, Capacity: m.Capacity, Warm: m.Warm, Cold: m.Cold(v.At), Doubted: m.State == members.Suspect}
			all = append(all, x)
			names = append(names, x.Name)
			addrs[x.Name] = m.Serves
		}
	}
	if k := r.told.Subset; k > 0 && k < len(names) {
		mine := map[spread.Name]bool{}
		// Danger: it is worked out for the whole fleet, so only when somebody came or went.
		if !slices.Equal(names, r.names) || !slices.Equal(deciders, r.deciders) {
			r.names, r.deciders = names, deciders
			r.mine = spread.Subsets(deciders, names, k)[spread.Name(v.Self.Name)]
		}
		for _, n := range r.mine {
			mine[n] = true
		}
		kept := all[:0]
		for _, m := range all {
			if mine[m.Name] {
				kept = append(kept, m)
			}
		}
		all = kept
	}
	r.chooser.Set(r.Now(), all)
	stay := map[spread.Name]bool{}
	for _, x := range all {
		stay[x.Name] = true
		m := r.members[x.Name]
		if m != nil && m.addr != addrs[x.Name] { // a later life elsewhere
			r.drop(m)
			m = nil
		}
		if m == nil {
			r.members[x.Name] = &member{name: x.Name, addr: addrs[x.Name]}
		}
	}
	for name, m := range r.members {
		if !stay[name] {
			r.drop(m)
		}
	}
}

// drop gives nothing new to a member; what it has in hand it may still answer.
func (r *Relay) drop(m *member) {
	delete(r.members, m.name)
	for _, c := range m.conns {
		c.part()
	}
}

// Owes is stubs.Core.
func (r *Relay) Owes(id string) front.Owed {
	if o := r.ops[id]; o != nil {
		return o.owed
	}
	return nil
}

// With is stubs.Core: a relay has no signal of its own.
func (r *Relay) With() front.With { return front.With{Say: -1} }

// Check is stubs.Core: all is well while somebody is there to pass to.
func (r *Relay) Check(deep bool, then func(bool)) { then(r.chooser.Len() > 0 && !r.leaving) }

// Load is front.Core.
func (r *Relay) Load() front.Load {
	return front.Load{Up: r.chooser.Len() > 0, Leaving: r.leaving, Well: r.chooser.Len() > 0, Running: len(r.ops), Room: r.told.Most - len(r.ops), Signal: -1}
}

// Enter is front.Core.
func (r *Relay) Enter(ask front.Ask, _ *identity.Badge, owed front.Owed) front.Op {
	r.Counts.Asked++
	k, known := r.kinds[ask.Type]
	switch {
	case !known:
		owed.Reject("unknown-type", r.With())
		owed.Settled()
		return nil
	// Danger: more bodies than there is memory for; and one id in hand twice, of which nobody could tell whose the answer is.
	case len(r.ops) >= r.told.Most || r.ops[ask.ID] != nil || r.leaving && r.Now() >= r.until:
		r.Counts.Refused++
		owed.Refuse(r.With())
		owed.Settled()
		return nil
	}
	lay := max(0, r.Wall().Sub(time.UnixMilli(ask.At)))
	o := &op{r: r, id: ask.ID, ask: ask, owed: owed, came: r.Now(), due: r.Now() - lay + k.timeout, repeats: k.repeats}
	if ask.Waits {
		o.due = min(o.due, r.Now()-lay+ask.Wait)
	}
	o.ask.Body = append(r.pool.Take(), ask.Body...)
	r.ops[ask.ID] = o
	// Danger: a member that never answers. The op is answered when its time is up, whatever becomes of it below.
	o.timer = r.At(max(r.Now(), o.due), o.late)
	r.give(o)
	if o.owed == nil {
		return nil
	}
	return o
}

// Gone is front.Core: nobody waits any more.
func (r *Relay) Gone(x front.Op) {
	if o, is := x.(*op); is && o.owed != nil {
		w := o.owed
		o.owed = nil
		w.Settled()
		o.leave()
		o.over()
	}
}

// give gives an op to the next member.
func (r *Relay) give(o *op) {
	i, any := r.chooser.Pick(r.Now(), r.chance.Float64, func(i int) bool {
		n := r.chooser.At(i)
		for k := range min(o.tries, len(o.tried)) {
			if o.tried[k] == n {
				return true
			}
		}
		return false
	})
	if !any {
		r.Counts.Nobody++
		with := r.With()
		with.After = r.told.After
		o.end(func(w front.Owed) { w.Refuse(with) }) // it ran nowhere: each try before proved that
		return
	}
	m := r.members[r.chooser.At(i)]
	c := m.conn(r)
	if c == nil { // all its connections are full: it has more from us than it should
		r.chooser.Sent(r.Now(), i)
		r.tried(o, m.name)
		r.ended(o, m.name, wire.Outcome{Error: "Busy", With: r.With()}, spread.Refused, true)
		return
	}
	r.chooser.Sent(r.Now(), i)
	r.tried(o, m.name)
	o.at = c
	c.used = r.Now()
	if c.stands {
		c.send(o)
	} else {
		c.waits = append(c.waits, o)
	}
	for r.asks += r.told.Asks; r.asks >= 1; r.asks-- {
		r.query()
	}
}

func (r *Relay) tried(o *op, n spread.Name) {
	if o.tries < len(o.tried) {
		o.tried[o.tries] = n
	}
	o.tries++
	o.sent = false
	o.sentAt = r.Now()
}

// query asks one member how it stands.
func (r *Relay) query() {
	i, any := r.chooser.Ask(r.Now(), r.chance.Float64)
	if !any || r.ask == nil {
		return
	}
	name := r.chooser.At(i)
	r.ask(members.Name(name), func(load float64, age time.Duration) {
		r.Hand(func() {
			if i, still := r.chooser.Place(name); still {
				r.chooser.Asked(r.Now(), i, load, age)
			}
		})
	})
}

// ended hears how a try of an op ended, and answers or has another member asked.
func (r *Relay) ended(o *op, n spread.Name, a wire.Outcome, what spread.Outcome, unsent bool) {
	r.chooser.Ended(r.Now(), n, what, r.Now()-o.sentAt)
	o.at = nil
	if o.owed == nil {
		o.over()
		return
	}
	if r.chooser.Next(r.Now(), spread.Try{Due: o.due, Tries: o.tries, Repeats: o.repeats}, what, unsent, a.With.Last) == spread.Again {
		r.Counts.Again++
		// Each try has an id of its own, as the protocol wants it: an instance can't tell two tries of one op in hand apart.
		o.ask.ID = fmt.Sprintf("%016x", r.chance.Uint64())
		r.give(o)
		return
	}
	switch {
	case a.Error == "" && what == spread.Served:
		r.Counts.Served++
		o.end(func(w front.Owed) { w.Answer(a.Result, a.With) })
	case what == spread.Refused || unsent:
		r.Counts.Refused++
		o.end(func(w front.Owed) { w.Refuse(a.With) })
	case a.Error == "Denied":
		o.end(func(w front.Owed) { w.Reject("denied", a.With) })
	default:
		if r.Counts.Failed++; what == spread.Lost {
			r.Counts.Lost++
		}
		o.end(func(w front.Owed) { w.Fail(a.With) })
	}
}

// late answers an op whose time is up. Where nothing of it went out, it never ran.
func (o *op) late() {
	if o.owed == nil {
		return
	}
	o.r.Counts.Late++
	with := o.r.With()
	if o.at != nil && !o.sent {
		o.end(func(w front.Owed) { w.Refuse(with) })
	} else {
		o.end(func(w front.Owed) { w.Fail(with) })
	}
	o.leave()
	o.over()
}

// end gives the one answer, if it is still owed.
func (o *op) end(send func(front.Owed)) {
	if w := o.owed; w != nil {
		o.owed = nil
		send(w)
		w.Settled()
	}
	if o.at == nil {
		o.over()
	}
}

// leave tells the member that nobody waits any more, and takes the op off the connection.
func (o *op) leave() {
	c := o.at
	if c == nil {
		return
	}
	o.at = nil
	// Danger: a member that takes ops and answers none looks idle. What was given up at its due time there counts against it.
	what := spread.Lost
	if o.r.Now() < o.due {
		what = spread.Served // its caller left; that says nothing of the member
	}
	if o.sent {
		delete(c.open, o.n)
		c.client.Interrupt(o.n)
	} else {
		for i, w := range c.waits {
			if w == o {
				c.waits = append(c.waits[:i], c.waits[i+1:]...)
				break
			}
		}
	}
	if what == spread.Lost {
		o.r.chooser.Ended(o.r.Now(), c.m.name, what, 0)
	} else {
		o.r.chooser.Left(c.m.name)
	}
	c.leaveIfDone()
}

// over forgets an op that is answered and nowhere any more.
func (o *op) over() {
	if o.owed != nil || o.at != nil || o.ask.Body == nil {
		return
	}
	o.timer.Drop()
	delete(o.r.ops, o.id)
	o.r.pool.Give(o.ask.Body)
	o.ask.Body = nil
}

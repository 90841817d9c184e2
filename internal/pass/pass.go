// Package pass gives ops to other processes of the fleet and tells what became of each, once and by its due time. A relay passes on all that
// it takes, an instance what it turns away. Who gets an op, and whether another is asked, is decided by internal/spread.
package pass

import (
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"time"

	"lanewheel/internal/front"
	"lanewheel/internal/loop"
	"lanewheel/internal/members"
	"lanewheel/internal/spread"
	"lanewheel/internal/wire"
)

// Told is what passing goes by.
type Told struct {
	Spread      spread.Config
	Asks        float64       // members asked for their load, an op
	Connections int           // to one member
	Subset      int           // members that are kept to; 0 for all
	Unused      time.Duration // a connection to a member that carries nothing for so long is closed
	From        string        // address to dial from, empty for any
}

// Source is the address to dial from, nil for any.
func (t Told) Source() net.IP { return net.ParseIP(t.From) }

// Ask asks a member how it stands; then may never be called, or on any goroutine.
type Ask func(name members.Name, then func(load float64, age time.Duration))

// Passer is one process's way to the others. All of it belongs to its owner's loop.
type Passer struct {
	loop    *loop.Loop
	net     *wire.Net
	told    Told
	Chooser *spread.Balancer
	chance  *rand.Rand
	ask     Ask
	asks    float64
	members map[spread.EndpointName]*member
	names   []spread.EndpointName // members, deciders and our subset, as last worked out
	among   []spread.EndpointName
	mine    []spread.EndpointName
	Again   uint64 // further tries, since the start
}

// member is one whom ops are given to, with the connections there.
type member struct {
	name  spread.EndpointName
	addr  string
	conns []*conn
}

// Ended is what became of an op that was passed on.
type Ended struct {
	What   spread.Outcome
	Unsent bool // nothing of it went out to who had it last, and each before proved that it never ran
	Nobody bool // there was nobody to give it to
	Late   bool // its time was up
	wire.Response
}

// Ran tells whether it may have run.
func (e Ended) Ran() bool { return e.What != spread.Rejected && !e.Unsent && !e.Nobody }

// Op is one op on its way.
type Op struct {
	p       *Passer
	ask     front.Request
	due     time.Duration
	repeats bool
	most    int
	tries   int
	tried   [4]spread.EndpointName
	at      *conn
	n       uint32
	sent    bool
	sentAt  time.Duration
	timer   *loop.Timer
	done    func(Ended) // nil once it was called or nobody waits
}

// New makes a passer that knows nobody. It dials by net and has l's time.
func New(l *loop.Loop, net *wire.Net, told Told, seed uint64, ask Ask) *Passer {
	return &Passer{loop: l, net: net, told: told, Chooser: spread.New(told.Spread), chance: rand.New(rand.NewPCG(seed, 3)), ask: ask, members: map[spread.EndpointName]*member{}}
}

// Start begins to look after connections that carry nothing.
func (p *Passer) Start() { p.sweep() }

// See takes a view of the fleet. Of its deciders, those in the same role as us share the members with us.
func (p *Passer) See(v *members.View, role members.Roles) {
	var all []spread.Endpoint
	addrs := map[spread.EndpointName]string{}
	var names, deciders []spread.EndpointName
	deciders = append(deciders, spread.EndpointName(v.Self.Name))
	for m := range v.All() {
		if m.Roles&role != 0 && m.State.Available() {
			deciders = append(deciders, spread.EndpointName(m.Name))
		}
		// Cut off, we know no better than before: who was there is still tried. Else a suspect gets nothing.
		if m.Roles&members.RoleServer != 0 && m.ServiceAddr != "" && (m.State.Available() || m.State == members.StateSuspect && m.Reason != members.ReasonFlapping && !v.LocalHealth.CanDeclareGone()) {
			x := spread.Endpoint{Name: spread.EndpointName(m.Name), Zone: m.Zone, Capacity: m.Capacity, WarmUp: m.WarmUp, WarmUpRemaining: m.WarmUpRemaining(v.PublishedAt), Suspect: m.State == members.StateSuspect}
			all = append(all, x)
			names = append(names, x.Name)
			addrs[x.Name] = m.ServiceAddr
		}
	}
	if k := p.told.Subset; k > 0 && k < len(names) {
		mine := map[spread.EndpointName]bool{}
		// Danger: it is worked out for the whole fleet, so only when somebody came or went.
		if !slices.Equal(names, p.names) || !slices.Equal(deciders, p.among) {
			p.names, p.among = names, deciders
			p.mine = spread.Subsets(deciders, names, k)[spread.EndpointName(v.Self.Name)]
		}
		for _, n := range p.mine {
			mine[n] = true
		}
		all = slices.DeleteFunc(all, func(m spread.Endpoint) bool { return !mine[m.Name] })
	}
	p.Chooser.SetEndpoints(p.loop.Now(), all)
	stay := map[spread.EndpointName]bool{}
	for _, x := range all {
		stay[x.Name] = true
		m := p.members[x.Name]
		if m != nil && m.addr != addrs[x.Name] { // a later life elsewhere
			p.drop(m)
			m = nil
		}
		if m == nil {
			p.members[x.Name] = &member{name: x.Name, addr: addrs[x.Name]}
		}
	}
	for name, m := range p.members {
		if !stay[name] {
			p.drop(m)
		}
	}
}

// drop gives nothing new to a member; what it has in hand it may still answer.
func (p *Passer) drop(m *member) {
	delete(p.members, m.name)
	for _, c := range m.conns {
		c.part()
	}
}

// Give passes an op on, to the most members told one after the other, and calls done once, by its due time; done may be called before Give
// returns. What ask.Body points to is copied.
func (p *Passer) Give(ask front.Request, due time.Duration, repeats bool, most int, done func(Ended)) *Op {
	o := p.op(ask, due, repeats, most, done)
	p.give(o)
	return o
}

// GiveTo passes an op on to one member and no other.
func (p *Passer) GiveTo(place int, ask front.Request, due time.Duration, repeats bool, done func(Ended)) *Op {
	o := p.op(ask, due, repeats, 1, done)
	p.to(o, place)
	return o
}

func (p *Passer) op(ask front.Request, due time.Duration, repeats bool, most int, done func(Ended)) *Op {
	o := &Op{p: p, ask: ask, due: due, repeats: repeats, most: most, done: done}
	o.ask.Body = append(p.net.Get(), ask.Body...)
	// The sign that travels down: who gets an op that was passed on leaves second tries to those above it.
	o.ask.Hops++
	// Danger: a member that never answers. The op is answered when its time is up, whatever becomes of it below.
	o.timer = p.loop.ScheduleAt(max(p.loop.Now(), due), o.Late)
	return o
}

// give gives an op to the next member.
func (p *Passer) give(o *Op) {
	i, any := p.Chooser.Pick(p.loop.Now(), p.chance.Float64, func(i int) bool {
		n := p.Chooser.NameAt(i)
		for k := range min(o.tries, len(o.tried)) {
			if o.tried[k] == n {
				return true
			}
		}
		return false
	})
	if !any {
		o.end(Ended{What: spread.Rejected, Nobody: true, Response: wire.Response{Error: "Busy", Metadata: front.ResponseMetadata{LoadReport: -1}}}) // each try before proved that it never ran
		return
	}
	p.to(o, i)
	for p.asks += p.told.Asks; p.asks >= 1; p.asks-- {
		p.Query()
	}
}

// to gives an op to the member at a place.
func (p *Passer) to(o *Op, i int) {
	m := p.members[p.Chooser.NameAt(i)]
	p.Chooser.RecordStart(p.loop.Now(), i)
	if o.tries < len(o.tried) {
		o.tried[o.tries] = m.name
	}
	o.tries++
	o.sent = false
	o.sentAt = p.loop.Now()
	c := m.conn(p)
	if c == nil { // all its connections are full: it has more from us than it should
		p.ended(o, m.name, busy, spread.Rejected, true)
		return
	}
	o.at = c
	c.used = p.loop.Now()
	if c.stands {
		c.send(o)
	} else {
		c.waits = append(c.waits, o)
	}
}

var busy, lost = wire.Response{Error: "Busy", Metadata: front.ResponseMetadata{LoadReport: -1}}, wire.Response{Error: "Failed", Metadata: front.ResponseMetadata{LoadReport: -1}}

// Chance draws a number from 0 to 1.
func (p *Passer) Chance() float64 { return p.chance.Float64() }

// Query asks one member how it stands.
func (p *Passer) Query() {
	i, any := p.Chooser.PickProbe(p.loop.Now(), p.chance.Float64)
	if !any || p.ask == nil {
		return
	}
	name := p.Chooser.NameAt(i)
	p.ask(members.Name(name), func(load float64, age time.Duration) {
		p.loop.Post(func() {
			if i, still := p.Chooser.IndexOf(name); still {
				p.Chooser.RecordProbe(p.loop.Now(), i, load, age)
			}
		})
	})
}

// ended hears how a try of an op ended, and tells it or has another member asked.
func (p *Passer) ended(o *Op, n spread.EndpointName, a wire.Response, what spread.Outcome, unsent bool) {
	p.Chooser.RecordOutcome(p.loop.Now(), n, what, p.loop.Now()-o.sentAt)
	o.at = nil
	if o.done == nil {
		o.over()
		return
	}
	if p.Chooser.DecideRetry(p.loop.Now(), spread.Attempt{Deadline: o.due, Made: o.tries, Max: o.most, Idempotent: o.repeats, Forwarded: o.ask.Hops > 1}, what, unsent, a.Metadata.NoFailover) == spread.RetryElsewhere {
		p.Again++
		// Each try has an id of its own, as the protocol wants it: an instance can't tell two tries of one op in hand apart.
		o.ask.ID = fmt.Sprintf("%016x", p.chance.Uint64())
		p.give(o)
		return
	}
	o.end(Ended{What: what, Unsent: unsent, Response: a})
}

// Late ends an op whose time is up, or for which there is no more time.
func (o *Op) Late() {
	if o.done == nil {
		return
	}
	unsent := o.at != nil && !o.sent
	o.leave(spread.NoResponse)
	o.end(Ended{What: spread.NoResponse, Unsent: unsent, Late: true, Response: lost})
}

// Gone tells that nobody waits any more.
func (o *Op) Gone() {
	if o.done == nil {
		return
	}
	o.done = nil
	// Danger: a member that takes ops and answers none looks idle. What is given up at its due time there counts against it; before that
	// it says nothing.
	what := spread.Succeeded
	if o.p.loop.Now() >= o.due {
		what = spread.NoResponse
	}
	o.leave(what)
	o.over()
}

// end tells what became of it, once.
func (o *Op) end(e Ended) {
	done := o.done
	o.done = nil
	if done != nil {
		done(e)
	}
	o.over()
}

// leave tells the member that nobody waits any more, and takes the op off the connection. What is not lost there counts as nothing.
func (o *Op) leave(what spread.Outcome) {
	c := o.at
	if c == nil {
		return
	}
	o.at = nil
	if o.sent {
		delete(c.open, o.n)
		c.client.Cancel(o.n)
	} else if i := slices.Index(c.waits, o); i >= 0 {
		c.waits = slices.Delete(c.waits, i, i+1)
	}
	if what == spread.NoResponse {
		o.p.Chooser.RecordOutcome(o.p.loop.Now(), c.m.name, what, 0)
	} else {
		o.p.Chooser.RecordCancel(c.m.name)
	}
	c.leaveIfDone()
}

// over forgets an op that is told of and nowhere any more.
func (o *Op) over() {
	if o.done != nil || o.at != nil || o.ask.Body == nil {
		return
	}
	o.timer.Stop()
	o.p.net.Put(o.ask.Body)
	o.ask.Body = nil
}

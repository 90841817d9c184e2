// Package relay passes ops on: it takes them by the client stubs' protocol, gives each to one of many members, and owes the one final
// answer. It holds nothing beside what is in hand. Who gets an op, and whether another is asked, is decided by internal/spread.
package relay

import (
	"log/slog"
	"maps"
	"slices"
	"time"

	"lanewheel/choice"
	"lanewheel/internal/front"
	"lanewheel/internal/identity"
	"lanewheel/internal/keep"
	"lanewheel/internal/loop"
	"lanewheel/internal/members"
	"lanewheel/internal/pass"
	"lanewheel/internal/spread"
	"lanewheel/internal/stubs"
	"lanewheel/internal/wire"
)

// Told is what a relay goes by beside the platform's configuration.
type Told struct {
	pass.Config
	Most  int           // ops in hand
	Grace time.Duration // after the notice to leave, until nothing new is passed on
	After time.Duration // told to who is turned away because nobody is there, 0 for nothing
}

// Relay is one process that passes ops on. All of it belongs to its loop.
type Relay struct {
	*loop.Loop
	told    Told
	config  keep.Config
	net     *wire.Net
	pool    *keep.BufferPool
	stubs   *stubs.Frontend
	passer  *pass.Forwarder
	kinds   map[string]kind
	ops     map[string]*op
	fronts  []front.Frontend
	roster  *wire.Registry
	leaving bool
	until   time.Duration // when it leaves: from then on nothing new is passed on
	Counts  Counts
}

// Counts is what became of ops, since the start.
type Counts struct{ Asked, Served, Refused, Failed, Lost, Late, Nobody uint64 }

type kind struct {
	repeats bool
	timeout time.Duration
}

// op is one op in hand.
type op struct {
	r    *Relay
	id   string          // its caller's
	owed front.Responder // nil once it is answered or nobody waits
	way  *pass.Request
}

// Open makes a relay that listens. Of the platform's configuration it takes what an instance would, less the runtime and the database.
func Open(config keep.Config, told Told, ask pass.ProbeFunc) (*Relay, error) {
	buffers := int(config.MemoryMB*(1<<20)) / wire.BufferSize
	told.Most = min(told.Most, buffers/4) // a quarter of the memory is for bodies in hand, as in an instance
	r := &Relay{Loop: loop.New(buffers / 8), told: told, config: config, pool: &keep.BufferPool{}, kinds: map[string]kind{}, ops: map[string]*op{}}
	types, _ := config.Settings["op types"].([]choice.Settings)
	for _, t := range types {
		name, _ := t["name"].(string)
		timeout, _ := t["op timeout"].(time.Duration)
		target, _ := t["target latency"].(time.Duration)
		r.kinds[name] = kind{t["repeats"] == "retryable", max(timeout, target)}
	}
	r.net = &wire.Net{BufferPool: r.pool, Post: r.Post, PostRead: r.PostBlocking, OnAccept: func(l *wire.Conn) { r.stubs.Accept(l) }, OnFull: func() { r.stubs.EvictIdle() },
		MaxAccepted: int64(config.MaxDescriptors) / 2, MaxDescriptors: config.MaxDescriptors, MaxUnread: int64(config.MemoryMB*(1<<20)) / 8, LocalIP: told.LocalIP()}
	r.net.ReadTokens.Store(true) // who calls is the instance's to judge; a relay passes on what is brought
	r.net.ReadHops.Store(true)
	r.passer = pass.New(r.Loop, r.net, told.Config, config.Seed, ask)
	idle, _ := config.Settings["connections idle"].(time.Duration)
	r.stubs = stubs.New(r, r.Loop, r.net, nil, idle)
	if err := r.net.Start(config.ListenAddr); err != nil {
		return nil, err
	}
	r.Post(func() {
		r.stubs.Sweep()
		r.passer.Start()
		r.report()
	})
	return r, nil
}

// Attach starts what works beside the loop. It belongs to the time before Serve.
func (r *Relay) Attach(f front.Frontend) {
	r.fronts = append(r.fronts, f)
	f.Start()
}

// Serve runs the loop until the relay has left.
func (r *Relay) Serve() { r.Run(r.net.Flush) }

// See takes a view of the fleet.
func (r *Relay) See(v *members.View) { r.passer.UpdateView(v, members.RoleProxy) }

// known is how many members there are to pass to.
func (r *Relay) known() int { return r.passer.Balancer.Len() }

// ResponderOf is stubs.Core.
func (r *Relay) ResponderOf(id string) front.Responder {
	if o := r.ops[id]; o != nil {
		return o.owed
	}
	return nil
}

// ResponseMetadata is stubs.Core: a relay has no signal of its own.
func (r *Relay) ResponseMetadata() front.ResponseMetadata {
	return front.ResponseMetadata{LoadReport: -1}
}

// CheckHealth is stubs.Core: all is well while somebody is there to pass to.
func (r *Relay) CheckHealth(deep bool, then func(bool)) { then(r.known() > 0 && !r.leaving) }

// Load is front.Core.
func (r *Relay) Load() front.Load {
	return front.Load{Ready: r.known() > 0, Draining: r.leaving, Healthy: r.known() > 0, Running: len(r.ops), FreeCapacity: r.told.Most - len(r.ops), LoadReport: -1}
}

// Submit is front.Core.
func (r *Relay) Submit(ask front.Request, _ *identity.Credential, owed front.Responder) front.Handle {
	r.Counts.Asked++
	k, known := r.kinds[ask.Class]
	switch {
	case !known:
		owed.RejectPermanently("unknown-type", r.ResponseMetadata())
		owed.Done()
		return nil
	// Danger: more bodies than there is memory for; and one id in hand twice, of which nobody could tell whose the answer is.
	case len(r.ops) >= r.told.Most || r.ops[ask.ID] != nil || r.leaving && r.Now() >= r.until:
		r.Counts.Refused++
		owed.Reject(r.ResponseMetadata())
		owed.Done()
		return nil
	}
	lay := max(0, r.WallTime().Sub(time.UnixMilli(ask.SentUnixMilli)))
	due := r.Now() - lay + k.timeout
	if ask.HasTimeout {
		due = min(due, r.Now()-lay+ask.Timeout)
	}
	o := &op{r: r, id: ask.ID, owed: owed}
	r.ops[ask.ID] = o
	o.way = r.passer.Forward(ask, due, k.repeats, mostTries, o.ended)
	if o.owed == nil {
		return nil
	}
	return o
}

// mostTries is how many members an op is given to at the most. Two that are full one after the other are a full fleet.
const mostTries = 3

// Cancel is front.Core: nobody waits any more.
func (r *Relay) Cancel(x front.Handle) {
	if o, is := x.(*op); is && o.owed != nil {
		o.answer(func(front.Responder) {})
		o.way.Cancel()
	}
}

// ended answers an op by what became of it.
func (o *op) ended(e pass.Result) {
	c, with := &o.r.Counts, e.Metadata
	if e.TimedOut {
		c.Late++
	}
	switch {
	case e.NoEndpoint:
		c.Nobody++
		with.RetryAfter = o.r.told.After
		o.answer(func(w front.Responder) { w.Reject(with) })
	case e.LastOutcome == spread.Succeeded:
		c.Served++
		o.answer(func(w front.Responder) { w.Succeed(e.Result, with) })
	case e.Error == "Denied":
		o.answer(func(w front.Responder) { w.RejectPermanently("denied", with) })
	case !e.MayHaveRun():
		c.Refused++
		o.answer(func(w front.Responder) { w.Reject(with) })
	default:
		if c.Failed++; e.LastOutcome == spread.NoResponse {
			c.Lost++
		}
		o.answer(func(w front.Responder) { w.Fail(with) })
	}
}

// answer gives the one answer, and forgets the op.
func (o *op) answer(send func(front.Responder)) {
	w := o.owed
	o.owed = nil
	delete(o.r.ops, o.id)
	send(w)
	w.Done()
}

// report tells the roster that we are here, as an instance does.
func (r *Relay) report() {
	if r.roster == nil && r.config.RegistryAddr != "" {
		var err error
		if r.roster, err = wire.NewRegistry(r.config.RegistryAddr, r.config.Name); err != nil {
			slog.Warn("no-roster", "err", err)
		}
	}
	if r.roster != nil {
		r.roster.Report(!r.leaving && r.known() > 0)
	}
	r.ScheduleAt(r.Now()+250*time.Millisecond, r.report)
}

// Leave is the notice to drain: the process is killed Stop from now. What comes within the grace is passed on, what comes later turned away;
// the stubs are asked to go, and all that was read is answered.
func (r *Relay) Leave() {
	if r.leaving {
		return
	}
	r.leaving, r.until = true, r.Now()+r.told.Grace
	slog.Info("leaving", "kill_ms", r.config.TerminationGrace.Milliseconds(), "held", len(r.ops))
	killAt := r.Now() + r.config.TerminationGrace
	r.report()
	spans := stubs.DrainScheduleFor(r.config.TerminationGrace)
	for _, f := range r.fronts {
		f.Drain(max(0, r.config.TerminationGrace-spans.FrontendsDrained))
	}
	r.stubs.GoAway()
	// What is still open then gets its answer; nothing new is passed on from then on either.
	r.until = min(r.until, killAt-spans.LastAnswers)
	r.ScheduleAt(max(r.Now(), killAt-spans.LastAnswers), func() {
		for _, o := range slices.Collect(maps.Values(r.ops)) { // answering takes them out
			o.way.Expire()
		}
	})
	r.ScheduleAt(max(r.Now(), killAt-spans.GoAway), func() {
		r.stubs.Drain(spans, killAt, func() bool {
			return len(r.ops) == 0 && !slices.ContainsFunc(r.fronts, func(f front.Frontend) bool { return !f.Drained() })
		}, func(connections int) {
			c := r.Counts
			slog.Info("stopped", "connections", connections, "ops", len(r.ops), "asked", c.Asked, "served", c.Served, "refused", c.Refused, "failed", c.Failed,
				"lost", c.Lost, "again", r.passer.Retries, "late", c.Late, "nobody", c.Nobody)
			r.Quit()
		})
	})
}

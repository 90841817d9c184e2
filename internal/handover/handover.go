// Package handover gives an op that an instance turns away to another instance with room, once. It decides nothing: internal/spread says
// whether and to whom, internal/pass carries it there. It belongs to the instance's loop.
package handover

import (
	"log/slog"
	"time"

	"lanewheel/internal/front"
	"lanewheel/internal/keep"
	"lanewheel/internal/logline"
	"lanewheel/internal/loop"
	"lanewheel/internal/members"
	"lanewheel/internal/pass"
	"lanewheel/internal/spread"
	"lanewheel/internal/wire"
)

// Told is what it goes by.
type Told struct {
	pass.Config
	Hand spread.SpilloverConfig
}

// Part is the hand-over of one instance. It is a keep.Elsewhere and a front.Front.
type Part struct {
	loop    *loop.Loop
	in      *keep.Server
	told    Told
	passer  *pass.Forwarder
	hander  *spread.SpilloverPolicy
	open    map[*op]bool
	leaving bool
	counts  map[string]uint64
	tally   logline.Sampler[string]
}

// op is one that is elsewhere.
type op struct {
	p    *Part
	owed front.Responder
	way  *pass.Request
}

// New makes the part of an instance whose loop and sockets it shares.
func New(in *keep.Server, net *wire.Net, told Told, seed uint64, ask pass.ProbeFunc) *Part {
	passer := pass.New(in.Loop, net, told.Config, seed, ask)
	return &Part{loop: in.Loop, in: in, told: told, passer: passer, hander: spread.NewSpilloverPolicy(told.Hand, passer.Balancer), open: map[*op]bool{}, counts: map[string]uint64{}}
}

// See takes a view of the fleet.
func (p *Part) See(v *members.View) { p.passer.UpdateView(v, members.RoleServer) }

// Put takes values that were told anew.
func (p *Part) Put(told Told) { p.hander.SetConfig(told.Hand) }

// Start is front.Front.
func (p *Part) Start() {
	p.loop.Post(func() {
		p.passer.Start()
		p.look()
	})
}

// look asks others how they stand while we have more than our cores can do, so that words are fresh when one is turned away; and
// writes what came of it from time to time.
func (p *Part) look() {
	if l := p.in.Load(); l.Queued > 0 && !p.leaving {
		// Two in a tenth of a second, as a relay asks for each op that it passes on: forty fresh words a second.
		p.passer.Probe()
		p.passer.Probe()
	}
	p.tally.FlushSuppressed(p.loop.WallTime(), func(what string, more int) { slog.Info("handover", "what", what, "more", more) })
	p.loop.ScheduleAt(p.loop.Now()+50*time.Millisecond, p.look)
}

// own is our load, as others say theirs.
func (p *Part) own() float64 {
	l := p.in.Load()
	return float64(l.Queued+l.Running) / max(1, l.Cores)
}

func (p *Part) note(what string) {
	p.counts[what]++
	if p.tally.Allow(what, p.loop.WallTime()) {
		slog.Info("handover", "what", what, "so_far", p.counts[what])
	}
}

// RequestArrived is keep.Elsewhere.
func (p *Part) RequestArrived() { p.hander.RecordArrival() }

// Forward is keep.Elsewhere.
func (p *Part) Forward(ask front.Request, due time.Duration, repeats bool, owed front.Responder) front.Handle {
	why := spread.AlreadyForwarded
	place := 0
	switch {
	case p.leaving:
		why = spread.Draining
	case ask.Hops == 0:
		place, why = p.hander.Pick(p.loop.Now(), due-p.loop.Now(), p.own(), p.passer.Random)
	}
	// Whoever has to say no asks others how they stand.
	p.passer.Probe()
	if why != spread.Allowed {
		p.note(string(why))
		return nil
	}
	p.note("offered")
	o := &op{p: p, owed: owed}
	p.open[o] = true
	o.way = p.passer.ForwardTo(place, ask, due, repeats, o.ended)
	if o.owed == nil { // it ended at once: its answer is given
		return nil
	}
	return o
}

// ended answers by what became of it there. What proves that it ran nowhere is what we would have said ourselves.
func (o *op) ended(e pass.Result) {
	p := o.p
	delete(p.open, o)
	owed := o.owed
	o.owed = nil
	p.hander.RecordOutcome(p.loop.Now(), e.LastOutcome)
	switch {
	case e.LastOutcome == spread.Succeeded:
		p.note("served")
		owed.Succeed(e.Result, e.Metadata)
	case e.Error == "Denied":
		p.note("denied")
		owed.RejectPermanently("denied", e.Metadata)
	case !e.MayHaveRun():
		p.note("turned-away")
		owed.Reject(e.Metadata)
	default:
		p.note("failed")
		owed.Fail(e.Metadata)
	}
	owed.Done()
}

// Cancel is keep.Elsewhere: nobody waits any more.
func (p *Part) Cancel(x front.Handle) {
	if o, is := x.(*op); is && o.owed != nil {
		o.owed = nil
		delete(p.open, o)
		o.way.Cancel()
	}
}

// Drain is front.Front. What is elsewhere may still come back; shortly before the end it is answered as it stands.
func (p *Part) Drain(last time.Duration) {
	p.leaving = true
	p.loop.ScheduleAt(p.loop.Now()+max(0, last-70*time.Millisecond), func() {
		for o := range p.open {
			o.way.Expire()
		}
	})
}

// Drained is front.Front.
func (p *Part) Drained() bool { return len(p.open) == 0 }

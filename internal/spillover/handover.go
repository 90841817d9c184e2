// Package spillover gives an op that an instance turns away to another instance with room, once. It decides nothing: internal/balancer says
// whether and to whom, internal/forward carries it there. It belongs to the instance's loop.
package spillover

import (
	"log/slog"
	"time"

	"lanewheel/internal/balancer"
	"lanewheel/internal/eventloop"
	"lanewheel/internal/forward"
	"lanewheel/internal/frontend"
	"lanewheel/internal/logging"
	"lanewheel/internal/membership"
	"lanewheel/internal/server"
	"lanewheel/internal/transport"
)

// Config is what it goes by.
type Config struct {
	forward.Config
	Spillover balancer.SpilloverConfig
}

// Spillover is the hand-over of one instance. It is a keep.Elsewhere and a front.Front.
type Spillover struct {
	loop       *eventloop.Loop
	server     *server.Server
	config     Config
	forwarder  *forward.Forwarder
	policy     *balancer.SpilloverPolicy
	inFlight   map[*spilledRequest]bool
	draining   bool
	counts     map[string]uint64
	logLimiter logging.Sampler[string]
}

// spilledRequest is one that is elsewhere.
type spilledRequest struct {
	spillover  *Spillover
	responder  frontend.Responder
	forwarding *forward.Request
}

// New makes the part of an instance whose loop and sockets it shares.
func New(srv *server.Server, net *transport.Net, config Config, seed uint64, probe forward.ProbeFunc) *Spillover {
	forwarder := forward.New(srv.Loop, net, config.Config, seed, probe)
	return &Spillover{loop: srv.Loop, server: srv, config: config, forwarder: forwarder, policy: balancer.NewSpilloverPolicy(config.Spillover, forwarder.Balancer), inFlight: map[*spilledRequest]bool{}, counts: map[string]uint64{}}
}

// UpdateView takes a view of the fleet.
func (p *Spillover) UpdateView(view *membership.View) {
	p.forwarder.UpdateView(view, membership.RoleServer)
}

// SetConfig takes values that were told anew.
func (p *Spillover) SetConfig(config Config) { p.policy.SetConfig(config.Spillover) }

// Start is front.Front.
func (p *Spillover) Start() {
	p.loop.Post(func() {
		p.forwarder.Start()
		p.poll()
	})
}

// poll asks others how they stand while we have more than our cores can do, so that words are fresh when one is turned away; and
// writes what came of it from time to time.
func (p *Spillover) poll() {
	if load := p.server.Load(); load.Queued > 0 && !p.draining {
		// Two in a tenth of a second, as a relay asks for each op that it passes on: forty fresh words a second.
		p.forwarder.Probe()
		p.forwarder.Probe()
	}
	p.logLimiter.FlushSuppressed(p.loop.WallTime(), func(what string, suppressed int) { slog.Info("handover", "what", what, "more", suppressed) })
	p.loop.ScheduleAt(p.loop.Now()+50*time.Millisecond, p.poll)
}

// ownLoad is our load, as others say theirs.
func (p *Spillover) ownLoad() float64 {
	load := p.server.Load()
	return float64(load.Queued+load.Running) / max(1, load.Cores)
}

func (p *Spillover) count(event string) {
	p.counts[event]++
	if p.logLimiter.Allow(event, p.loop.WallTime()) {
		slog.Info("handover", "what", event, "so_far", p.counts[event])
	}
}

// RequestArrived is keep.Elsewhere.
func (p *Spillover) RequestArrived() { p.policy.RecordArrival() }

// Forward is keep.Elsewhere.
func (p *Spillover) Forward(received frontend.Request, deadline time.Duration, idempotent bool, responder frontend.Responder) frontend.Handle {
	reason := balancer.AlreadyForwarded
	index := 0
	switch {
	case p.draining:
		reason = balancer.Draining
	case received.Hops == 0:
		index, reason = p.policy.Pick(p.loop.Now(), deadline-p.loop.Now(), p.ownLoad(), p.forwarder.Random)
	}
	// Whoever has to say no asks others how they stand.
	p.forwarder.Probe()
	if reason != balancer.Allowed {
		p.count(reason.String())
		return nil
	}
	p.count("offered")
	forwarded := &spilledRequest{spillover: p, responder: responder}
	p.inFlight[forwarded] = true
	forwarded.forwarding = p.forwarder.ForwardTo(index, received, deadline, idempotent, forwarded.handleResult)
	if forwarded.responder == nil { // it ended at once: its answer is given
		return nil
	}
	return forwarded
}

// handleResult answers by what became of it there. What proves that it ran nowhere is what we would have said ourselves.
func (o *spilledRequest) handleResult(result forward.Result) {
	spillover := o.spillover
	delete(spillover.inFlight, o)
	responder := o.responder
	o.responder = nil
	spillover.policy.RecordOutcome(spillover.loop.Now(), result.LastOutcome)
	switch {
	case result.LastOutcome == balancer.Succeeded:
		spillover.count("served")
		responder.Succeed(result.Result, result.Metadata)
	case result.Error == "Denied":
		spillover.count("denied")
		responder.RejectPermanently("denied", result.Metadata)
	case !result.MayHaveRun():
		spillover.count("turned-away")
		responder.Reject(result.Metadata)
	default:
		spillover.count("failed")
		responder.Fail(result.Metadata)
	}
	responder.Done()
}

// Cancel is keep.Elsewhere: nobody waits any more.
func (p *Spillover) Cancel(received frontend.Handle) {
	if forwarded, is := received.(*spilledRequest); is && forwarded.responder != nil {
		forwarded.responder = nil
		delete(p.inFlight, forwarded)
		forwarded.forwarding.Cancel()
	}
}

// Drain is front.Front. What is elsewhere may still come back; shortly before the end it is answered as it stands.
func (p *Spillover) Drain(remaining time.Duration) {
	p.draining = true
	p.loop.ScheduleAt(p.loop.Now()+max(0, remaining-70*time.Millisecond), func() {
		for forwarded := range p.inFlight {
			forwarded.forwarding.Expire()
		}
	})
}

// Drained is front.Front.
func (p *Spillover) Drained() bool { return len(p.inFlight) == 0 }

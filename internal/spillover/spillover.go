// Package spillover forwards a request that an instance rejects to another instance that has capacity, once. It decides
// nothing: internal/balancer says whether and where, internal/forward carries it there.
package spillover

import (
	"time"

	"lanewheel/internal/balancer"
	"lanewheel/internal/eventloop"
	"lanewheel/internal/forward"
	"lanewheel/internal/frontend"
	"lanewheel/internal/membership"
	"lanewheel/internal/server"
	"lanewheel/internal/transport"
)

const (
	// pollInterval is how often others are probed while requests are queued, and the log is flushed.
	pollInterval = 50 * time.Millisecond

	// probesPerPoll is how many endpoints are probed at a time, so that there are recent reports when a request is
	// rejected.
	probesPerPoll = 2

	// answerMargin is how long before the end of a drain what is still elsewhere is answered.
	answerMargin = 70 * time.Millisecond
)

// Config is what spilling over goes by.
type Config struct {
	forward.Config
	Spillover balancer.SpilloverConfig
}

// Spillover is the spillover of one instance; it implements server.Spillover and frontend.Frontend. All of it is
// owned by the instance's event loop.
type Spillover struct {
	loop      *eventloop.Loop
	load      func() frontend.Load // our own
	forwarder *forward.Forwarder
	policy    *balancer.SpilloverPolicy
	inFlight  map[*spilledRequest]bool
	draining  bool
	log       eventLog
}

// spilledRequest is a request that was forwarded to another instance.
type spilledRequest struct {
	spillover  *Spillover
	responder  frontend.Responder // nil: it is answered, or nobody waits
	forwarding *forward.Request
}

// New returns the spillover of an instance, whose event loop and sockets it shares.
func New(srv *server.Server, net *transport.Net, config Config, seed uint64, probe forward.ProbeFunc) *Spillover {
	return newSpillover(srv.Loop, srv.Load, forward.New(srv.Loop, net, config.Config, seed, probe), config)
}

func newSpillover(
	loop *eventloop.Loop, load func() frontend.Load, forwarder *forward.Forwarder, config Config,
) *Spillover {
	return &Spillover{
		loop:      loop,
		load:      load,
		forwarder: forwarder,
		policy:    balancer.NewSpilloverPolicy(config.Spillover, forwarder.Balancer),
		inFlight:  map[*spilledRequest]bool{},
		log:       newEventLog(),
	}
}

// UpdateView takes a view of the fleet.
func (s *Spillover) UpdateView(view *membership.View) {
	s.forwarder.UpdateView(view, membership.RoleServer)
}

// SetConfig replaces the configuration of the policy; the forwarder keeps its own.
func (s *Spillover) SetConfig(config Config) { s.policy.SetConfig(config.Spillover) }

// Start implements frontend.Frontend. It may be called on any goroutine.
func (s *Spillover) Start() {
	s.loop.Post(func() {
		s.forwarder.Start()
		s.poll()
	})
}

// poll probes others while requests are queued here, and writes to the log what was suppressed; and goes on doing so.
func (s *Spillover) poll() {
	if s.load().Queued > 0 && !s.draining {
		for range probesPerPoll {
			s.forwarder.Probe()
		}
	}
	s.log.flush(s.loop.WallTime())
	s.loop.ScheduleAt(s.loop.Now()+pollInterval, s.poll)
}

// ownLoad returns our requests in progress a core, as others report theirs.
func (s *Spillover) ownLoad() float64 {
	load := s.load()
	return float64(load.Queued+load.Running) / max(1, load.Cores)
}

// RequestArrived implements server.Spillover.
func (s *Spillover) RequestArrived() { s.policy.RecordArrival() }

// Forward implements server.Spillover. It returns nil where the request stays here, or was answered at once.
func (s *Spillover) Forward(
	received frontend.Request, deadline time.Duration, idempotent bool, responder frontend.Responder,
) frontend.Handle {
	index, reason := s.pick(received, deadline)
	s.forwarder.Probe() // whoever rejects a request wants recent reports for the next one
	if reason != balancer.Allowed {
		s.log.count(event{kind: requestNotSpilled, reason: reason}, s.loop.WallTime())
		return nil
	}
	s.log.count(event{kind: requestSpilled}, s.loop.WallTime())
	request := &spilledRequest{spillover: s, responder: responder}
	s.inFlight[request] = true
	options := forward.Options{Deadline: deadline, Idempotent: idempotent}
	request.forwarding = s.forwarder.ForwardTo(index, received, options, request.handleResult)
	if request.responder == nil {
		return nil
	}
	return request
}

// pick returns the endpoint that a request may be forwarded to, or what keeps it here.
func (s *Spillover) pick(
	received frontend.Request, deadline time.Duration,
) (index int, reason balancer.SpilloverReason) {
	switch {
	case s.draining:
		return 0, balancer.Draining
	case received.Hops > 0:
		return 0, balancer.AlreadyForwarded
	}
	now := s.loop.Now()
	return s.policy.Pick(now, deadline-now, s.ownLoad(), s.forwarder.Random)
}

// handleResult answers a request by what became of it there. What proves that it never ran is a rejection, as ours
// would have been.
func (r *spilledRequest) handleResult(result forward.Result) {
	s := r.spillover
	delete(s.inFlight, r)
	responder := r.responder
	r.responder = nil
	s.policy.RecordOutcome(s.loop.Now(), result.LastOutcome)
	s.log.count(event{kind: requestFinished, disposition: result.Disposition()}, s.loop.WallTime())
	result.Respond(responder)
	responder.Done()
}

// Cancel implements server.Spillover.
func (s *Spillover) Cancel(handle frontend.Handle) {
	request, ok := handle.(*spilledRequest)
	if !ok || request.responder == nil {
		return
	}
	request.responder = nil
	delete(s.inFlight, request)
	request.forwarding.Cancel()
}

// Drain implements frontend.Frontend. What is elsewhere may still come back; shortly before the end it is answered
// as it stands.
func (s *Spillover) Drain(remaining time.Duration) {
	s.draining = true
	s.loop.ScheduleAt(s.loop.Now()+max(0, remaining-answerMargin), func() {
		for request := range s.inFlight {
			request.forwarding.Expire()
		}
	})
}

// Drained implements frontend.Frontend.
func (s *Spillover) Drained() bool { return len(s.inFlight) == 0 }

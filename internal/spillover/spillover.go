// Package spillover forwards requests that an instance rejects to other instances that have capacity. A request is
// forwarded at most once. internal/balancer decides whether a request is forwarded and to which instance;
// internal/forward sends it.
package spillover

import (
	"time"

	"lanewheel/internal/balancer"
	"lanewheel/internal/eventloop"
	"lanewheel/internal/forward"
	"lanewheel/internal/frontend"
	"lanewheel/internal/membership"
	"lanewheel/internal/rpc"
	"lanewheel/internal/server"
	"lanewheel/internal/transport"
)

const (
	// pollInterval is how often other instances are probed while requests are queued, and how often the log is flushed.
	pollInterval = 50 * time.Millisecond

	// probesPerPoll is the number of endpoints probed per poll while requests are queued. The probes ensure that recent
	// load reports are available when a request is rejected.
	probesPerPoll = 2

	// answerMargin is the time before the end of a drain at which forwarded requests without a result are answered.
	answerMargin = 70 * time.Millisecond
)

// Config is the configuration of a Spillover.
type Config struct {
	forward.Config
	Spillover balancer.SpilloverConfig
}

// Spillover forwards the requests that one instance rejects. It implements server.Spillover and frontend.Frontend. It
// is owned by the instance's event loop: except for Start, its methods must be called only there.
type Spillover struct {
	loop      *eventloop.Loop
	load      func() frontend.Load // returns the load of this instance
	forwarder *forward.Forwarder
	policy    *balancer.SpilloverPolicy
	inFlight  map[*spilledRequest]bool
	draining  bool
	log       eventLog
}

// spilledRequest is a request that was forwarded to another instance.
type spilledRequest struct {
	spillover  *Spillover
	responder  frontend.Responder // nil: the request has been answered or canceled
	forwarding *forward.Request
}

// New returns the Spillover of the instance srv. It uses the event loop of srv and opens connections through net, which
// it shares with srv. seed seeds its random numbers. probe may be nil.
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

// UpdateView replaces the instances to which requests are forwarded with those in a view of the fleet.
func (s *Spillover) UpdateView(view *membership.View) {
	s.forwarder.UpdateView(view, membership.RoleServer)
}

// SetConfig replaces the configuration of the policy. The configuration of the forwarder remains unchanged.
func (s *Spillover) SetConfig(config Config) { s.policy.SetConfig(config.Spillover) }

// Start implements frontend.Frontend. It may be called on any goroutine.
func (s *Spillover) Start() {
	s.loop.Post(func() {
		s.forwarder.Start()
		s.poll()
	})
}

// poll probes other instances if requests are queued here, logs the numbers of suppressed events and schedules its
// next run.
func (s *Spillover) poll() {
	if s.load().Queued > 0 && !s.draining {
		for range probesPerPoll {
			s.forwarder.Probe()
		}
	}
	s.log.flush(s.loop.WallTime())
	s.loop.ScheduleAt(s.loop.Now()+pollInterval, s.poll)
}

// ownLoad returns the number of requests in progress per core in this instance, the unit in which the other instances
// report their load.
func (s *Spillover) ownLoad() float64 {
	load := s.load()
	return float64(load.Queued+load.Running) / max(1, load.Cores)
}

// RequestArrived implements server.Spillover. Each request that arrives adds to the spillover budget.
func (s *Spillover) RequestArrived() { s.policy.RecordArrival() }

// Forward implements server.Spillover. It returns nil if the request is not forwarded or has already been answered.
func (s *Spillover) Forward(
	received frontend.Request, deadline time.Duration, idempotent bool, responder frontend.Responder,
) frontend.Handle {
	index, reason := s.pick(received, deadline)
	s.forwarder.Probe() // the next request that is rejected needs recent load reports
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

// pick returns the index of the endpoint to which a request is forwarded. If the reason is not balancer.Allowed, the
// request must not be forwarded.
func (s *Spillover) pick(
	received frontend.Request, deadline time.Duration,
) (index int, reason balancer.SpilloverReason) {
	switch {
	case s.draining:
		return 0, balancer.Draining
	case received.Hops > 0:
		return 0, balancer.AlreadyForwarded
	case !rpc.Sendable(&received):
		return 0, balancer.TooLarge
	}
	now := s.loop.Now()
	return s.policy.Pick(now, deadline-now, s.ownLoad(), s.forwarder.Random)
}

// handleResult answers a request according to its result. A result that proves that the request has not run becomes a
// rejection, like the one that this instance would have sent.
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

// Cancel implements server.Spillover. It does nothing if the request has been answered or canceled.
func (s *Spillover) Cancel(handle frontend.Handle) {
	request, ok := handle.(*spilledRequest)
	if !ok || request.responder == nil {
		return
	}
	request.responder = nil
	delete(s.inFlight, request)
	request.forwarding.Cancel(nil)
}

// Drain implements frontend.Frontend. Forwarded requests may still receive their results. At answerMargin before the
// end of the drain, requests that still have no result are answered as timed out.
func (s *Spillover) Drain(remaining time.Duration) {
	s.draining = true
	s.loop.ScheduleAt(s.loop.Now()+max(0, remaining-answerMargin), func() {
		for request := range s.inFlight {
			request.forwarding.Expire()
		}
	})
}

// Drained implements frontend.Frontend. It reports whether no forwarded request is in progress.
func (s *Spillover) Drained() bool { return len(s.inFlight) == 0 }

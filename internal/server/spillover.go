package server

import (
	"time"

	"lanewheel/admission"
	"lanewheel/internal/frontend"
	"lanewheel/internal/transport"
)

// Spillover forwards requests that are rejected here to other instances. Its methods are called on the event loop.
type Spillover interface {
	// RequestArrived counts a request that was handed to the controller.
	RequestArrived()
	// Forward forwards a request, to be answered by the deadline. It returns nil if it does not, or has answered the
	// request already. idempotent says whether it may be executed twice.
	Forward(
		request frontend.Request, deadline time.Duration, idempotent bool, responder frontend.Responder,
	) frontend.Handle
	// Cancel says that nobody waits any more for a request that was forwarded.
	Cancel(frontend.Handle)
}

// forwarding is what it takes to forward a request, and whether it is forwarded.
type forwarding struct {
	request  *frontend.Request // without its body; nil where it can't be forwarded
	deadline time.Duration
	handle   frontend.Handle // nil while it is not forwarded
}

// EnableSpillover has requests that are rejected here forwarded where newSpillover's result does so. It is called
// before Serve.
func (s *Server) EnableSpillover(newSpillover func(net *transport.Net) Spillover) {
	s.spillover = newSpillover(s.net)
	s.net.ReadHops.Store(true)
}

// prepareForwarding keeps what it takes to forward a request if it is rejected.
func (s *Server) prepareForwarding(active *activeRequest, request frontend.Request, queueDelay time.Duration) {
	s.spillover.RequestArrived()
	sentAt := s.Now() - queueDelay
	deadline := sentAt + s.settings.classes[active.class].timeout
	if request.HasTimeout {
		deadline = min(deadline, sentAt+request.Timeout)
	}
	active.forwarding.request = &request
	active.forwarding.deadline = deadline
}

// forwardable tells whether a request that the controller has rejected may be forwarded: not one that runs or waits for
// another's result, and not one whose caller is known by the connection alone, which the other instance does not see.
func (s *Server) forwardable(active *activeRequest) bool {
	request := active.forwarding.request
	if request == nil || active.responder == nil || s.draining {
		return false
	}
	if s.authenticator != nil && request.Token == "" {
		return false
	}
	return active.run == nil && active.coalesced == nil
}

// spill forwards a request that the controller has rejected and is done with. It tells whether the request is
// forwarded, or answered by the attempt.
func (s *Server) spill(active *activeRequest) bool {
	if !s.forwardable(active) {
		return false
	}
	request := *active.forwarding.request
	request.Body = active.body
	s.idempotency.finish(active, nil)
	active.unknownToController = true
	active.forwarding.request = nil
	s.requests.spilledOver++
	responder := &spilledResponder{s, active}
	active.forwarding.handle = responder // not nil, as Forward may call the responder before it returns
	idempotent := s.settings.classes[active.class].idempotency == admission.Idempotent
	if handle := s.spillover.Forward(request, active.forwarding.deadline, idempotent, responder); handle != nil {
		active.forwarding.handle = handle
		return true
	}
	if active.responder == nil { // it is answered
		return true
	}
	s.requests.spilledOver--
	active.forwarding.handle = nil
	return false
}

// endForwarding ends the forwarding of a request.
func (s *Server) endForwarding(active *activeRequest) {
	if active.forwarding.handle != nil {
		active.forwarding.handle = nil
		s.requests.spilledOver--
		s.removeIfFinished(active)
	}
}

// spilledResponder gives a forwarded request the response of the other instance, with the load report of this one.
type spilledResponder struct {
	server  *Server
	request *activeRequest
}

func (r *spilledResponder) Succeed(result []byte, _ frontend.ResponseMetadata) {
	r.server.succeed(r.request, result)
}

func (r *spilledResponder) Reject(metadata frontend.ResponseMetadata) {
	metadata.LoadReport = r.server.loadReport
	r.server.reject(r.request, metadata)
}

func (r *spilledResponder) Fail(frontend.ResponseMetadata) { r.server.fail(r.request) }

func (r *spilledResponder) RejectPermanently(code frontend.RejectionCode, metadata frontend.ResponseMetadata) {
	metadata.LoadReport = r.server.loadReport
	r.server.rejectPermanently(r.request, code, metadata)
}

func (r *spilledResponder) Done() { r.server.endForwarding(r.request) }

package server

import (
	"time"

	"lanewheel/admission"
	"lanewheel/internal/frontend"
	"lanewheel/internal/transport"
)

// Spillover forwards requests that are rejected here to other instances. Its methods are called on the event loop.
type Spillover interface {
	// RequestArrived counts a request that is submitted to the controller.
	RequestArrived()
	// Forward forwards a request that must be answered by the deadline. It returns nil if the request is not forwarded,
	// or has already been answered through the responder. idempotent reports whether the request may be executed twice.
	Forward(
		request frontend.Request, deadline time.Duration, idempotent bool, responder frontend.Responder,
	) frontend.Handle
	// Cancel cancels a forwarded request whose caller no longer waits for the response.
	Cancel(frontend.Handle)
}

// forwarding holds the data that is needed to forward a request, and its handle once it is forwarded.
type forwarding struct {
	request  *frontend.Request // without its body; nil if the request cannot be forwarded
	sentAt   time.Duration
	deadline time.Duration
	handle   frontend.Handle // nil while the request is not forwarded
}

// EnableSpillover makes the server forward rejected requests through the Spillover that newSpillover returns. It must
// be called before Serve.
func (s *Server) EnableSpillover(newSpillover func(net *transport.Net) Spillover) {
	s.spillover = newSpillover(s.net)
	s.EnableForwarded()
}

// EnableForwarded makes the server recognize requests that other processes of the fleet forward. It must be called
// before Serve.
func (s *Server) EnableForwarded() { s.net.ReadHops.Store(true) }

// prepareForwarding stores the data that is needed to forward a request in case the controller rejects it.
func (s *Server) prepareForwarding(active *activeRequest, request frontend.Request, queueDelay time.Duration) {
	s.spillover.RequestArrived()
	sentAt := s.Now() - queueDelay
	deadline := sentAt + s.settings.classes[active.class].timeout
	if request.HasTimeout {
		deadline = min(deadline, sentAt+request.Timeout)
	}
	active.forwarding.request = &request
	active.forwarding.sentAt = sentAt
	active.forwarding.deadline = deadline
}

// forwardable reports whether a request that the controller has rejected may be forwarded. It must not be running or
// waiting for the result of another request. If callers are authenticated, it must carry a token: the other instance
// does not see the connection, so it cannot authenticate the caller by the connection alone.
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

// spill tries to forward a request that the controller has rejected. It reports whether the request is forwarded or was
// answered during the attempt.
func (s *Server) spill(active *activeRequest) bool {
	if !s.forwardable(active) || !s.keepForwardedRecord(active) {
		return false
	}
	request := *active.forwarding.request
	request.Body = active.body
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
	if active.responder == nil { // Forward has answered the request
		return true
	}
	s.requests.spilledOver--
	active.forwarding.handle = nil
	s.idempotency.finish(active, nil) // nothing was executed
	return false
}

// keepForwardedRecord keeps the idempotency record of a request that is about to be forwarded, although the controller
// has dropped it: an attempt that comes later must not be executed here if the other instance executes this one. Reads
// that wait for the request are answered as rejected. It returns false if there is no memory for a further record.
func (s *Server) keepForwardedRecord(active *activeRequest) bool {
	if !active.identity.byKey {
		s.idempotency.finish(active, nil)
		return true
	}
	if s.idempotency.forwardedRecords >= s.requests.capacity {
		return false
	}
	window := s.settings.classes[active.class].idempotencyWindow
	s.idempotency.storeForwarded(active, active.forwarding.sentAt+window-s.Now())
	return true
}

// finishForwarded completes the records of a forwarded request. result is nil unless the request succeeded.
func (s *Server) finishForwarded(active *activeRequest, mayHaveRun bool, result []byte) {
	if mayHaveRun {
		active.started = true
		s.rememberStarted(active)
	}
	s.idempotency.finish(active, result)
}

// endForwarding ends the forwarding of a request.
func (s *Server) endForwarding(active *activeRequest) {
	if active.forwarding.handle != nil {
		active.forwarding.handle = nil
		s.requests.spilledOver--
		s.removeIfFinished(active)
	}
}

// spilledResponder answers a forwarded request with the response of the other instance and this instance's load report.
type spilledResponder struct {
	server  *Server
	request *activeRequest
}

func (r *spilledResponder) Succeed(result []byte, _ frontend.ResponseMetadata) {
	r.server.finishForwarded(r.request, true, result)
	r.server.succeed(r.request, result)
}

func (r *spilledResponder) Reject(metadata frontend.ResponseMetadata) {
	metadata.LoadReport = r.server.loadReport
	r.server.finishForwarded(r.request, false, nil)
	r.server.reject(r.request, metadata)
}

func (r *spilledResponder) Fail(frontend.ResponseMetadata) {
	r.server.finishForwarded(r.request, true, nil)
	r.server.fail(r.request)
}

func (r *spilledResponder) RejectPermanently(code frontend.RejectionCode, metadata frontend.ResponseMetadata) {
	metadata.LoadReport = r.server.loadReport
	r.server.finishForwarded(r.request, false, nil)
	r.server.rejectPermanently(r.request, code, metadata)
}

func (r *spilledResponder) Done() { r.server.endForwarding(r.request) }

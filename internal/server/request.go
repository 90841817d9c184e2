package server

import (
	"time"

	"lanewheel/admission"
	"lanewheel/internal/authz"
	"lanewheel/internal/frontend"
)

// activeRequest is a request in flight, from when it was read until it is answered and its run has ended. It may wait
// for its caller to be authenticated, be queued or run here, wait for the result of a request that it duplicates, or be
// forwarded to another instance.
type activeRequest struct {
	id        admission.RequestID
	class     admission.Class
	resource  string             // empty for a write
	tenant    admission.TenantID // by its caller's permission where callers are known; empty where there are no tenants
	body      []byte             // of the server's buffers
	arrivedAt time.Duration

	responder  frontend.Responder // nil once it is answered or its caller has left
	permission authz.Permission   // released when the request is forgotten

	// unknownToController is set while the controller does not know of the request: its caller is not authenticated yet,
	// or the controller has rejected it and it is forwarded.
	unknownToController bool
	forwarding          forwarding

	run     *run // nil while it does not run
	started bool // a run was started, whatever became of it

	identity  requestIdentity
	record    *idempotencyRecord // nil until the controller has one kept
	coalesced *coalescedWait     // nil unless it waits for another's result
}

// requestTable holds the requests in flight and counts where they are. Owned by the event loop.
type requestTable struct {
	byID        map[admission.RequestID]*activeRequest
	capacity    int // requests that there is memory for
	running     int
	spilledOver int           // forwarded to other instances
	emptySince  time.Duration // when the last one was forgotten
}

// get returns the request in flight with this id, nil if there is none.
func (t *requestTable) get(id admission.RequestID) *activeRequest { return t.byID[id] }

// getRunning returns the request in flight with this id, nil if there is none or it does not run.
func (t *requestTable) getRunning(id admission.RequestID) *activeRequest {
	active := t.byID[id]
	if active == nil || active.run == nil {
		return nil
	}
	return active
}

func (t *requestTable) full() bool { return len(t.byID) >= t.capacity }

// queued counts the requests that neither run nor are forwarded.
func (t *requestTable) queued() int { return len(t.byID) - t.running - t.spilledOver }

// idleFor is how long there has been no request in flight.
func (t *requestTable) idleFor(now time.Duration) time.Duration {
	if len(t.byID) > 0 {
		return 0
	}
	return now - t.emptySince
}

// track enters a request in the table, with a copy of its body.
func (s *Server) track(request *frontend.Request, responder frontend.Responder) *activeRequest {
	active := &activeRequest{
		id:        admission.RequestID(request.ID),
		class:     admission.Class(request.Class),
		resource:  request.Resource,
		body:      append(s.buffers.Get(), request.Body...),
		arrivedAt: s.Now(),
		responder: responder,
	}
	s.requests.byID[active.id] = active
	return active
}

// removeIfFinished removes a request that nothing is owed to any more and that does not run; it does nothing to any other.
func (s *Server) removeIfFinished(active *activeRequest) {
	inUse := active.responder != nil || active.run != nil || active.forwarding.handle != nil
	if inUse || s.requests.get(active.id) != active {
		return
	}
	delete(s.requests.byID, active.id)
	if len(s.requests.byID) == 0 {
		s.requests.emptySince = s.Now()
	}
	s.buffers.Put(active.body)
	active.body = nil
	if s.authenticator != nil {
		s.authenticator.Release(&active.permission)
	}
	if !active.unknownToController {
		s.idempotency.finish(active, nil)
	}
}

// Cancel implements frontend.Server: nobody waits for the request any more.
func (s *Server) Cancel(handle frontend.Handle) {
	if active, ok := handle.(*activeRequest); ok && active.responder != nil {
		s.cancelRequest(active)
	}
}

func (s *Server) cancelRequest(active *activeRequest) {
	s.releaseResponder(active)
	if active.forwarding.handle != nil {
		s.spillover.Cancel(active.forwarding.handle)
		s.endForwarding(active)
		return
	}
	if active.unknownToController { // the authenticator's decision finds it gone
		s.removeIfFinished(active)
		return
	}
	s.decisionPending = true
	s.controller.Cancel(active.id)
	s.removeIfFinished(active)
}

// releaseResponder ends what is owed to the caller. Whatever crosses, a request is answered once: who takes the
// responder off it first is the one that answers.
func (s *Server) releaseResponder(active *activeRequest) {
	if responder := active.responder; responder != nil {
		active.responder = nil
		responder.Done()
		s.idempotency.detach(active)
	}
}

// respond has send give the one response, if it is still owed.
func (s *Server) respond(active *activeRequest, send func(frontend.Responder)) {
	if responder := active.responder; responder != nil {
		send(responder)
		s.releaseResponder(active)
	}
}

func (s *Server) succeed(active *activeRequest, result []byte) {
	s.respond(active, func(responder frontend.Responder) { responder.Succeed(result, s.ResponseMetadata()) })
}

func (s *Server) fail(active *activeRequest) {
	s.respond(active, func(responder frontend.Responder) { responder.Fail(s.ResponseMetadata()) })
}

func (s *Server) reject(active *activeRequest, metadata frontend.ResponseMetadata) {
	s.respond(active, func(responder frontend.Responder) { responder.Reject(metadata) })
}

func (s *Server) rejectPermanently(
	active *activeRequest, code frontend.RejectionCode, metadata frontend.ResponseMetadata,
) {
	s.respond(active, func(responder frontend.Responder) { responder.RejectPermanently(code, metadata) })
}

// ResponseMetadata implements clients.Server: it is part of every response.
func (s *Server) ResponseMetadata() frontend.ResponseMetadata {
	return frontend.ResponseMetadata{LoadReport: s.loadReport}
}

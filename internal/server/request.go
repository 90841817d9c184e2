package server

import (
	"time"

	"lanewheel/admission"
	"lanewheel/internal/authz"
	"lanewheel/internal/frontend"
)

// activeRequest is a request in flight: from the time it was read until it has been answered and its run has ended. It
// waits for the authentication of its caller, is queued or running, waits for the result of a request that it
// duplicates, or is forwarded to another instance.
type activeRequest struct {
	id        admission.RequestID
	class     admission.Class
	resource  string             // empty for a write
	tenant    admission.TenantID // from the caller's permission if authenticated; empty if there are no tenants
	body      []byte             // from the server's buffer pool
	arrivedAt time.Duration

	responder  frontend.Responder // nil once the request has been answered or canceled
	overSince  time.Duration      // when it was answered or canceled; valid if responder is nil
	permission authz.Permission   // released when the request is removed

	// unknownToController is set while the controller does not know the request: its caller has not been authenticated
	// yet, or the controller has rejected the request and it is forwarded.
	unknownToController bool
	forwarding          forwarding

	run     *run // nil while the request is not running
	started bool // a run was started, even if it has ended since

	identity  requestIdentity
	record    *idempotencyRecord // nil until the controller has had a record stored
	coalesced *coalescedWait     // nil unless the request waits for the result of another one
}

// requestTable holds the requests in flight and counts them by state. Owned by the event loop.
type requestTable struct {
	byID        map[admission.RequestID]*activeRequest
	capacity    int // maximum number of requests that the memory allows
	running     int
	spilledOver int           // requests forwarded to other instances
	emptySince  time.Duration // when the last request was removed
}

// get returns the request in flight with this ID, or nil if there is none.
func (t *requestTable) get(id admission.RequestID) *activeRequest { return t.byID[id] }

// getRunning returns the request in flight with this ID, or nil if there is none or it is not running.
func (t *requestTable) getRunning(id admission.RequestID) *activeRequest {
	active := t.byID[id]
	if active == nil || active.run == nil {
		return nil
	}
	return active
}

func (t *requestTable) full() bool { return len(t.byID) >= t.capacity }

// queued returns the number of requests that are neither running nor forwarded.
func (t *requestTable) queued() int { return len(t.byID) - t.running - t.spilledOver }

// idleFor returns the time since the last request in flight was removed, or 0 if there are requests in flight.
func (t *requestTable) idleFor(now time.Duration) time.Duration {
	if len(t.byID) > 0 {
		return 0
	}
	return now - t.emptySince
}

// track adds a request to the table, with a copy of its body.
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

// removeIfFinished removes a request that has no responder, is not running and is not forwarded. Otherwise it does
// nothing.
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
	if active.unknownToController {
		return
	}
	s.idempotency.finish(active, nil)
	if record := active.record; record != nil && record.removed && !active.started {
		s.controller.RecordRemoved(active.id) // a request that was canceled before it started
	}
}

// Cancel implements frontend.Server: the caller no longer waits for the response.
func (s *Server) Cancel(handle frontend.Handle) (neverRan bool) {
	active, ok := handle.(*activeRequest)
	if !ok || active.responder == nil {
		return false
	}
	neverRan = !active.started && active.coalesced == nil && active.forwarding.handle == nil
	s.cancelRequest(active)
	return neverRan
}

func (s *Server) cancelRequest(active *activeRequest) {
	s.releaseResponder(active)
	if active.forwarding.handle != nil {
		s.spillover.Cancel(active.forwarding.handle)
		s.finishForwarded(active, true, nil)
		s.endForwarding(active)
		return
	}
	if active.unknownToController { // the authenticator's decision will be ignored
		s.removeIfFinished(active)
		return
	}
	s.decisionPending = true
	s.controller.Cancel(active.id)
	s.removeIfFinished(active)
}

// releaseResponder detaches the responder from the request and calls its Done. A request is therefore answered only
// once, even if several events could answer it: the first one to detach the responder answers.
func (s *Server) releaseResponder(active *activeRequest) {
	if responder := active.responder; responder != nil {
		active.responder = nil
		active.overSince = s.Now()
		responder.Done()
		s.idempotency.detach(active)
		s.resolveUncertainStart(active)
	}
}

// respond calls send to write the response, unless the request has already been answered or canceled.
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

// ResponseMetadata implements clients.Server. It returns the metadata that every response carries.
func (s *Server) ResponseMetadata() frontend.ResponseMetadata {
	return frontend.ResponseMetadata{LoadReport: s.loadReport}
}

package server

import (
	"time"

	"lanewheel/admission"
	"lanewheel/internal/authz"
	"lanewheel/internal/frontend"
)

// activeRequest is one op in hand: from its reading until it is answered and its run is over.
type activeRequest struct {
	id                admission.RequestID
	class             admission.Class
	resource          string
	tenant            admission.TenantID // whose it is, by its caller's rights where these are known; empty where there are no tenants
	identity          requestIdentity
	record            *idempotencyRecord // its key, once that is stored
	body              []byte
	responder         frontend.Responder // its one answer; nil once it is given or the caller has left
	run               *run
	started           bool                                   // it was started, whatever became of that
	onCoalesced       func(admission.Outcome, time.Duration) // waits for another's result
	coalescedAt       time.Duration                          // when it began to wait
	arrivedAt         time.Duration
	outsideController bool              // the module does not know of it: it waits at the door, or is elsewhere
	original          *frontend.Request // as it came, less its body; nil where nothing is handed over
	deadline          time.Duration     // with it
	spilloverHandle   frontend.Handle   // it is elsewhere
	permission        authz.Permission  // given back when the op is over
}

// Cancel is front.Core: nobody waits for an op any more.
func (in *Server) Cancel(handle frontend.Handle) {
	if active, known := handle.(*activeRequest); known && active.responder != nil {
		in.cancelRequest(active)
	}
}

// ResponderOf is stubs.Core: who is owed the answer of an op in hand.
func (in *Server) ResponderOf(id string) frontend.Responder {
	if active := in.requests[admission.RequestID(id)]; active != nil {
		return active.responder
	}
	return nil
}

// ResponseMetadata is stubs.Core.
func (in *Server) ResponseMetadata() frontend.ResponseMetadata { return in.metadata() }

// track puts an op in the tables.
func (in *Server) track(request frontend.Request, responder frontend.Responder) *activeRequest {
	active := &activeRequest{id: admission.RequestID(request.ID), class: admission.Class(request.Class), resource: request.Resource, responder: responder, arrivedAt: in.Loop.Now(),
		body: append(in.buffers.Get(), request.Body...)}
	in.requests[active.id] = active
	return active
}

// cancelRequest hears that the caller of an op has given it up.
func (in *Server) cancelRequest(active *activeRequest) {
	in.releaseResponder(active)
	if active.spilloverHandle != nil {
		in.spillover.Cancel(active.spilloverHandle)
		in.returnFromSpillover(active)
		return
	}
	if active.outsideController { // the verdict finds it gone
		in.forget(active)
		return
	}
	in.decisionPending = true
	in.controller.Cancel(active.id)
	in.forget(active)
}

// releaseResponder ends the answer that is owed. Danger: whatever crosses, an op is answered once; who takes it off first is the one
// that answers.
func (in *Server) releaseResponder(active *activeRequest) {
	if responder := active.responder; responder != nil {
		active.responder = nil
		responder.Done()
		in.idempotency.detach(active)
	}
}

// respond sends the one answer, if it is still owed.
func (in *Server) respond(active *activeRequest, send func(frontend.Responder)) {
	if responder := active.responder; responder != nil {
		send(responder)
		in.releaseResponder(active)
	}
}

func (in *Server) metadata() frontend.ResponseMetadata {
	return frontend.ResponseMetadata{LoadReport: in.loadReport}
}

// forget forgets an op that nothing is owed to any more and that does not run.
func (in *Server) forget(active *activeRequest) {
	if active.responder != nil || active.run != nil || active.spilloverHandle != nil || in.requests[active.id] != active {
		return
	}
	delete(in.requests, active.id)
	if len(in.requests) == 0 {
		in.emptySince = in.Loop.Now()
	}
	in.buffers.Put(active.body)
	active.body = nil
	if in.authenticator != nil {
		in.authenticator.Release(&active.permission)
	}
	if !active.outsideController {
		in.idempotency.finish(in, active, nil)
	}
}

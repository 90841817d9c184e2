package server

import (
	"time"

	"lanewheel/admission"
	"lanewheel/internal/authn"
	"lanewheel/internal/frontend"
)

// Submit is front.Core: it takes an op from a front. What can't be taken is nacked at once: nothing is before the runtime has
// come up, nor under the id of an op in hand that came elsewhere: whose it is can't be told, and it never ran.
func (in *Server) Submit(request frontend.Request, credential *authn.Credential, responder frontend.Responder) frontend.Handle {
	// Danger: more bodies than there is memory for.
	if in.controller == nil || len(in.requests) >= in.maxRequests || in.requests[admission.RequestID(request.ID)] != nil {
		responder.Reject(in.metadata())
		responder.Done()
		return nil
	}
	var active *activeRequest
	if in.authenticator != nil {
		active = in.authenticate(credential, request, responder)
	} else {
		active = in.submitToController(request, responder, nil)
	}
	if active == nil || active.responder == nil {
		return nil
	}
	return active
}

// submitToController hands an op to the module. before is the op as it waited at the door, nil if it did not.
func (in *Server) submitToController(request frontend.Request, responder frontend.Responder, waiting *activeRequest) *activeRequest {
	queueDelay := max(0, in.WallTime().Sub(time.UnixMilli(request.SentUnixMilli)))
	code := in.invalidReason(request)
	if code != "" || queueDelay > maxWait(in.timeouts[admission.Class(request.Class)]) { // the second: long over, by a clock that is not ours
		if waiting == nil {
			waiting = in.track(request, responder)
		}
		in.answerOutside(waiting, func(responder frontend.Responder) {
			if code != "" {
				responder.RejectPermanently(code, in.metadata())
			} else {
				responder.Reject(in.metadata())
			}
		})
		return nil
	}
	active := waiting
	if active == nil {
		active = in.track(request, responder)
	}
	active.outsideController = false
	active.tenant = admission.TenantID(request.Tenant)
	if in.spillover != nil {
		in.keepOriginal(active, request, queueDelay)
	}
	active.identity = in.idempotency.identify(active, request, in.idempotentByKey[active.class])
	in.decisionPending = true
	in.controller.Submit(admission.Request{ID: active.id, Class: active.class, Rank: request.Rank, IsWrite: request.Resource == "",
		Resource: request.Resource, Caller: admission.CallerID(request.Caller), HasDeadline: request.HasTimeout,
		Deadline: in.Now() - queueDelay + request.Timeout, WorkHint: request.WorkHint, MemoryKB: request.MemoryKB, QueueDelay: queueDelay,
		Tenant: admission.TenantID(request.Tenant), DuplicateOf: in.idempotency.duplicateOf(active, in.Now()-queueDelay)})
	return active
}

// keepOriginal keeps what it takes to ask for an op elsewhere.
func (in *Server) keepOriginal(active *activeRequest, request frontend.Request, queueDelay time.Duration) {
	in.spillover.RequestArrived()
	request.Body = nil
	active.original = &request
	active.deadline = in.Loop.Now() - queueDelay + in.timeouts[active.class]
	if request.HasTimeout {
		active.deadline = min(active.deadline, in.Loop.Now()-queueDelay+request.Timeout)
	}
}

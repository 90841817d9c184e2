package server

import (
	"time"

	"lanewheel/admission"
	"lanewheel/internal/authn"
	"lanewheel/internal/frontend"
)

// Submit implements frontend.Server: it takes a request from a front end. What can't be taken is rejected at once:
// everything before the runtime has come up, what there is no memory for, and an id that is in flight already. Whose
// request that is can't be told, and this attempt was never executed.
func (s *Server) Submit(
	request frontend.Request, credential *authn.Credential, responder frontend.Responder,
) frontend.Handle {
	if s.controller == nil || s.requests.full() || s.requests.get(admission.RequestID(request.ID)) != nil {
		responder.Reject(s.ResponseMetadata())
		responder.Done()
		return nil
	}
	active := s.track(&request, responder)
	request.Body = nil // valid during this call only
	if s.authenticator != nil {
		s.authenticate(active, credential, request)
	} else {
		s.submitToController(active, request)
	}
	if active.responder == nil {
		return nil
	}
	return active
}

// submitToController hands a request whose caller may make it to the admission controller, unless it could never be
// served.
func (s *Server) submitToController(active *activeRequest, request frontend.Request) {
	queueDelay := max(0, s.WallTime().Sub(time.UnixMilli(request.SentUnixMilli)))
	if code := s.settings.check(&request); code != "" {
		s.respondWithoutController(active, func(responder frontend.Responder) {
			responder.RejectPermanently(code, s.ResponseMetadata())
		})
		return
	}
	class := s.settings.classes[active.class]
	if queueDelay > maxWait(class.timeout) { // answered long ago, or sent by a clock that is not ours
		s.respondWithoutController(active, func(responder frontend.Responder) { responder.Reject(s.ResponseMetadata()) })
		return
	}
	active.unknownToController = false
	active.tenant = admission.TenantID(request.Tenant)
	if s.spillover != nil {
		s.prepareForwarding(active, request, queueDelay)
	}
	byKey := class.idempotency == admission.IdempotentByKey
	active.identity = s.idempotency.identify(active, request.NewIDPerAttempt, byKey)
	s.decisionPending = true
	sentAt := s.Now() - queueDelay
	s.controller.Submit(admission.Request{
		ID:          active.id,
		Class:       active.class,
		Rank:        request.Rank,
		IsWrite:     request.Resource == "",
		Resource:    request.Resource,
		Caller:      admission.CallerID(request.Caller),
		HasDeadline: request.HasTimeout,
		Deadline:    sentAt + request.Timeout,
		WorkHint:    request.WorkHint,
		MemoryKB:    request.MemoryKB,
		QueueDelay:  queueDelay,
		Tenant:      active.tenant,
		DuplicateOf: s.idempotency.duplicateOf(active, sentAt),
	})
}

// respondWithoutController answers a request that the controller does not know of, and forgets it.
func (s *Server) respondWithoutController(active *activeRequest, send func(frontend.Responder)) {
	active.unknownToController = true
	s.respond(active, send)
	s.removeIfFinished(active)
}

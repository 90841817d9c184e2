package server

import (
	"time"

	"lanewheel/admission"
	"lanewheel/internal/authn"
	"lanewheel/internal/frontend"
)

// Submit implements frontend.Server. It rejects a request at once if the runtime is not ready yet, if there is no
// memory for the request, or if its ID is already in flight. In the last case the server cannot know whose request is
// in flight, and this attempt was never executed, so it may be retried. A copy of a request that may have run and must
// not run twice fails.
func (s *Server) Submit(
	request frontend.Request, credential *authn.Credential, responder frontend.Responder,
) frontend.Handle {
	if s.mayHaveRun(admission.RequestID(request.ID)) {
		responder.Fail(s.ResponseMetadata())
		responder.Done()
		return nil
	}
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

// submitToController submits an authorized request to the admission controller, unless the request could never be
// served or is too old.
func (s *Server) submitToController(active *activeRequest, request frontend.Request) {
	queueDelay := max(0, s.WallTime().Sub(time.UnixMilli(request.SentUnixMilli)))
	if code := s.settings.check(&request); code != "" {
		s.respondWithoutController(active, func(responder frontend.Responder) {
			responder.RejectPermanently(code, s.ResponseMetadata())
		})
		return
	}
	class := s.settings.classes[active.class]
	if queueDelay > maxWait(class.timeout) { // answered long ago, or sent by a host with a different clock
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

// respondWithoutController answers a request that the controller does not know, and removes it.
func (s *Server) respondWithoutController(active *activeRequest, send func(frontend.Responder)) {
	active.unknownToController = true
	s.respond(active, send)
	s.removeIfFinished(active)
}

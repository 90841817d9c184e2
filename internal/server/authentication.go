package server

import (
	"lanewheel/admission"
	"lanewheel/internal/authn"
	"lanewheel/internal/authz"
	"lanewheel/internal/frontend"
)

// authenticate asks who makes a request and whether they may. While that is not known the request is in flight, unknown
// to the controller: it can be canceled, and its id is taken.
func (s *Server) authenticate(active *activeRequest, credential *authn.Credential, request frontend.Request) {
	active.unknownToController = true
	wanted := authn.Request{
		Token: request.Token,
		Request: authz.Request{
			Class:  active.class,
			Tenant: admission.TenantID(request.Tenant),
			Write:  request.Resource == "",
		},
	}
	s.authenticator.Authorize(credential, wanted, func(decision authn.Decision) {
		if active.responder == nil || s.requests.get(active.id) != active { // its caller has left
			s.authenticator.Release(&decision.Permission)
			return
		}
		s.applyDecision(active, request, decision)
	})
}

// applyDecision carries out what the authenticator decided about a request.
func (s *Server) applyDecision(active *activeRequest, request frontend.Request, decision authn.Decision) {
	switch {
	case decision.Denial != "":
		metadata := s.ResponseMetadata()
		metadata.Reason = string(decision.Denial)
		s.respondWithoutController(active, func(responder frontend.Responder) {
			responder.RejectPermanently(frontend.Denied, metadata)
		})
	case decision.RetryAfter > 0:
		metadata := s.ResponseMetadata()
		if s.settings.retryAfterAllowed {
			metadata.RetryAfter = decision.RetryAfter
			if s.settings.maxRetryAfter > 0 {
				metadata.RetryAfter = min(decision.RetryAfter, s.settings.maxRetryAfter)
			}
		}
		s.respondWithoutController(active, func(responder frontend.Responder) { responder.Reject(metadata) })
	default:
		request.Tenant = string(decision.Tenant)
		active.permission = decision.Permission
		active.tenant = decision.Tenant
		s.submitToController(active, request)
	}
}

// UpdateAuthn puts a new configuration of callers in force; without an authenticator, or with nil, it does nothing.
func (s *Server) UpdateAuthn(config *authn.Config) {
	if s.authenticator == nil || config == nil {
		return
	}
	s.authenticator.Reload(*config)
	s.net.ReadTokens.Store(config.KeySet != nil)
}

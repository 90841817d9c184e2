package server

import (
	"lanewheel/admission"
	"lanewheel/internal/authn"
	"lanewheel/internal/authz"
	"lanewheel/internal/frontend"
)

// authenticate starts the authentication and authorization of a request's caller. Until the decision arrives, the
// request is in flight but unknown to the controller: it can be canceled, and no other request may use its ID.
func (s *Server) authenticate(active *activeRequest, credential *authn.Credential, request frontend.Request) {
	active.unknownToController = true
	authRequest := authn.Request{
		Token: request.Token,
		Request: authz.Request{
			Class:  active.class,
			Tenant: admission.TenantID(request.Tenant),
			Write:  request.Resource == "",
		},
	}
	s.authenticator.Authorize(credential, authRequest, func(decision authn.Decision) {
		if active.responder == nil || s.requests.get(active.id) != active { // the request was canceled
			s.authenticator.Release(&decision.Permission)
			return
		}
		s.applyDecision(active, request, decision)
	})
}

// applyDecision rejects a request or submits it to the controller, as the authenticator decided.
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

// UpdateAuthn applies a new authentication configuration. It does nothing if the server has no authenticator or config
// is nil.
func (s *Server) UpdateAuthn(config *authn.Config) {
	if s.authenticator == nil || config == nil {
		return
	}
	s.authenticator.Reload(*config)
	s.net.ReadTokens.Store(config.KeySet != nil)
}

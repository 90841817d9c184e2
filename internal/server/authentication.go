package server

import (
	"lanewheel/admission"
	"lanewheel/internal/authn"
	"lanewheel/internal/authz"
	"lanewheel/internal/frontend"
)

// authenticate asks the door for an op that was read. One whose caller is not known yet waits in the tables, unheard by the module:
// it can be given up, and its id is taken, as that of any other.
func (in *Server) authenticate(credential *authn.Credential, request frontend.Request, responder frontend.Responder) *activeRequest {
	wanted := authn.Request{Token: request.Token, Request: authz.Request{Class: admission.Class(request.Class),
		Tenant: admission.TenantID(request.Tenant), Write: request.Resource == ""}}
	active := in.track(request, responder)
	active.outsideController = true
	in.authenticator.Authorize(credential, wanted, func(verdict authn.Decision) {
		if active.responder == nil || in.requests[active.id] != active { // gone meanwhile
			in.authenticator.Release(&verdict.Permission)
			return
		}
		in.applyVerdict(request, active, verdict)
	})
	request.Body = nil // it is the reader's; the op has its own
	return active
}

// applyVerdict carries out what the door said of an op.
func (in *Server) applyVerdict(request frontend.Request, active *activeRequest, verdict authn.Decision) {
	switch {
	case verdict.Denial != "":
		metadata := in.metadata()
		metadata.Reason = string(verdict.Denial)
		in.answerOutside(active, func(responder frontend.Responder) { responder.RejectPermanently("denied", metadata) })
	case verdict.RetryAfter > 0:
		// When to come again is said where the settings allow it, and no more.
		metadata := in.metadata()
		if passed, _ := in.config.Settings["stay away is passed on"].(bool); passed {
			metadata.RetryAfter = verdict.RetryAfter
			if maxRetryAfter := durationSetting(in.config.Settings, "longest stay away"); maxRetryAfter > 0 {
				metadata.RetryAfter = min(verdict.RetryAfter, maxRetryAfter)
			}
		}
		in.answerOutside(active, func(responder frontend.Responder) { responder.Reject(metadata) })
	default:
		request.Tenant = string(verdict.Tenant)
		active.permission, active.tenant = verdict.Permission, verdict.Tenant
		in.submitToController(request, nil, active)
	}
}

// answerOutside answers an op that the module has not heard of, and takes it out of the tables.
func (in *Server) answerOutside(active *activeRequest, send func(frontend.Responder)) {
	active.outsideController = true
	in.respond(active, send)
	in.forget(active)
}

// UpdateAuthn puts what an operator's file says of callers in force, as it was read anew.
func (in *Server) UpdateAuthn(parts *authn.Config) {
	if in.authenticator == nil || parts == nil {
		return
	}
	in.authenticator.Reload(*parts)
	in.net.ReadTokens.Store(parts.KeySet != nil)
}

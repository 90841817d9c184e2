package authn

import (
	"time"

	"lanewheel/admission"
	"lanewheel/internal/authz"
	"lanewheel/internal/tokens"
)

// Request is a request to be authorized.
type Request struct {
	authz.Request
	Token string // empty: only the connection's credential is used
}

// Decision is the result of authorizing a Request: denied, deferred, or, if neither Denial nor RetryAfter is set,
// admitted for Tenant.
type Decision struct {
	Tenant     admission.TenantID
	Permission authz.Permission // must be passed to Release when the request is done
	Denial     authz.Denial     // reason for the denial; a retry cannot succeed
	RetryAfter time.Duration    // delay after which the request may be retried
}

// Authorize decides whether a request is admitted. done is called exactly once, on the event loop: before Authorize
// returns if no token check is necessary or none can be started, or else when the check or the wait for it has ended.
func (a *Authenticator) Authorize(credential *Credential, request Request, done func(Decision)) {
	if denial := a.RevocationReason(credential); denial != "" {
		done(a.deny(credential.identityForLog(), request, denial))
		return
	}
	// If tokens are not accepted, the token is ignored: it neither proves an identity nor leads to a denial.
	if request.Token == "" || a.verifier == nil {
		a.resolveWithoutToken(credential)
		done(a.decide(credential, request))
		return
	}
	now, wall := a.clock()
	if credential.resolved.entry != nil && credential.resolved.token == request.Token {
		if denial, current := a.verifier.Revalidate(now, wall, credential.resolved.entry); current {
			done(a.decideByCurrentToken(credential, request, denial))
			return
		}
	}
	if entry, denial, found := a.verifier.Lookup(now, wall, request.Token); found {
		done(a.decideByVerdict(credential, request, tokens.Verdict{Entry: entry, Denial: denial}))
		return
	}
	if a.draining {
		done(a.deferRequest(authz.MinRetryAfter))
		return
	}
	step := a.verifier.RequestCheck(now, request.Token, credential.suspect, func(verdict tokens.Verdict) {
		done(a.decideByVerdict(credential, request, verdict))
	})
	a.perform(step, credential.suspect)
}

// Release ends the permission of a request that is done.
func (a *Authenticator) Release(permission *authz.Permission) {
	now, _ := a.clock()
	a.limiter.Release(now, permission)
}

// decideByCurrentToken decides on a request with the token that the credential was last resolved from. denial is the
// reason why the token is no longer valid, or empty.
func (a *Authenticator) decideByCurrentToken(credential *Credential, request Request, denial authz.Denial) Decision {
	a.resolveByToken(credential, request.Token, credential.resolved.entry)
	if denial != "" {
		return a.deny(credential.resolved.principal.Identity, request, denial)
	}
	return a.decide(credential, request)
}

// decideByVerdict decides on a request, given the verdict on its token.
func (a *Authenticator) decideByVerdict(credential *Credential, request Request, verdict tokens.Verdict) Decision {
	if verdict.Denial != "" {
		credential.suspect = credential.suspect || IsForgery(verdict.Denial)
		return a.deny("", request, verdict.Denial)
	}
	if verdict.Entry == nil {
		return a.deferRequest(max(verdict.RetryAfter, authz.MinRetryAfter))
	}
	// The certificate may have been revoked while the token was checked.
	if denial := a.RevocationReason(credential); denial != "" {
		return a.deny(credential.identityForLog(), request, denial)
	}
	a.resolveByToken(credential, request.Token, verdict.Entry)
	return a.decide(credential, request)
}

// decide decides whether the principal of a credential may make a request. The credential must be resolved.
func (a *Authenticator) decide(credential *Credential, request Request) Decision {
	principal := &credential.resolved.principal
	if credential.resolved.denial != "" {
		return a.deny(principal.Identity, request, credential.resolved.denial)
	}
	grant, denial := a.config.Policy.Authorize(principal, request.Request)
	if denial != "" {
		return a.deny(principal.Identity, request, denial)
	}
	now, wall := a.clock()
	if credential.resolved.entry != nil {
		denial, retryAfter := a.verifier.UseOnce(wall, credential.resolved.entry)
		if denial != "" {
			return a.deny(principal.Identity, request, denial)
		}
		if retryAfter > 0 {
			return a.deferRequest(retryAfter)
		}
	}
	permission, retryAfter, admitted := a.limiter.Acquire(now, principal, grant.Roles)
	if !admitted {
		return a.deferRequest(retryAfter)
	}
	a.counters.admitted++
	return Decision{Tenant: grant.Tenant, Permission: permission}
}

func (a *Authenticator) deferRequest(retryAfter time.Duration) Decision {
	a.counters.deferred++
	return Decision{RetryAfter: retryAfter}
}

// deny counts and logs a denial. identity is empty if none is proven.
func (a *Authenticator) deny(identity authz.Identity, request Request, denial authz.Denial) Decision {
	a.counters.denied[denial]++
	a.logDenial(identity, request, denial)
	return Decision{Denial: denial}
}

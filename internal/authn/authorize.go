package authn

import (
	"time"

	"lanewheel/admission"
	"lanewheel/internal/authz"
	"lanewheel/internal/tokens"
)

// Request is a request that wants to be admitted.
type Request struct {
	authz.Request
	Token string // empty: the connection's credential counts alone
}

// Decision is the answer to a Request: denied, deferred, or, with neither Denial nor RetryAfter, admitted for Tenant.
type Decision struct {
	Tenant     admission.TenantID
	Permission authz.Permission // to be given to Release when the request is done
	Denial     authz.Denial     // why it is denied; trying again is of no use
	RetryAfter time.Duration    // it may be tried again after this time
}

// Authorize decides on a request. done is called once, on the event loop: before Authorize returns where all is known,
// and otherwise when the token is checked.
func (a *Authenticator) Authorize(credential *Credential, request Request, done func(Decision)) {
	if denial := a.RevocationReason(credential); denial != "" {
		done(a.deny(credential.identityForLog(), request, denial))
		return
	}
	// A token that nobody can check proves nothing, and takes nothing away.
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

// Release gives back the permission of a request that is done.
func (a *Authenticator) Release(permission *authz.Permission) {
	now, _ := a.clock()
	a.limiter.Release(now, permission)
}

// decideByCurrentToken decides by the token that the connection brought last; denial is why it no longer counts.
func (a *Authenticator) decideByCurrentToken(credential *Credential, request Request, denial authz.Denial) Decision {
	a.resolveByToken(credential, request.Token, credential.resolved.entry)
	if denial != "" {
		return a.deny(credential.resolved.principal.Identity, request, denial)
	}
	return a.decide(credential, request)
}

// decideByVerdict decides once the verdict on the request's token is known.
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

// decide decides on the request of a credential whose principal is known.
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

// deny counts and logs a denial. identity is empty where none is proven.
func (a *Authenticator) deny(identity authz.Identity, request Request, denial authz.Denial) Decision {
	a.counters.denied[denial]++
	a.logDenial(identity, request, denial)
	return Decision{Denial: denial}
}

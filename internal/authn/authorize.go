package authn

import (
	"time"

	"lanewheel/admission"
	"lanewheel/internal/authz"
	"lanewheel/internal/tokens"
)

// Request is an op that wants to come in.
type Request struct {
	authz.Request
	Token string
}

// Decision is what the door says. With neither Why nor After the op may come in, under Tenant.
type Decision struct {
	Tenant     admission.TenantID
	Permission authz.Permission
	Denial     authz.Denial  // denied
	RetryAfter time.Duration // not now
}

// Authorize asks for an op. done is called once, at once if all is known.
func (d *Authenticator) Authorize(credential *Credential, request Request, done func(Decision)) {
	if denial := d.RevocationReason(credential); denial != "" {
		done(d.deny(credential.principalName(), request, denial))
		return
	}
	if request.Token == "" {
		d.identifyByCertificate(credential)
		done(d.decide(credential, nil, &credential.principal, credential.principalDenial, request))
		return
	}
	if d.verifier == nil { // a token that nobody can check proves nothing, and takes nothing away
		d.identifyByCertificate(credential)
		done(d.decide(credential, nil, &credential.principal, credential.principalDenial, request))
		return
	}
	now, wall := d.clock()
	if credential.entry != nil && credential.token == request.Token {
		if denial, current := d.verifier.Revalidate(now, wall, credential.entry); current {
			d.identifyByToken(credential, request.Token, credential.entry)
			done(d.decide(credential, credential.entry, &credential.principal, firstDenial(denial, credential.principalDenial), request))
			return
		}
	}
	if entry, denial, known := d.verifier.Lookup(now, wall, request.Token); known {
		done(d.resume(credential, request, entry, denial, 0))
		return
	}
	if d.draining {
		d.deferred++
		done(Decision{RetryAfter: authz.MinRetryAfter})
		return
	}
	action, raw := d.verifier.RequestCheck(now, request.Token, credential.suspect, func(entry *tokens.CachedToken, denial authz.Denial, retryAfter time.Duration) {
		done(d.resume(credential, request, entry, denial, retryAfter))
	})
	d.perform(action, raw, credential.suspect)
}

func firstDenial(a, b authz.Denial) authz.Denial {
	if a != "" {
		return a
	}
	return b
}

// resume goes on with what is known of a token.
func (d *Authenticator) resume(credential *Credential, request Request, entry *tokens.CachedToken, denial authz.Denial, retryAfter time.Duration) Decision {
	if entry == nil && denial == "" {
		d.deferred++
		return Decision{RetryAfter: max(retryAfter, authz.MinRetryAfter)}
	}
	if denial != "" {
		credential.suspect = credential.suspect || IsForgery(denial)
		return d.deny("", request, denial)
	}
	if denial := d.RevocationReason(credential); denial != "" { // the certificate may have been taken back while the token was checked
		return d.deny(credential.principalName(), request, denial)
	}
	d.identifyByToken(credential, request.Token, entry)
	return d.decide(credential, entry, &credential.principal, credential.principalDenial, request)
}

// decide tells whether a known caller may do what it asks, now.
func (d *Authenticator) decide(credential *Credential, entry *tokens.CachedToken, principal *authz.Principal, denial authz.Denial, request Request) Decision {
	if denial != "" {
		return d.deny(principal.Identity, request, denial)
	}
	roles, tenant, denial := d.config.Policy.Authorize(principal, request.Request)
	if denial != "" {
		return d.deny(principal.Identity, request, denial)
	}
	now, wall := d.clock()
	if entry != nil {
		denial, retryAfter := d.verifier.UseOnce(wall, entry)
		switch {
		case denial != "":
			return d.deny(principal.Identity, request, denial)
		case retryAfter > 0:
			d.deferred++
			return Decision{RetryAfter: retryAfter}
		}
	}
	permission, retryAfter, admitted := d.limiter.Acquire(now, principal, roles)
	if !admitted {
		d.deferred++
		return Decision{RetryAfter: retryAfter}
	}
	d.admitted++
	return Decision{Tenant: tenant, Permission: permission}
}

// Release takes a pass back whose op is over.
func (d *Authenticator) Release(permission *authz.Permission) {
	now, _ := d.clock()
	d.limiter.Release(now, permission)
}

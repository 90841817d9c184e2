package authn

import (
	"crypto/x509"
	"time"

	"lanewheel/internal/authz"
	"lanewheel/internal/certs"
	"lanewheel/internal/tokens"
)

// Credential is the proof of identity of a connection, with the results of checking it. It is owned by the event loop.
// Proof and ConfiguredIdentity are set before the first request and not changed afterwards.
type Credential struct {
	Proof              *certs.VerifiedChain // nil: no certificate
	ConfiguredIdentity authz.Identity       // set by the operator, for example for a queue; empty: none

	lastCheck chainCheck
	resolved  resolution
	suspect   bool // the connection has sent a forged token; never reset
}

// chainCheck is the result of the last check of a certificate chain.
type chainCheck struct {
	generation generation   // generation of the configuration used for the check
	denial     authz.Denial // final once it is set
}

// resolution is the principal of a credential. It is resolved from the token if entry is set, or else from the
// certificate or the configured identity.
type resolution struct {
	generation generation // generation of the configuration used; 0: must be resolved again
	principal  authz.Principal
	denial     authz.Denial        // reason why the principal has no permissions; empty: not denied
	token      string              // the token of entry
	entry      *tokens.CachedToken // nil: not resolved from a token
}

// identityForLog returns the identity that is logged for the credential if its principal is not known.
func (c *Credential) identityForLog() authz.Identity {
	if c.Proof != nil && len(c.Proof.Identities) > 0 {
		return c.Proof.Identities[0]
	}
	return c.ConfiguredIdentity
}

// VerifyCertificate verifies a client's chain, which starts with the client's own certificate. It returns a
// *certs.VerifiedChain, or an authz.Denial as a string. It may be called from any goroutine and is called from the
// goroutines of handshakes.
func (a *Authenticator) VerifyCertificate(chain []*x509.Certificate) (any, string) {
	trust := a.trust.Load()
	if trust == nil {
		return nil, string(certs.Untrusted)
	}
	proof, denial := trust.Verify(chain, time.Now())
	if denial != "" {
		return nil, string(denial)
	}
	return proof, ""
}

// RevocationReason returns the reason why a connection's certificate is no longer accepted, or an empty denial. Once
// returned, a reason does not change. If nothing has changed, the call takes only a few comparisons.
func (a *Authenticator) RevocationReason(credential *Credential) authz.Denial {
	if credential.Proof == nil || credential.lastCheck.denial != "" {
		return credential.lastCheck.denial
	}
	_, wall := a.clock()
	if credential.lastCheck.generation == a.generation && credential.Proof.ValidAt(wall) {
		return ""
	}
	if a.config.TrustStore == nil {
		credential.lastCheck.denial = certs.Untrusted
		return credential.lastCheck.denial
	}
	credential.lastCheck.denial = a.config.TrustStore.Recheck(credential.Proof, wall)
	credential.lastCheck.generation = a.generation
	credential.resolved.generation = 0
	return credential.lastCheck.denial
}

// NeedsRecheck reports whether the configuration has changed since a connection's certificate was checked.
func (a *Authenticator) NeedsRecheck(credential *Credential) bool {
	return credential.Proof != nil && credential.lastCheck.denial == "" && credential.lastCheck.generation != a.generation
}

// resolveWithoutToken resolves a credential from its configured identity, or else from its certificate. If it has
// neither, the caller is anonymous.
func (a *Authenticator) resolveWithoutToken(credential *Credential) {
	if credential.resolved.generation == a.generation && credential.resolved.entry == nil {
		return
	}
	resolved := resolution{generation: a.generation}
	policy := a.config.Policy
	switch {
	case credential.ConfiguredIdentity != "":
		identities := []authz.Identity{credential.ConfiguredIdentity}
		resolved.principal, resolved.denial = policy.Resolve(identities, authz.Claims{})
	case credential.Proof == nil:
		resolved.principal, resolved.denial = policy.Anonymous()
	default:
		resolved.principal, resolved.denial = policy.Resolve(credential.Proof.Identities, authz.Claims{})
	}
	credential.resolved = resolved
}

// resolveByToken resolves a credential from a valid token, which takes precedence over its certificate.
func (a *Authenticator) resolveByToken(credential *Credential, token string, entry *tokens.CachedToken) {
	if credential.resolved.generation == a.generation && credential.resolved.entry == entry {
		return
	}
	resolved := resolution{generation: a.generation, token: token, entry: entry}
	claims := authz.Claims{Tenant: entry.Tenant, Roles: entry.Roles}
	resolved.principal, resolved.denial = a.config.Policy.Resolve(entry.Identities(), claims)
	credential.resolved = resolved
}

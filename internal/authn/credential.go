package authn

import (
	"crypto/x509"
	"time"

	"lanewheel/internal/authz"
	"lanewheel/internal/certs"
	"lanewheel/internal/tokens"
)

// Credential is what a connection has proven, with what was found out about it. Owned by the event loop. Proof and
// ConfiguredIdentity are set before the first request and not changed afterwards.
type Credential struct {
	Proof              *certs.VerifiedChain // nil: no certificate
	ConfiguredIdentity authz.Identity       // set by the operator, as for a queue; empty: none

	lastCheck chainCheck
	resolved  resolution
	suspect   bool // it has brought forged tokens; never reset
}

// chainCheck is what the last check of a certificate came to.
type chainCheck struct {
	generation generation   // of the configuration that it was checked against
	denial     authz.Denial // final once it is set
}

// resolution is who a credential is: by a token if there is an entry, and otherwise by its certificate or configured
// identity.
type resolution struct {
	generation generation // of the configuration that says so; 0: not known
	principal  authz.Principal
	denial     authz.Denial // why it is nobody
	token      string       // the last good one
	entry      *tokens.CachedToken
}

// identityForLog names the credential in the log where no principal is known.
func (c *Credential) identityForLog() authz.Identity {
	if c.Proof != nil && len(c.Proof.Identities) > 0 {
		return c.Proof.Identities[0]
	}
	return c.ConfiguredIdentity
}

// VerifyCertificate verifies a client's chain, its own certificate first: it gives a *certs.VerifiedChain, or an
// authz.Denial as text. It may be called from any goroutine, and is called from those of handshakes.
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

// RevocationReason tells why a connection's certificate no longer counts, empty if it does. A reason is final. It costs
// a comparison while nothing has changed.
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

// NeedsRecheck tells whether the configuration has changed since a connection's certificate was checked.
func (a *Authenticator) NeedsRecheck(credential *Credential) bool {
	return credential.Proof != nil && credential.lastCheck.denial == "" && credential.lastCheck.generation != a.generation
}

// resolveWithoutToken resolves a credential without a token: by its configured identity, or its certificate.
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

// resolveByToken resolves a credential by a good token, whatever its certificate proves.
func (a *Authenticator) resolveByToken(credential *Credential, token string, entry *tokens.CachedToken) {
	if credential.resolved.generation == a.generation && credential.resolved.entry == entry {
		return
	}
	resolved := resolution{generation: a.generation, token: token, entry: entry}
	claims := authz.Claims{Tenant: entry.Tenant, Roles: entry.Roles}
	resolved.principal, resolved.denial = a.config.Policy.Resolve(entry.Identities(), claims)
	credential.resolved = resolved
}

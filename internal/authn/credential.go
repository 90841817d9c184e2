package authn

import (
	"crypto/x509"
	"time"

	"lanewheel/internal/authz"
	"lanewheel/internal/certs"
	"lanewheel/internal/tokens"
)

// Credential is what a connection has proved. It belongs to the owner loop.
type Credential struct {
	Proof              *certs.VerifiedChain // nil: no certificate
	ConfiguredIdentity authz.Identity       // who it is by the operator's word, empty if nobody says so
	proofGeneration    uint64               // the generation for which the proof was looked at last
	proofDenial        authz.Denial
	suspect            bool // it has brought tokens that prove nothing

	token               string // the last good one, and what it proves
	entry               *tokens.CachedToken
	principal           authz.Principal // by the token, else by the proof
	principalGeneration uint64          // the generation for which who is right, 0 if it is not known
	principalDenial     authz.Denial
}

// VerifyCertificate follows a client's chain during its handshake. It is called beside the loop.
func (d *Authenticator) VerifyCertificate(chain []*x509.Certificate) (any, string) {
	trust := d.trust.Load()
	if trust == nil {
		return nil, string(certs.Untrusted)
	}
	proof, denial := trust.Verify(chain, time.Now())
	if denial != "" {
		return nil, string(denial)
	}
	return proof, ""
}

// RevocationReason tells whether what a connection's certificate proved still counts; a reason bars it for good. It costs a
// comparison while nothing has changed.
func (d *Authenticator) RevocationReason(credential *Credential) authz.Denial {
	if credential.Proof == nil || credential.proofDenial != "" {
		return credential.proofDenial
	}
	_, wall := d.clock()
	if credential.proofGeneration == d.generation && credential.Proof.ValidAt(wall) {
		return ""
	}
	if d.config.TrustStore == nil {
		credential.proofDenial = certs.Untrusted
		return credential.proofDenial
	}
	credential.proofDenial = d.config.TrustStore.Recheck(credential.Proof, wall)
	credential.proofGeneration, credential.principalGeneration = d.generation, 0
	return credential.proofDenial
}

// NeedsRecheck tells whether a connection's proof was not looked at since something has changed.
func (d *Authenticator) NeedsRecheck(credential *Credential) bool {
	return credential.Proof != nil && credential.proofDenial == "" && credential.proofGeneration != d.generation
}

// identifyByCertificate has b.who be the caller by its certificate alone.
func (d *Authenticator) identifyByCertificate(credential *Credential) {
	if credential.principalGeneration == d.generation && credential.entry == nil {
		return
	}
	credential.principalGeneration, credential.entry, credential.token = d.generation, nil, ""
	if credential.ConfiguredIdentity != "" {
		credential.principal, credential.principalDenial = d.config.Policy.Resolve([]authz.Identity{credential.ConfiguredIdentity}, "", nil)
		return
	}
	if credential.Proof == nil {
		credential.principal, credential.principalDenial = d.config.Policy.Anonymous()
		return
	}
	credential.principal, credential.principalDenial = d.config.Policy.Resolve(credential.Proof.Identities, "", nil)
}

// identifyByToken has b.who be the caller by a good token.
func (d *Authenticator) identifyByToken(credential *Credential, token string, entry *tokens.CachedToken) {
	if credential.principalGeneration == d.generation && credential.entry == entry {
		return
	}
	credential.principalGeneration, credential.entry, credential.token = d.generation, entry, token
	credential.principal, credential.principalDenial = d.config.Policy.Resolve(entry.Identities(), entry.Tenant, entry.Roles)
}

func (b *Credential) principalName() authz.Identity {
	if b.Proof != nil && len(b.Proof.Identities) > 0 {
		return b.Proof.Identities[0]
	}
	return b.ConfiguredIdentity
}

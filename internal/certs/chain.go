package certs

import (
	"crypto/sha256"
	"crypto/x509"
	"errors"
	"time"

	"lanewheel/internal/authz"
)

// VerifiedChain is a chain that was verified up to its authority. It must be used from one goroutine at a time,
// because Recheck changes it.
type VerifiedChain struct {
	Identities  []authz.Identity    // from the URIs, then from the DNS names, then from the subject
	chain       []*x509.Certificate // the client's own certificate first, the authority's last
	trustDigest [sha256.Size]byte   // digest of the authorities that the chain was verified against
	notBefore   time.Time
	notAfter    time.Time
	listExpiry  time.Time // when the first of its issuers' revocation lists becomes stale; zero: never
}

// Verify verifies a chain that starts with the client's own certificate. It returns a denial if the chain is not
// accepted at the given time.
func (s *TrustStore) Verify(presented []*x509.Certificate, now time.Time) (*VerifiedChain, authz.Denial) {
	if len(presented) == 0 {
		return nil, noCertificate
	}
	intermediates := x509.NewCertPool()
	for _, certificate := range presented[1:] {
		intermediates.AddCert(certificate)
	}
	leaf := presented[0]
	chains, err := leaf.Verify(x509.VerifyOptions{
		Roots:         s.roots,
		Intermediates: intermediates,
		CurrentTime:   now,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth},
	})
	var invalid x509.CertificateInvalidError
	switch {
	case errors.As(err, &invalid) && invalid.Reason == x509.Expired:
		return nil, expired
	case err != nil:
		return nil, Untrusted
	}
	verified := &VerifiedChain{
		Identities:  identitiesOf(leaf),
		chain:       chains[0],
		trustDigest: s.digest,
	}
	verified.setValidityPeriod()
	return verified, s.checkRevocation(verified, now)
}

// identitiesOf returns all identities that a certificate proves, in order of precedence.
func identitiesOf(leaf *x509.Certificate) []authz.Identity {
	var identities []authz.Identity
	for _, uri := range leaf.URIs {
		identities = append(identities, authz.NewIdentity(authz.URIIdentity, uri.String()))
	}
	for _, name := range leaf.DNSNames {
		identities = append(identities, authz.NewIdentity(authz.DNSIdentity, name))
	}
	if subject := leaf.Subject.String(); subject != "" {
		identities = append(identities, authz.NewIdentity(authz.SubjectIdentity, subject))
	}
	return identities
}

// setValidityPeriod sets the period in which all certificates of the chain are valid.
func (c *VerifiedChain) setValidityPeriod() {
	for _, certificate := range c.chain {
		if c.notAfter.IsZero() || certificate.NotAfter.Before(c.notAfter) {
			c.notAfter = certificate.NotAfter
		}
		if certificate.NotBefore.After(c.notBefore) {
			c.notBefore = certificate.NotBefore
		}
	}
}

// ValidAt reports whether, at the given time, all certificates of the chain are valid and no revocation list of their
// issuers is stale. If it returns false, Recheck decides whether the chain is still accepted.
func (c *VerifiedChain) ValidAt(now time.Time) bool {
	if now.Before(c.notBefore) || !now.Before(c.notAfter) {
		return false
	}
	return c.listExpiry.IsZero() || now.Before(c.listExpiry)
}

// Recheck returns the reason why a chain is no longer accepted, or an empty denial. It verifies the signatures again
// only if the authorities have changed since the chain was verified.
func (s *TrustStore) Recheck(verified *VerifiedChain, now time.Time) authz.Denial {
	if verified.trustDigest != s.digest {
		reverified, denial := s.Verify(verified.chain, now)
		if denial == "" {
			*verified = *reverified
		}
		return denial
	}
	if now.Before(verified.notBefore) || !now.Before(verified.notAfter) {
		return expired
	}
	return s.checkRevocation(verified, now)
}

package certs

import (
	"bytes"
	"crypto/sha256"
	"crypto/x509"
	"errors"
	"time"

	"lanewheel/internal/authz"
)

// VerifiedChain is a chain that was followed to its authority, and by what.
type VerifiedChain struct {
	Identities  []authz.Identity // URI, then DNS names, then the subject
	chain       []*x509.Certificate
	trustDigest [sha256.Size]byte
	notBefore   time.Time
	notAfter    time.Time
	listExpiry  time.Time // when the first list that speaks of the chain is too old; zero: never
}

// Verify follows a chain, the client's own certificate first.
func (t *TrustStore) Verify(presented []*x509.Certificate, now time.Time) (*VerifiedChain, authz.Denial) {
	if len(presented) == 0 {
		return nil, noCertificate
	}
	intermediates := x509.NewCertPool()
	for _, certificate := range presented[1:] {
		intermediates.AddCert(certificate)
	}
	chains, err := presented[0].Verify(x509.VerifyOptions{Roots: t.roots, Intermediates: intermediates, CurrentTime: now,
		KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth}})
	var invalid x509.CertificateInvalidError
	switch {
	case errors.As(err, &invalid) && invalid.Reason == x509.Expired:
		return nil, expired
	case err != nil:
		return nil, Untrusted
	}
	verified := &VerifiedChain{chain: chains[0], trustDigest: t.digest}
	for _, certificate := range verified.chain {
		if verified.notAfter.IsZero() || certificate.NotAfter.Before(verified.notAfter) {
			verified.notAfter = certificate.NotAfter
		}
		if certificate.NotBefore.After(verified.notBefore) {
			verified.notBefore = certificate.NotBefore
		}
	}
	leaf := presented[0]
	for _, uri := range leaf.URIs {
		verified.Identities = append(verified.Identities, authz.Identity("uri:"+uri.String()))
	}
	for _, name := range leaf.DNSNames {
		verified.Identities = append(verified.Identities, authz.Identity("dns:"+name))
	}
	if subject := leaf.Subject.String(); subject != "" {
		verified.Identities = append(verified.Identities, authz.Identity("subject:"+subject))
	}
	return verified, t.checkRevocation(verified, now)
}

// ValidAt tells whether a moment lies within the times of all certificates of the chain.
// and no list that speaks of them is too old; else the proof has to be looked at again.
func (p *VerifiedChain) ValidAt(now time.Time) bool {
	return !now.Before(p.notBefore) && now.Before(p.notAfter) && (p.listExpiry.IsZero() || now.Before(p.listExpiry))
}

// Recheck tells whether a proof counts now. It costs little unless the authorities have changed since it was made.
func (t *TrustStore) Recheck(verified *VerifiedChain, now time.Time) authz.Denial {
	if verified.trustDigest != t.digest {
		again, denial := t.Verify(verified.chain, now)
		if denial == "" {
			*verified = *again
		}
		return denial
	}
	if now.Before(verified.notBefore) || !now.Before(verified.notAfter) {
		return expired
	}
	return t.checkRevocation(verified, now)
}

// checkRevocation looks a chain up in the lists of those who issued it.
func (t *TrustStore) checkRevocation(verified *VerifiedChain, now time.Time) authz.Denial {
	verified.listExpiry = time.Time{}
	for _, certificate := range verified.chain {
		for _, list := range t.revocationLists {
			if !bytes.Equal(list.issuer, certificate.RawIssuer) {
				continue
			}
			if list.serials[string(certificate.SerialNumber.Bytes())] {
				return revoked
			}
			// Danger: whoever can keep new lists from us could go on with what was taken back.
			if !t.allowStale && !list.validUntil.IsZero() {
				if !now.Before(list.validUntil) {
					return staleRevocationList
				}
				if verified.listExpiry.IsZero() || list.validUntil.Before(verified.listExpiry) {
					verified.listExpiry = list.validUntil
				}
			}
		}
	}
	return ""
}

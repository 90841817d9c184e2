// Package certs decides on client certificates: whether a chain leads to a told authority, whether a certificate was taken
// back, and which identities it proves. It is pure; issue.go makes certificates for the operators' commands.
package certs

import (
	"bytes"
	"crypto/sha256"
	"crypto/x509"
	"encoding/pem"
	"errors"
	"fmt"
	"math/big"
	"time"

	"lanewheel/internal/authz"
)

// Why a certificate proves nothing.
const (
	noCertificate       authz.Denial = "no-certificate"
	Untrusted           authz.Denial = "untrusted"  // no told authority stands behind it, or it is not for clients
	expired             authz.Denial = "expired"    // or not valid yet
	revoked             authz.Denial = "revoked"    // it, or what stands between it and its authority
	staleRevocationList authz.Denial = "stale-list" // the list of what is taken back is too old to say
)

// TrustStore is authorities and what they took back. It never changes.
type TrustStore struct {
	roots           *x509.CertPool
	digest          [sha256.Size]byte
	revocationLists []*revocationList
	allowStale      bool
	authorities     []*x509.Certificate
}

// revocationList is what one authority took back.
type revocationList struct {
	issuer     []byte // raw subject of the authority
	serials    map[string]bool
	number     *big.Int
	validUntil time.Time // when the next list was due, with the told grace
}

// Bounds of what is read: some authorities, and lists far longer than any fleet of devices.
const (
	maxAuthorities    = 32
	maxRevokedEntries = 200_000
)

// NewTrustStore reads authorities and lists, both PEM; lists may be empty. A list has to be signed by one of the authorities and,
// at the moment given, no older than it says plus grace. With allowOld one that grows too old later goes on counting, and
// else certificates of its authority no longer prove anything then.
func NewTrustStore(authorities, lists []byte, grace time.Duration, allowStale bool, now time.Time) (*TrustStore, error) {
	store := &TrustStore{roots: x509.NewCertPool(), digest: sha256.Sum256(authorities), allowStale: allowStale}
	parsed, err := ParseCertificates(authorities)
	if err != nil {
		return nil, err
	}
	if len(parsed) > maxAuthorities {
		return nil, fmt.Errorf("%d authorities, wants %d or fewer", len(parsed), maxAuthorities)
	}
	for _, authority := range parsed {
		if !authority.IsCA {
			return nil, fmt.Errorf("%s is no authority's certificate", authority.Subject)
		}
		store.roots.AddCert(authority)
		store.authorities = append(store.authorities, authority)
	}
	for rest := lists; ; {
		var block *pem.Block
		if block, rest = pem.Decode(rest); block == nil {
			if len(bytes.TrimSpace(rest)) > 0 {
				return nil, errors.New("a list of what was taken back is cut off")
			}
			return store, nil
		}
		if err := store.addRevocationList(block.Bytes, grace, now); err != nil {
			return nil, err
		}
	}
}

// addRevocationList takes one list in.
func (t *TrustStore) addRevocationList(der []byte, grace time.Duration, now time.Time) error {
	crl, err := x509.ParseRevocationList(der)
	if err != nil {
		return err
	}
	// Danger: a list that anybody may have written lets revoked certificates back in, or locks everybody out.
	signed := false
	for _, authority := range t.authorities {
		signed = signed || bytes.Equal(authority.RawSubject, crl.RawIssuer) && crl.CheckSignatureFrom(authority) == nil
	}
	if !signed {
		return fmt.Errorf("the list of %s is not signed by a told authority", crl.Issuer)
	}
	if len(crl.RevokedCertificateEntries) > maxRevokedEntries {
		return fmt.Errorf("the list of %s has %d entries, wants %d or fewer", crl.Issuer, len(crl.RevokedCertificateEntries), maxRevokedEntries)
	}
	parsed := &revocationList{issuer: crl.RawIssuer, serials: map[string]bool{}, number: crl.Number}
	if parsed.number == nil {
		parsed.number = new(big.Int)
	}
	if !crl.NextUpdate.IsZero() {
		parsed.validUntil = crl.NextUpdate.Add(grace)
		if !now.Before(parsed.validUntil) && !t.allowStale {
			return fmt.Errorf("the list of %s was due anew at %s", crl.Issuer, crl.NextUpdate.UTC().Format(time.RFC3339))
		}
	}
	for _, entry := range crl.RevokedCertificateEntries {
		parsed.serials[string(entry.SerialNumber.Bytes())] = true
	}
	for i, earlier := range t.revocationLists {
		if bytes.Equal(earlier.issuer, parsed.issuer) { // the newer one counts
			if parsed.number.Cmp(earlier.number) > 0 {
				t.revocationLists[i] = parsed
			}
			return nil
		}
	}
	t.revocationLists = append(t.revocationLists, parsed)
	return nil
}

// Roots is the authorities, as a server tells them to its clients.
func (t *TrustStore) Roots() *x509.CertPool { return t.roots }

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

// revocationListDue is when the first list is due anew, with its grace; zero if none ever is.
func (t *TrustStore) revocationListDue() (due time.Time) {
	for _, list := range t.revocationLists {
		if !list.validUntil.IsZero() && (due.IsZero() || list.validUntil.Before(due)) {
			due = list.validUntil
		}
	}
	return due
}

// ParseCertificates reads all certificates of a PEM text.
func ParseCertificates(text []byte) (parsed []*x509.Certificate, err error) {
	rest := text
	for {
		var block *pem.Block
		if block, rest = pem.Decode(rest); block == nil {
			break
		}
		if block.Type != "CERTIFICATE" {
			continue
		}
		certificate, err := x509.ParseCertificate(block.Bytes)
		if err != nil {
			return nil, err
		}
		parsed = append(parsed, certificate)
	}
	if len(parsed) == 0 {
		return nil, errors.New("wants a certificate in PEM")
	}
	if len(bytes.TrimSpace(rest)) > 0 { // Danger: a file that is still being written
		return nil, errors.New("ends in the middle of a certificate")
	}
	return parsed, nil
}

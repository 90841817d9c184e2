package certs

import (
	"bytes"
	"crypto/x509"
	"fmt"
	"math/big"
	"time"

	"lanewheel/internal/authz"
)

// maxRevokedEntries is the maximum number of entries of a revocation list, far more than any fleet of devices needs.
const maxRevokedEntries = 200_000

// revocationList holds the certificates that one authority revoked.
type revocationList struct {
	issuer     []byte          // raw subject of the authority
	serials    map[string]bool // big-endian bytes of the revoked serial numbers
	number     *big.Int        // increases with each list of the authority
	validUntil time.Time       // when the next list is due, plus the grace period; zero: no limit
}

// addRevocationList parses and checks a list and adds it to the store.
func (s *TrustStore) addRevocationList(der []byte, now time.Time) error {
	crl, err := x509.ParseRevocationList(der)
	if err != nil {
		return err
	}
	// Without this check, anyone could supply a list that reinstates revoked certificates or revokes valid ones.
	if !s.isSignedByAuthority(crl) {
		return fmt.Errorf("revocation list of %s is not signed by a configured authority", crl.Issuer)
	}
	count := len(crl.RevokedCertificateEntries)
	if count > maxRevokedEntries {
		return fmt.Errorf("revocation list of %s has %d entries, must have at most %d", crl.Issuer, count, maxRevokedEntries)
	}
	list := &revocationList{
		issuer:  crl.RawIssuer,
		serials: map[string]bool{},
		number:  crl.Number,
	}
	if list.number == nil {
		list.number = new(big.Int)
	}
	if !crl.NextUpdate.IsZero() {
		list.validUntil = crl.NextUpdate.Add(s.policy.Grace)
		if !now.Before(list.validUntil) && !s.policy.AllowStale {
			return fmt.Errorf("revocation list of %s is stale: the next one was due at %s",
				crl.Issuer, crl.NextUpdate.UTC().Format(time.RFC3339))
		}
	}
	for _, entry := range crl.RevokedCertificateEntries {
		list.serials[string(entry.SerialNumber.Bytes())] = true
	}
	s.addIfNewer(list)
	return nil
}

// isSignedByAuthority reports whether an authority of the store signed a list.
func (s *TrustStore) isSignedByAuthority(crl *x509.RevocationList) bool {
	for _, authority := range s.authorities {
		if bytes.Equal(authority.RawSubject, crl.RawIssuer) && crl.CheckSignatureFrom(authority) == nil {
			return true
		}
	}
	return false
}

// addIfNewer adds a list, or replaces the list of the same authority if the new one has a higher number.
func (s *TrustStore) addIfNewer(list *revocationList) {
	for i, earlier := range s.revocationLists {
		if !bytes.Equal(earlier.issuer, list.issuer) {
			continue
		}
		if list.number.Cmp(earlier.number) > 0 {
			s.revocationLists[i] = list
		}
		return
	}
	s.revocationLists = append(s.revocationLists, list)
}

// checkRevocation looks up each certificate of a chain in the revocation list of its issuer. It returns a denial if a
// certificate is revoked or a list is stale. Otherwise it sets verified.listExpiry to the time when the first of the
// lists becomes stale.
func (s *TrustStore) checkRevocation(verified *VerifiedChain, now time.Time) authz.Denial {
	verified.listExpiry = time.Time{}
	for _, certificate := range verified.chain {
		for _, list := range s.revocationLists {
			if !bytes.Equal(list.issuer, certificate.RawIssuer) {
				continue
			}
			if list.serials[string(certificate.SerialNumber.Bytes())] {
				return revoked
			}
			if s.policy.AllowStale || list.validUntil.IsZero() {
				continue
			}
			// If stale lists were accepted, an attacker could keep using a revoked certificate by blocking the
			// delivery of new lists.
			if !now.Before(list.validUntil) {
				return staleRevocationList
			}
			if verified.listExpiry.IsZero() || list.validUntil.Before(verified.listExpiry) {
				verified.listExpiry = list.validUntil
			}
		}
	}
	return ""
}

package certs

import (
	"bytes"
	"crypto/x509"
	"fmt"
	"math/big"
	"time"

	"lanewheel/internal/authz"
)

// maxRevokedEntries bounds a list: far more than any fleet of devices needs.
const maxRevokedEntries = 200_000

// revocationList is what one authority revoked.
type revocationList struct {
	issuer     []byte // raw subject of the authority
	serials    map[string]bool
	number     *big.Int  // rises with each list
	validUntil time.Time // when the next list was due, with the grace; zero: for ever
}

// addRevocationList reads one list.
func (s *TrustStore) addRevocationList(der []byte, now time.Time) error {
	crl, err := x509.ParseRevocationList(der)
	if err != nil {
		return err
	}
	// A list that anybody may have written would let revoked certificates back in, or lock everybody out.
	if !s.isSignedByAuthority(crl) {
		return fmt.Errorf("the list of %s is not signed by a told authority", crl.Issuer)
	}
	count := len(crl.RevokedCertificateEntries)
	if count > maxRevokedEntries {
		return fmt.Errorf("the list of %s has %d entries, wants %d or fewer", crl.Issuer, count, maxRevokedEntries)
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
			return fmt.Errorf("the list of %s was due anew at %s", crl.Issuer, crl.NextUpdate.UTC().Format(time.RFC3339))
		}
	}
	for _, entry := range crl.RevokedCertificateEntries {
		list.serials[string(entry.SerialNumber.Bytes())] = true
	}
	s.addIfNewer(list)
	return nil
}

// isSignedByAuthority tells whether an authority of the store signed a list.
func (s *TrustStore) isSignedByAuthority(crl *x509.RevocationList) bool {
	for _, authority := range s.authorities {
		if bytes.Equal(authority.RawSubject, crl.RawIssuer) && crl.CheckSignatureFrom(authority) == nil {
			return true
		}
	}
	return false
}

// addIfNewer keeps a list unless there is a newer one of its authority.
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

// checkRevocation looks each certificate of a chain up in the list of its issuer, and notes until when these count.
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
			// Whoever can keep new lists from us must not go on with a revoked certificate.
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

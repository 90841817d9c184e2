package certs

import (
	"bytes"
	"crypto/x509"
	"fmt"
	"math/big"
	"time"
)

// revocationList is what one authority took back.
type revocationList struct {
	issuer     []byte // raw subject of the authority
	serials    map[string]bool
	number     *big.Int
	validUntil time.Time // when the next list was due, with the told grace
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

// revocationListDue is when the first list is due anew, with its grace; zero if none ever is.
func (t *TrustStore) revocationListDue() (due time.Time) {
	for _, list := range t.revocationLists {
		if !list.validUntil.IsZero() && (due.IsZero() || list.validUntil.Before(due)) {
			due = list.validUntil
		}
	}
	return due
}

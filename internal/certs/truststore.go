// Package certs verifies client certificates: whether a chain leads to a configured authority, whether a certificate
// is revoked, and which identities it proves. It does no I/O and takes the current time as an argument. It also
// issues and revokes certificates for the operators' commands.
package certs

import (
	"bytes"
	"crypto/sha256"
	"crypto/x509"
	"encoding/pem"
	"errors"
	"fmt"
	"time"
)

// maxAuthorities is the maximum number of authorities of a TrustStore.
const maxAuthorities = 32

// RevocationPolicy defines when a revocation list becomes stale. Certificates of an authority with a stale list are
// denied unless AllowStale is set.
type RevocationPolicy struct {
	Grace      time.Duration // time from the due time of the next list until the current one is stale
	AllowStale bool          // stale lists are still used
}

// TrustStore holds authorities and their revocation lists. It is immutable and may be used from any goroutine.
type TrustStore struct {
	roots           *x509.CertPool
	authorities     []*x509.Certificate
	digest          [sha256.Size]byte // SHA-256 of the PEM text of the authorities
	revocationLists []*revocationList // at most one for each authority
	policy          RevocationPolicy
}

// NewTrustStore parses authorities and revocation lists in PEM format; lists may be empty. It returns an error unless
// each list is signed by one of the authorities and, without AllowStale, not stale now. If an authority has several
// lists, the one with the highest number is used.
func NewTrustStore(authorities, lists []byte, policy RevocationPolicy, now time.Time) (*TrustStore, error) {
	parsed, err := ParseCertificates(authorities)
	if err != nil {
		return nil, err
	}
	if len(parsed) > maxAuthorities {
		return nil, fmt.Errorf("PEM text has %d authorities, must have at most %d", len(parsed), maxAuthorities)
	}
	store := &TrustStore{
		roots:       x509.NewCertPool(),
		authorities: parsed,
		digest:      sha256.Sum256(authorities),
		policy:      policy,
	}
	for _, authority := range parsed {
		if !authority.IsCA {
			return nil, fmt.Errorf("certificate %s is not a CA certificate", authority.Subject)
		}
		store.roots.AddCert(authority)
	}
	for {
		var block *pem.Block
		block, lists = pem.Decode(lists)
		if block == nil {
			break
		}
		if err := store.addRevocationList(block.Bytes, now); err != nil {
			return nil, err
		}
	}
	if len(bytes.TrimSpace(lists)) > 0 {
		return nil, errors.New("PEM text of revocation lists must end with a complete block")
	}
	return store, nil
}

// Roots returns the pool of authorities, which a TLS server announces to its clients.
func (s *TrustStore) Roots() *x509.CertPool { return s.roots }

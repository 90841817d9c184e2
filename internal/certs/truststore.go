// Package certs decides on client certificates: whether a chain leads to a configured authority, whether a certificate
// was revoked, and which identities it proves. It does no I/O, and the time is an argument. It also issues and revokes
// certificates for the operators' commands.
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

// maxAuthorities bounds the authorities that are read.
const maxAuthorities = 32

// RevocationPolicy says how long a revocation list counts.
type RevocationPolicy struct {
	Grace      time.Duration // for which a list counts after the next one was due
	AllowStale bool          // a list counts for ever; else certificates of its authority are denied once it is stale
}

// TrustStore is authorities and what they revoked. It never changes, and may be used from any goroutine.
type TrustStore struct {
	roots           *x509.CertPool
	authorities     []*x509.Certificate
	digest          [sha256.Size]byte // of the authorities' text
	revocationLists []*revocationList // one for each authority that has any
	policy          RevocationPolicy
}

// NewTrustStore reads authorities and revocation lists, both PEM; lists may be empty. Each list has to be signed by one
// of the authorities and, but for AllowStale, not to be stale now. Of two lists of one authority the newer one counts.
func NewTrustStore(authorities, lists []byte, policy RevocationPolicy, now time.Time) (*TrustStore, error) {
	parsed, err := ParseCertificates(authorities)
	if err != nil {
		return nil, err
	}
	if len(parsed) > maxAuthorities {
		return nil, fmt.Errorf("%d authorities, wants %d or fewer", len(parsed), maxAuthorities)
	}
	store := &TrustStore{
		roots:       x509.NewCertPool(),
		authorities: parsed,
		digest:      sha256.Sum256(authorities),
		policy:      policy,
	}
	for _, authority := range parsed {
		if !authority.IsCA {
			return nil, fmt.Errorf("%s is no authority's certificate", authority.Subject)
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
		return nil, errors.New("a list of what was taken back is cut off")
	}
	return store, nil
}

// Roots is the authorities, as a server names them to its clients.
func (s *TrustStore) Roots() *x509.CertPool { return s.roots }

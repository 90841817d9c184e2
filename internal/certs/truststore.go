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
	"time"
)

// TrustStore is authorities and what they took back. It never changes.
type TrustStore struct {
	roots           *x509.CertPool
	digest          [sha256.Size]byte
	revocationLists []*revocationList
	allowStale      bool
	authorities     []*x509.Certificate
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

// Roots is the authorities, as a server tells them to its clients.
func (t *TrustStore) Roots() *x509.CertPool { return t.roots }

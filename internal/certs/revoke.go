package certs

import (
	"bytes"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"errors"
	"math/big"
	"time"
)

// Revoke returns a revocation list in PEM format with all entries of the previous list and the given serial numbers.
// previous is the authority's last list, or empty. The next list is due after validity. Revoke returns an error if
// previous is not a list that this authority signed.
func (p KeyPair) Revoke(previous []byte, serials []*big.Int, now time.Time, validity time.Duration) ([]byte, error) {
	list := &x509.RevocationList{
		Number:     big.NewInt(1),
		ThisUpdate: now.Add(-clockSkew),
		NextUpdate: now.Add(validity),
	}
	if len(bytes.TrimSpace(previous)) > 0 {
		parsed, err := p.parseOwnList(previous)
		if err != nil {
			return nil, err
		}
		list.RevokedCertificateEntries = parsed.RevokedCertificateEntries
		list.Number.Add(parsed.Number, big.NewInt(1))
	}
	for _, serial := range serials {
		entry := x509.RevocationListEntry{SerialNumber: serial, RevocationTime: now}
		list.RevokedCertificateEntries = append(list.RevokedCertificateEntries, entry)
	}
	der, err := x509.CreateRevocationList(rand.Reader, list, p.Certificate, p.privateKey)
	if err != nil {
		return nil, err
	}
	return pem.EncodeToMemory(&pem.Block{Type: revocationListBlock, Bytes: der}), nil
}

// parseOwnList parses a list in PEM format and returns an error if this authority did not sign it.
func (p KeyPair) parseOwnList(text []byte) (*x509.RevocationList, error) {
	block, _ := pem.Decode(text)
	if block == nil {
		return nil, errors.New("previous revocation list must be in PEM format")
	}
	list, err := x509.ParseRevocationList(block.Bytes)
	if err != nil {
		return nil, err
	}
	return list, list.CheckSignatureFrom(p.Certificate)
}

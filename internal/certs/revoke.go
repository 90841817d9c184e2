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

// Revoke gives a list, PEM, with all that old has and the serials given; old may be empty. It is due anew after span.
func (a KeyPair) Revoke(previous []byte, serials []*big.Int, now time.Time, validity time.Duration) ([]byte, error) {
	list := &x509.RevocationList{Number: big.NewInt(1), ThisUpdate: now.Add(-clockSkew), NextUpdate: now.Add(validity)}
	if len(bytes.TrimSpace(previous)) > 0 {
		block, _ := pem.Decode(previous)
		if block == nil {
			return nil, errors.New("wants a list in PEM")
		}
		parsed, err := x509.ParseRevocationList(block.Bytes)
		if err != nil {
			return nil, err
		}
		if err := parsed.CheckSignatureFrom(a.Certificate); err != nil {
			return nil, err
		}
		list.RevokedCertificateEntries = parsed.RevokedCertificateEntries
		list.Number.Add(parsed.Number, big.NewInt(1))
	}
	for _, serial := range serials {
		list.RevokedCertificateEntries = append(list.RevokedCertificateEntries,
			x509.RevocationListEntry{SerialNumber: serial, RevocationTime: now})
	}
	der, err := x509.CreateRevocationList(rand.Reader, list, a.Certificate, a.privateKey)
	if err != nil {
		return nil, err
	}
	return pem.EncodeToMemory(&pem.Block{Type: "X509 CRL", Bytes: der}), nil
}

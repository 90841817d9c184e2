package certs

import (
	"bytes"
	"crypto/x509"
	"encoding/pem"
	"errors"
)

// Types of PEM blocks.
const (
	certificateBlock    = "CERTIFICATE"
	privateKeyBlock     = "PRIVATE KEY"
	revocationListBlock = "X509 CRL"
)

// ParseCertificates reads all certificates of a PEM text, one at least; blocks of other types are skipped.
func ParseCertificates(text []byte) ([]*x509.Certificate, error) {
	var certificates []*x509.Certificate
	for {
		var block *pem.Block
		block, text = pem.Decode(text)
		if block == nil {
			break
		}
		if block.Type != certificateBlock {
			continue
		}
		certificate, err := x509.ParseCertificate(block.Bytes)
		if err != nil {
			return nil, err
		}
		certificates = append(certificates, certificate)
	}
	if len(certificates) == 0 {
		return nil, errors.New("wants a certificate in PEM")
	}
	if len(bytes.TrimSpace(text)) > 0 { // as of a file that is still being written
		return nil, errors.New("ends in the middle of a certificate")
	}
	return certificates, nil
}

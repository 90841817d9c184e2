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

// ParseCertificates parses all certificates in a PEM text and skips blocks of other types. It returns an error if
// there is no certificate, if one is invalid, or if text follows the last complete block.
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
		return nil, errors.New("PEM text must contain a certificate")
	}
	if len(bytes.TrimSpace(text)) > 0 { // for example if the file is still being written
		return nil, errors.New("PEM text of certificates must end with a complete block")
	}
	return certificates, nil
}

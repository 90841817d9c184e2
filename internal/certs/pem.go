package certs

import (
	"bytes"
	"crypto/x509"
	"encoding/pem"
	"errors"
)

// ParseCertificates reads all certificates of a PEM text.
func ParseCertificates(text []byte) (parsed []*x509.Certificate, err error) {
	rest := text
	for {
		var block *pem.Block
		if block, rest = pem.Decode(rest); block == nil {
			break
		}
		if block.Type != "CERTIFICATE" {
			continue
		}
		certificate, err := x509.ParseCertificate(block.Bytes)
		if err != nil {
			return nil, err
		}
		parsed = append(parsed, certificate)
	}
	if len(parsed) == 0 {
		return nil, errors.New("wants a certificate in PEM")
	}
	if len(bytes.TrimSpace(rest)) > 0 { // Danger: a file that is still being written
		return nil, errors.New("ends in the middle of a certificate")
	}
	return parsed, nil
}

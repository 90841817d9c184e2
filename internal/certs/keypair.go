package certs

import (
	"crypto"
	"crypto/x509"
	"encoding/pem"
	"errors"
)

// KeyPair is a certificate with its private key.
type KeyPair struct {
	Certificate *x509.Certificate
	privateKey  crypto.Signer
}

// EncodePEM returns the certificate and the private key in PEM format. The private key is encoded in PKCS #8.
func (p KeyPair) EncodePEM() (certificate, privateKey []byte, err error) {
	der, err := x509.MarshalPKCS8PrivateKey(p.privateKey)
	if err != nil {
		return nil, nil, err
	}
	certificate = pem.EncodeToMemory(&pem.Block{Type: certificateBlock, Bytes: p.Certificate.Raw})
	privateKey = pem.EncodeToMemory(&pem.Block{Type: privateKeyBlock, Bytes: der})
	return certificate, privateKey, nil
}

// ParseKeyPair parses a certificate and a private key in the format of EncodePEM. Its errors contain no part of the
// private key.
func ParseKeyPair(certificate, privateKey []byte) (KeyPair, error) {
	certificates, err := ParseCertificates(certificate)
	if err != nil {
		return KeyPair{}, err
	}
	block, _ := pem.Decode(privateKey)
	if block == nil {
		return KeyPair{}, errors.New("private key must be in PEM format")
	}
	parsed, err := x509.ParsePKCS8PrivateKey(block.Bytes)
	if err != nil {
		return KeyPair{}, errors.New("private key must be in PKCS #8 format")
	}
	signer, isSigner := parsed.(crypto.Signer)
	if !isSigner {
		return KeyPair{}, errors.New("private key must support signing")
	}
	return KeyPair{certificates[0], signer}, nil
}

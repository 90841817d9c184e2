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

// EncodePEM gives a pair as PEM: the certificate, and the private key in PKCS 8.
func (p KeyPair) EncodePEM() (cert, key []byte, err error) {
	der, err := x509.MarshalPKCS8PrivateKey(p.privateKey)
	if err != nil {
		return nil, nil, err
	}
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: p.Certificate.Raw}),
		pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: der}), nil
}

// ParseKeyPair reads what Texts wrote.
func ParseKeyPair(cert, key []byte) (KeyPair, error) {
	certificates, err := ParseCertificates(cert)
	if err != nil {
		return KeyPair{}, err
	}
	block, _ := pem.Decode(key)
	if block == nil {
		return KeyPair{}, errors.New("wants a private key in PEM")
	}
	privateKey, err := x509.ParsePKCS8PrivateKey(block.Bytes)
	if err != nil {
		return KeyPair{}, errors.New("wants a private key in PKCS 8")
	}
	signer, ok := privateKey.(crypto.Signer)
	if !ok {
		return KeyPair{}, errors.New("wants a private key that signs")
	}
	return KeyPair{certificates[0], signer}, nil
}

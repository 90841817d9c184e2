package certs

import (
	"bytes"
	"crypto"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"math/big"
	"net"
	"net/url"
	"time"
)

// KeyPair is a certificate with its private key.
type KeyPair struct {
	Certificate *x509.Certificate
	privateKey  crypto.Signer
}

// Subject is whom a certificate is for.
type Subject struct {
	CommonName string   // common name
	URIs       []string // as rota://water/handheld-7
	Hosts      []string // DNS names and IP addresses
}

// clockSkew is how far before now a certificate begins: clocks differ.
const clockSkew = 5 * time.Minute

func newTemplate(name string, now time.Time, validity time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 120))
	if err != nil {
		return nil, err
	}
	return &x509.Certificate{SerialNumber: serial, Subject: pkix.Name{CommonName: name}, NotBefore: now.Add(-clockSkew),
		NotAfter: now.Add(validity), BasicConstraintsValid: true}, nil
}

func signCertificate(template, parent *x509.Certificate, signer crypto.Signer) (KeyPair, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return KeyPair{}, err
	}
	if signer == nil {
		parent, signer = template, key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, key.Public(), signer)
	if err != nil {
		return KeyPair{}, err
	}
	cert, err := x509.ParseCertificate(der)
	return KeyPair{cert, key}, err
}

// NewAuthority makes an authority of its own, on P-256.
func NewAuthority(name string, now time.Time, validity time.Duration) (KeyPair, error) {
	template, err := newTemplate(name, now, validity)
	if err != nil {
		return KeyPair{}, err
	}
	template.IsCA, template.MaxPathLen, template.MaxPathLenZero = true, 0, true
	template.KeyUsage = x509.KeyUsageCertSign | x509.KeyUsageCRLSign
	return signCertificate(template, nil, nil)
}

// Issue makes a certificate for a client, or for a server.
func (a KeyPair) Issue(subject Subject, server bool, now time.Time, validity time.Duration) (KeyPair, error) {
	template, err := newTemplate(subject.CommonName, now, validity)
	if err != nil {
		return KeyPair{}, err
	}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth}
	if server {
		template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth}
	}
	for _, text := range subject.URIs {
		parsed, err := url.Parse(text)
		if err != nil {
			return KeyPair{}, err
		}
		template.URIs = append(template.URIs, parsed)
	}
	for _, host := range subject.Hosts {
		if ip := net.ParseIP(host); ip != nil {
			template.IPAddresses = append(template.IPAddresses, ip)
		} else {
			template.DNSNames = append(template.DNSNames, host)
		}
	}
	return signCertificate(template, a.Certificate, a.privateKey)
}

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

package certs

import (
	"crypto"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"net"
	"net/url"
	"time"
)

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

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

const (
	// clockSkew is the time by which the start of validity of certificates and revocation lists is backdated, because
	// clocks differ.
	clockSkew  = 5 * time.Minute
	serialBits = 120 // entropy of a serial number in bits
)

// Subject is the subject of a certificate.
type Subject struct {
	CommonName string
	URIs       []string // for example rota://water/handheld-7
	Hosts      []string // DNS names and IP addresses
}

// NewAuthority creates an authority with a P-256 key and a self-signed certificate.
func NewAuthority(name string, now time.Time, validity time.Duration) (KeyPair, error) {
	template, err := newTemplate(name, now, validity)
	if err != nil {
		return KeyPair{}, err
	}
	template.IsCA = true
	template.MaxPathLenZero = true // the authority issues certificates to clients and servers, not to other authorities
	template.KeyUsage = x509.KeyUsageCertSign | x509.KeyUsageCRLSign
	return signCertificate(template, nil)
}

// IssueClient creates a key and issues a certificate for a client.
func (p KeyPair) IssueClient(subject Subject, now time.Time, validity time.Duration) (KeyPair, error) {
	return p.issue(subject, x509.ExtKeyUsageClientAuth, now, validity)
}

// IssueServer creates a key and issues a certificate for a server.
func (p KeyPair) IssueServer(subject Subject, now time.Time, validity time.Duration) (KeyPair, error) {
	return p.issue(subject, x509.ExtKeyUsageServerAuth, now, validity)
}

func (p KeyPair) issue(
	subject Subject, usage x509.ExtKeyUsage, now time.Time, validity time.Duration,
) (KeyPair, error) {
	template, err := newTemplate(subject.CommonName, now, validity)
	if err != nil {
		return KeyPair{}, err
	}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{usage}
	for _, text := range subject.URIs {
		uri, err := url.Parse(text)
		if err != nil {
			return KeyPair{}, err
		}
		template.URIs = append(template.URIs, uri)
	}
	for _, host := range subject.Hosts {
		if ip := net.ParseIP(host); ip != nil {
			template.IPAddresses = append(template.IPAddresses, ip)
		} else {
			template.DNSNames = append(template.DNSNames, host)
		}
	}
	return signCertificate(template, &p)
}

func newTemplate(name string, now time.Time, validity time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, err
	}
	return &x509.Certificate{
		SerialNumber:          serial,
		Subject:               pkix.Name{CommonName: name},
		NotBefore:             now.Add(-clockSkew),
		NotAfter:              now.Add(validity),
		BasicConstraintsValid: true,
	}, nil
}

// signCertificate creates a key and a certificate from a template. The certificate is signed by authority, or
// self-signed if authority is nil.
func signCertificate(template *x509.Certificate, authority *KeyPair) (KeyPair, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return KeyPair{}, err
	}
	parent := template
	var signer crypto.Signer = key
	if authority != nil {
		parent = authority.Certificate
		signer = authority.privateKey
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, key.Public(), signer)
	if err != nil {
		return KeyPair{}, err
	}
	certificate, err := x509.ParseCertificate(der)
	return KeyPair{certificate, key}, err
}

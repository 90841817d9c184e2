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

// Pair is a certificate with its private key.
type Pair struct {
	Cert *x509.Certificate
	Key  crypto.Signer
}

// Subject is whom a certificate is for.
type Subject struct {
	Name  string   // common name
	URIs  []string // as rota://water/handheld-7
	Hosts []string // DNS names and IP addresses
}

// slack is how far before now a certificate begins: clocks differ.
const slack = 5 * time.Minute

func template(name string, now time.Time, span time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 120))
	if err != nil {
		return nil, err
	}
	return &x509.Certificate{SerialNumber: serial, Subject: pkix.Name{CommonName: name}, NotBefore: now.Add(-slack),
		NotAfter: now.Add(span), BasicConstraintsValid: true}, nil
}

func sign(t, parent *x509.Certificate, by crypto.Signer) (Pair, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Pair{}, err
	}
	if by == nil {
		parent, by = t, key
	}
	der, err := x509.CreateCertificate(rand.Reader, t, parent, key.Public(), by)
	if err != nil {
		return Pair{}, err
	}
	cert, err := x509.ParseCertificate(der)
	return Pair{cert, key}, err
}

// NewAuthority makes an authority of its own, on P-256.
func NewAuthority(name string, now time.Time, span time.Duration) (Pair, error) {
	t, err := template(name, now, span)
	if err != nil {
		return Pair{}, err
	}
	t.IsCA, t.MaxPathLen, t.MaxPathLenZero = true, 0, true
	t.KeyUsage = x509.KeyUsageCertSign | x509.KeyUsageCRLSign
	return sign(t, nil, nil)
}

// Issue makes a certificate for a client, or for a server.
func (a Pair) Issue(s Subject, server bool, now time.Time, span time.Duration) (Pair, error) {
	t, err := template(s.Name, now, span)
	if err != nil {
		return Pair{}, err
	}
	t.KeyUsage = x509.KeyUsageDigitalSignature
	t.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth}
	if server {
		t.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth}
	}
	for _, text := range s.URIs {
		u, err := url.Parse(text)
		if err != nil {
			return Pair{}, err
		}
		t.URIs = append(t.URIs, u)
	}
	for _, host := range s.Hosts {
		if ip := net.ParseIP(host); ip != nil {
			t.IPAddresses = append(t.IPAddresses, ip)
		} else {
			t.DNSNames = append(t.DNSNames, host)
		}
	}
	return sign(t, a.Cert, a.Key)
}

// Revoke gives a list, PEM, with all that old has and the serials given; old may be empty. It is due anew after span.
func (a Pair) Revoke(old []byte, serials []*big.Int, now time.Time, span time.Duration) ([]byte, error) {
	l := &x509.RevocationList{Number: big.NewInt(1), ThisUpdate: now.Add(-slack), NextUpdate: now.Add(span)}
	if len(bytes.TrimSpace(old)) > 0 {
		block, _ := pem.Decode(old)
		if block == nil {
			return nil, errors.New("wants a list in PEM")
		}
		before, err := x509.ParseRevocationList(block.Bytes)
		if err != nil {
			return nil, err
		}
		if err := before.CheckSignatureFrom(a.Cert); err != nil {
			return nil, err
		}
		l.RevokedCertificateEntries = before.RevokedCertificateEntries
		l.Number.Add(before.Number, big.NewInt(1))
	}
	for _, serial := range serials {
		l.RevokedCertificateEntries = append(l.RevokedCertificateEntries,
			x509.RevocationListEntry{SerialNumber: serial, RevocationTime: now})
	}
	der, err := x509.CreateRevocationList(rand.Reader, l, a.Cert, a.Key)
	if err != nil {
		return nil, err
	}
	return pem.EncodeToMemory(&pem.Block{Type: "X509 CRL", Bytes: der}), nil
}

// Texts gives a pair as PEM: the certificate, and the private key in PKCS 8.
func (p Pair) Texts() (cert, key []byte, err error) {
	der, err := x509.MarshalPKCS8PrivateKey(p.Key)
	if err != nil {
		return nil, nil, err
	}
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: p.Cert.Raw}),
		pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: der}), nil
}

// ReadPair reads what Texts wrote.
func ReadPair(cert, key []byte) (Pair, error) {
	all, err := Certificates(cert)
	if err != nil {
		return Pair{}, err
	}
	block, _ := pem.Decode(key)
	if block == nil {
		return Pair{}, errors.New("wants a private key in PEM")
	}
	read, err := x509.ParsePKCS8PrivateKey(block.Bytes)
	if err != nil {
		return Pair{}, errors.New("wants a private key in PKCS 8")
	}
	signer, is := read.(crypto.Signer)
	if !is {
		return Pair{}, errors.New("wants a private key that signs")
	}
	return Pair{all[0], signer}, nil
}

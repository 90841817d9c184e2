package certs

import (
	"bytes"
	"crypto/x509"
	"encoding/pem"
	"fmt"
	"math/big"
	"os"
	"testing"
	"time"

	"lanewheel/internal/authz"
	"lanewheel/internal/setuptest"
)

// The files of testdata/golden were written by "lanewheel cert authority", "cert issue" and "cert revoke", and are
// good until 2117 at the least. Their keys are for this test alone.

func golden(name string) []byte { return setuptest.Must(os.ReadFile("testdata/golden/" + name)) }

// Pairs read, and are written again to the byte; each is for what it was made for.
func TestGoldenPairs(t *testing.T) {
	authority := setuptest.Must(ParseKeyPair(golden("authority.pem"), golden("authority.key")))
	for _, of := range []struct {
		name, subject string
		usage         x509.KeyUsage
		extra         []x509.ExtKeyUsage
		is            string
	}{
		{"authority", "CN=depot authority", x509.KeyUsageCertSign | x509.KeyUsageCRLSign, nil, "true [] [] []"},
		{"client", "CN=handheld", x509.KeyUsageDigitalSignature, []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth},
			"false [rota://water/7] [h.example] [10.0.0.1]"},
		{"server", "CN=server", x509.KeyUsageDigitalSignature, []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
			"false [] [node.example] [127.0.0.1]"},
	} {
		cert, key := golden(of.name+".pem"), golden(of.name+".key")
		pair := setuptest.Must(ParseKeyPair(cert, key))
		c := pair.Certificate
		is := fmt.Sprint(c.IsCA, c.URIs, c.DNSNames, c.IPAddresses)
		if c.Subject.String() != of.subject || c.KeyUsage != of.usage || fmt.Sprint(c.ExtKeyUsage) != fmt.Sprint(of.extra) ||
			is != of.is {
			t.Errorf("%s: %s, usage %b %v, %s", of.name, c.Subject, c.KeyUsage, c.ExtKeyUsage, is)
		}
		if err := c.CheckSignatureFrom(authority.Certificate); err != nil {
			t.Errorf("%s: %v", of.name, err)
		}
		againCert, againKey, err := pair.EncodePEM()
		if err != nil || !bytes.Equal(againCert, cert) || !bytes.Equal(againKey, key) {
			t.Errorf("%s is written as\n%s%swant\n%s%s %v", of.name, againCert, againKey, cert, key, err)
		}
	}
}

// What the stored chains prove, with the stored list and without it.
func TestGoldenProofs(t *testing.T) {
	trust := setuptest.Must(NewTrustStore(golden("authority.pem"), golden("revoked.pem"), time.Hour, false, start))
	without := setuptest.Must(NewTrustStore(golden("authority.pem"), nil, 0, false, start))
	for _, of := range []struct {
		trust *TrustStore
		name  string
		why   authz.Denial
		names string
	}{{trust, "client", "", "[uri:rota://water/7 dns:h.example subject:CN=handheld]"}, {trust, "taken", "revoked", ""},
		{without, "taken", "", "[uri:rota://water/8 subject:CN=taken]"}, {trust, "server", "untrusted", ""}} {
		p, why := of.trust.Verify(setuptest.Must(ParseCertificates(golden(of.name+".pem"))), start)
		if why != of.why {
			t.Errorf("%s: %q, want %q", of.name, why, of.why)
		}
		if why == "" && fmt.Sprint(p.Identities) != of.names {
			t.Errorf("%s proves %v", of.name, p.Identities)
		}
	}
	list := setuptest.Must(x509.ParseRevocationList(block(golden("revoked.pem"))))
	if due := trust.revocationListDue(); !due.Equal(list.NextUpdate.Add(time.Hour)) {
		t.Errorf("due anew at %v, says %v", due, list.NextUpdate)
	}
}

func block(text []byte) []byte {
	b, rest := pem.Decode(text)
	if b == nil || b.Type != "X509 CRL" || len(rest) > 0 {
		panic("no list alone")
	}
	return b.Bytes
}

// A list goes on from the stored one: what was taken back stays so, and its number rises.
func TestGoldenList(t *testing.T) {
	authority := setuptest.Must(ParseKeyPair(golden("authority.pem"), golden("authority.key")))
	taken := setuptest.Must(ParseCertificates(golden("taken.pem")))[0]
	before := setuptest.Must(x509.ParseRevocationList(block(golden("revoked.pem"))))
	if before.Number.Int64() != 2 || len(before.RevokedCertificateEntries) != 1 ||
		before.RevokedCertificateEntries[0].SerialNumber.Cmp(taken.SerialNumber) != 0 {
		t.Fatalf("number %v, %+v", before.Number, before.RevokedCertificateEntries)
	}
	text := setuptest.Must(authority.Revoke(golden("revoked.pem"), []*big.Int{big.NewInt(77)}, start, time.Hour))
	after := setuptest.Must(x509.ParseRevocationList(block(text)))
	if after.Number.Int64() != 3 || len(after.RevokedCertificateEntries) != 2 ||
		after.RevokedCertificateEntries[1].SerialNumber.Int64() != 77 ||
		after.RevokedCertificateEntries[0].SerialNumber.Cmp(taken.SerialNumber) != 0 ||
		!after.NextUpdate.Equal(start.Add(time.Hour)) ||
		!after.ThisUpdate.Equal(start.Add(-5*time.Minute)) {
		t.Errorf("number %v, %v to %v, %+v", after.Number, after.ThisUpdate, after.NextUpdate,
			after.RevokedCertificateEntries)
	}
}

// The reasons that are spoken, in answers, logs and listings.
func TestGoldenReasons(t *testing.T) {
	for reason, want := range map[authz.Denial]string{noCertificate: "no-certificate", Untrusted: "untrusted",
		expired: "expired", revoked: "revoked",
		staleRevocationList: "stale-list"} {
		if string(reason) != want {
			t.Errorf("%q, want %q", reason, want)
		}
	}
}

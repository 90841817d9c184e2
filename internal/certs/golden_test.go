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

// The files in testdata/golden were written by "lanewheel cert authority", "cert issue" and "cert revoke". They are
// valid until at least 2117. Their keys are used only in these tests.

func golden(name string) []byte { return setuptest.Must(os.ReadFile("testdata/golden/" + name)) }

// TestGoldenPairs checks that stored key pairs can be read, that encoding them yields the same bytes, and that each
// certificate has the subject, key usage and names that it was issued with.
func TestGoldenPairs(t *testing.T) {
	authority := setuptest.Must(ParseKeyPair(golden("authority.pem"), golden("authority.key")))
	for _, want := range []struct {
		name          string
		subject       string
		usage         x509.KeyUsage
		extendedUsage []x509.ExtKeyUsage
		names         string
	}{
		{"authority", "CN=depot authority", x509.KeyUsageCertSign | x509.KeyUsageCRLSign, nil, "true [] [] []"},
		{"client", "CN=handheld", x509.KeyUsageDigitalSignature, []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth},
			"false [rota://water/7] [h.example] [10.0.0.1]"},
		{"server", "CN=server", x509.KeyUsageDigitalSignature, []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
			"false [] [node.example] [127.0.0.1]"},
	} {
		text, keyText := golden(want.name+".pem"), golden(want.name+".key")
		pair := setuptest.Must(ParseKeyPair(text, keyText))
		got := pair.Certificate
		names := fmt.Sprint(got.IsCA, got.URIs, got.DNSNames, got.IPAddresses)
		if got.Subject.String() != want.subject || got.KeyUsage != want.usage ||
			fmt.Sprint(got.ExtKeyUsage) != fmt.Sprint(want.extendedUsage) || names != want.names {
			t.Errorf("%s: %s, usage %b %v, %s", want.name, got.Subject, got.KeyUsage, got.ExtKeyUsage, names)
		}
		if err := got.CheckSignatureFrom(authority.Certificate); err != nil {
			t.Errorf("%s: %v", want.name, err)
		}
		encoded, encodedKey, err := pair.EncodePEM()
		if err != nil || !bytes.Equal(encoded, text) || !bytes.Equal(encodedKey, keyText) {
			t.Errorf("%s: encoded as\n%s%swant\n%s%s %v", want.name, encoded, encodedKey, text, keyText, err)
		}
	}
}

// TestGoldenProofs checks the denials and identities of the stored certificates, with and without the stored revocation
// list.
func TestGoldenProofs(t *testing.T) {
	policy := RevocationPolicy{Grace: time.Hour}
	trust := setuptest.Must(NewTrustStore(golden("authority.pem"), golden("revoked.pem"), policy, start))
	without := setuptest.Must(NewTrustStore(golden("authority.pem"), nil, RevocationPolicy{}, start))
	for _, want := range []struct {
		trust      *TrustStore
		name       string
		denial     authz.Denial
		identities string
	}{
		{trust, "client", "", "[uri:rota://water/7 dns:h.example subject:CN=handheld]"},
		{trust, "taken", "revoked", ""},
		{without, "taken", "", "[uri:rota://water/8 subject:CN=taken]"},
		{trust, "server", "untrusted", ""},
	} {
		chain := setuptest.Must(ParseCertificates(golden(want.name + ".pem")))
		verified, denial := want.trust.Verify(chain, start)
		if denial != want.denial {
			t.Errorf("%s: denial %q, want %q", want.name, denial, want.denial)
		}
		if denial == "" && fmt.Sprint(verified.Identities) != want.identities {
			t.Errorf("%s: identities %v, want %s", want.name, verified.Identities, want.identities)
		}
	}
	list := setuptest.Must(x509.ParseRevocationList(decodeRevocationList(golden("revoked.pem"))))
	if len(trust.revocationLists) != 1 {
		t.Fatalf("%d revocation lists, want 1", len(trust.revocationLists))
	}
	if got := trust.revocationLists[0].validUntil; !got.Equal(list.NextUpdate.Add(time.Hour)) {
		t.Errorf("revocation list is valid until %v, want 1 h after %v", got, list.NextUpdate)
	}
}

// decodeRevocationList returns the DER bytes of the only revocation list in a PEM text.
func decodeRevocationList(text []byte) []byte {
	decoded, rest := pem.Decode(text)
	if decoded == nil || decoded.Type != "X509 CRL" || len(rest) > 0 {
		panic("text must contain one revocation list and nothing else")
	}
	return decoded.Bytes
}

// TestGoldenList checks that Revoke keeps the entries of the stored revocation list and increments its number.
func TestGoldenList(t *testing.T) {
	authority := setuptest.Must(ParseKeyPair(golden("authority.pem"), golden("authority.key")))
	revoked := setuptest.Must(ParseCertificates(golden("taken.pem")))[0]
	before := setuptest.Must(x509.ParseRevocationList(decodeRevocationList(golden("revoked.pem"))))
	if before.Number.Int64() != 2 || len(before.RevokedCertificateEntries) != 1 ||
		before.RevokedCertificateEntries[0].SerialNumber.Cmp(revoked.SerialNumber) != 0 {
		t.Fatalf("number %v, %+v", before.Number, before.RevokedCertificateEntries)
	}
	text := setuptest.Must(authority.Revoke(golden("revoked.pem"), []*big.Int{big.NewInt(77)}, start, time.Hour))
	after := setuptest.Must(x509.ParseRevocationList(decodeRevocationList(text)))
	if after.Number.Int64() != 3 || len(after.RevokedCertificateEntries) != 2 ||
		after.RevokedCertificateEntries[1].SerialNumber.Int64() != 77 ||
		after.RevokedCertificateEntries[0].SerialNumber.Cmp(revoked.SerialNumber) != 0 ||
		!after.NextUpdate.Equal(start.Add(time.Hour)) ||
		!after.ThisUpdate.Equal(start.Add(-5*time.Minute)) {
		t.Errorf("number %v, %v to %v, %+v", after.Number, after.ThisUpdate, after.NextUpdate,
			after.RevokedCertificateEntries)
	}
}

// TestGoldenDenials checks the texts of the denials, which appear in responses, logs and listings.
func TestGoldenDenials(t *testing.T) {
	for denial, want := range map[authz.Denial]string{
		noCertificate:       "no-certificate",
		Untrusted:           "untrusted",
		expired:             "expired",
		revoked:             "revoked",
		staleRevocationList: "stale-list",
	} {
		if string(denial) != want {
			t.Errorf("%q, want %q", denial, want)
		}
	}
}

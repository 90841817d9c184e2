package certs

import (
	"crypto/x509"
	"encoding/pem"
	"fmt"
	"math/big"
	"slices"
	"testing"
	"time"

	"lanewheel/internal/setuptest"
)

var (
	start          = time.Unix(1_800_000_000, 0)
	authority      = setuptest.Must(NewAuthority("water", start, 1000*time.Hour))
	otherAuthority = setuptest.Must(NewAuthority("roads", start, 1000*time.Hour))
)

func encodeCertificates(pairs ...KeyPair) []byte {
	var all []byte
	for _, pair := range pairs {
		certificate, _, err := pair.EncodePEM()
		all = append(all, setuptest.Must(certificate, err)...)
	}
	return all
}

func issueDevice(authority KeyPair, uri string) KeyPair {
	subject := Subject{CommonName: "handheld", URIs: []string{uri}, Hosts: []string{"h.example", "10.0.0.1"}}
	return setuptest.Must(authority.IssueClient(subject, start, 10*time.Hour))
}

// revocations returns the first revocation list of an authority, with the certificates of pairs.
func revocations(authority KeyPair, validity time.Duration, pairs ...KeyPair) []byte {
	return appendRevocations(authority, nil, validity, pairs...)
}

// appendRevocations returns the successor of the revocation list previous, with the certificates of pairs added.
func appendRevocations(authority KeyPair, previous []byte, validity time.Duration, pairs ...KeyPair) []byte {
	var serials []*big.Int
	for _, pair := range pairs {
		serials = append(serials, pair.Certificate.SerialNumber)
	}
	return setuptest.Must(authority.Revoke(previous, serials, start, validity))
}

// Example shows the identities that a chain proves, each reason why a chain is denied, and errors of NewTrustStore.
func Example() {
	good := issueDevice(authority, "rota://water/7")
	revoked := issueDevice(authority, "rota://water/8")
	foreign := issueDevice(otherAuthority, "rota://water/7")
	server := setuptest.Must(authority.IssueServer(Subject{CommonName: "node"}, start, time.Hour))
	list := revocations(authority, 2*time.Hour, revoked)
	withGrace := RevocationPolicy{Grace: time.Hour}
	trust := setuptest.Must(NewTrustStore(encodeCertificates(authority), list, withGrace, start))
	show := func(name string, at time.Duration, chain ...KeyPair) {
		var certificates []*x509.Certificate
		for _, pair := range chain {
			certificates = append(certificates, pair.Certificate)
		}
		verified, denial := trust.Verify(certificates, start.Add(at))
		fmt.Printf("%s: %q", name, denial)
		if denial == "" {
			fmt.Print(" ", verified.Identities)
		}
		fmt.Println()
	}
	show("good", 0, good)
	show("none", 0)
	show("revoked", 0, revoked)
	show("foreign", 0, foreign)
	show("a server's", 0, server)
	show("too early", -time.Hour, good)
	show("expired, and the list is stale", 11*time.Hour, good)
	show("with a stale list", 3*time.Hour, good)
	foreignList := revocations(otherAuthority, time.Hour)
	_, err := NewTrustStore(encodeCertificates(authority), foreignList, RevocationPolicy{}, start)
	fmt.Println(err)
	_, err = NewTrustStore(encodeCertificates(authority), list, withGrace, start.Add(3*time.Hour))
	fmt.Println(err)
	_, err = NewTrustStore(encodeCertificates(good), nil, RevocationPolicy{}, start)
	fmt.Println(err)
	// Output:
	// good: "" [uri:rota://water/7 dns:h.example subject:CN=handheld]
	// none: "no-certificate"
	// revoked: "revoked"
	// foreign: "untrusted"
	// a server's: "untrusted"
	// too early: "expired"
	// expired, and the list is stale: "expired"
	// with a stale list: "stale-list"
	// revocation list of CN=roads is not signed by a configured authority
	// revocation list of CN=water is stale: the next one was due at 2027-01-15T10:00:00Z
	// certificate CN=handheld is not a CA certificate
}

// Example_recheck checks a chain again as revocation lists, authorities and time change. If none of them has changed,
// the check takes only a few comparisons.
func Example_recheck() {
	device := issueDevice(authority, "rota://water/7")
	both := encodeCertificates(authority, otherAuthority)
	trust := setuptest.Must(NewTrustStore(both, nil, RevocationPolicy{}, start))
	verified, _ := trust.Verify([]*x509.Certificate{device.Certificate}, start)
	fmt.Printf("%q %v\n", trust.Recheck(verified, start), verified.ValidAt(start.Add(10*time.Hour)))
	list := revocations(authority, time.Hour)
	trust = setuptest.Must(NewTrustStore(both, list, RevocationPolicy{}, start))
	fmt.Printf("%q in time %v, ", trust.Recheck(verified, start), verified.ValidAt(start))
	later := start.Add(time.Hour)
	fmt.Printf("later %v %q\n", verified.ValidAt(later), trust.Recheck(verified, later))
	trust = setuptest.Must(NewTrustStore(both, list, RevocationPolicy{AllowStale: true}, start))
	fmt.Printf("allowed: %q\n", trust.Recheck(verified, later))
	newer := appendRevocations(authority, list, time.Hour, device)
	newerFirst := slices.Concat(newer, list) // the older list after the newer one is ignored
	trust = setuptest.Must(NewTrustStore(both, newerFirst, RevocationPolicy{}, start))
	fmt.Printf("%q\n", trust.Recheck(verified, start))
	trust = setuptest.Must(NewTrustStore(encodeCertificates(otherAuthority), nil, RevocationPolicy{}, start))
	fmt.Printf("%q\n", trust.Recheck(verified, start))
	// Output:
	// "" false
	// "" in time true, later false "stale-list"
	// allowed: ""
	// "revoked"
	// "untrusted"
}

// TestTruncatedFiles checks that a revocation list that is truncated after any byte is rejected, and that truncated
// authorities are rejected unless they end after the first certificate.
func TestTruncatedFiles(t *testing.T) {
	device := issueDevice(authority, "rota://water/7")
	list := revocations(authority, time.Hour, device)
	roots := encodeCertificates(authority, otherAuthority)
	for n := 1; n < len(list)-1; n++ {
		if _, err := NewTrustStore(roots, list[:n], RevocationPolicy{}, start); err == nil {
			t.Fatalf("revocation list truncated after %d of %d bytes is accepted", n, len(list))
		}
	}
	first := len(encodeCertificates(authority))
	for n := range len(roots) - 1 { // a text without its last line feed is still complete
		certificates, err := ParseCertificates(roots[:n])
		if err == nil && (len(certificates) != 1 || n < first-1 || n > first) {
			t.Fatalf("authorities truncated after %d of %d bytes are accepted", n, len(roots))
		}
	}
}

func FuzzTrust(f *testing.F) {
	block, _ := pem.Decode(setuptest.Must(authority.Revoke(nil, []*big.Int{big.NewInt(7)}, start, time.Hour)))
	f.Add(encodeCertificates(authority), block.Bytes)
	f.Fuzz(func(_ *testing.T, roots, list []byte) {
		text := pem.EncodeToMemory(&pem.Block{Type: revocationListBlock, Bytes: list})
		_, _ = NewTrustStore(roots, text, RevocationPolicy{}, start) // must not panic
		_, _ = NewTrustStore(encodeCertificates(authority), list, RevocationPolicy{}, start)
	})
}

func BenchmarkVerify(b *testing.B) {
	list := revocations(authority, 9*time.Hour)
	trust := setuptest.Must(NewTrustStore(encodeCertificates(authority), list, RevocationPolicy{}, start))
	chain := []*x509.Certificate{issueDevice(authority, "rota://water/7").Certificate}
	verified, _ := trust.Verify(chain, start)
	b.Run("verify", func(b *testing.B) {
		for range b.N {
			trust.Verify(chain, start)
		}
	})
	b.Run("recheck", func(b *testing.B) {
		for range b.N {
			trust.Recheck(verified, start)
		}
	})
}

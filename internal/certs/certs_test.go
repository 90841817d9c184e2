package certs

import (
	"crypto/x509"
	"encoding/pem"
	"fmt"
	"math/big"
	"testing"
	"time"

	"lanewheel/internal/setuptest"
)

var (
	start          = time.Unix(1_800_000_000, 0)
	authority      = setuptest.Must(NewAuthority("water", start, 1000*time.Hour))
	otherAuthority = setuptest.Must(NewAuthority("roads", start, 1000*time.Hour))
)

func encodeCertificates(pairs ...KeyPair) (all []byte) {
	for _, p := range pairs {
		cert, _, err := p.EncodePEM()
		all = append(all, setuptest.Must(cert, err)...)
	}
	return all
}

func issueDevice(a KeyPair, uri string) KeyPair {
	return setuptest.Must(a.Issue(Subject{CommonName: "handheld", URIs: []string{uri}, Hosts: []string{"h.example", "10.0.0.1"}}, false, start, 10*time.Hour))
}

// What a chain proves, and each way in which it proves nothing.
func Example() {
	good, taken, foreign := issueDevice(authority, "rota://water/7"), issueDevice(authority, "rota://water/8"), issueDevice(otherAuthority, "rota://water/7")
	server := setuptest.Must(authority.Issue(Subject{CommonName: "node"}, true, start, time.Hour))
	list := setuptest.Must(authority.Revoke(nil, []*big.Int{taken.Certificate.SerialNumber}, start, 2*time.Hour))
	t := setuptest.Must(NewTrustStore(encodeCertificates(authority), list, time.Hour, false, start))
	show := func(name string, at time.Duration, chain ...KeyPair) {
		var certs []*x509.Certificate
		for _, p := range chain {
			certs = append(certs, p.Certificate)
		}
		p, why := t.Verify(certs, start.Add(at))
		fmt.Printf("%s: %q", name, why)
		if why == "" {
			fmt.Print(" ", p.Identities)
		}
		fmt.Println()
	}
	show("good", 0, good)
	show("none", 0)
	show("taken back", 0, taken)
	show("foreign", 0, foreign)
	show("a server's", 0, server)
	show("too early", -time.Hour, good)
	show("over, and the list is old", 11*time.Hour, good)
	show("with an old list", 3*time.Hour, good)
	_, err := NewTrustStore(encodeCertificates(authority), setuptest.Must(otherAuthority.Revoke(nil, nil, start, time.Hour)), 0, false, start)
	fmt.Println(err)
	_, err = NewTrustStore(encodeCertificates(authority), list, time.Hour, false, start.Add(3*time.Hour))
	fmt.Println(err)
	_, err = NewTrustStore(encodeCertificates(good), nil, 0, false, start)
	fmt.Println(err)
	// Output:
	// good: "" [uri:rota://water/7 dns:h.example subject:CN=handheld]
	// none: "no-certificate"
	// taken back: "revoked"
	// foreign: "untrusted"
	// a server's: "untrusted"
	// too early: "expired"
	// over, and the list is old: "expired"
	// with an old list: "stale-list"
	// the list of CN=roads is not signed by a told authority
	// the list of CN=water was due anew at 2027-01-15T10:00:00Z
	// CN=handheld is no authority's certificate
}

// A proof is looked at again as lists, authorities and time change; while nothing has, that is two comparisons.
func Example_recheck() {
	d := issueDevice(authority, "rota://water/7")
	t := setuptest.Must(NewTrustStore(encodeCertificates(authority, otherAuthority), nil, 0, false, start))
	p, _ := t.Verify([]*x509.Certificate{d.Certificate}, start)
	fmt.Printf("%q %v\n", t.Recheck(p, start), p.ValidAt(start.Add(10*time.Hour)))
	list := setuptest.Must(authority.Revoke(nil, nil, start, time.Hour))
	t = setuptest.Must(NewTrustStore(encodeCertificates(authority, otherAuthority), list, 0, false, start))
	fmt.Printf("%q in time %v, later %v %q\n", t.Recheck(p, start), p.ValidAt(start), p.ValidAt(start.Add(time.Hour)), t.Recheck(p, start.Add(time.Hour)))
	t = setuptest.Must(NewTrustStore(encodeCertificates(authority, otherAuthority), list, 0, true, start))
	fmt.Printf("allowed: %q\n", t.Recheck(p, start.Add(time.Hour)))
	newer := setuptest.Must(authority.Revoke(list, []*big.Int{d.Certificate.SerialNumber}, start, time.Hour))
	t = setuptest.Must(NewTrustStore(encodeCertificates(authority, otherAuthority), append(newer, list...), 0, false, start)) // the older one behind it changes nothing
	fmt.Printf("%q\n", t.Recheck(p, start))
	t = setuptest.Must(NewTrustStore(encodeCertificates(otherAuthority), nil, 0, false, start))
	fmt.Printf("%q\n", t.Recheck(p, start))
	// Output:
	// "" false
	// "" in time true, later false "stale-list"
	// allowed: ""
	// "revoked"
	// "untrusted"
}

// Files that are cut after any byte are refused, or say the same; a list that is cut never says less.
func TestCut(t *testing.T) {
	d := issueDevice(authority, "rota://water/7")
	list := setuptest.Must(authority.Revoke(nil, []*big.Int{d.Certificate.SerialNumber}, start, time.Hour))
	roots := encodeCertificates(authority, otherAuthority)
	for n := range len(list) {
		if n > 0 && n < len(list)-1 {
			if _, err := NewTrustStore(roots, list[:n], 0, false, start); err == nil {
				t.Fatalf("a list cut after %d of %d bytes is taken", n, len(list))
			}
		}
	}
	for n := range len(roots) {
		all, err := ParseCertificates(roots[:n])
		if one := len(encodeCertificates(authority)); err == nil && (len(all) != 1 || n < one-1 || n > one) && n != len(roots)-1 {
			t.Fatalf("authorities cut after %d of %d bytes are taken", n, len(roots))
		}
	}
}

func FuzzTrust(f *testing.F) {
	block, _ := pem.Decode(setuptest.Must(authority.Revoke(nil, []*big.Int{big.NewInt(7)}, start, time.Hour)))
	f.Add(encodeCertificates(authority), block.Bytes)
	f.Fuzz(func(t *testing.T, roots, list []byte) {
		_, _ = NewTrustStore(roots, pem.EncodeToMemory(&pem.Block{Type: "X509 CRL", Bytes: list}), 0, false, start)
		_, _ = NewTrustStore(encodeCertificates(authority), list, 0, false, start)
	})
}

func BenchmarkVerify(b *testing.B) {
	t := setuptest.Must(NewTrustStore(encodeCertificates(authority), setuptest.Must(authority.Revoke(nil, nil, start, 9*time.Hour)), 0, false, start))
	chain := []*x509.Certificate{issueDevice(authority, "rota://water/7").Certificate}
	p, _ := t.Verify(chain, start)
	b.Run("anew", func(b *testing.B) {
		for range b.N {
			t.Verify(chain, start)
		}
	})
	b.Run("still", func(b *testing.B) {
		for range b.N {
			t.Recheck(p, start)
		}
	})
}

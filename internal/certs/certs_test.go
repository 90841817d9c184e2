package certs

import (
	"crypto/x509"
	"encoding/pem"
	"fmt"
	"math/big"
	"testing"
	"time"

	"lanewheel/internal/scenes"
)

var (
	start     = time.Unix(1_800_000_000, 0)
	authority = scenes.Must(NewAuthority("water", start, 1000*time.Hour))
	other     = scenes.Must(NewAuthority("roads", start, 1000*time.Hour))
)

func text(pairs ...Pair) (all []byte) {
	for _, p := range pairs {
		cert, _, err := p.Texts()
		all = append(all, scenes.Must(cert, err)...)
	}
	return all
}

func device(a Pair, uri string) Pair {
	return scenes.Must(a.Issue(Subject{Name: "handheld", URIs: []string{uri}, Hosts: []string{"h.example", "10.0.0.1"}}, false, start, 10*time.Hour))
}

// What a chain proves, and each way in which it proves nothing.
func Example() {
	good, taken, foreign := device(authority, "rota://water/7"), device(authority, "rota://water/8"), device(other, "rota://water/7")
	server := scenes.Must(authority.Issue(Subject{Name: "node"}, true, start, time.Hour))
	list := scenes.Must(authority.Revoke(nil, []*big.Int{taken.Cert.SerialNumber}, start, 2*time.Hour))
	t := scenes.Must(NewTrust(text(authority), list, time.Hour, false, start))
	show := func(name string, at time.Duration, chain ...Pair) {
		var certs []*x509.Certificate
		for _, p := range chain {
			certs = append(certs, p.Cert)
		}
		p, why := t.Prove(certs, start.Add(at))
		fmt.Printf("%s: %q", name, why)
		if why == "" {
			fmt.Print(" ", p.Names)
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
	_, err := NewTrust(text(authority), scenes.Must(other.Revoke(nil, nil, start, time.Hour)), 0, false, start)
	fmt.Println(err)
	_, err = NewTrust(text(authority), list, time.Hour, false, start.Add(3*time.Hour))
	fmt.Println(err)
	_, err = NewTrust(text(good), nil, 0, false, start)
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
func Example_still() {
	d := device(authority, "rota://water/7")
	t := scenes.Must(NewTrust(text(authority, other), nil, 0, false, start))
	p, _ := t.Prove([]*x509.Certificate{d.Cert}, start)
	fmt.Printf("%q %v\n", t.Still(p, start), p.In(start.Add(10*time.Hour)))
	list := scenes.Must(authority.Revoke(nil, nil, start, time.Hour))
	t = scenes.Must(NewTrust(text(authority, other), list, 0, false, start))
	fmt.Printf("%q in time %v, later %v %q\n", t.Still(p, start), p.In(start), p.In(start.Add(time.Hour)), t.Still(p, start.Add(time.Hour)))
	t = scenes.Must(NewTrust(text(authority, other), list, 0, true, start))
	fmt.Printf("allowed: %q\n", t.Still(p, start.Add(time.Hour)))
	newer := scenes.Must(authority.Revoke(list, []*big.Int{d.Cert.SerialNumber}, start, time.Hour))
	t = scenes.Must(NewTrust(text(authority, other), append(newer, list...), 0, false, start)) // the older one behind it changes nothing
	fmt.Printf("%q\n", t.Still(p, start))
	t = scenes.Must(NewTrust(text(other), nil, 0, false, start))
	fmt.Printf("%q\n", t.Still(p, start))
	// Output:
	// "" false
	// "" in time true, later false "stale-list"
	// allowed: ""
	// "revoked"
	// "untrusted"
}

// Files that are cut after any byte are refused, or say the same; a list that is cut never says less.
func TestCut(t *testing.T) {
	d := device(authority, "rota://water/7")
	list := scenes.Must(authority.Revoke(nil, []*big.Int{d.Cert.SerialNumber}, start, time.Hour))
	roots := text(authority, other)
	for n := range len(list) {
		if n > 0 && n < len(list)-1 {
			if _, err := NewTrust(roots, list[:n], 0, false, start); err == nil {
				t.Fatalf("a list cut after %d of %d bytes is taken", n, len(list))
			}
		}
	}
	for n := range len(roots) {
		all, err := Certificates(roots[:n])
		if one := len(text(authority)); err == nil && (len(all) != 1 || n < one-1 || n > one) && n != len(roots)-1 {
			t.Fatalf("authorities cut after %d of %d bytes are taken", n, len(roots))
		}
	}
}

func FuzzTrust(f *testing.F) {
	block, _ := pem.Decode(scenes.Must(authority.Revoke(nil, []*big.Int{big.NewInt(7)}, start, time.Hour)))
	f.Add(text(authority), block.Bytes)
	f.Fuzz(func(t *testing.T, roots, list []byte) {
		_, _ = NewTrust(roots, pem.EncodeToMemory(&pem.Block{Type: "X509 CRL", Bytes: list}), 0, false, start)
		_, _ = NewTrust(text(authority), list, 0, false, start)
	})
}

func BenchmarkProve(b *testing.B) {
	t := scenes.Must(NewTrust(text(authority), scenes.Must(authority.Revoke(nil, nil, start, 9*time.Hour)), 0, false, start))
	chain := []*x509.Certificate{device(authority, "rota://water/7").Cert}
	p, _ := t.Prove(chain, start)
	b.Run("anew", func(b *testing.B) {
		for range b.N {
			t.Prove(chain, start)
		}
	})
	b.Run("still", func(b *testing.B) {
		for range b.N {
			t.Still(p, start)
		}
	})
}

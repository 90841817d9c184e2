// Package certs decides on client certificates: whether a chain leads to a told authority, whether a certificate was taken
// back, and which identities it proves. It is pure; issue.go makes certificates for the operators' commands.
package certs

import (
	"bytes"
	"crypto/sha256"
	"crypto/x509"
	"encoding/pem"
	"errors"
	"fmt"
	"math/big"
	"time"

	"lanewheel/internal/rights"
)

// Why a certificate proves nothing.
const (
	NoCertificate rights.Denial = "no-certificate"
	Untrusted     rights.Denial = "untrusted"  // no told authority stands behind it, or it is not for clients
	Expired       rights.Denial = "expired"    // or not valid yet
	Revoked       rights.Denial = "revoked"    // it, or what stands between it and its authority
	StaleList     rights.Denial = "stale-list" // the list of what is taken back is too old to say
)

// Trust is authorities and what they took back. It never changes.
type Trust struct {
	roots     *x509.CertPool
	digest    [sha256.Size]byte
	lists     []*list
	allowOld  bool
	authority []*x509.Certificate
}

// list is what one authority took back.
type list struct {
	issuer  []byte // raw subject of the authority
	serials map[string]bool
	number  *big.Int
	until   time.Time // when the next list was due, with the told grace
}

// Bounds of what is read: some authorities, and lists far longer than any fleet of devices.
const (
	mostAuthorities = 32
	mostRevoked     = 200_000
)

// NewTrust reads authorities and lists, both PEM; lists may be empty. A list has to be signed by one of the authorities and,
// at the moment given, no older than it says plus grace. With allowOld one that grows too old later goes on counting, and
// else certificates of its authority no longer prove anything then.
func NewTrust(authorities, lists []byte, grace time.Duration, allowOld bool, wall time.Time) (*Trust, error) {
	t := &Trust{roots: x509.NewCertPool(), digest: sha256.Sum256(authorities), allowOld: allowOld}
	all, err := Certificates(authorities)
	if err != nil {
		return nil, err
	}
	if len(all) > mostAuthorities {
		return nil, fmt.Errorf("%d authorities, wants %d or fewer", len(all), mostAuthorities)
	}
	for _, a := range all {
		if !a.IsCA {
			return nil, fmt.Errorf("%s is no authority's certificate", a.Subject)
		}
		t.roots.AddCert(a)
		t.authority = append(t.authority, a)
	}
	for rest := lists; ; {
		var block *pem.Block
		if block, rest = pem.Decode(rest); block == nil {
			if len(bytes.TrimSpace(rest)) > 0 {
				return nil, errors.New("a list of what was taken back is cut off")
			}
			return t, nil
		}
		if err := t.list(block.Bytes, grace, wall); err != nil {
			return nil, err
		}
	}
}

// list takes one list in.
func (t *Trust) list(der []byte, grace time.Duration, wall time.Time) error {
	crl, err := x509.ParseRevocationList(der)
	if err != nil {
		return err
	}
	// Danger: a list that anybody may have written lets revoked certificates back in, or locks everybody out.
	signed := false
	for _, a := range t.authority {
		signed = signed || bytes.Equal(a.RawSubject, crl.RawIssuer) && crl.CheckSignatureFrom(a) == nil
	}
	if !signed {
		return fmt.Errorf("the list of %s is not signed by a told authority", crl.Issuer)
	}
	if len(crl.RevokedCertificateEntries) > mostRevoked {
		return fmt.Errorf("the list of %s has %d entries, wants %d or fewer", crl.Issuer, len(crl.RevokedCertificateEntries), mostRevoked)
	}
	l := &list{issuer: crl.RawIssuer, serials: map[string]bool{}, number: crl.Number}
	if l.number == nil {
		l.number = new(big.Int)
	}
	if !crl.NextUpdate.IsZero() {
		l.until = crl.NextUpdate.Add(grace)
		if !wall.Before(l.until) && !t.allowOld {
			return fmt.Errorf("the list of %s was due anew at %s", crl.Issuer, crl.NextUpdate.UTC().Format(time.RFC3339))
		}
	}
	for _, e := range crl.RevokedCertificateEntries {
		l.serials[string(e.SerialNumber.Bytes())] = true
	}
	for i, old := range t.lists {
		if bytes.Equal(old.issuer, l.issuer) { // the newer one counts
			if l.number.Cmp(old.number) > 0 {
				t.lists[i] = l
			}
			return nil
		}
	}
	t.lists = append(t.lists, l)
	return nil
}

// Pool is the authorities, as a server tells them to its clients.
func (t *Trust) Pool() *x509.CertPool { return t.roots }

// Proof is a chain that was followed to its authority, and by what.
type Proof struct {
	Names []rights.Identity // URI, then DNS names, then the subject
	chain []*x509.Certificate
	by    [sha256.Size]byte
	from  time.Time
	until time.Time
	due   time.Time // when the first list that speaks of the chain is too old; zero: never
}

// Prove follows a chain, the client's own certificate first.
func (t *Trust) Prove(peer []*x509.Certificate, wall time.Time) (*Proof, rights.Denial) {
	if len(peer) == 0 {
		return nil, NoCertificate
	}
	between := x509.NewCertPool()
	for _, c := range peer[1:] {
		between.AddCert(c)
	}
	chains, err := peer[0].Verify(x509.VerifyOptions{Roots: t.roots, Intermediates: between, CurrentTime: wall,
		KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth}})
	var invalid x509.CertificateInvalidError
	switch {
	case errors.As(err, &invalid) && invalid.Reason == x509.Expired:
		return nil, Expired
	case err != nil:
		return nil, Untrusted
	}
	p := &Proof{chain: chains[0], by: t.digest}
	for _, c := range p.chain {
		if p.until.IsZero() || c.NotAfter.Before(p.until) {
			p.until = c.NotAfter
		}
		if c.NotBefore.After(p.from) {
			p.from = c.NotBefore
		}
	}
	leaf := peer[0]
	for _, uri := range leaf.URIs {
		p.Names = append(p.Names, rights.Identity("uri:"+uri.String()))
	}
	for _, name := range leaf.DNSNames {
		p.Names = append(p.Names, rights.Identity("dns:"+name))
	}
	if subject := leaf.Subject.String(); subject != "" {
		p.Names = append(p.Names, rights.Identity("subject:"+subject))
	}
	return p, t.listed(p, wall)
}

// In tells whether a moment lies within the times of all certificates of the chain.
// and no list that speaks of them is too old; else the proof has to be looked at again.
func (p *Proof) In(wall time.Time) bool {
	return !wall.Before(p.from) && wall.Before(p.until) && (p.due.IsZero() || wall.Before(p.due))
}

// Still tells whether a proof counts now. It costs little unless the authorities have changed since it was made.
func (t *Trust) Still(p *Proof, wall time.Time) rights.Denial {
	if p.by != t.digest {
		anew, why := t.Prove(p.chain, wall)
		if why == "" {
			*p = *anew
		}
		return why
	}
	if wall.Before(p.from) || !wall.Before(p.until) {
		return Expired
	}
	return t.listed(p, wall)
}

// listed looks a chain up in the lists of those who issued it.
func (t *Trust) listed(p *Proof, wall time.Time) rights.Denial {
	p.due = time.Time{}
	for _, c := range p.chain {
		for _, l := range t.lists {
			if !bytes.Equal(l.issuer, c.RawIssuer) {
				continue
			}
			if l.serials[string(c.SerialNumber.Bytes())] {
				return Revoked
			}
			// Danger: whoever can keep new lists from us could go on with what was taken back.
			if !t.allowOld && !l.until.IsZero() {
				if !wall.Before(l.until) {
					return StaleList
				}
				if p.due.IsZero() || l.until.Before(p.due) {
					p.due = l.until
				}
			}
		}
	}
	return ""
}

// Oldest is when the first list is due anew, with its grace; zero if none ever is.
func (t *Trust) Oldest() (due time.Time) {
	for _, l := range t.lists {
		if !l.until.IsZero() && (due.IsZero() || l.until.Before(due)) {
			due = l.until
		}
	}
	return due
}

// Certificates reads all certificates of a PEM text.
func Certificates(text []byte) (all []*x509.Certificate, err error) {
	rest := text
	for {
		var block *pem.Block
		if block, rest = pem.Decode(rest); block == nil {
			break
		}
		if block.Type != "CERTIFICATE" {
			continue
		}
		c, err := x509.ParseCertificate(block.Bytes)
		if err != nil {
			return nil, err
		}
		all = append(all, c)
	}
	if len(all) == 0 {
		return nil, errors.New("wants a certificate in PEM")
	}
	if len(bytes.TrimSpace(rest)) > 0 { // Danger: a file that is still being written
		return nil, errors.New("ends in the middle of a certificate")
	}
	return all, nil
}

package authz

import "testing"

// TestGoldenDenials checks the texts of the denials, which appear in responses, logs and listings.
func TestGoldenDenials(t *testing.T) {
	for denial, want := range map[Denial]string{
		noIdentity:    "no-identity",
		unmapped:      "unmapped",
		wrongTenant:   "tenant",
		wrongClass:    "type",
		noWriteAccess: "write",
		noReadAccess:  "read",
	} {
		if string(denial) != want {
			t.Errorf("%q, want %q", denial, want)
		}
	}
}

// TestGoldenIdentities checks the text of an identity of each kind, as written in the operator's file.
func TestGoldenIdentities(t *testing.T) {
	for got, want := range map[Identity]Identity{
		NewIdentity(URIIdentity, "rota://water/7"): "uri:rota://water/7",
		NewIdentity(DNSIdentity, "a.example"):      "dns:a.example",
		NewIdentity(SubjectIdentity, "CN=a"):       "subject:CN=a",
		NewIdentity(TokenIdentity, "depot"):        "token:depot",
	} {
		if got != want {
			t.Errorf("%q, want %q", got, want)
		}
	}
}

package authz

import "testing"

// The denials that are spoken, in answers, logs and listings.
func TestGoldenReasons(t *testing.T) {
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

// The kinds of identities as an operator's file writes them.
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

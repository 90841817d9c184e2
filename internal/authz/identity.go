package authz

// Identity is what a caller has proven to be: its kind, a colon and a name.
type Identity string

// IdentityKind says what an identity was proven by.
type IdentityKind string

// The kinds as the operator's file writes them.
const (
	URIIdentity     IdentityKind = "uri"     // a URI of a certificate
	DNSIdentity     IdentityKind = "dns"     // a DNS name of a certificate
	SubjectIdentity IdentityKind = "subject" // the subject of a certificate
	TokenIdentity   IdentityKind = "token"   // the subject of a token
)

// NewIdentity gives the identity of a kind with a name.
func NewIdentity(kind IdentityKind, name string) Identity {
	return Identity(string(kind) + ":" + name)
}

func (k IdentityKind) known() bool {
	switch k {
	case URIIdentity, DNSIdentity, SubjectIdentity, TokenIdentity:
		return true
	}
	return false
}

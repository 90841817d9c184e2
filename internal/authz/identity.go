package authz

// Identity is a proven identity of a caller: its kind, a colon and a name.
type Identity string

// IdentityKind is the part of a certificate or token that an identity is taken from.
type IdentityKind string

// The kinds, as written in the operator's file.
const (
	URIIdentity     IdentityKind = "uri"     // a URI of a certificate
	DNSIdentity     IdentityKind = "dns"     // a DNS name of a certificate
	SubjectIdentity IdentityKind = "subject" // the subject of a certificate
	TokenIdentity   IdentityKind = "token"   // the subject of a token
)

// NewIdentity returns the identity with the given kind and name.
func NewIdentity(kind IdentityKind, name string) Identity {
	return Identity(string(kind) + ":" + name)
}

func (k IdentityKind) valid() bool {
	switch k {
	case URIIdentity, DNSIdentity, SubjectIdentity, TokenIdentity:
		return true
	}
	return false
}

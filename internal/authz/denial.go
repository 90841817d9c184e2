package authz

// Denial is the reason why a request is denied, as sent in responses, logged and printed in listings. It is empty if
// the request is not denied.
type Denial string

// The denials that a Policy returns. Packages keyring, tokens and certs define those for keys, tokens and certificates.
const (
	noIdentity    Denial = "no-identity" // the caller has proven no identity, and anonymous callers have no role
	unmapped      Denial = "unmapped"    // the identity is proven, but neither a binding nor a claim gives it a role
	wrongTenant   Denial = "tenant"      // the request's tenant is neither the identity's own nor allowed by its roles
	wrongClass    Denial = "type"        // no role allows the request's class
	noWriteAccess Denial = "write"       // a role allows the class, but only for reads
	noReadAccess  Denial = "read"        // a role allows the class, but only for writes
)

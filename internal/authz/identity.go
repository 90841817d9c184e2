package authz

// Identity is an identity: what a caller proved to be. It begins with its kind and a colon: uri:, dns: and subject: come from a
// certificate, token: from a token's subject.
type Identity string

// Denial is why an op is denied, in one word; empty if it is not.
type Denial string

// Reasons that are the rights' own. Others come from what proves an identity.
const (
	noIdentity    Denial = "no-identity" // none was brought, and the file gives callers without one no role
	unmapped      Denial = "unmapped"    // the identity is proven, but the file knows no tenant or role for it
	wrongTenant   Denial = "tenant"      // the op claims a tenant that is not the identity's and in none of its roles
	wrongClass    Denial = "type"        // no role has the op type
	noWriteAccess Denial = "write"       // a role has the type, but only for reads
	noReadAccess  Denial = "read"        // a role has the type, but only for writes
)

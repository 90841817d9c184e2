package authz

// Denial is why a request is denied, as it is answered, logged and listed; empty if it is not.
type Denial string

// The denials of the policy. Those of what proves an identity are in keyring, tokens and certs.
const (
	noIdentity    Denial = "no-identity" // none was proven, and callers without one have no role
	unmapped      Denial = "unmapped"    // the identity is proven, but nothing maps it to a tenant or role
	wrongTenant   Denial = "tenant"      // the request's tenant is neither the identity's nor that of one of its roles
	wrongClass    Denial = "type"        // no role has the request's class
	noWriteAccess Denial = "write"       // a role has the class, but only for reads
	noReadAccess  Denial = "read"        // a role has the class, but only for writes
)

package certs

import "lanewheel/internal/authz"

// The reasons for which a certificate is denied.
const (
	noCertificate       authz.Denial = "no-certificate"
	Untrusted           authz.Denial = "untrusted"  // no chain to a configured authority, or not a client certificate
	expired             authz.Denial = "expired"    // expired or not yet valid
	revoked             authz.Denial = "revoked"    // the certificate or one between it and its authority is revoked
	staleRevocationList authz.Denial = "stale-list" // the revocation list of an issuer is too old
)

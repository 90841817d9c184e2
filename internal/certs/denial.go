package certs

import "lanewheel/internal/authz"

// The denials of certificates.
const (
	noCertificate       authz.Denial = "no-certificate"
	Untrusted           authz.Denial = "untrusted"  // not issued under a configured authority, or not for clients
	expired             authz.Denial = "expired"    // expired or not yet valid
	revoked             authz.Denial = "revoked"    // the certificate or one between it and its authority is revoked
	staleRevocationList authz.Denial = "stale-list" // the revocation list of an issuer is too old
)

package certs

import "lanewheel/internal/authz"

// Why a certificate proves nothing.
const (
	noCertificate       authz.Denial = "no-certificate"
	Untrusted           authz.Denial = "untrusted"  // not issued under a configured authority, or not for clients
	expired             authz.Denial = "expired"    // or not valid yet
	revoked             authz.Denial = "revoked"    // the certificate, or one between it and its authority
	staleRevocationList authz.Denial = "stale-list" // its authority's revocation list is too old
)
